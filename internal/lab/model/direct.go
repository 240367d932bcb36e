package model

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/choose"
)

// Direct is the policy without flow control: each request goes at once to the engine that
// the order of its prompt names, and engines queue, preempt and reject.
type Direct struct {
	r       *Router
	rng     *rand.Rand
	holders map[string]int
	refused map[*Request]int
}

// NewDirect returns a Direct.
func NewDirect(r *Router, rng *rand.Rand) Policy {
	return &Direct{r: r, rng: rng, holders: make(map[string]int), refused: make(map[*Request]int)}
}

const (
	maxRejections = 3
	comeBack      = 250 * time.Millisecond
)

// Candidates are the engines as far as the router knows them.
func Candidates(r *Router) []choose.Engine {
	out := make([]choose.Engine, len(r.Engines()))
	for i, e := range r.Engines() {
		out[i] = choose.Engine{
			ID: e.ID, Key: e.Key, InFlight: r.Own[i] + r.Others(i), Slots: e.config.Slots, Near: true, Share: 1,
		}
		if e.Down {
			out[i].Share = 0
		}
	}
	return out
}

// Arrived implements Policy.
func (d *Direct) Arrived(req *Request) {
	engine, from := pick(d.r, Candidates(d.r), d.holders, req, d.rng)
	if engine == choose.None {
		d.r.Refuse(req, comeBack)
		return
	}
	d.r.Send(req, engine, req.Class.Urgency, from)
}

// pick places a request by loads as known, and returns where to fetch its prompt from, or -1.
func pick(r *Router, engines []choose.Engine, holders map[string]int, req *Request, rng *rand.Rand) (engine, from int) {
	if !req.prompted() {
		return choose.Plain(engines, rng), -1
	}
	at := choose.Prompted(engines, req.key(), rng)
	if at.Engine == choose.None {
		return choose.None, -1
	}
	return at.Engine, Holder(holders, req, at)
}

// Holder returns the engine to fetch a prompt from, or -1, and remembers where it goes.
func Holder(holders map[string]int, req *Request, at choose.Placement) int {
	part := req.Prompt[len(req.Prompt)-1].ID
	from, known := holders[part]
	holders[part] = at.Engine
	if known {
		return from
	}
	if at.Holder != choose.None && at.Moved {
		return at.Holder
	}
	return -1
}

// Rejected implements Policy.
func (d *Direct) Rejected(req *Request, _ int) {
	d.refused[req]++
	if d.refused[req] >= maxRejections {
		delete(d.refused, req)
		d.r.Refuse(req, comeBack)
		return
	}
	d.Arrived(req)
}

// Ended implements Policy.
func (d *Direct) Ended(req *Request, _ int, _ bool) { delete(d.refused, req) }

// Left implements Policy.
func (d *Direct) Left(*Request) {}
