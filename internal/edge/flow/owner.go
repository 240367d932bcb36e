// Package flow is the flow control between routers: it determines which router owns the gate of
// which engine, and lets the other routers request slots from the owner.
//
// While engines have free slots, requests are sent without a permit. Once a service fills up, the
// router requests a slot for each request from the owner of the engine's gate, which grants it,
// queues the request, or refuses it at once; see package gate.
package flow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/brittle"
	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/decide/room"
)

const (
	// UrgencyClasses is the number of urgency classes.
	UrgencyClasses = 10
	// settleInterval is how often waiting requests are checked: a hundredth of the time within
	// which responses should begin.
	settleInterval = 5 * time.Millisecond
	// idleGateTTL is how long an unused gate is retained. After that, its estimate of the drain
	// rate is outdated.
	idleGateTTL = 10 * time.Second
	// peakWindow is how long the peak number of leases of a gate is remembered. Load reports are up
	// to one second old, and a lease that they count may have ended since.
	peakWindow = time.Second
)

// Clock returns the time since the VM booted, including suspends.
type Clock func() time.Duration

// ReportedLoad is the load of an engine according to this router's own requests and the reports of
// the other routers, which lag behind.
type ReportedLoad struct {
	// Unleased is the number of requests at the engine without a lease, and Leased the number with a
	// lease of any gate.
	Unleased, Leased int
}

// Owner holds the gates of the engines that this router owns. It is safe for concurrent use.
type Owner struct {
	clock        Clock
	reportedLoad func(engine string) ReportedLoad
	// outOfService reports whether an engine accepts no more requests.
	outOfService func(engine string) bool

	mu      sync.Mutex
	gates   map[string]*ownedGate
	refused gate.RefusalHistory
	wakeup  chan struct{}
}

// ownedGate is the gate of one engine.
type ownedGate struct {
	*gate.Gate
	waiting map[string]waiter
	// peak and previousPeak are the highest numbers of leases in the current interval of
	// peakWindow, which began at peakSince, and in the one before.
	peak, previousPeak int
	peakSince          time.Duration
	lastRequest        time.Duration
	// places and mostPlaces are those of the last request, and fill what the engine's statements allow.
	places, mostPlaces int
	fill               gate.Fill
	// brittle means that the engine bears only so many rejections a second as tolerance says, and room is
	// what it has shown to have.
	brittle   bool
	tolerance brittle.Tolerance
	room      brittle.Room
}

// updateSlots sets how many requests may be at the engine.
func (g *ownedGate) updateSlots(now time.Duration) {
	if !g.brittle {
		g.room = brittle.Room{}
		g.SetSlots(g.fill.Limit(g.places, g.mostPlaces))
		return
	}
	g.SetSlots(g.room.Limit(g.places, g.tolerance, now))
}

// waiter is a waiting request and the channel for its decision.
type waiter struct {
	req     SlotRequest
	decided chan gate.Decision
}

// NewOwner returns an Owner. reportedLoad returns an engine's load according to reports, and
// outOfService reports whether the engine accepts no more requests.
func NewOwner(clock Clock, reportedLoad func(engine string) ReportedLoad, outOfService func(engine string) bool) *Owner {
	return &Owner{clock: clock, reportedLoad: reportedLoad, outOfService: outOfService, gates: make(map[string]*ownedGate), wakeup: make(chan struct{}, 1)}
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	// Engine is the engine's ID, and Places the number of requests that it may have. MostPlaces is the
	// number that it may have at most if its own statements show free slots; zero if that is not to be
	// followed. Routers of earlier releases don't send it.
	Engine     string
	Places     int
	MostPlaces int
	// ID is unique among all requests for slots; From is the router that sends the request.
	ID, From string
	Account  string
	// Urgency is the urgency class, 0 being the most urgent.
	Urgency int
	// Weight is the work of the request; see package forward.
	Weight int64
	// Subject is the same for all attempts at the request, or zero if the request can't be
	// distinguished from others. Attempt identifies this attempt. Slack is how long after its first
	// refusal the request may start and still be on time. Late means that this attempt can't be on
	// time, as far as the sender knows.
	Subject uint64
	Attempt uint64
	Slack   time.Duration
	Late    bool
	// Beyond means that the request is beyond its account's fair share of the service. Routers of
	// earlier releases send none.
	Beyond bool
	// MaxWait is how long the request may wait, Lease how long it may then stay at the engine, and
	// Hold how long such requests stay there on average.
	MaxWait, Lease, Hold time.Duration
	// Pace bounds the rate of requests to a cold engine.
	Pace gate.Pace
	// Memory is the memory of the engine, in tokens, and Need what the request needs of it. Both are zero if they
	// are not known, and from routers of earlier releases.
	Memory int
	Need   room.Need
	// Brittle means that the engine bears only Tolerance rejections a second. Routers of earlier
	// releases send neither.
	Brittle   bool
	Tolerance int
}

