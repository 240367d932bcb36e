package faults

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"github.com/stretchr/testify/require"
)

// permitScenario has three routers that request permits for one engine from its owner, over a
// faulty network, and send the granted requests to the engine. The owner's ledger is checked
// against the number of requests that the engine executes.
type permitScenario struct {
	t   *testing.T
	rng *rand.Rand
	now time.Duration
	// owner is the ledger that the holders use. otherOwner is that of a router that
	// considers itself the owner too.
	owner, otherOwner *permit.Ledger
	holders           map[string]*permitHolder
	messages          []message
	// running maps the requests that the engine executes to the time of their end.
	running     map[string]time.Duration
	incarnation uint64
	next        int
	peak        int
	served      int

	// messageDelays returns the delays of a message's copies; none if it is lost.
	messageDelays func(m *permitScenario) []time.Duration
	// load is the mean number of requests that each holder starts per tick.
	load float64
}

// permitHolder is a router that requests permits.
type permitHolder struct {
	name   string
	held   map[string]bool
	seq    uint64
	frozen bool
	dead   bool
	ledger *permit.Ledger
}

// message is a message in transit.
type message struct {
	at      time.Duration
	deliver func()
}

const (
	tick         = 50 * time.Millisecond
	maxRunning   = 20
	requestTime  = 2 * time.Second
	reportEvery  = time.Second
	holdersEvery = 5 * time.Second
	// settleTime exceeds the delay of every late message and every timeout of the ledger.
	settleTime = 10 * time.Minute
	// requestTimeout is how long a holder waits for the reply to a permit request. It
	// then releases the permit, which the owner may have granted.
	requestTimeout = 400 * time.Millisecond
	// twoOwnerBound bounds the permits that two ledgers may grant together: one full bound,
	// and half of it from the new ledger while that warms up.
	twoOwnerBound = maxRunning * 3 / 2
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newPermitScenario(t *testing.T, seed uint64) *permitScenario {
	g := &permitScenario{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), holders: make(map[string]*permitHolder),
		running: make(map[string]time.Duration), incarnation: 1, load: 0.4,
		messageDelays: func(*permitScenario) []time.Duration { return []time.Duration{time.Millisecond} },
	}
	g.owner = g.newLedger(nil)
	for _, name := range []string{"x", "y", "z"} {
		g.holders[name] = &permitHolder{name: name, held: make(map[string]bool), ledger: g.owner}
	}
	return g
}

func (g *permitScenario) newLedger(live []string) *permit.Ledger {
	cfg := permit.Config{MaxBatch: maxRunning, Admit: func(int64, int64, int64, int, float64) bool { return true }}
	return permit.NewLedger(g.timestamp(), cfg, g.incarnation, live)
}

func (g *permitScenario) timestamp() time.Time { return epoch.Add(g.now) }

// send sends a message over the network.
func (g *permitScenario) send(run func()) {
	for _, d := range g.messageDelays(g) {
		g.messages = append(g.messages, message{g.now + d, run})
	}
}

// runFor advances virtual time by span.
func (g *permitScenario) runFor(span time.Duration) {
	for end := g.now + span; g.now < end; g.now += tick {
		g.deliver()
		g.finishRequests()
		for _, name := range slices.Sorted(maps.Keys(g.holders)) {
			g.stepHolder(g.holders[name])
		}
		g.sendEngineReport()
		g.requireBound()
	}
}

func (g *permitScenario) deliver() {
	due := g.messages
	g.messages = nil
	for _, m := range due {
		if m.at > g.now {
			g.messages = append(g.messages, m)
			continue
		}
		m.deliver()
	}
}

func (g *permitScenario) finishRequests() {
	for _, id := range slices.Sorted(maps.Keys(g.running)) {
		if g.running[id] > g.now {
			continue
		}
		delete(g.running, id)
		g.served++
		for _, h := range g.holders {
			g.returnPermit(h, id)
		}
	}
}

// returnPermit releases a permit. The release is repeated until it is received, as
// routers do.
func (g *permitScenario) returnPermit(h *permitHolder, id string) {
	if !h.held[id] || h.dead {
		return
	}
	delete(h.held, id)
	g.release(h, id)
}

func (g *permitScenario) release(h *permitHolder, id string) {
	received := false
	g.send(func() { received = true; h.ledger.ReleaseBy(g.timestamp(), id, h.name) })
	g.messages = append(g.messages, message{g.now + time.Second, func() {
		if !received && !h.dead {
			g.release(h, id)
		}
	}})
}

func (g *permitScenario) stepHolder(h *permitHolder) {
	if h.dead || h.frozen {
		return
	}
	for n := g.load; n > 0; n-- {
		if g.rng.Float64() < n {
			g.request(h)
		}
	}
	if g.now%holdersEvery == 0 {
		g.reportHeldPermits(h)
	}
}

// request requests a permit, and sends the request to the engine if the reply arrives
// in time.
func (g *permitScenario) request(h *permitHolder) {
	g.next++
	id := fmt.Sprint(h.name, g.next)
	ledger, sent := h.ledger, g.now
	done := false
	g.send(func() {
		p, err := ledger.Acquire(g.timestamp(), permit.Request{ID: id, Holder: h.name, Weight: 1, PoolTotal: 1, PoolEngines: 1})
		if err != nil {
			g.send(func() { done = true })
			return
		}
		g.send(func() {
			if done || h.dead || h.frozen || g.now-sent > requestTimeout {
				return
			}
			done = true
			h.held[id] = true
			if p.Incarnation != g.incarnation {
				// The engine refuses requests for its previous incarnation.
				g.returnPermit(h, id)
				return
			}
			g.running[id] = g.now + requestTime
		})
	})
	g.messages = append(g.messages, message{sent + requestTimeout + tick, func() {
		if !done && !h.dead {
			done = true
			g.release(h, id)
		}
	}})
}

func (g *permitScenario) reportHeldPermits(h *permitHolder) {
	h.seq++
	r := permit.HolderReport{Holder: h.name, Seq: h.seq, Incarnation: g.incarnation}
	for id := range h.held {
		r.Held = append(r.Held, permit.HeldRequest{ID: id, Weight: 1})
	}
	ledger := h.ledger
	g.send(func() { ledger.ApplyHolderReport(g.timestamp(), r) })
}

// sendEngineReport reports the requests that the engine executes to the owners.
func (g *permitScenario) sendEngineReport() {
	if g.now%reportEvery != 0 {
		return
	}
	l := permit.EngineLoad{Incarnation: g.incarnation, Count: len(g.running), Weight: int64(len(g.running))}
	l.IDs = slices.Collect(maps.Keys(g.running))
	g.owner.ApplyEngineReport(g.timestamp(), l)
	if g.otherOwner != nil {
		g.otherOwner.ApplyEngineReport(g.timestamp(), l)
	}
}

func (g *permitScenario) requireBound() {
	g.peak = max(g.peak, len(g.running))
	bound := maxRunning
	if g.otherOwner != nil {
		bound = twoOwnerBound
	}
	require.LessOrEqual(g.t, len(g.running), bound, "at %v", g.now)
}

// restartEngine restarts the engine, which loses all requests.
func (g *permitScenario) restartEngine() {
	g.incarnation++
	clear(g.running)
	for _, h := range g.holders {
		for id := range h.held {
			g.returnPermit(h, id)
		}
	}
}

// changeOwner makes a new ledger the owner. Unless the old owner is dead, holder x still
// uses the old ledger.
func (g *permitScenario) changeOwner(dead bool) {
	old := g.owner
	g.owner = g.newLedger(slices.Collect(maps.Keys(g.holders)))
	for _, h := range g.holders {
		h.ledger = g.owner
	}
	if !dead {
		g.holders["x"].ledger = old
	}
	g.otherOwner = old
}

func delayBy(d time.Duration) func(*permitScenario) []time.Duration {
	return func(*permitScenario) []time.Duration { return []time.Duration{d} }
}

type permitCell struct {
	fault       faultkit.Fault
	step        faultkit.Step
	inject      func(g *permitScenario)
	heal        func(g *permitScenario)
	description string
}

var permitCells = []permitCell{
	{faultkit.Kill, faultkit.Permit, func(g *permitScenario) { g.holders["x"].dead = true; g.owner.MarkRouterDead(g.timestamp(), "x") }, nil, "holder killed; its permits are released by the engine's report"},
	{faultkit.Kill, faultkit.TakeOver, func(g *permitScenario) { g.changeOwner(true) }, nil, "owner killed; the next one starts with an empty book"},
	{faultkit.Freeze, faultkit.Permit, func(g *permitScenario) { g.holders["x"].frozen = true }, func(g *permitScenario) { g.holders["x"].frozen = false }, "holder frozen with its permits, later thawed"},
	{faultkit.CutBoth, faultkit.Permit, func(g *permitScenario) { g.messageDelays = loseShare(1) }, nil, "all messages lost"},
	{faultkit.CutOneWay, faultkit.Permit, func(g *permitScenario) { g.messageDelays = loseShare(0.5) }, nil, "half of the messages lost, in both directions"},
	{faultkit.Silent, faultkit.Permit, func(g *permitScenario) { g.messageDelays = loseShare(0.9) }, nil, "nine in ten messages lost"},
	{faultkit.ReplyLost, faultkit.Permit, func(g *permitScenario) { g.messageDelays = loseShare(0.3) }, nil, "replies lost after the permit was granted"},
	{faultkit.ReplyLate, faultkit.Permit, func(g *permitScenario) { g.messageDelays = delayBy(300 * time.Millisecond) }, nil, "replies later than the holder's timeout"},
	{faultkit.Duplicate, faultkit.Permit, func(g *permitScenario) {
		g.messageDelays = func(g *permitScenario) []time.Duration {
			return []time.Duration{time.Millisecond, time.Duration(g.rng.IntN(int(20 * time.Second)))}
		}
	}, nil, "each message delivered again within 20 s"},
	{faultkit.Reorder, faultkit.Permit, func(g *permitScenario) {
		g.messageDelays = func(g *permitScenario) []time.Duration {
			return []time.Duration{time.Duration(g.rng.IntN(int(time.Second)))}
		}
	}, nil, "messages out of order"},
	{faultkit.ViewsDiffer, faultkit.Permit, func(g *permitScenario) { g.changeOwner(false) }, func(g *permitScenario) { g.holders["x"].ledger = g.owner }, "two routers consider themselves the owner; together they stay within one and a half bounds"},
	{faultkit.Flap, faultkit.Permit, (*permitScenario).restartEngine, nil, "engine restarts; its book starts empty"},
	{faultkit.Surge, faultkit.Permit, func(g *permitScenario) { g.load = 4 }, func(g *permitScenario) { g.load = 0.4 }, "ten times the requests"},
	{faultkit.AddressReused, faultkit.Permit, (*permitScenario).restartEngine, nil, "another incarnation at the address"},
	{faultkit.DuplicateKill, faultkit.Permit, func(g *permitScenario) {
		g.holders["x"].dead = true
		g.owner.MarkRouterDead(g.timestamp(), "x")
		g.messageDelays = func(g *permitScenario) []time.Duration { return []time.Duration{time.Millisecond, 5 * time.Second} }
	}, nil, "holder killed while copies of its messages are under way"},
}

func loseShare(share float64) func(*permitScenario) []time.Duration {
	return func(g *permitScenario) []time.Duration {
		if g.rng.Float64() < share {
			return nil
		}
		return []time.Duration{time.Millisecond}
	}
}

func permitTests() cellTests {
	tests := cellTests{}
	for _, c := range permitCells {
		tests.add(c.fault, c.step, cellTest{
			guarantees:  []faultkit.Guarantee{faultkit.LoadBound},
			description: "permits: " + c.description,
			run: func(t *testing.T) {
				for seed := range uint64(5) {
					runPermits(t, c, seed)
				}
			},
		})
	}
	return tests
}

// runPermits guards against a count that follows messages instead of the requests that
// the engine executes: the engine would exceed its bound, or would get nothing in the end although
// it is idle.
func runPermits(t *testing.T, c permitCell, seed uint64) {
	g := newPermitScenario(t, seed)
	// The fault is injected just after a report of the engine, so that the next report
	// is as far away as possible.
	g.runFor(20*time.Second + tick)
	require.Positive(t, g.served)
	c.inject(g)
	g.runFor(time.Minute)
	g.messageDelays = delayBy(time.Millisecond)
	if c.heal != nil {
		c.heal(g)
	}
	g.runFor(time.Minute)
	g.load = 0
	g.runFor(settleTime)
	require.Zero(t, g.owner.Granted().Count, "all permits are released")
	served := g.served
	g.load = 0.4
	g.runFor(20 * time.Second)
	require.Greater(t, g.served, served, "the engine gets requests again")
}
