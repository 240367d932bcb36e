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

type groupKey struct{ pool, region string }

// loadRecord is the last known load of an engine, as reported by its owner.
type loadRecord struct {
	EngineLoad
	updatedAt time.Time
	// deniedUntil is when a permit may be requested again after the owner
	// denied one.
	deniedUntil time.Time
}

// denialBackoff is how long no permit is requested for an engine after its
// owner denied one, unless the owner reports a lower load. Without this delay,
// a waiting request would send a permit request each time the scheduler wakes
// up, and permit requests would outnumber permits.
const denialBackoff = 250 * time.Millisecond

// scheduler places the requests of one pool in one region at this router.
type scheduler struct {
	a   *Admission
	key groupKey

	mu       sync.Mutex
	pool     *config.Pool
	strategy placement.Strategy
	queue    *queue.Queue
	// head is the request taken from the queue that has not found a free engine
	// yet.
	head *waiter
	// loads are the last loads reported by the engines' owners.
	loads map[uint64]loadRecord
	// reported are the loads of this router's own engines that it last sent to
	// others.
	reported map[uint64]EngineLoad
	// digestRound counts the digest rounds, and rng selects their recipients.
	digestRound uint32
	rng         *rand.Rand
	// subscribers are the routers that requested permits recently, with the
	// time until which they receive load changes.
	subscribers map[string]time.Time
	// scratch is reused by every placement.
	scratch placement.Pool
	// hiddenRunning holds the engines' actual values of Running while
	// hideUnowned is in effect.
	hiddenRunning []int
	wakeup        chan struct{}
}

func newScheduler(a *Admission, key groupKey, rng *rand.Rand) *scheduler {
	var strategy placement.Strategy = placement.NewPicker(a.opts.Policy, rng)
	if a.opts.NewStrategy != nil {
		strategy = a.opts.NewStrategy(rng)
	}
	return &scheduler{
		a:           a,
		key:         key,
		strategy:    strategy,
		loads:       make(map[uint64]loadRecord),
		reported:    make(map[uint64]EngineLoad),
		subscribers: make(map[string]time.Time),
		wakeup:      make(chan struct{}, 1),
		rng:         rng,
		queue:       queue.New(queue.Config{Rand: rng}),
	}
}

// setPool sets the pool's active configuration.
func (s *scheduler) setPool(p *config.Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool = p
}

// prune drops the loads of engines that are no longer in the snapshot.
func (s *scheduler) prune(snap *board.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := func(id uint64) bool {
		_, ok := snap.EngineByID(id)
		return !ok
	}
	maps.DeleteFunc(s.loads, func(id uint64, _ loadRecord) bool { return removed(id) })
	maps.DeleteFunc(s.reported, func(id uint64, _ EngineLoad) bool { return removed(id) })
}

func (s *scheduler) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// tryPlace places a request without queueing it. It fails with
// placement.ErrFull while other requests wait, since new requests could starve
// them.
func (s *scheduler) tryPlace(ctx context.Context, now time.Time, req *Request) (*Grant, error) {
	s.mu.Lock()
	waiting := s.waiting()
	s.mu.Unlock()
	if waiting > 0 {
		return nil, placement.ErrFull
	}
	return s.place(ctx, now, req)
}

// place selects an engine and acquires its permit. If an owner denies the
// permit on newer information, place tries another engine, up to
// maxPlacementAttempts.
func (s *scheduler) place(ctx context.Context, now time.Time, req *Request) (*Grant, error) {
	excluded := slices.Clone(req.Excluded)
	for range maxPlacementAttempts {
		c, err := s.selectEngine(now, req, excluded)
		if err != nil {
			return nil, err
		}
		if c.grant != nil {
			return c.grant, nil
		}
		g, err := s.requestPermit(ctx, c, req)
		if err == nil {
			return g, nil
		}
		if ctx.Err() != nil {
			return nil, placement.ErrFull
		}
		if !errors.Is(err, placement.ErrFull) {
			// The owner can't be reached or doesn't own the engine.
			excluded = append(excluded, c.engine.ID)
		}
	}
	return nil, placement.ErrFull
}

// selection is a selected engine. If this router owns the engine, it includes
// the grant.
type selection struct {
	grant       *Grant
	engine      board.Engine
	owner       board.Router
	decision    placement.Decision
	incarnation uint64
}

