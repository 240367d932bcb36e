package run

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/fleet"
	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
)

// Result is the measurements of one run.
type Result struct {
	Workload string  `json:"workload"`
	Strategy string  `json:"strategy"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// CacheReuse is the share of the returning turns' prompt tokens that the
	// engines found in their caches, ReuseBound the share that a pooled cache with
	// knowledge of the future would reach on this run's trace, and ReuseShare
	// their quotient.
	CacheReuse float64 `json:"cache_reuse"`
	ReuseBound float64 `json:"cache_reuse_bound"`
	ReuseShare float64 `json:"cache_reuse_share_of_bound"`
	Returning  int     `json:"returning_turns"`
	// Skew is the skew of the engines' weight in windows of SkewWindow, SkewShort
	// in windows of SkewShortWindow; SkewRequests is the skew of the number of
	// requests.
	Skew         measure.Skew     `json:"skew"`
	SkewShort    measure.Skew     `json:"skew_short"`
	SkewRequests measure.Skew     `json:"skew_requests"`
	SkewWindows  []measure.Window `json:"skew_windows"`
	// ControlBytes is the traffic between routers in bytes per router and second,
	// sent and received; ControlUpstream is the traffic to and from upstreams.
	ControlBytes     float64         `json:"control_bytes_per_router_second"`
	ControlBytesPeak float64         `json:"control_bytes_busiest_router_second"`
	ControlUDP       float64         `json:"control_udp_bytes_per_router_second"`
	ControlTCP       float64         `json:"control_tcp_bytes_per_router_second"`
	ControlUpstream  ControlUpstream `json:"control_upstream_bytes_per_router_second"`
	// Admission sums up the routers' own counters, for diagnosis.
	Admission map[string]int64 `json:"admission"`
	Counts
	// Outcomes counts failures by code and reported execution.
	Outcomes map[string]int `json:"outcomes"`
	// EngineLost is the number of requests that the engines lost in crashes.
	EngineLost int                            `json:"engine_lost"`
	Churn      map[string]int                 `json:"churn"`
	FirstToken map[string]measure.Percentiles `json:"first_token"`
	NextToken  map[string]measure.Percentiles `json:"next_token"`
	Calls      map[string]measure.Percentiles `json:"calls"`
	// Surge compares the phases of a surge; nil if the run had none.
	Surge *Surge `json:"surge,omitempty"`
	// Samples are descriptions of some failures.
	Samples []string `json:"samples,omitempty"`
}

// Window lengths of the skew.
const (
	SkewWindow      = time.Second
	SkewShortWindow = 200 * time.Millisecond
)

// minMeanRequests is the minimum mean load of an engine for which a window's skew
// is counted. It is a number of requests, each with an answer of mean length.
const minMeanRequests = 2

// collect returns the result of a completed run.
func (r *runner) collect(from, to time.Time, control []fleet.ControlTraffic) *Result {
	res := &Result{
		Workload: r.w.Name,
		Strategy: r.o.Strategy,
		Seed:     r.o.Seed,
		Seconds:  to.Sub(from).Seconds(),
		Churn:    r.churnCounts,
	}
	r.checkExecutions()
	res.Counts = r.tally.counts
	res.Outcomes = r.tally.codes
	res.Samples = r.tally.samples
	res.EngineLost = r.engineLost()
	r.fillReuse(res)
	r.fillSkew(res, from, to)
	res.fillControl(control)
	res.Admission = r.fleet.Admission()
	res.FirstToken = r.firstToken.Percentiles()
	res.NextToken = r.nextToken.Percentiles()
	res.Calls = r.calls.Percentiles()
	res.Surge = r.surge()
	return res
}

// checkExecutions compares the responses to callers with the upstreams' records of executions.
func (r *runner) checkExecutions() {
	c := &r.tally.counts
	executed := make(map[string]bool)
	for _, e := range r.fleet.Engines {
		for attemptID := range e.Executed() {
			executed[attemptID] = true
		}
	}
	for _, attemptID := range r.tally.refusedAttempts {
		if executed[attemptID] {
			c.FalselyRefused++
			r.tally.samples = append(r.tally.samples, attemptID+": refused as not run, and executed")
		}
	}
	r.checkServiceExecutions(c)
	// A crash interrupts the requests at the engine; all other interruptions are losses.
	if over := c.Interrupted - r.engineLost(); over > 0 {
		c.Lost += over
	}
}

func (r *runner) checkServiceExecutions(c *Counts) {
	executions := make(map[string]int)
	for _, s := range r.fleet.Services {
		for key, n := range s.Stats().Executions {
			executions[key] += n
		}
	}
	for key, n := range executions {
		if n > 1 && key != "" {
			c.Doubled++
			r.tally.samples = append(r.tally.samples, key+": executed more than once")
		}
	}
	for _, key := range r.tally.refusedKeys {
		if executions[key] > 0 {
			c.FalselyRefused++
			r.tally.samples = append(r.tally.samples, key+": refused as not run, and executed")
		}
	}
}

func (r *runner) engineLost() int {
	n := 0
	for _, e := range r.fleet.Engines {
		n += e.Stats().Lost
	}
	return n
}

func (r *runner) fillReuse(res *Result) {
	trace := r.tally.trace
	res.CacheReuse = measure.Reuse(trace)
	res.ReuseBound = measure.ReuseBound(trace, r.capacity())
	if res.ReuseBound > 0 {
		res.ReuseShare = res.CacheReuse / res.ReuseBound
	}
	for _, a := range trace {
		if a.Returning && !a.Broken {
			res.Returning++
		}
	}
}

// capacity returns the total cache capacity of the engines that are up, over time.
func (r *runner) capacity() []measure.Capacity {
	var steps []measure.Capacity
	for _, e := range r.fleet.Engines {
		for _, s := range e.Up() {
			steps = append(steps, measure.Capacity{At: s.From, Tokens: r.w.Engines.CacheTokens})
			if !s.To.IsZero() {
				steps = append(steps, measure.Capacity{At: s.To, Tokens: -r.w.Engines.CacheTokens})
			}
		}
	}
	return measure.SumCapacity(steps)
}

func (r *runner) fillSkew(res *Result, from, to time.Time) {
	loads := r.loads()
	long := measure.SkewOptions{From: from, To: to, Window: SkewWindow, MinMean: r.minMean()}
	short := long
	short.Window = SkewShortWindow
	res.SkewWindows = measure.Windows(long, loads)
	res.Skew = measure.Summarize(res.SkewWindows, int(to.Sub(from)/long.Window))
	res.SkewShort = measure.Summarize(measure.Windows(short, loads), int(to.Sub(from)/short.Window))
	count := long
	count.Requests = true
	count.MinMean = minMeanRequests
	res.SkewRequests = measure.Summarize(measure.Windows(count, loads), int(to.Sub(from)/count.Window))
}

// minMean returns the weight of minMeanRequests answers of mean length.
func (r *runner) minMean() float64 {
	a := r.w.Chats.AnswerTokens
	return minMeanRequests * float64(a.Min+a.Max) / 2
}

func (r *runner) loads() []measure.EngineLoad {
	var out []measure.EngineLoad
	for _, e := range r.fleet.Engines {
		l := measure.EngineLoad{Buckets: e.Stats().Load, BucketLength: engine.Defaults("", "").Bucket}
		for _, s := range e.InService() {
			l.InService = append(l.InService, pair(s))
		}
		out = append(out, l)
	}
	return out
}

func pair(s fleet.Span) [2]time.Time { return [2]time.Time{s.From, s.To} }
