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

// grants is a scenario: three routers ask the owner of one engine for permits
// over a network that fails, and send what they are granted. The engine counts
// what it runs; the owner's book is judged by that count.
type grants struct {
	t   *testing.T
	rng *rand.Rand
	now time.Duration
	// owner is the book that holders ask; rival is that of a router which
	// takes itself for the owner too.
	owner, rival *permit.Book
	holders      map[string]*grantHolder
	mail         []letter
	// running is the engine's own list, with the end of each request.
	running     map[string]time.Duration
	incarnation uint64
	next        int
	worst       int
	served      int

	// carry decides what becomes of a message: the delays of its copies.
	carry func(m *grants) []time.Duration
	// load is how many requests each holder starts in a tick, on average.
	load float64
}

// grantHolder is a router that asks for permits.
type grantHolder struct {
	name   string
	held   map[string]bool
	seq    uint64
	frozen bool
	dead   bool
	asks   *permit.Book
}

// letter is a message under way.
type letter struct {
	at  time.Duration
	run func()
}

const (
	grantTick    = 50 * time.Millisecond
	maxRunning   = 20
	requestTime  = 2 * time.Second
	reportEvery  = time.Second
	holdersEvery = 5 * time.Second
	// calm is the time that every late message and every time limit of the
	// book fit into.
	calm = 10 * time.Minute
	// askTimeout is how long a holder waits before it gives a permit back
	// that it may have been granted.
	askTimeout = 400 * time.Millisecond
	// twoOwners is how far two books may go together: one whole bound, and
	// half of it while the new one warms up.
	twoOwners = maxRunning * 3 / 2
)

var grantEpoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newGrants(t *testing.T, seed uint64) *grants {
	g := &grants{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), holders: make(map[string]*grantHolder),
		running: make(map[string]time.Duration), incarnation: 1, load: 0.4,
		carry: func(*grants) []time.Duration { return []time.Duration{time.Millisecond} },
	}
	g.owner = g.newBook(nil)
	for _, name := range []string{"x", "y", "z"} {
		g.holders[name] = &grantHolder{name: name, held: make(map[string]bool), asks: g.owner}
	}
	return g
}

func (g *grants) newBook(live []string) *permit.Book {
	cfg := permit.Config{MaxBatch: maxRunning, Admit: func(int64, int64, int64, int, float64) bool { return true }}
	return permit.NewBook(g.at(), cfg, g.incarnation, live)
}

func (g *grants) at() time.Time { return grantEpoch.Add(g.now) }

// send puts a message on the network.
func (g *grants) send(run func()) {
	for _, d := range g.carry(g) {
		g.mail = append(g.mail, letter{g.now + d, run})
	}
}

// run lets virtual time pass.
func (g *grants) run(span time.Duration) {
	for end := g.now + span; g.now < end; g.now += grantTick {
		g.deliver()
		g.finish()
		for _, name := range slices.Sorted(maps.Keys(g.holders)) {
			g.holder(g.holders[name])
		}
		g.reports()
		g.check()
	}
}

func (g *grants) deliver() {
	due := g.mail
	g.mail = nil
	for _, m := range due {
		if m.at > g.now {
			g.mail = append(g.mail, m)
			continue
		}
		m.run()
	}
}

func (g *grants) finish() {
	for _, id := range slices.Sorted(maps.Keys(g.running)) {
		if g.running[id] > g.now {
			continue
		}
		delete(g.running, id)
		g.served++
		for _, h := range g.holders {
			g.giveBack(h, id)
		}
	}
}

// giveBack repeats the release until it is received, as routers do.
func (g *grants) giveBack(h *grantHolder, id string) {
	if !h.held[id] || h.dead {
		return
	}
	delete(h.held, id)
	g.release(h, id)
}

func (g *grants) release(h *grantHolder, id string) {
	received := false
	g.send(func() { received = true; h.asks.ReleaseBy(g.at(), id, h.name) })
	g.mail = append(g.mail, letter{g.now + time.Second, func() {
		if !received && !h.dead {
			g.release(h, id)
		}
	}})
}

