package model

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/choose"
)

// Direct is the policy without flow control: it sends each request at once to the
// engine selected by prompt prefix and load. Engines queue, preempt and reject.
type Direct struct {
	router     *Router
	rng        *rand.Rand
	holders    map[string]int
	rejections map[*Request]int
}

// NewDirect returns a Direct.
func NewDirect(r *Router, rng *rand.Rand) Policy {
	return &Direct{router: r, rng: rng, holders: make(map[string]int), rejections: make(map[*Request]int)}
}

const (
	maxRejections = 3
	retryAfter    = 250 * time.Millisecond
)

// EngineStates returns the engines' states as known to the router.
func EngineStates(r *Router) []choose.Engine {
	out := make([]choose.Engine, len(r.Engines()))
	for i, e := range r.Engines() {
		out[i] = choose.Engine{
			ID: e.ID, Key: e.Key, InFlight: r.InFlight[i] + r.OthersInFlight(i), Slots: e.config.Slots, SameSite: true, Share: 1,
		}
		if e.Down {
			out[i].Share = 0
		}
	}
	return out
}

// Arrived implements Policy.
func (d *Direct) Arrived(req *Request) {
	engine, fetchFrom := selectEngine(d.router, EngineStates(d.router), d.holders, req, d.rng)
	if engine == choose.NoEngine {
		d.router.Refuse(req, retryAfter)
		return
	}
	d.router.Send(req, engine, req.Class.Urgency, fetchFrom)
}

// selectEngine selects an engine by the known loads. fetchFrom is the engine to fetch
// the prompt from, or -1.
func selectEngine(router *Router, engines []choose.Engine, holders map[string]int, req *Request, rng *rand.Rand) (engine, fetchFrom int) {
	if !req.hasPrompt() {
		return choose.PickPlain(engines, rng), -1
	}
	at := choose.PlacePrompt(engines, req.prefixKey(), rng)
	if at.Engine == choose.NoEngine {
		return choose.NoEngine, -1
	}
	return at.Engine, FetchSource(holders, req, at)
}

// FetchSource returns the engine to fetch the request's prompt from, or -1, and records
// in holders that the selected engine will hold it.
func FetchSource(holders map[string]int, req *Request, at choose.Placement) int {
	segment := req.Prompt[len(req.Prompt)-1].ID
	source, known := holders[segment]
	holders[segment] = at.Engine
	if known {
		return source
	}
	if at.Holder != choose.NoEngine && at.Moved {
		return at.Holder
	}
	return -1
}

// Rejected implements Policy.
func (d *Direct) Rejected(req *Request, _ int) {
	d.rejections[req]++
	if d.rejections[req] >= maxRejections {
		delete(d.rejections, req)
		d.router.Refuse(req, retryAfter)
		return
	}
	d.Arrived(req)
}

// Ended implements Policy.
func (d *Direct) Ended(req *Request, _ int, _ bool) { delete(d.rejections, req) }

// Aborted implements Policy.
func (d *Direct) Aborted(*Request) {}