// Answer is the owner's reply to a SlotRequest.
type Answer struct {
	Granted bool
	// Wait is how long the request would have had to wait. It is set on a refusal.
	Wait time.Duration
	// Late means that the request can't be on time. The owner may know this from an earlier
	// attempt.
	Late bool
	// NoMemory means that the engine had a free slot but not enough memory for the request. Owners of
	// earlier releases don't send it.
	NoMemory bool
}

// Acquire requests a slot from a gate of this router. It returns once there is a decision, which
// takes MaxWait at most, or when the context ends.
func (o *Owner) Acquire(ctx context.Context, req SlotRequest) Answer {
	decision, late, decided := o.submit(req)
	if decided != nil {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			o.withdraw(req)
		}
	}
	return Answer{Granted: decision.Granted, Wait: decision.Wait, Late: late, NoMemory: decision.NoMemory}
}

// submit passes a request to its gate and reports whether it is late. The channel is nil if the
// decision is immediate.
func (o *Owner) submit(req SlotRequest) (immediate gate.Decision, late bool, decided chan gate.Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if o.outOfService(req.Engine) {
		return gate.Decision{ID: req.ID}, req.Late, nil
	}
	late = req.Late || o.refused.Late(req.Subject, req.Attempt, req.Slack, now)
	g := o.gateFor(req.Engine, now)
	g.places, g.mostPlaces = req.Places, req.MostPlaces
	g.brittle, g.tolerance = req.Brittle, brittle.Tolerance(req.Tolerance)
	g.updateSlots(now)
	if req.Memory > 0 || req.Need.Known() {
		// Routers of earlier releases state neither.
		g.SetMemory(req.Memory)
	}
	o.updateUnleased(req.Engine, g, now)
	decision, queued := g.Acquire(at(now), gate.Request{
		ID: req.ID, Holder: req.From, Account: req.Account, Class: queue.Class(min(max(req.Urgency, 0), UrgencyClasses-1)),
		Late: late, Beyond: req.Beyond, Weight: req.Weight, Latest: at(now + req.MaxWait), Until: at(now + req.MaxWait + req.Lease), Hold: req.Hold,
		Pace: req.Pace, Need: req.Need,
	})
	g.updatePeak(now)
	if !queued {
		o.recordDecision(req, decision, now)
		return decision, late, nil
	}
	decided = make(chan gate.Decision, 1)
	g.waiting[req.ID] = waiter{req: req, decided: decided}
	o.wake()
	return gate.Decision{}, late, decided
}

// recordDecision records a refusal, so that a retry of the request is recognized, and forgets the
// earlier refusal of a request that is granted a slot. The caller must hold o.mu.
func (o *Owner) recordDecision(req SlotRequest, decision gate.Decision, now time.Duration) {
	if decision.Granted {
		o.refused.Forget(req.Subject)
		return
	}
	o.refused.Note(req.Subject, req.Attempt, now)
}

// gateFor returns the gate of an engine and creates it if necessary. The caller must hold o.mu.
func (o *Owner) gateFor(engine string, now time.Duration) *ownedGate {
	g := o.gates[engine]
	if g == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		g = &ownedGate{
			Gate:    gate.New(gate.Config{Classes: UrgencyClasses, Rand: rng}),
			waiting: make(map[string]waiter), peakSince: now,
		}
		o.gates[engine] = g
		o.wake()
	}
	g.lastRequest = now
	return g
}

