// Package admission joins placement, permits and queues into one question
// that a request asks: which engine may I use, and when?
//
// For each pool and region there is a lane: the queue of requests that wait
// here, and what is known of the engines' loads. The exact count of an engine
// is kept by its owner, one router that all find alike without messages; the Keeper
// holds the books of the engines that this router owns, and other routers ask
// for permits over RPC. Callers are told to connect to the owner of their
// chat's preferred engine, so most permits cost no message.
package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// Request is what admission needs to know of a request.
type Request struct {
	// ID names this attempt. It is unique across the fleet and never used
	// again; the engine reports its unfinished work by it.
	ID string
	// Account is the client account, for fairness in the queue.
	Account *config.Account
	Class   queue.Class
	// Pools are the pools that can serve the request, in order of preference.
	Pools []*config.Pool
	// Deadline is when the caller stops waiting; zero for no limit of its own.
	Deadline time.Time
	// Adapter says that the request needs an adapter of the pool.
	Adapter bool
	// Place describes the request to placement.
	Place placement.Request
	// Avoid lists engines that have already failed this request.
	Avoid []uint64
}

// Grant is the right to send one request to one engine.
type Grant struct {
	// ID is the request's, and the permit's.
	ID     string
	Engine board.Engine
	// Incarnation is the engine's, as its owner last saw it; 0 if unknown.
	Incarnation uint64
	Decision    placement.Decision
	// Waited is the time spent in the queue.
	Waited time.Duration

	a    *Admission
	once sync.Once
}

// Release gives the permit back; only the first call of Release or GiveUp has
// an effect.
func (g *Grant) Release() {
	g.once.Do(func() { g.a.releaseHeld(g.ID) })
}

// GiveUp ends the permit of a stream whose caller is gone. It reports whether
// the permit was still this router's: the caller may have taken its stream up
// at another router, where it goes on.
func (g *Grant) GiveUp(ctx context.Context) (mine bool) {
	g.once.Do(func() { mine = g.a.giveUp(ctx, g.ID) })
	return mine
}

const (
	// DefaultMaxWait bounds the wait of a request that names no deadline.
	DefaultMaxWait = 30 * time.Second
	// DefaultCallTimeout bounds one question for a permit.
	DefaultCallTimeout = 400 * time.Millisecond
	// maxPlacements bounds the engines asked for one placement, so that a
	// request is queued rather than chasing loads that change under it.
	maxPlacements = 3
	// noEngineRetry is suggested while a pool has no engine in service.
	noEngineRetry = 2 * time.Second
)

// Options configures an Admission.
type Options struct {
	Board *board.Board
	// Caller reaches the owners of other engines.
	Caller *peer.Caller
	// Self is this router's name; Instance tells its restarts apart.
	Self     string
	Instance uint64
	Policy   placement.Policy
	// NewStrategy makes the placement strategy of a lane; nil for the picker
	// over Policy. Experiments put the baselines here.
	NewStrategy func(*rand.Rand) placement.Strategy
	// Rand seeds the lanes' random sources.
	Rand *rand.Rand
	// MaxWait bounds the wait of requests without a deadline.
	MaxWait time.Duration
	// CallTimeout bounds one question for a permit.
	CallTimeout time.Duration
}

// Admission grants engines to requests. It is safe for concurrent use.
type Admission struct {
	opts    Options
	holder  string
	keeper  *Keeper
	held    *heldPermits
	outbox  *outbox
	health  *health
	moves   *moves
	Metrics Metrics

	mu    sync.Mutex
	lanes map[laneKey]*lane
	rng   *rand.Rand

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns an Admission. Close ends its goroutines.
func New(o Options) *Admission {
	if o.MaxWait <= 0 {
		o.MaxWait = DefaultMaxWait
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Policy == (placement.Policy{}) {
		o.Policy = placement.DefaultPolicy()
	}
	a := &Admission{opts: o, holder: board.HolderName(o.Self, o.Instance), lanes: make(map[laneKey]*lane), rng: o.Rand}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.keeper = newKeeper(a)
	a.held = newHeldPermits()
	a.outbox = newOutbox(a)
	a.health = newHealth()
	a.moves = newMoves()
	return a
}

// Close ends the goroutines; waiting requests are refused.
func (a *Admission) Close() {
	a.stop()
	a.wg.Wait()
}

// Admit waits for a grant. Its errors are *apierr.Error, and each means that
// nothing was sent.
func (a *Admission) Admit(ctx context.Context, req *Request) (*Grant, error) {
	snap := a.opts.Board.Snapshot()
	now := time.Now()
	var waitIn *lane
	var last error
	for _, p := range req.Pools {
		l := a.laneFor(snap, p)
		if l == nil {
			continue
		}
		g, err := l.enter(ctx, now, req)
		if err == nil {
			a.Metrics.Granted.Add(1)
			return g, nil
		}
		if waitIn == nil && errors.Is(err, placement.ErrFull) {
			waitIn = l
		}
		last = err
	}
	if waitIn == nil {
		a.Metrics.NoEngine.Add(1)
		return nil, noEngine(last)
	}
	return waitIn.wait(ctx, now, req)
}

func noEngine(cause error) *apierr.Error {
	return apierr.New(apierr.CodeNoUpstream, http.StatusServiceUnavailable, "no engine in service can take the request").
		WithRetryAfter(noEngineRetry).WithCause(cause)
}

// laneFor finds or makes the lane of a pool in this router's region.
func (a *Admission) laneFor(snap *board.Snapshot, p *config.Pool) *lane {
	key := laneKey{pool: p.Name, region: snap.Config.Site.Region}
	if snap.Group(key.pool, key.region) == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.laneLocked(key, p)
}

func (a *Admission) laneLocked(key laneKey, p *config.Pool) *lane {
	l := a.lanes[key]
	if l == nil {
		rng := rand.New(rand.NewPCG(a.rng.Uint64(), a.rng.Uint64()))
		l = newLane(a, key, rng)
		a.lanes[key] = l
		a.wg.Add(1)
		go l.run()
	}
	l.setPool(p)
	return l
}

// lane finds an existing lane.
func (a *Admission) lane(key laneKey) *lane {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lanes[key]
}

// laneOf finds or makes the lane of an engine, for its owner.
func (a *Admission) laneOf(snap *board.Snapshot, e *board.Engine) *lane {
	if snap.Config == nil {
		return nil
	}
	p, ok := snap.Config.Pool(e.Pool)
	if !ok {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.laneLocked(laneKey{pool: e.Pool, region: e.Region}, p)
}

func (a *Admission) allLanes() []*lane {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*lane, 0, len(a.lanes))
	for _, l := range a.lanes {
		out = append(out, l)
	}
	return out
}

// Sync takes in a new snapshot: books are opened for engines that this router
// now owns, and closed for those that it no longer does. Waiting requests get
// another chance.
func (a *Admission) Sync(snap *board.Snapshot) {
	now := time.Now()
	a.keeper.sync(now, snap)
	a.health.sync(now, snap)
	a.moves.note(snap)
	for _, l := range a.allLanes() {
		l.prune(snap)
		l.wake()
	}
}

// full is the local form of an owner's refusal.
func full(err error) error {
	var f *permit.FullError
	if errors.As(err, &f) {
		return &placement.RefusedError{Cause: placement.ErrFull}
	}
	return err
}
