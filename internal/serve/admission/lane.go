package admission

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

type laneKey struct{ pool, region string }

// known is what this router knows of an engine's load from its owner.
type known struct {
	EngineLoad
	at time.Time
	// deniedUntil is when the owner may be asked again after it refused.
	deniedUntil time.Time
}

// denial is how long an owner that refused is not asked again, unless it tells
// of less load. Without it a waiting request would ask at every event, and the
// questions would outnumber the permits.
const denial = 250 * time.Millisecond

// lane is one pool in one region, as this router sees it.
type lane struct {
	a   *Admission
	key laneKey

	mu       sync.Mutex
	pool     *config.Pool
	strategy placement.Strategy
	queue    *queue.Queue
	// head is a request that was taken from the queue and found no room yet.
	head *waiter
	// loads is what the owners of the engines said last.
	loads map[uint64]known
	// told is what this router told the others last, of its own engines.
	told map[uint64]EngineLoad
	// round counts the rounds of digests, and rng draws their receivers.
	round uint32
	rng   *rand.Rand
	// subs are the routers that asked for permits lately, and until when they
	// are told of load changes.
	subs map[string]time.Time
	// scratch is reused by every decision.
	scratch placement.Pool
	// hidden keeps the engines' counts while hideOthers is in effect.
	hidden []int
	woken  chan struct{}
}

func newLane(a *Admission, key laneKey, rng *rand.Rand) *lane {
	var s placement.Strategy = placement.NewPicker(a.opts.Policy, rng)
	if a.opts.NewStrategy != nil {
		s = a.opts.NewStrategy(rng)
	}
	return &lane{
		a:        a,
		key:      key,
		strategy: s,
		loads:    make(map[uint64]known),
		told:     make(map[uint64]EngineLoad),
		subs:     make(map[string]time.Time),
		woken:    make(chan struct{}, 1),
		rng:      rng,
		queue:    queue.New(queue.Config{Rand: rng}),
	}
}

// setPool takes over the configuration in force.
func (l *lane) setPool(p *config.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool = p
}

// prune forgets the loads of engines that are gone.
func (l *lane) prune(snap *board.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := func(id uint64) bool {
		_, ok := snap.EngineByID(id)
		return !ok
	}
	maps.DeleteFunc(l.loads, func(id uint64, _ known) bool { return gone(id) })
	maps.DeleteFunc(l.told, func(id uint64, _ EngineLoad) bool { return gone(id) })
}

func (l *lane) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// enter places a request at once, unless others have been waiting: a newcomer
// that slipped in before them could starve them.
func (l *lane) enter(ctx context.Context, now time.Time, req *Request) (*Grant, error) {
	l.mu.Lock()
	waiting := l.waiting()
	l.mu.Unlock()
	if waiting > 0 {
		return nil, placement.ErrFull
	}
	return l.place(ctx, now, req)
}

// place picks an engine and gets its permit. It tries another engine while
// owners refuse on fresher knowledge than this router had.
func (l *lane) place(ctx context.Context, now time.Time, req *Request) (*Grant, error) {
	avoid := slices.Clone(req.Avoid)
	for range maxPlacements {
		c, err := l.choose(now, req, avoid)
		if err != nil {
			return nil, err
		}
		if c.grant != nil {
			return c.grant, nil
		}
		g, err := l.ask(ctx, c, req)
		if err == nil {
			return g, nil
		}
		if ctx.Err() != nil {
			return nil, placement.ErrFull
		}
		if !errors.Is(err, placement.ErrFull) {
			// The owner can't be reached or doesn't know the engine.
			avoid = append(avoid, c.engine.ID)
		}
	}
	return nil, placement.ErrFull
}

// choice is an engine that has been picked and, where this router owns it,
// the grant.
type choice struct {
	grant    *Grant
	engine   board.Engine
	owner    board.Router
	decision placement.Decision
	inc      uint64
}

