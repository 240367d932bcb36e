package traffic

import (
	"expvar"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// metrics counts requests by result and kind of failure. The label sets are
// fixed: no account, chat or key becomes a label.
type metrics struct {
	streamsOpen         atomic.Int64
	chunks              atomic.Int64
	incompleteResponses atomic.Int64
	callersDisconnected atomic.Int64
	retries             atomic.Int64
	claimsExecuted      atomic.Int64
	responsesRepeated   atomic.Int64
	// recordsDelayed counts records that the store accepted at a later attempt,
	// recordsDropped those that were never stored.
	recordsDelayed atomic.Int64
	recordsDropped atomic.Int64
	refusals       *expvar.Map
}

func newMetrics() *metrics {
	return &metrics{refusals: new(expvar.Map).Init()}
}

func (m *metrics) countRefusal(code apierr.Code) { m.refusals.Add(string(code), 1) }

// Vars returns the metrics for publication.
func (s *Server) Vars() expvar.Var {
	m := s.metrics
	out := new(expvar.Map).Init()
	publish := func(name string, v *atomic.Int64) {
		out.Set(name, expvar.Func(func() any { return v.Load() }))
	}
	publish("streams_open", &m.streamsOpen)
	publish("chunks", &m.chunks)
	publish("answers_incomplete", &m.incompleteResponses)
	publish("callers_gone", &m.callersDisconnected)
	publish("retries", &m.retries)
	publish("claims_run", &m.claimsExecuted)
	publish("answers_repeated", &m.responsesRepeated)
	publish("recorded_late", &m.recordsDelayed)
	publish("records_dropped", &m.recordsDropped)
	out.Set("refusals", m.refusals)
	return out
}
