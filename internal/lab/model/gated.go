package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/decide/room"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
)

const (
	// routerRoundTrip is the round-trip time of a call to another router.
	routerRoundTrip = 2 * time.Millisecond
	// urgencyClasses is the number of urgency classes of a gate.
	urgencyClasses = 10
	// enginePriority is the priority at engines of all requests that Gated sends.
	enginePriority = 5
	// congestedFor is how long requests still need permits after the engines were
	// last congested.
	congestedFor = 2 * time.Second
	// eventTokens is the number of tokens in an event as routers see them.
	eventTokens = 7
	// outputTokenWeight is the weight of a response token, in prompt tokens.
	outputTokenWeight = 10
)

// engineGates holds the gates of all engines, with the load reports to their owners.
type engineGates struct {
	sim             *Simulation
	byEngine        []*gate.Gate
	waiting         map[string]*permitRequest
	lastID          int
	settleScheduled bool
	// withoutPermit is how many requests without a permit are at each engine.
	withoutPermit []int
	refused       gate.RefusalHistory
	shares        *accountShares
	// outputs holds what is known of the lengths of outputs, by class; nil if gates count slots only.
	outputs map[int]*room.Outputs
}

// permitRequest is a request that waits for the decision of a gate.
type permitRequest struct {
	engine     int
	onDecision func(gate.Decision)
}

func newGates(sim *Simulation, mode ShareMode) *engineGates {
	g := &engineGates{sim: sim, waiting: make(map[string]*permitRequest), withoutPermit: make([]int, len(sim.Engines))}
	for _, e := range sim.Engines {
		engineGate := gate.New(gate.Config{Classes: urgencyClasses})
		engineGate.SetSlots(e.config.Slots)
		g.byEngine = append(g.byEngine, engineGate)
	}
	sim.After(0, g.reportLoads)
	g.shares = newAccountShares(sim, mode)
	return g
}

// reportLoads reports requests without a permit to the gates' owners, with the delay of
// all load reports.
func (g *engineGates) reportLoads() {
	for i, n := range g.withoutPermit {
		g.sim.After(g.sim.config.ReportDelay, func() { g.byEngine[i].SetUnleased(n) })
	}
	g.sim.After(g.sim.config.ReportInterval, g.reportLoads)
}

func toTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// request sets the number of permits of an engine's gate, requests one, and returns the
// ID of the request.
func (g *engineGates) request(engine, permits int, req gate.Request, onDecision func(gate.Decision)) string {
	g.lastID++
	req.ID = strconv.Itoa(g.lastID)
	now := g.sim.Now()
	g.byEngine[engine].SetSlots(permits)
	if g.outputs != nil {
		g.byEngine[engine].SetMemory(g.sim.Engines[engine].config.MemoryTokens)
	}
	decision, waits := g.byEngine[engine].Acquire(toTime(now), req)
	if !waits {
		onDecision(decision)
		return req.ID
	}
	g.waiting[req.ID] = &permitRequest{engine: engine, onDecision: onDecision}
	g.scheduleSettle()
	return req.ID
}

// settleInterval is the interval at which waiting permit requests are re-evaluated.
const settleInterval = 5 * time.Millisecond

// scheduleSettle calls settle at intervals of settleInterval as long as permit requests wait.
func (g *engineGates) scheduleSettle() {
	if g.settleScheduled {
		return
	}
	g.settleScheduled = true
	g.sim.After(settleInterval, func() {
		g.settleScheduled = false
		for i := range g.byEngine {
			g.settle(i)
		}
		if len(g.waiting) > 0 {
			g.scheduleSettle()
		}
	})
}

func (g *engineGates) settle(engine int) {
	for _, decision := range g.byEngine[engine].Settle(toTime(g.sim.Now())) {
		if waiting := g.waiting[decision.ID]; waiting != nil {
			delete(g.waiting, decision.ID)
			waiting.onDecision(decision)
		}
	}
}

func (g *engineGates) release(engine int, id string) {
	g.byEngine[engine].Release(toTime(g.sim.Now()), id)
	g.settle(engine)
}

// outputsOf returns what is known of the outputs of a class.
func (g *engineGates) outputsOf(class int) *room.Outputs {
	if g.outputs[class] == nil {
		g.outputs[class] = &room.Outputs{}
	}
	return g.outputs[class]
}