func (s *scheduler) selectEngine(now time.Time, req *Request, excluded []uint64) (selection, error) {
	snap := s.a.opts.Board.Snapshot()
	group := snap.Group(s.key.pool, s.key.region)
	if group == nil {
		return selection{}, placement.ErrNoEngine
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.poolView(now, snap, group, req.Adapter, excluded)
	d, err := s.pick(pool, snap, group, req)
	if err != nil {
		return selection{}, err
	}
	c := selection{engine: group.Engines[d.Index], decision: d, incarnation: pool.Engines[d.Index].Incarnation}
	if group.Owners[d.Index] < 0 {
		return selection{}, placement.ErrNoEngine
	}
	c.owner = snap.Routers[group.Owners[d.Index]]
	if c.owner.Name != snap.Self {
		return c, nil
	}
	p, err := s.acquireOwned(now, pool, d.Index, permit.Request{ID: req.ID, Holder: s.a.holder, Weight: d.Weight})
	if err != nil {
		return selection{}, placementError(err)
	}
	c.grant = s.newGrant(req.ID, c, p.Incarnation)
	return c, nil
}

// pick calls the placement strategy. A request without a chat has no preferred
// engine, so engines that this router owns are tried first: as long as one is
// within the load bound, its permit needs no message.
func (s *scheduler) pick(pool *placement.Pool, snap *board.Snapshot, group *board.Group, req *Request) (placement.Decision, error) {
	if req.Place.Chat != 0 || !s.hideUnowned(pool, snap, group) {
		return s.strategy.Pick(pool, &req.Place)
	}
	d, err := s.strategy.Pick(pool, &req.Place)
	s.restoreHidden(pool)
	if err == nil && !d.OverBound {
		return d, nil
	}
	return s.strategy.Pick(pool, &req.Place)
}

// hideUnowned marks the engines of other owners as full, so that they count in
// the pool's mean load but aren't selected. It reports whether this router owns
// any engine of the pool, and changes nothing otherwise.
func (s *scheduler) hideUnowned(pool *placement.Pool, snap *board.Snapshot, group *board.Group) bool {
	s.hiddenRunning = s.hiddenRunning[:0]
	anyOwned := false
	for i := range pool.Engines {
		e := &pool.Engines[i]
		s.hiddenRunning = append(s.hiddenRunning, e.Running)
		if o := group.Owners[i]; o >= 0 && snap.Routers[o].Name == snap.Self {
			anyOwned = true
			continue
		}
		e.Running = max(e.Running, e.MaxBatch)
	}
	if !anyOwned {
		s.restoreHidden(pool)
	}
	return anyOwned
}

func (s *scheduler) restoreHidden(pool *placement.Pool) {
	for i, running := range s.hiddenRunning {
		pool.Engines[i].Running = running
	}
}

// poolView returns the engines' state for placement; the caller holds s.mu. The
// result is valid until the next call.
func (s *scheduler) poolView(now time.Time, snap *board.Snapshot, group *board.Group, adapter bool, excluded []uint64) *placement.Pool {
	engines := s.scratch.Engines[:0]
	for i := range group.Engines {
		e := &group.Engines[i]
		p := s.engineView(now, e, adapter)
		if len(excluded) > 0 && slices.Contains(excluded, e.ID) {
			p.Ejected = true
		}
		engines = append(engines, p)
	}
	s.scratch.Engines = engines
	s.scratch.Bound = s.pool.LoadBound
	return &s.scratch
}

func (s *scheduler) engineView(now time.Time, e *board.Engine, adapter bool) placement.Engine {
	out := placement.Engine{ID: e.ID, Leaving: e.Leaving, Loaded: true, MaxBatch: s.pool.MaxBatch, Ramp: 1}
	k, known := s.loads[e.ID]
	if known {
		out.Incarnation = k.Incarnation
		out.Leaving = out.Leaving || k.Draining()
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
	if load, ok := s.a.ledgers.load(now, e.ID); ok {
		out.Load = load.Weight
		out.Running = load.Count
		if !known {
			// The owner grants no permit before the engine has reported.
			out.MaxBatch = 0
		}
	}
	out.Ejected, out.Ramp = s.a.health.state(now, e)
	if admitted, _ := s.a.pauses.admits(now, e.ID, out.Incarnation); !admitted {
		out.Ejected = true
	}
	return out
}

// acquireOwned acquires a permit of an engine that this router owns; the caller
// holds s.mu. The bound is checked against the owner's exact count, whatever
// load the requesting router assumed.
func (s *scheduler) acquireOwned(now time.Time, pool *placement.Pool, i int, r permit.Request) (permit.Permit, error) {
	e := &pool.Engines[i]
	poolLoad := placement.SumLoad(pool.Engines)
	overBound, err := placement.Admit(e, r.Weight, poolLoad, pool.Bound)
	if err != nil {
		return permit.Permit{}, err
	}
	r.PoolTotal = poolLoad.Total
	r.PoolEngines = poolLoad.N
	r.LeastLoaded = overBound
	p, err := s.a.ledgers.acquire(now, e.ID, pool.Bound, r)
	if err == nil && overBound {
		s.a.Metrics.Lumps.Add(1)
	}
	return p, err
}

// newGrant records a granted permit as held and returns the grant.
func (s *scheduler) newGrant(id string, c selection, incarnation uint64) *Grant {
	if incarnation == 0 {
		incarnation = c.incarnation
	}
	h := heldPermit{
		engine:      c.engine.ID,
		name:        c.engine.Name,
		weight:      c.decision.Weight,
		incarnation: incarnation,
		group:       s.key,
	}
	s.a.held.add(id, h)
	s.a.Metrics.Selected[c.decision.Reason].Add(1)
	return &Grant{
		ID: id, Engine: c.engine, Incarnation: incarnation, Decision: c.decision, a: s.a,
		returning: s.a.pauses.start(c.engine.ID, incarnation),
	}
}