func (g *grants) holder(h *grantHolder) {
	if h.dead || h.frozen {
		return
	}
	for n := g.load; n > 0; n-- {
		if g.rng.Float64() < n {
			g.ask(h)
		}
	}
	if g.now%holdersEvery == 0 {
		g.reportHoldings(h)
	}
}

// ask asks for a permit, and sends the request if the reply comes in time.
func (g *grants) ask(h *grantHolder) {
	g.next++
	id := fmt.Sprint(h.name, g.next)
	book, sent := h.asks, g.now
	settled := false
	g.send(func() {
		p, err := book.Acquire(g.at(), permit.Request{ID: id, Holder: h.name, Weight: 1, PoolTotal: 1, PoolN: 1})
		if err != nil {
			g.send(func() { settled = true })
			return
		}
		g.send(func() {
			if settled || h.dead || h.frozen || g.now-sent > askTimeout {
				return
			}
			settled = true
			h.held[id] = true
			if p.Incarnation != g.incarnation {
				// The engine refuses what is meant for its predecessor.
				g.giveBack(h, id)
				return
			}
			g.running[id] = g.now + requestTime
		})
	})
	g.mail = append(g.mail, letter{sent + askTimeout + grantTick, func() {
		if !settled && !h.dead {
			settled = true
			g.release(h, id)
		}
	}})
}

func (g *grants) reportHoldings(h *grantHolder) {
	h.seq++
	r := permit.HolderReport{Holder: h.name, Seq: h.seq, Incarnation: g.incarnation}
	for id := range h.held {
		r.Held = append(r.Held, permit.Held{ID: id, Weight: 1})
	}
	book := h.asks
	g.send(func() { book.Holdings(g.at(), r) })
}

// reports brings the engine's own list to the owners.
func (g *grants) reports() {
	if g.now%reportEvery != 0 {
		return
	}
	l := permit.EngineLoad{Incarnation: g.incarnation, Count: len(g.running), Weight: int64(len(g.running))}
	l.IDs = slices.Collect(maps.Keys(g.running))
	g.owner.EngineReport(g.at(), l)
	if g.rival != nil {
		g.rival.EngineReport(g.at(), l)
	}
}

func (g *grants) check() {
	g.worst = max(g.worst, len(g.running))
	bound := maxRunning
	if g.rival != nil {
		bound = twoOwners
	}
	require.LessOrEqual(g.t, len(g.running), bound, "at %v", g.now)
}

// restart lets the engine come back with nothing.
func (g *grants) restart() {
	g.incarnation++
	clear(g.running)
	for _, h := range g.holders {
		for id := range h.held {
			g.giveBack(h, id)
		}
	}
}

// succeed makes a new router the owner; the old one is gone if it is dead.
func (g *grants) succeed(dead bool) {
	old := g.owner
	g.owner = g.newBook(slices.Collect(maps.Keys(g.holders)))
	for _, h := range g.holders {
		h.asks = g.owner
	}
	if !dead {
		g.holders["x"].asks = old
	}
	g.rival = old
}

func after(d time.Duration) func(*grants) []time.Duration {
	return func(*grants) []time.Duration { return []time.Duration{d} }
}

type grantCell struct {
	fault  faultkit.Fault
	step   faultkit.Step
	strike func(g *grants)
	heal   func(g *grants)
	does   string
}