func (l *lane) choose(now time.Time, req *Request, avoid []uint64) (choice, error) {
	snap := l.a.opts.Board.Snapshot()
	group := snap.Group(l.key.pool, l.key.region)
	if group == nil {
		return choice{}, placement.ErrNoEngine
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.view(now, snap, group, req.Adapter, avoid)
	d, err := l.pick(pool, snap, group, req)
	if err != nil {
		return choice{}, err
	}
	c := choice{engine: group.Engines[d.Index], decision: d, inc: pool.Engines[d.Index].Incarnation}
	if group.Owners[d.Index] < 0 {
		return choice{}, placement.ErrNoEngine
	}
	c.owner = snap.Routers[group.Owners[d.Index]]
	if c.owner.Name != snap.Self {
		return c, nil
	}
	p, err := l.acquire(now, pool, d.Index, permit.Request{ID: req.ID, Holder: l.a.holder, Weight: d.Weight})
	if err != nil {
		return choice{}, full(err)
	}
	c.grant = l.grant(req.ID, c, p.Incarnation)
	return c, nil
}

// pick asks the strategy. A request without a chat has no engine of its own, so
// one that this router owns will do as well as any while it is within the
// bound, and its permit costs no message.
func (l *lane) pick(pool *placement.Pool, snap *board.Snapshot, group *board.Group, req *Request) (placement.Decision, error) {
	if req.Place.Chat != 0 || !l.hideOthers(pool, snap, group) {
		return l.strategy.Pick(pool, &req.Place)
	}
	d, err := l.strategy.Pick(pool, &req.Place)
	l.showOthers(pool)
	if err == nil && !d.Lump {
		return d, nil
	}
	return l.strategy.Pick(pool, &req.Place)
}

// hideOthers makes the engines of other owners look full, so that they count
// in the pool's mean but are not picked. It reports whether any is left.
func (l *lane) hideOthers(pool *placement.Pool, snap *board.Snapshot, group *board.Group) bool {
	l.hidden = l.hidden[:0]
	own := false
	for i := range pool.Engines {
		e := &pool.Engines[i]
		l.hidden = append(l.hidden, e.Running)
		if o := group.Owners[i]; o >= 0 && snap.Routers[o].Name == snap.Self {
			own = true
			continue
		}
		e.Running = max(e.Running, e.MaxBatch)
	}
	if !own {
		l.showOthers(pool)
	}
	return own
}

func (l *lane) showOthers(pool *placement.Pool) {
	for i, running := range l.hidden {
		pool.Engines[i].Running = running
	}
}

// view describes the engines to placement; the caller holds l.mu.
func (l *lane) view(now time.Time, snap *board.Snapshot, group *board.Group, adapter bool, avoid []uint64) *placement.Pool {
	engines := l.scratch.Engines[:0]
	for i := range group.Engines {
		e := &group.Engines[i]
		p := l.describe(now, e, adapter)
		if len(avoid) > 0 && slices.Contains(avoid, e.ID) {
			p.Ejected = true
		}
		engines = append(engines, p)
	}
	l.scratch.Engines = engines
	l.scratch.Bound = l.pool.LoadBound
	return &l.scratch
}

func (l *lane) describe(now time.Time, e *board.Engine, adapter bool) placement.Engine {
	out := placement.Engine{ID: e.ID, Leaving: e.Leaving, Loaded: true, MaxBatch: l.pool.MaxBatch, Ramp: 1}
	k, heard := l.loads[e.ID]
	if heard {
		out.Incarnation = k.Incarnation
		out.Leaving = out.Leaving || k.Leaving()
		out.Loaded = k.Serves(adapter)
		out.Load = k.Weight
		out.Running = int(k.Count)
		if k.MaxBatch > 0 {
			out.MaxBatch = min(out.MaxBatch, int(k.MaxBatch))
		}
	}
	if now.Before(k.deniedUntil) {
		out.Running = max(out.Running, out.MaxBatch)
	}
	if load, ok := l.a.keeper.load(now, e.ID); ok {
		out.Load = load.Weight
		out.Running = load.Count
		if !heard {
			// The owner gives out nothing before the engine has reported.
			out.MaxBatch = 0
		}
	}
	out.Ejected, out.Ramp = l.a.health.state(now, e)
	return out
}

// acquire asks this router's own book; the caller holds l.mu. The bound is
// checked against the owner's exact count, whatever the asking router thought.
func (l *lane) acquire(now time.Time, pool *placement.Pool, i int, r permit.Request) (permit.Permit, error) {
	e := &pool.Engines[i]
	census := placement.TakeCensus(pool.Engines)
	lump, err := placement.Admit(e, r.Weight, census, pool.Bound)
	if err != nil {
		return permit.Permit{}, err
	}
	r.PoolTotal = census.Total
	r.PoolN = census.N
	r.LeastLoaded = lump
	p, err := l.a.keeper.acquire(now, e.ID, pool.Bound, r)
	if err == nil && lump {
		l.a.Metrics.Lumps.Add(1)
	}
	return p, err
}

// grant builds the right to use an engine whose permit has been given.
func (l *lane) grant(id string, c choice, incarnation uint64) *Grant {
	if incarnation == 0 {
		incarnation = c.inc
	}
	h := held{
		engine:      c.engine.ID,
		name:        c.engine.Name,
		weight:      c.decision.Weight,
		incarnation: incarnation,
		lane:        l.key,
	}
	l.a.held.add(id, h)
	l.a.Metrics.Chosen[c.decision.Reason].Add(1)
	return &Grant{ID: id, Engine: c.engine, Incarnation: incarnation, Decision: c.decision, a: l.a}
}
