// Package model simulates engines, routers and callers in virtual time, to evaluate the
// routers' decisions under overload.
//
// Engines have slots, batches in which requests slow each other down, chunked prefill
// between the tokens of other requests, and a memory from which cached segments are
// evicted and running requests preempted. Callers arrive in bursts, abort at their
// timeouts, and retry after a refusal. Routers receive each other's loads with a delay.
// A Policy makes a router's decisions: Gated has flow control as the routers do, Direct
// has none. All random values derive from a seed.
package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Policy makes the decisions of one router. It must send or refuse each request that
// arrives, at once or later; a rejected request may be sent again.
type Policy interface {
	// Arrived handles a new request of a caller.
	Arrived(r *Request)
	// Ended is called when a request has left an engine, served or not.
	Ended(r *Request, engine int, served bool)
	// Rejected is called when an engine's queue was full; the request is pending again.
	Rejected(r *Request, engine int)
	// Aborted is called when the caller of a pending request has aborted it.
	Aborted(r *Request)
}

// networkDelay is the one-way delay between a router and an engine.
const networkDelay = time.Millisecond

// SimulationConfig configures a Simulation.
type SimulationConfig struct {
	Seed    uint64
	Engines []EngineConfig
	Routers int
	// ReportDelay is the minimum age of the loads of other routers that a router knows.
	// The age grows by up to ReportInterval until the next report.
	ReportDelay, ReportInterval time.Duration
	Callers                     CallerConfig
}

// Simulation holds engines, routers and callers in virtual time.
type Simulation struct {
	Clock
	Engines []*Engine
	Routers []*Router
	Results *Results

	config      SimulationConfig
	rng         *rand.Rand
	callers     *callers
	loadReports []loadReport
	lastID      int
}

// loadReport holds the loads of all routers at a time.
type loadReport struct {
	at       time.Duration
	inFlight [][]int
	total    []int
}

// Router is one router as seen by its policy.
type Router struct {
	Index int
	// InFlight is how many requests of this router are at each engine.
	InFlight []int

	sim    *Simulation
	policy Policy
}

// NewSimulation returns a simulation at time zero; newPolicy returns the policy of a
// router.
func NewSimulation(config SimulationConfig, newPolicy func(*Router, *rand.Rand) Policy) *Simulation {
	s := &Simulation{config: config, rng: rand.New(rand.NewPCG(config.Seed, 1)), Results: newResults()}
	for i, c := range config.Engines {
		s.Engines = append(s.Engines, newEngine(s, engineID(i), s.rng.Uint64(), c))
	}
	for i := range config.Routers {
		r := &Router{Index: i, sim: s, InFlight: make([]int, len(s.Engines))}
		r.policy = newPolicy(r, rand.New(rand.NewPCG(config.Seed, uint64(i)+100)))
		s.Routers = append(s.Routers, r)
	}
	s.callers = newCallers(s, config.Callers)
	s.reportLoads()
	return s
}

func (s *Simulation) reportLoads() {
	report := loadReport{at: s.Now(), total: make([]int, len(s.Engines))}
	for _, r := range s.Routers {
		report.inFlight = append(report.inFlight, slices.Clone(r.InFlight))
		for e, n := range r.InFlight {
			report.total[e] += n
		}
	}
	s.loadReports = append(s.loadReports, report)
	s.After(s.config.ReportInterval, s.reportLoads)
}

// Now returns the virtual time.
func (r *Router) Now() time.Duration { return r.sim.Now() }

// Engines returns the engines, by index.
func (r *Router) Engines() []*Engine { return r.sim.Engines }

// RouterCount returns the number of routers.
func (r *Router) RouterCount() int { return len(r.sim.Routers) }

// OthersInFlight returns how many requests the other routers have at an engine, as last
// reported.
func (r *Router) OthersInFlight(engine int) int {
	reports := r.sim.loadReports
	for len(reports) > 1 && reports[1].at <= r.Now()-r.sim.config.ReportDelay {
		reports = reports[1:]
	}
	r.sim.loadReports = reports
	return reports[0].total[engine] - reports[0].inFlight[r.Index][engine]
}

// Send sends a request to an engine, which fetches the missing segments of its prompt
// from the engine fetchFrom, or from none if that is negative.
func (r *Router) Send(req *Request, engine, priority, fetchFrom int) {
	sim := r.sim
	r.InFlight[engine]++
	req.sentBy, req.engine, req.state, req.sentAt = r, engine, sent, sim.Now()
	var source *Engine
	if fetchFrom >= 0 {
		source = sim.Engines[fetchFrom]
	}
	sim.After(networkDelay, func() {
		if req.state != sent {
			return
		}
		e := sim.Engines[engine]
		if e.Down {
			sim.requestEnded(req, e, false)
			return
		}
		if e.arrive(req, priority, source) {
			return
		}
		sim.After(networkDelay, func() { r.rejected(req, engine) })
	})
}

func (r *Router) rejected(req *Request, engine int) {
	if req.state != sent {
		return
	}
	r.InFlight[engine]--
	req.state = pending
	r.policy.Rejected(req, engine)
}

// Refuse refuses a pending request.
func (r *Router) Refuse(req *Request, retryAfter time.Duration) {
	if req.state != pending {
		panic("model: refused a request that is not pending")
	}
	req.state = ended
	r.sim.callers.requestRefused(req, retryAfter)
}

// recordEvent records that an event of the response stream was sent to the caller.
func (s *Simulation) recordEvent(req *Request, now time.Duration) {
	if req.state != sent {
		return
	}
	if req.firstEvent == 0 {
		req.firstEvent = now
	} else {
		req.longestGap = max(req.longestGap, now-req.lastEvent)
	}
	req.lastEvent = now
}

// requestEnded handles the end of a request at an engine.
func (s *Simulation) requestEnded(req *Request, e *Engine, served bool) {
	if req.state != sent {
		return
	}
	if served {
		s.recordEvent(req, s.Now())
	}
	req.state = ended
	r := req.sentBy
	r.InFlight[req.engine]--
	r.policy.Ended(req, req.engine, served)
	if served {
		s.Results.recordServed(req)
		return
	}
	s.callers.requestFailed(req)
}

// abort ends a request whose caller has aborted it.
func (s *Simulation) abort(req *Request) {
	switch req.state {
	case pending:
		req.state = ended
		req.arrivedAt.policy.Aborted(req)
	case sent:
		req.state = ended
		if req.execution != nil {
			req.execution.removed = true
			s.Engines[req.engine].remove(req.execution)
			s.Engines[req.engine].wake()
		}
		req.sentBy.InFlight[req.engine]--
		req.sentBy.policy.Ended(req, req.engine, false)
	default:
		return
	}
	s.Results.recordAborted(req)
}