// need returns the memory that the request needs, if gates count it.
func (g *engineGates) need(req *Request) room.Need {
	if g.outputs == nil || !req.hasPrompt() {
		return room.Need{}
	}
	need := room.Need{Own: req.UniqueTokens, Output: g.outputsOf(req.ClassIndex).Expect(req.Hint, 0)}
	for _, p := range req.Prompt {
		need.Parts = append(need.Parts, room.Part{ID: rendezvous.ID(p.ID), Tokens: p.Tokens})
	}
	return need
}

// withdraw withdraws a waiting permit request.
func (g *engineGates) withdraw(id string) {
	if waiting := g.waiting[id]; waiting != nil {
		delete(g.waiting, id)
		g.byEngine[waiting.engine].Withdraw(toTime(g.sim.Now()), id)
	}
}

// Gated is the policy with flow control: once engines are congested, a request needs a
// permit from an engine's gate.
type Gated struct {
	router  *Router
	rng     *rand.Rand
	gates   *engineGates
	holders map[string]int
	// leases holds the permits of requests at engines, waiting the permit requests
	// without a decision.
	leases         map[*Request]string
	waiting        map[*Request]string
	congestedUntil time.Duration
	meanDuration   time.Duration
	meanNeed       room.Mean
	overload       gate.Overload
	// timeouts holds the baselines of the callers' timeouts, by class.
	timeouts map[int]*gate.TimeoutBaseline
}

// NewGated returns a constructor for the policies of the routers of a simulation, which
// share the gates.
func NewGated(mode ShareMode) func(*Router, *rand.Rand) Policy {
	shared := make(map[*Simulation]*engineGates)
	return func(r *Router, rng *rand.Rand) Policy {
		if shared[r.sim] == nil {
			shared[r.sim] = newGates(r.sim, mode)
		}
		return &Gated{
			router: r, rng: rng, gates: shared[r.sim], holders: make(map[string]int),
			leases: make(map[*Request]string), waiting: make(map[*Request]string),
			timeouts: make(map[int]*gate.TimeoutBaseline),
		}
	}
}

// NewGatedByMemory is NewGated without shares, with gates that count memory beside slots.
func NewGatedByMemory() func(*Router, *rand.Rand) Policy {
	newPolicy := NewGated(NoShares)
	return func(r *Router, rng *rand.Rand) Policy {
		p := newPolicy(r, rng).(*Gated)
		if p.gates.outputs == nil {
			p.gates.outputs = make(map[int]*room.Outputs)
		}
		return p
	}
}

// Arrived implements Policy.
func (p *Gated) Arrived(req *Request) {
	engines := EngineStates(p.router)
	p.setRoom(engines, req)
	now := p.router.Now()
	if p.timeouts[req.ClassIndex] == nil {
		p.timeouts[req.ClassIndex] = &gate.TimeoutBaseline{}
	}
	if p.overload.Over(now) {
		p.timeouts[req.ClassIndex].Note(req.timeoutLeft)
	}
	if choose.Crowded(engines) {
		p.congestedUntil = now + congestedFor
	}
	congested := now < p.congestedUntil
	p.gates.shares.ask(req)
	if !congested {
		p.sendWithoutPermit(req, engines)
		return
	}
	req.beyond = p.gates.shares.beyond(req)
	if req.beyond && p.gates.shares.mode == RefuseBeyond {
		p.refuse(req)
		return
	}
	candidates := choose.PlainCandidates(engines, p.rng)
	if req.hasPrompt() {
		candidates = choose.PromptCandidates(engines, req.prefixKey(), p.rng)
	}
	var permits []int
	for _, i := range candidates {
		permits = append(permits, choose.MaxInFlight(engines, i))
	}
	p.requestPermit(req, candidates, permits, 0)
}

// setRoom sets how many requests fit into the memory of the engines, if gates count it.
func (p *Gated) setRoom(engines []choose.Engine, req *Request) {
	if p.gates.outputs == nil || !req.hasPrompt() {
		return
	}
	need := p.gates.need(req)
	p.meanNeed.Add(need)
	for i := range engines {
		engines[i].Room = p.meanNeed.Requests(p.router.Engines()[i].config.MemoryTokens)
	}
}

func (p *Gated) sendWithoutPermit(req *Request, engines []choose.Engine) {
	engine, fetchFrom := selectEngine(p.router, engines, p.holders, req, p.rng)
	if engine == choose.NoEngine {
		p.refuse(req)
		return
	}
	p.gates.withoutPermit[engine]++
	p.gates.shares.grant(req)
	p.router.Send(req, engine, enginePriority, fetchFrom)
}