// updateUnleased updates a gate's count of requests at the engine without a lease of this gate. The
// reported leases include the gate's own; those beyond the gate's recent peak were granted by
// another owner, as after a change of owners.
func (o *Owner) updateUnleased(engine string, g *ownedGate, now time.Duration) {
	reported := o.reportedLoad(engine)
	g.updatePeak(now)
	g.SetUnleased(reported.Unleased + max(0, reported.Leased-max(g.peak, g.previousPeak)))
}

// updatePeak records the current number of leases in the peak.
func (g *ownedGate) updatePeak(now time.Duration) {
	if now-g.peakSince >= peakWindow {
		g.previousPeak, g.peak, g.peakSince = g.peak, 0, now
	}
	g.peak = max(g.peak, g.Held())
}

// withdraw removes a request whose caller has left.
func (o *Owner) withdraw(req SlotRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.gates[req.Engine]
	if g == nil {
		return
	}
	delete(g.waiting, req.ID)
	g.Withdraw(at(o.clock()), req.ID)
}

// Release ends a lease or a waiting request.
func (o *Owner) Release(l LeaseRef) {
	engine, id := l.Engine, l.ID
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.gates[engine]
	if g == nil {
		return
	}
	now := o.clock()
	g.updatePeak(now)
	if l.EngineSlots > 0 {
		load := gate.EngineLoad{Running: l.Running, Waiting: l.Waiting, Slots: l.EngineSlots}
		g.fill.Observe(load, g.Waiting() > 0)
		g.ObserveLoad(at(now), load)
	}
	if l.Rejected && g.brittle {
		g.room.Reject(g.Held()-1, now)
	}
	if !g.Gate.Release(at(now), id) {
		// The sender aborted the request, and its release arrived before the decision was made.
		g.Withdraw(at(now), id)
		g.abort(id)
	}
	o.settle(engine, g, now)
}

// abort ends a waiting request that its sender has aborted. Without a decision, the call that waits
// for it here would never return.
func (g *ownedGate) abort(id string) {
	if w, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		w.decided <- gate.Decision{ID: id}
	}
}

// RouterGone ends the leases and waiting requests of a router that is dead or has been restarted.
func (o *Owner) RouterGone(router string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	for engine, g := range o.gates {
		g.DropHolder(at(now), router)
		for id, w := range g.waiting {
			if w.req.From == router {
				g.abort(id)
			}
		}
		o.settle(engine, g, now)
	}
}

// settle delivers the decisions of a gate. The caller must hold o.mu.
func (o *Owner) settle(engine string, g *ownedGate, now time.Duration) {
	o.updateUnleased(engine, g, now)
	g.updateSlots(now)
	settle := g.Settle
	if o.outOfService(engine) {
		settle = g.RefuseAll
	}
	for _, decision := range settle(at(now)) {
		w, ok := g.waiting[decision.ID]
		if !ok {
			continue
		}
		delete(g.waiting, decision.ID)
		o.recordDecision(w.req, decision, now)
		w.decided <- decision
	}
	g.updatePeak(now)
}

func (o *Owner) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// Run settles waiting requests until the context ends.
func (o *Owner) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wakeup:
		}
		for o.settleAll() {
			if !pause.For(ctx, settleInterval) {
				return
			}
		}
	}
}

// settleAll settles all gates, drops unused ones, and reports whether any request is still waiting.
func (o *Owner) settleAll() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	anyWaiting := false
	for engine, g := range o.gates {
		if g.Waiting() > 0 {
			o.settle(engine, g, now)
			anyWaiting = anyWaiting || g.Waiting() > 0
		}
		if g.Idle() && now-g.lastRequest > idleGateTTL {
			delete(o.gates, engine)
		}
	}
	return anyWaiting
}

// Load is the number of gates and their total leases and waiting requests.
type Load struct {
	Gates, Leases, Waiting int
}

// Load returns the load of this router's gates.
func (o *Owner) Load() Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	load := Load{Gates: len(o.gates)}
	for _, g := range o.gates {
		load.Leases += g.Held()
		load.Waiting += g.Waiting()
	}
	return load
}

// at converts a reading of the boot clock into a time.Time for packages that only use time
// differences.
func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }
