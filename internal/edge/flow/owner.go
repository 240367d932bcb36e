// Package flow is the flow control between routers: who owns which engine's gate, and how
// the others ask it.
//
// While engines have room, requests go without asking. Once a service fills up, each request
// asks the router that owns the engine for a place: it is granted, waits there, or is refused
// at once; see package gate.
package flow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
)

const (
	// Urgencies is how many classes of urgency there are.
	Urgencies = 10
	// settleInterval is how often waiting asks are looked at: a hundredth of the time
	// within which answers are to begin.
	settleInterval = 5 * time.Millisecond
	// forgetAfter is how long a gate that nobody asks is kept. What it has learned of the
	// drain is old by then.
	forgetAfter = 10 * time.Second
	// highWater is for how long the most leases of a gate are remembered. Reports of loads
	// are up to so old; a lease that they count may have ended since.
	highWater = time.Second
)

// Clock reads the time since the VM booted, suspends included.
type Clock func() time.Duration

// Known is what reports say of an engine's load, lagging.
type Known struct {
	// Unasked is how many requests are there that no gate granted, Leased how many that
	// some gate did.
	Unasked, Leased int
}

// Owner keeps the gates of the engines that this router owns. It is safe for concurrent use.
type Owner struct {
	clock Clock
	known func(engine string) Known
	// leaves says whether an engine takes no more requests.
	leaves func(engine string) bool

	mu      sync.Mutex
	gates   map[string]*owned
	refused gate.Refused
	busy    chan struct{}
}

// owned is one engine's gate.
type owned struct {
	*gate.Gate
	waiting map[string]waiter
	// most and last are the most leases of this span of highWater and of the one before,
	// which began at since.
	most, last int
	since      time.Duration
	asked      time.Duration
}

// waiter is an ask that waits, and where its verdict goes.
type waiter struct {
	ask     Ask
	verdict chan gate.Verdict
}

// NewOwner returns an Owner; known is what reports say of an engine, and leaves whether it takes no
// more requests.
func NewOwner(clock Clock, known func(engine string) Known, leaves func(engine string) bool) *Owner {
	return &Owner{clock: clock, known: known, leaves: leaves, gates: make(map[string]*owned), busy: make(chan struct{}, 1)}
}

// Ask asks for a place.
type Ask struct {
	// Engine is the engine's ID, Places how many requests may be there at once.
	Engine string
	Places int
	// ID is unique among all asks; From is the router that asks.
	ID, From string
	Account  string
	// Urgency ranks requests, 0 first.
	Urgency int
	// Weight is the request's work; see forward.
	Weight int64
	// Subject is the same for all attempts at the request, zero if that can't be told;
	// Attempt names this one. Slack is how long after the first attempt a request may
	// start and be on time, and Late means that this one can't any more, as far as the
	// asker knows.
	Subject uint64
	Attempt uint64
	Slack   time.Duration
	Late    bool
	// MaxWait is how long the request may wait, Lease how long it may then be there, and
	// Hold how long such requests are there in the mean.
	MaxWait, Lease, Hold time.Duration
	// Pace bounds how often the engine may be sent requests, where it is cold.
	Pace gate.Pace
}

// Answer is what the owner says.
type Answer struct {
	Granted bool
	// Wait is how long the request would have had to wait, where it was refused.
	Wait time.Duration
	// Late means that the owner knows of an earlier attempt, and that this one can't be
	// on time.
	Late bool
}

// Ask asks a gate of this router and returns once there is a verdict, after MaxWait at the
// latest, or when the context ends.
func (o *Owner) Ask(ctx context.Context, a Ask) Answer {
	verdict, late, wait := o.put(a)
	if wait != nil {
		select {
		case verdict = <-wait:
		case <-ctx.Done():
			o.withdraw(a)
		}
	}
	return Answer{Granted: verdict.Granted, Wait: verdict.Wait, Late: late}
}

// put hands an ask to its gate, and says whether it is late. The channel is nil if there is a
// verdict at once.
func (o *Owner) put(a Ask) (v gate.Verdict, late bool, wait chan gate.Verdict) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if o.leaves(a.Engine) {
		return gate.Verdict{ID: a.ID}, a.Late, nil
	}
	late = a.Late || o.refused.Late(a.Subject, a.Attempt, a.Slack, now)
	g := o.of(a.Engine, now)
	g.SetPlaces(a.Places)
	o.heard(a.Engine, g, now)
	verdict, waits := g.Ask(at(now), gate.Ask{
		ID: a.ID, Holder: a.From, Account: a.Account, Class: queue.Class(min(max(a.Urgency, 0), Urgencies-1)),
		Late: late, Weight: a.Weight, Latest: at(now + a.MaxWait), Until: at(now + a.MaxWait + a.Lease), Hold: a.Hold,
		Pace: a.Pace,
	})
	g.mark(now)
	if !waits {
		o.remember(a, verdict, now)
		return verdict, late, nil
	}
	wait = make(chan gate.Verdict, 1)
	g.waiting[a.ID] = waiter{ask: a, verdict: wait}
	o.wake()
	return gate.Verdict{}, late, wait
}

// remember notes a verdict for the time when the caller comes back. The caller holds the
// mutex.
func (o *Owner) remember(a Ask, v gate.Verdict, now time.Duration) {
	if v.Granted {
		o.refused.Forget(a.Subject)
		return
	}
	o.refused.Note(a.Subject, a.Attempt, now)
}

// of returns an engine's gate. The caller holds the mutex.
func (o *Owner) of(engine string, now time.Duration) *owned {
	g := o.gates[engine]
	if g == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		g = &owned{
			Gate:    gate.New(gate.Config{Classes: Urgencies, Rand: rng}),
			waiting: make(map[string]waiter), since: now,
		}
		o.gates[engine] = g
		o.wake()
	}
	g.asked = now
	return g
}

// heard tells a gate what reports say of requests that it has not granted. The leases of a
// gate itself are among those reported; what is above the most that it had lately are
// another owner's, as after a change of owners.
func (o *Owner) heard(engine string, g *owned, now time.Duration) {
	known := o.known(engine)
	g.mark(now)
	g.SetOthers(known.Unasked + max(0, known.Leased-max(g.most, g.last)))
}

// mark remembers the most leases.
func (g *owned) mark(now time.Duration) {
	if now-g.since >= highWater {
		g.last, g.most, g.since = g.most, 0, now
	}
	g.most = max(g.most, g.Held())
}

// withdraw ends an ask that nobody waits for any more.
func (o *Owner) withdraw(a Ask) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.gates[a.Engine]
	if g == nil {
		return
	}
	delete(g.waiting, a.ID)
	g.Withdraw(at(o.clock()), a.ID)
}

// Release ends a lease, or an ask.
func (o *Owner) Release(engine, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.gates[engine]
	if g == nil {
		return
	}
	now := o.clock()
	g.mark(now)
	if !g.Gate.Release(at(now), id) {
		// The release of an ask that was given up overtakes its verdict.
		g.Withdraw(at(now), id)
		g.giveUp(id)
	}
	o.settle(engine, g, now)
}

// giveUp ends a waiting ask whose asker has gone on without it; whoever waits for the verdict here
// would wait for good.
func (g *owned) giveUp(id string) {
	if w, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		w.verdict <- gate.Verdict{ID: id}
	}
}

// Gone ends the leases and asks of a router that is gone.
func (o *Owner) Gone(router string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	for engine, g := range o.gates {
		g.DropHolder(at(now), router)
		for id, w := range g.waiting {
			if w.ask.From == router {
				g.giveUp(id)
			}
		}
		o.settle(engine, g, now)
	}
}

// settle delivers the verdicts of a gate. The caller holds the mutex.
func (o *Owner) settle(engine string, g *owned, now time.Duration) {
	o.heard(engine, g, now)
	settle := g.Settle
	if o.leaves(engine) {
		settle = g.RefuseAll
	}
	for _, v := range settle(at(now)) {
		w, ok := g.waiting[v.ID]
		if !ok {
			continue
		}
		delete(g.waiting, v.ID)
		o.remember(w.ask, v, now)
		w.verdict <- v
	}
	g.mark(now)
}

func (o *Owner) wake() {
	select {
	case o.busy <- struct{}{}:
	default:
	}
}

// Run settles waiting asks until the context ends.
func (o *Owner) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.busy:
		}
		for o.settleAll() {
			if !pause.For(ctx, settleInterval) {
				return
			}
		}
	}
}

// settleAll looks at all gates, and says whether any ask waits.
func (o *Owner) settleAll() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	waiting := false
	for engine, g := range o.gates {
		if g.Waiting() > 0 {
			o.settle(engine, g, now)
			waiting = waiting || g.Waiting() > 0
		}
		if g.Idle() && now-g.asked > forgetAfter {
			delete(o.gates, engine)
		}
	}
	return waiting
}

// Load sums up the gates: how many there are, and what they hold.
type Load struct {
	Gates, Leases, Waiting int
}

// Load returns what the gates of this router hold.
func (o *Owner) Load() Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := Load{Gates: len(o.gates)}
	for _, g := range o.gates {
		out.Leases += g.Held()
		out.Waiting += g.Waiting()
	}
	return out
}

// at turns a reading of the boot clock into a time for the pure packages, which only look
// at differences.
func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }
