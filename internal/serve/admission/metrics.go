package admission

import (
	"expvar"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
)

// Metrics counts decisions.
type Metrics struct {
	// Granted counts permits, Queued the requests that had to wait, Lumps
	// the permits beyond the bound for a least loaded engine.
	Granted, Queued, Lumps atomic.Int64
	// NoEngine, QueueRefused and Expired count refusals.
	NoEngine, QueueRefused, Expired atomic.Int64
	// Asked counts questions to other owners, AskFailed those without answer.
	Asked, AskFailed atomic.Int64
	// ReleaseRetries counts permits that had to be given back again.
	ReleaseRetries, ReportsFailed atomic.Int64
	// Chosen counts granted decisions by placement.Reason.
	Chosen [placement.ReasonCount]atomic.Int64
	// AdoptedUnasked counts streams taken up while their engine's owner could
	// not be reached.
	AdoptedUnasked atomic.Int64
	// Reconciled counts permits that reports corrected.
	Reconciled atomic.Int64
}

// Vars returns the metrics for publication.
func (a *Admission) Vars() expvar.Var {
	m := &a.Metrics
	out := new(expvar.Map).Init()
	for name, v := range map[string]*atomic.Int64{
		"granted":         &m.Granted,
		"queued":          &m.Queued,
		"lumps":           &m.Lumps,
		"no_engine":       &m.NoEngine,
		"queue_refused":   &m.QueueRefused,
		"expired":         &m.Expired,
		"asked":           &m.Asked,
		"ask_failed":      &m.AskFailed,
		"release_retries": &m.ReleaseRetries,
		"reports_failed":  &m.ReportsFailed,
		"adopted_unasked": &m.AdoptedUnasked,
		"reconciled":      &m.Reconciled,
	} {
		out.Set(name, expvar.Func(func() any { return v.Load() }))
	}
	for r := range m.Chosen {
		v := &m.Chosen[r]
		out.Set("chosen_"+placement.Reason(r).String(), expvar.Func(func() any { return v.Load() }))
	}
	out.Set("ejections", expvar.Func(func() any { return a.health.ejected() }))
	out.Set("held", expvar.Func(func() any { return a.held.Len() }))
	return out
}
