package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
)

const (
	// roundTrip is how long a question to another router takes.
	roundTrip = 2 * time.Millisecond
	// urgencies is how many classes of urgency gates have.
	urgencies = 10
	// engineUrgency is the rank of all requests at engines.
	engineUrgency = 5
	// crowdedFor is how long requests go on asking after the engines were last crowded.
	crowdedFor = 2 * time.Second
	// outputCost is the work of a token of the answer, in tokens of a prompt.
	outputCost = 10
)

// gates are those of all engines, with what reports tell their owners.
type gates struct {
	w     *World
	of    []*gate.Gate
	asks  map[string]*ask
	next  int
	timed bool
	// unasked is how many requests are at each engine without a lease.
	unasked []int
	refused gate.Refused
}

// ask is a request that waits for a verdict of a gate.
type ask struct {
	engine int
	answer func(gate.Verdict)
}

func newGates(w *World) *gates {
	g := &gates{w: w, asks: make(map[string]*ask), unasked: make([]int, len(w.Engines))}
	for _, e := range w.Engines {
		one := gate.New(gate.Config{Classes: urgencies})
		one.SetPlaces(e.config.Slots)
		g.of = append(g.of, one)
	}
	w.After(0, g.report)
	return g
}

// report tells owners of unasked requests, with the lag of all reports.
func (g *gates) report() {
	for i, n := range g.unasked {
		g.w.After(g.w.config.Lag, func() { g.of[i].SetOthers(n) })
	}
	g.w.After(g.w.config.Report, g.report)
}

func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// put asks an engine's gate, and returns the ask's ID.
func (g *gates) put(engine, places int, a gate.Ask, answer func(gate.Verdict)) string {
	g.next++
	a.ID = strconv.Itoa(g.next)
	now := g.w.Now()
	g.of[engine].SetPlaces(places)
	v, waits := g.of[engine].Ask(at(now), a)
	if !waits {
		answer(v)
		return a.ID
	}
	g.asks[a.ID] = &ask{engine: engine, answer: answer}
	g.tick()
	return a.ID
}

// settleInterval is how often waiting asks are looked at.
const settleInterval = 5 * time.Millisecond

// tick settles the gates as long as anything waits.
func (g *gates) tick() {
	if g.timed {
		return
	}
	g.timed = true
	g.w.After(settleInterval, func() {
		g.timed = false
		for i := range g.of {
			g.settle(i)
		}
		if len(g.asks) > 0 {
			g.tick()
		}
	})
}

func (g *gates) settle(engine int) {
	for _, v := range g.of[engine].Settle(at(g.w.Now())) {
		if a := g.asks[v.ID]; a != nil {
			delete(g.asks, v.ID)
			a.answer(v)
		}
	}
}

func (g *gates) release(engine int, id string) {
	g.of[engine].Release(at(g.w.Now()), id)
	g.settle(engine)
}

// withdraw ends an ask that waits.
func (g *gates) withdraw(id string) {
	if a := g.asks[id]; a != nil {
		delete(g.asks, id)
		g.of[a.engine].Withdraw(at(g.w.Now()), id)
	}
}

// Gated is the policy of the routers: requests ask the gates of engines for places once
// these fill up.
type Gated struct {
	r       *Router
	rng     *rand.Rand
	gates   *gates
	holders map[string]int
	// leases are those of requests at engines, waiting the asks of requests that wait.
	leases  map[*Request]string
	waiting map[*Request]string
	crowded time.Duration
	hold    time.Duration
	over    gate.Overload
	// limits are those of callers, by class.
	limits map[int]*gate.Usual
}

// NewGated returns the policies of a world's routers.
func NewGated() func(*Router, *rand.Rand) Policy {
	shared := make(map[*World]*gates)
	return func(r *Router, rng *rand.Rand) Policy {
		if shared[r.world] == nil {
			shared[r.world] = newGates(r.world)
		}
		return &Gated{
			r: r, rng: rng, gates: shared[r.world], holders: make(map[string]int),
			leases: make(map[*Request]string), waiting: make(map[*Request]string),
			limits: make(map[int]*gate.Usual),
		}
	}
}

