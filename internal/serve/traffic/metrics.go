package traffic

import (
	"expvar"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// metrics counts what happened to requests. The label sets are fixed: no
// account, chat or key ever becomes a label.
type metrics struct {
	streamsOpen atomic.Int64
	chunks      atomic.Int64
	incomplete  atomic.Int64
	callersGone atomic.Int64
	retries     atomic.Int64
	claimsRun   atomic.Int64
	repeated    atomic.Int64
	// recordedLate counts records that the store took at a later attempt,
	// recordsDropped those that were given up.
	recordedLate   atomic.Int64
	recordsDropped atomic.Int64
	refusals       *expvar.Map
}

func newMetrics() *metrics {
	return &metrics{refusals: new(expvar.Map).Init()}
}

func (m *metrics) refused(code apierr.Code) { m.refusals.Add(string(code), 1) }

// Vars returns the metrics for publication.
func (s *Server) Vars() expvar.Var {
	m := s.metrics
	out := new(expvar.Map).Init()
	set := func(name string, v *atomic.Int64) {
		out.Set(name, expvar.Func(func() any { return v.Load() }))
	}
	set("streams_open", &m.streamsOpen)
	set("chunks", &m.chunks)
	set("answers_incomplete", &m.incomplete)
	set("callers_gone", &m.callersGone)
	set("retries", &m.retries)
	set("claims_run", &m.claimsRun)
	set("answers_repeated", &m.repeated)
	set("recorded_late", &m.recordedLate)
	set("records_dropped", &m.recordsDropped)
	out.Set("refusals", m.refusals)
	return out
}
