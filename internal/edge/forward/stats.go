package forward

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms, in microseconds, and their number of significant digits. Values
// outside the range are counted at the nearest bound.
const (
	lowestLatency    = 100
	highestLatency   = 60_000_000
	latencyPrecision = 2
)

// Stats holds the counters and latency histograms of forwarded requests. It is safe for concurrent
// use.
type Stats struct {
	vars *expvar.Map

	mu     sync.Mutex
	routes map[string]*hdrhistogram.Histogram
	// versions counts the requests by service and version.
	versions map[versionKey]*VersionCounts
}

type versionKey struct{ service, version string }

// VersionCounts counts the requests at the engines of one version since the start of the router.
type VersionCounts struct {
	// Requests is the number of requests that were sent there last, and Failed of those that were not
	// served.
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	// Resumed is the number of streams that went on there, and NotResumed of those that did not, though
	// the version was known.
	Resumed    int64 `json:"resumed"`
	NotResumed int64 `json:"not_resumed"`
}

// Version returns the counts of a version.
func (s *Stats) Version(service, version string) VersionCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.versions[versionKey{service, version}]; c != nil {
		return *c
	}
	return VersionCounts{}
}

// maxVersionCounts bounds the versions that are counted.
const maxVersionCounts = 256

// version returns the counts of a version to add to. The caller holds the mutex.
func (s *Stats) version(service, version string) *VersionCounts {
	key := versionKey{service, version}
	c := s.versions[key]
	if c == nil {
		c = &VersionCounts{}
		if len(s.versions) < maxVersionCounts {
			s.versions[key] = c
		}
	}
	return c
}

// recordVersion counts a finished request at the version of its last engine. The caller holds the mutex.
func (s *Stats) recordVersion(x *exchange) {
	if x.engineVersion != "" {
		c := s.version(x.engineService, x.engineVersion)
		c.Requests++
		if x.outcome != "" {
			c.Failed++
		}
	}
	if !x.stream.resumes || x.stream.version == "" {
		return
	}
	if c := s.version(x.stream.service, x.stream.version); x.outcome == "" || x.responded.Load() {
		c.Resumed++
	} else {
		c.NotResumed++
	}
}

func newStats() *Stats {
	return &Stats{vars: new(expvar.Map).Init(), routes: make(map[string]*hdrhistogram.Histogram), versions: make(map[versionKey]*VersionCounts)}
}

// Vars returns the counters by name.
func (s *Stats) Vars() *expvar.Map { return s.vars }

// recordRequest counts a finished request.
func (s *Stats) recordRequest(x *exchange, took time.Duration) {
	kind := "unrouted"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	s.vars.Add("requests_"+kind, 1)
	if x.outcome != "" {
		s.vars.Add("failed_"+string(x.outcome), 1)
	}
	if x.req.LastEvent != "" {
		s.vars.Add("streams_resumed_by_callers", 1)
		if x.outcome != "" {
			s.vars.Add("streams_resumed_by_callers_failed", 1)
		}
	}
	if x.sends > 1 {
		s.vars.Add("repeated_sends", int64(x.sends-1))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordVersion(x)
	if x.outcome != "" || x.route == nil {
		return
	}
	latency := took
	if x.firstByte > 0 {
		latency = x.firstByte
	}
	h := s.routes[kind]
	if h == nil {
		h = hdrhistogram.New(lowestLatency, highestLatency, latencyPrecision)
		s.routes[kind] = h
	}
	// The value is clamped to the range, so RecordValue can't fail.
	_ = h.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
}

// recordResumption counts a stream that went on at another engine within its response, at one of the
// same version or not.
func (s *Stats) recordResumption(sameVersion bool) {
	if sameVersion {
		s.vars.Add("streams_resumed", 1)
		return
	}
	s.vars.Add("streams_resumed_at_other_version", 1)
}

// recordCut counts a request that was cut because the connection to its engine broke.
func (s *Stats) recordCut() { s.vars.Add("cut_by_engine", 1) }

// recordMalformed counts a response that ended because the engine sent bytes that are no response, or more of
// them than a response may have.
func (s *Stats) recordMalformed(err error) {
	switch {
	case engineconn.ErrTooLong.Has(err):
		s.vars.Add("engine_responses_too_long", 1)
	case engineconn.ErrMalformed.Has(err):
		s.vars.Add("engine_responses_malformed", 1)
	}
}

// recordConnectionEnd counts an answer that ended with its connection, by how that ended.
func (s *Stats) recordConnectionEnd(how string) { s.vars.Add("answers_ended_by_connection_"+how, 1) }

// recordLeaving counts a response in which an engine announced that it will stop.
func (s *Stats) recordLeaving() { s.vars.Add("engine_leaving_responses", 1) }

// recordPause counts a rejection in which an engine stated for how long it wants no requests.
func (s *Stats) recordPause() { s.vars.Add("engine_pause_responses", 1) }

// recordBadLoad counts a statement of an engine's load that was ignored.
func (s *Stats) recordBadLoad() { s.vars.Add("engine_loads_ignored", 1) }

// recordAttemptTimeout counts an attempt that timed out.
func (s *Stats) recordAttemptTimeout() { s.vars.Add("given_up_silent", 1) }

// quantiles are the percentiles of the latency histograms that Latencies returns.
var quantiles = []float64{50, 90, 99, 99.9}

// Latencies returns percentiles of the time to the first byte, in milliseconds, by kind of route
// and percentile.
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