// Arrived implements Policy.
func (p *Gated) Arrived(req *Request) {
	engines := Candidates(p.r)
	now := p.r.Now()
	if p.limits[req.Kind] == nil {
		p.limits[req.Kind] = &gate.Usual{}
	}
	if p.over.Over(now) {
		p.limits[req.Kind].Note(req.limitLeft)
	}
	if choose.Crowded(engines) {
		p.crowded = now + crowdedFor
	}
	if now >= p.crowded {
		p.sendUnasked(req, engines)
		return
	}
	order := choose.PlainCandidates(engines, p.rng)
	if req.prompted() {
		order = choose.Candidates(engines, req.key(), p.rng)
	}
	var places []int
	for _, i := range order {
		places = append(places, choose.Places(engines, i))
	}
	p.ask(req, order, places, 0)
}

func (p *Gated) sendUnasked(req *Request, engines []choose.Engine) {
	engine, from := pick(p.r, engines, p.holders, req, p.rng)
	if engine == choose.None {
		p.refuse(req)
		return
	}
	p.gates.unasked[engine]++
	p.r.Send(req, engine, engineUrgency, from)
}

// ask asks the engines of order for a place, one after the other, from the i-th on.
func (p *Gated) ask(req *Request, order, places []int, i int) {
	if i >= len(order) {
		p.refuse(req)
		return
	}
	engine := order[i]
	now := p.r.Now()
	wait := gate.MaxWait(req.prompted(), i, len(order), req.Class.Objective, now-req.Arrived)
	late := p.late(req)
	if late && req.prompted() && i > 0 {
		p.refuse(req)
		return
	}
	question := gate.Ask{
		Holder: strconv.Itoa(p.r.Index), Account: strconv.Itoa(req.Account), Class: queue.Class(req.Class.Urgency), Late: late,
		Weight: int64(req.Own + outputCost*req.Output), Latest: at(now + roundTrip/2 + wait), Hold: p.hold,
	}
	w := p.r.world
	w.After(roundTrip/2, func() {
		if req.state != held {
			return
		}
		var id string
		id = p.gates.put(engine, places[i], question, func(v gate.Verdict) {
			id = v.ID
			delete(p.waiting, req)
			w.After(roundTrip/2, func() { p.verdict(req, order, places, i, v) })
		})
		if p.gates.asks[id] != nil {
			p.waiting[req] = id
		}
	})
}

func (p *Gated) verdict(req *Request, order, places []int, i int, v gate.Verdict) {
	engine := order[i]
	switch {
	case req.state != held && v.Granted:
		p.gates.release(engine, v.ID)
	case req.state != held:
	case v.Granted:
		p.leases[req] = v.ID
		from := -1
		if req.prompted() {
			from = Holder(p.holders, req, choose.At(Candidates(p.r), engine, req.key()))
		}
		p.r.Send(req, engine, engineUrgency, from)
	default:
		p.ask(req, order, places, i+1)
	}
}

// late says whether a request has come back too late to be on time.
func (p *Gated) late(req *Request) bool {
	if req.prompted() {
		slack := gate.StartWithin(req.Class.Objective)
		return p.gates.refused.Late(uint64(req.ID), uint64(req.Attempt), slack, p.r.Now())
	}
	return p.limits[req.Kind].Late(req.limitLeft, req.Class.Objective)
}

func (p *Gated) refuse(req *Request) {
	now := p.r.Now()
	if req.prompted() {
		p.gates.refused.Note(uint64(req.ID), uint64(req.Attempt), now)
	}
	p.r.Refuse(req, p.over.ComeBack(req.Class.Objective, req.Remaining(now), now, p.rng.Float64()))
}

// holdWeight is the weight of the newest request in the mean of how long they last.
const holdWeight = 1.0 / 32

// Ended implements Policy.
func (p *Gated) Ended(req *Request, engine int, _ bool) {
	took := p.r.Now() - req.sentAt
	if p.hold == 0 {
		p.hold = took
	}
	p.hold += time.Duration(holdWeight * float64(took-p.hold))
	id, leased := p.leases[req]
	if !leased {
		p.gates.unasked[engine]--
		return
	}
	delete(p.leases, req)
	p.r.world.After(roundTrip/2, func() { p.gates.release(engine, id) })
}

// Rejected implements Policy.
func (p *Gated) Rejected(req *Request, engine int) {
	p.Ended(req, engine, false)
	p.refuse(req)
}

// Left implements Policy.
func (p *Gated) Left(req *Request) {
	if id, ok := p.waiting[req]; ok {
		delete(p.waiting, req)
		p.gates.withdraw(id)
	}
}