// requestPermit requests a permit from the candidates in turn, from the i-th on.
func (p *Gated) requestPermit(req *Request, candidates, permits []int, i int) {
	if i >= len(candidates) {
		p.refuse(req)
		return
	}
	engine := candidates[i]
	now := p.router.Now()
	wait := gate.MaxWait(req.hasPrompt(), i, len(candidates), req.Class.Objective, now-req.Arrived)
	late := p.late(req)
	if (late || req.beyond) && req.hasPrompt() && i > 0 {
		p.refuse(req)
		return
	}
	permitReq := gate.Request{
		Holder: strconv.Itoa(p.router.Index), Account: strconv.Itoa(req.Account), Class: queue.Class(req.Class.Urgency), Late: late, Beyond: req.beyond,
		Weight: int64(req.UniqueTokens + outputTokenWeight*req.OutputTokens), Latest: toTime(now + routerRoundTrip/2 + wait), Hold: p.meanDuration,
		Need: p.gates.need(req),
	}
	sim := p.router.sim
	sim.After(routerRoundTrip/2, func() {
		if req.state != pending {
			return
		}
		var id string
		id = p.gates.request(engine, permits[i], permitReq, func(decision gate.Decision) {
			id = decision.ID
			delete(p.waiting, req)
			sim.After(routerRoundTrip/2, func() { p.handleDecision(req, candidates, permits, i, decision) })
		})
		if p.gates.waiting[id] != nil {
			p.waiting[req] = id
		}
	})
}

func (p *Gated) handleDecision(req *Request, candidates, permits []int, i int, decision gate.Decision) {
	engine := candidates[i]
	switch {
	case req.state != pending && decision.Granted:
		p.gates.release(engine, decision.ID)
	case req.state != pending:
	case decision.Granted:
		p.leases[req] = decision.ID
		p.gates.shares.grant(req)
		fetchFrom := -1
		if req.hasPrompt() {
			fetchFrom = FetchSource(p.holders, req, choose.PlacementAt(EngineStates(p.router), engine, req.prefixKey()))
		}
		p.router.Send(req, engine, enginePriority, fetchFrom)
	default:
		p.requestPermit(req, candidates, permits, i+1)
	}
}

// late reports whether the request is a retry that is too late for a response on time.
func (p *Gated) late(req *Request) bool {
	if req.hasPrompt() {
		slack := gate.StartWithin(req.Class.Objective)
		return p.gates.refused.Late(uint64(req.ID), uint64(req.Attempt), slack, p.router.Now())
	}
	return p.timeouts[req.ClassIndex].Late(req.timeoutLeft, req.Class.Objective)
}

func (p *Gated) refuse(req *Request) {
	now := p.router.Now()
	if req.hasPrompt() {
		p.gates.refused.Note(uint64(req.ID), uint64(req.Attempt), now)
	}
	p.router.Refuse(req, p.overload.RetryAfter(req.Class.Objective, req.Remaining(now), now, p.rng.Float64()))
}

// durationWeight is the weight of the latest request in the moving mean of request
// durations.
const durationWeight = 1.0 / 32

// Ended implements Policy.
func (p *Gated) Ended(req *Request, engine int, served bool) {
	if served && p.gates.outputs != nil {
		p.gates.outputsOf(req.ClassIndex).Observe(req.Hint, (req.OutputTokens+eventTokens-1)/eventTokens)
	}
	duration := p.router.Now() - req.sentAt
	if p.meanDuration == 0 {
		p.meanDuration = duration
	}
	p.meanDuration += time.Duration(durationWeight * float64(duration-p.meanDuration))
	id, leased := p.leases[req]
	if !leased {
		p.gates.withoutPermit[engine]--
		return
	}
	delete(p.leases, req)
	e := p.router.Engines()[engine]
	load := gate.EngineLoad{Running: len(e.batch), Waiting: len(e.waiting), Slots: e.config.Slots}
	p.router.sim.After(routerRoundTrip/2, func() {
		p.gates.byEngine[engine].ObserveLoad(toTime(p.router.Now()), load)
		p.gates.release(engine, id)
	})
}

// Rejected implements Policy.
func (p *Gated) Rejected(req *Request, engine int) {
	p.Ended(req, engine, false)
	p.refuse(req)
}

// Aborted implements Policy.
func (p *Gated) Aborted(req *Request) {
	if id, ok := p.waiting[req]; ok {
		delete(p.waiting, req)
		p.gates.withdraw(id)
	}
}
