package forward

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds: what lies outside is
// counted at the bound.
const (
	lowestLatency    = 100
	highestLatency   = 60_000_000
	latencyPrecision = 2
)

// Stats are the counters and latency histograms of forwarded requests.
type Stats struct {
	vars *expvar.Map

	mu     sync.Mutex
	routes map[string]*hdrhistogram.Histogram
}

func newStats() *Stats {
	return &Stats{vars: new(expvar.Map).Init(), routes: make(map[string]*hdrhistogram.Histogram)}
}

// Vars returns the counters, by name.
func (s *Stats) Vars() *expvar.Map { return s.vars }

// request counts a finished request.
func (s *Stats) recordRequest(x *exchange, took time.Duration) {
	kind := "unrouted"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	s.vars.Add("requests_"+kind, 1)
	if x.outcome != "" {
		s.vars.Add("failed_"+string(x.outcome), 1)
	}
	if x.sends > 1 {
		s.vars.Add("repeated_sends", int64(x.sends-1))
	}
	if x.outcome != "" || x.route == nil {
		return
	}
	latency := took
	if x.firstByte > 0 {
		latency = x.firstByte
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.routes[kind]
	if h == nil {
		h = hdrhistogram.New(lowestLatency, highestLatency, latencyPrecision)
		s.routes[kind] = h
	}
	// The value is clamped to the bounds, so that it can't be refused.
	_ = h.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
}

// gaveUp counts a send that was given up because its engine stayed silent.
func (s *Stats) recordAttemptTimeout() { s.vars.Add("given_up_silent", 1) }

// Quantiles of the latency histograms that are served.
var quantiles = []float64{50, 90, 99, 99.9}

// Latencies returns the quantiles of the time to the first byte, in
// milliseconds, by kind of route.
func (s *Stats) Latencies() map[string]map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]map[string]float64, len(s.routes))
	for kind, h := range s.routes {
		out[kind] = make(map[string]float64, len(quantiles))
		for _, q := range quantiles {
			out[kind][strconv.FormatFloat(q, 'f', -1, 64)] = float64(h.ValueAtQuantile(q)) / 1000
		}
	}
	return out
}