var grantCells = []grantCell{
	{faultkit.Kill, faultkit.Permit, func(g *grants) { g.holders["x"].dead = true; g.owner.RouterDead(g.at(), "x") }, nil, "holder killed; its permits end by the engine's report"},
	{faultkit.Kill, faultkit.TakeOver, func(g *grants) { g.succeed(true) }, nil, "owner killed; the next one starts with an empty book"},
	{faultkit.Freeze, faultkit.Permit, func(g *grants) { g.holders["x"].frozen = true }, func(g *grants) { g.holders["x"].frozen = false }, "holder frozen with its permits, later thawed"},
	{faultkit.CutBoth, faultkit.Permit, func(g *grants) { g.carry = lostShare(1) }, nil, "no message gets through"},
	{faultkit.CutOneWay, faultkit.Permit, func(g *grants) { g.carry = lostShare(0.5) }, nil, "half of the messages lost, whichever way"},
	{faultkit.Silent, faultkit.Permit, func(g *grants) { g.carry = lostShare(0.9) }, nil, "nine messages in ten lost"},
	{faultkit.ReplyLost, faultkit.Permit, func(g *grants) { g.carry = lostShare(0.3) }, nil, "replies lost after the permit was granted"},
	{faultkit.ReplyLate, faultkit.Permit, func(g *grants) { g.carry = after(300 * time.Millisecond) }, nil, "replies later than the holder waits"},
	{faultkit.Duplicate, faultkit.Permit, func(g *grants) {
		g.carry = func(g *grants) []time.Duration {
			return []time.Duration{time.Millisecond, time.Duration(g.rng.IntN(int(20 * time.Second)))}
		}
	}, nil, "each message delivered again within 20 s"},
	{faultkit.Reorder, faultkit.Permit, func(g *grants) {
		g.carry = func(g *grants) []time.Duration {
			return []time.Duration{time.Duration(g.rng.IntN(int(time.Second)))}
		}
	}, nil, "messages out of their order"},
	{faultkit.ViewsDiff, faultkit.Permit, func(g *grants) { g.succeed(false) }, func(g *grants) { g.holders["x"].asks = g.owner }, "two routers take themselves for the owner; together they stay within one and a half bounds"},
	{faultkit.Flap, faultkit.Permit, (*grants).restart, nil, "engine restarts; its book starts anew"},
	{faultkit.Surge, faultkit.Permit, func(g *grants) { g.load = 4 }, func(g *grants) { g.load = 0.4 }, "ten times the requests"},
	{faultkit.IPReused, faultkit.Permit, (*grants).restart, nil, "another incarnation at the address"},
	{faultkit.DupKill, faultkit.Permit, func(g *grants) {
		g.holders["x"].dead = true
		g.owner.RouterDead(g.at(), "x")
		g.carry = func(g *grants) []time.Duration { return []time.Duration{time.Millisecond, 5 * time.Second} }
	}, nil, "holder killed while copies of its messages are under way"},
}

func lostShare(share float64) func(*grants) []time.Duration {
	return func(g *grants) []time.Duration {
		if g.rng.Float64() < share {
			return nil
		}
		return []time.Duration{time.Millisecond}
	}
}

func grantProofs() proofs {
	p := proofs{}
	for _, c := range grantCells {
		p.add(c.fault, c.step, proof{
			promises: []faultkit.Promise{faultkit.LoadBound},
			does:     "permits: " + c.does,
			run: func(t *testing.T) {
				for seed := range uint64(5) {
					runGrants(t, c, seed)
				}
			},
		})
	}
	return p
}

// Symptom: the engine runs more than its bound, or in the end takes nothing
// although it is idle.
// Sequence: routers ask for permits at more than the engine can take; the fault
// strikes; it ends; the requests stop.
// Cause: the count follows messages and not what the engine runs.
func runGrants(t *testing.T, c grantCell, seed uint64) {
	g := newGrants(t, seed)
	// The fault strikes just after a report of the engine, so that the next one
	// is as far away as can be.
	g.run(20*time.Second + grantTick)
	require.Positive(t, g.served)
	c.strike(g)
	g.run(time.Minute)
	g.carry = after(time.Millisecond)
	if c.heal != nil {
		c.heal(g)
	}
	g.run(time.Minute)
	g.load = 0
	g.run(calm)
	require.Zero(t, g.owner.Own().Count, "no permit is left behind")
	served := g.served
	g.load = 0.4
	g.run(20 * time.Second)
	require.Greater(t, g.served, served, "the engine is used again")
}
