package admission

import (
	"expvar"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
)

// Metrics counts the outcomes of admission.
type Metrics struct {
	// Granted counts permits, Queued the requests that had to wait, and Lumps
	// the permits granted beyond the load bound because the engine was the
	// least loaded.
	Granted, Queued, Lumps atomic.Int64
	// NoEngine, QueueRefused and Expired count refused requests.
	NoEngine, QueueRefused, Expired atomic.Int64
	// PermitRequests counts calls to other owners, PermitRequestsFailed those
	// without a reply.
	PermitRequests, PermitRequestsFailed atomic.Int64
	// ReleaseRetries counts releases that had to be repeated, ReportsFailed the
	// reports that were not delivered.
	ReleaseRetries, ReportsFailed atomic.Int64
	// Selected counts grants by placement.Reason.
	Selected [placement.ReasonCount]atomic.Int64
	// AdoptedUnconfirmed counts streams resumed here although their engine's
	// owner could not be reached.
	AdoptedUnconfirmed atomic.Int64
	// Reconciled counts permits that reports added to or removed from the
	// ledgers.
	Reconciled atomic.Int64
}

// Vars returns the metrics for publication through expvar.
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
		"asked":           &m.PermitRequests,
		"ask_failed":      &m.PermitRequestsFailed,
		"release_retries": &m.ReleaseRetries,
		"reports_failed":  &m.ReportsFailed,
		"adopted_unasked": &m.AdoptedUnconfirmed,
		"reconciled":      &m.Reconciled,
	} {
		out.Set(name, expvar.Func(func() any { return v.Load() }))
	}
	for r := range m.Selected {
		v := &m.Selected[r]
		out.Set("chosen_"+placement.Reason(r).String(), expvar.Func(func() any { return v.Load() }))
	}
	out.Set("ejections", expvar.Func(func() any { return a.health.ejected() }))
	out.Set("held", expvar.Func(func() any { return a.held.Len() }))
	return out
}
