// Package model is engines, routers and callers in virtual time, to judge how routers decide
// when more is asked than engines can give.
//
// Engines have places, batches in which requests slow one another, prompts that are read in
// chunks between the tokens of others, and a memory whose cached parts yield and whose running
// requests are preempted. Callers come in clumps, leave after their patience, and come back
// after a refusal. Routers know of each other's loads late. A Policy is what a router does;
// Gated is ours, Direct the one without flow control. Everything is drawn from a seed.
package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Policy is one router's decisions. Each request that arrives must be sent or refused,
// at once or later, and no more than once each.
type Policy interface {
	// Arrived takes a request of a caller.
	Arrived(r *Request)
	// Ended tells that a request has left an engine, served or not.
	Ended(r *Request, engine int, served bool)
	// Rejected tells that an engine was full; the request is the router's again.
	Rejected(r *Request, engine int)
	// Left tells that the caller of a request that was not sent yet has left.
	Left(r *Request)
}

// network is the time of one way between a router and an engine.
const network = time.Millisecond

// WorldConfig sets up a World.
type WorldConfig struct {
	Seed    uint64
	Engines []EngineConfig
	Routers int
	// Lag is how old a router's knowledge of the others' loads is at least; it grows by
	// up to Report until the next one.
	Lag, Report time.Duration
	Callers     CallerConfig
}

// World is engines, routers and callers in virtual time.
type World struct {
	Clock
	Engines []*Engine
	Routers []*Router
	Book    *Book

	config  WorldConfig
	rng     *rand.Rand
	callers *callers
	reports []report
	nextID  int
}

// report is what all routers have said of their loads at a moment.
type report struct {
	at    time.Duration
	own   [][]int
	total []int
}

// Router is one router as its policy sees the world.
type Router struct {
	Index int
	// Own is how many requests of this router are at each engine.
	Own []int

	world  *World
	policy Policy
}

// NewWorld returns a world at rest; policy makes the policy of each router.
func NewWorld(config WorldConfig, policy func(*Router, *rand.Rand) Policy) *World {
	w := &World{config: config, rng: rand.New(rand.NewPCG(config.Seed, 1)), Book: newBook()}
	for i, c := range config.Engines {
		w.Engines = append(w.Engines, newEngine(w, engineID(i), w.rng.Uint64(), c))
	}
	for i := range config.Routers {
		r := &Router{Index: i, world: w, Own: make([]int, len(w.Engines))}
		r.policy = policy(r, rand.New(rand.NewPCG(config.Seed, uint64(i)+100)))
		w.Routers = append(w.Routers, r)
	}
	w.callers = newCallers(w, config.Callers)
	w.report()
	return w
}

func (w *World) report() {
	out := report{at: w.Now(), total: make([]int, len(w.Engines))}
	for _, r := range w.Routers {
		out.own = append(out.own, slices.Clone(r.Own))
		for e, n := range r.Own {
			out.total[e] += n
		}
	}
	w.reports = append(w.reports, out)
	w.After(w.config.Report, w.report)
}

// Now is the present moment.
func (r *Router) Now() time.Duration { return r.world.Now() }

// Engines are the engines, by index.
func (r *Router) Engines() []*Engine { return r.world.Engines }

// Routers is how many routers there are.
func (r *Router) Routers() int { return len(r.world.Routers) }

// Others is how many requests the other routers have at an engine, as last heard.
func (r *Router) Others(engine int) int {
	reports := r.world.reports
	for len(reports) > 1 && reports[1].at <= r.Now()-r.world.config.Lag {
		reports = reports[1:]
	}
	r.world.reports = reports
	return reports[0].total[engine] - reports[0].own[r.Index][engine]
}

// Send sends a request to an engine, which fetches what it lacks of the prompt from
// another one, or from nobody if that is negative.
func (r *Router) Send(req *Request, engine, urgency, fetchFrom int) {
	w := r.world
	r.Own[engine]++
	req.router, req.engine, req.state, req.sentAt = r, engine, sent, w.Now()
	var from *Engine
	if fetchFrom >= 0 {
		from = w.Engines[fetchFrom]
	}
	w.After(network, func() {
		if req.state != sent {
			return
		}
		e := w.Engines[engine]
		if e.Down {
			w.finished(req, e, false)
			return
		}
		if e.arrive(req, urgency, from) {
			return
		}
		w.After(network, func() { r.rejected(req, engine) })
	})
}

func (r *Router) rejected(req *Request, engine int) {
	if req.state != sent {
		return
	}
	r.Own[engine]--
	req.state = held
	r.policy.Rejected(req, engine)
}

// Refuse refuses a request that was not sent.
func (r *Router) Refuse(req *Request, retryAfter time.Duration) {
	if req.state != held {
		panic("model: refused a request that is not the router's")
	}
	req.state = ended
	r.world.callers.refused(req, retryAfter)
}

// emitted takes an event of a stream on its way to the caller.
func (w *World) emitted(req *Request, now time.Duration) {
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

// finished takes the end of a request at an engine.
func (w *World) finished(req *Request, e *Engine, served bool) {
	if req.state != sent {
		return
	}
	if served {
		w.emitted(req, w.Now())
	}
	req.state = ended
	r := req.router
	r.Own[req.engine]--
	r.policy.Ended(req, req.engine, served)
	if served {
		w.Book.served(req)
		return
	}
	w.callers.failed(req)
}

// leave ends a request whose caller has left.
func (w *World) leave(req *Request) {
	switch req.state {
	case held:
		req.state = ended
		req.at.policy.Left(req)
	case sent:
		req.state = ended
		if req.run != nil {
			req.run.gone = true
			w.Engines[req.engine].finish(req.run)
			w.Engines[req.engine].wake()
		}
		req.router.Own[req.engine]--
		req.router.policy.Ended(req, req.engine, false)
	default:
		return
	}
	w.Book.left(req)
}
