// Package admission decides which engine a request may use, and when. It
// combines placement, permits and queues.
//
// A scheduler for each pool and region holds the queue of requests that wait at
// this router and the last known loads of the engines. The exact count of an
// engine's unfinished requests is kept by the engine's owner: one router, which
// all routers derive from the same view of the fleet without exchanging
// messages. Type permitLedgers holds the counts of the engines that this router
// owns; other routers request permits over RPC. Callers are directed to the
// owner of their chat's preferred engine, so most permits need no message.
package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/backoff"
	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// Request describes a request to be admitted.
type Request struct {
	// ID identifies this attempt. It is unique across the fleet and never
	// reused; engines list their unfinished requests by it.
	ID string
	// Account is the client account, which the queue needs for fairness.
	Account *config.Account
	Class   queue.Class
	// Pools are the pools that can serve the request, in order of preference.
	Pools []*config.Pool
	// Deadline is when the caller stops waiting; zero if the caller set none.
	Deadline time.Time
	// Adapter reports whether the request needs an adapter of the pool.
	Adapter bool
	// Place describes the request to placement.
	Place placement.Request
	// Excluded lists the IDs of engines that have already failed this request.
	Excluded []uint64
}

// Grant is the right to send one request to one engine.
type Grant struct {
	// ID identifies both the request and its permit.
	ID     string
	Engine board.Engine
	// Incarnation is the engine's incarnation last known to its owner; 0 if
	// unknown.
	Incarnation uint64
	Decision    placement.Decision
	// Waited is the time spent in the queue.
	Waited time.Duration

	a    *Admission
	once sync.Once
	// returning is set if the request is one of the first after a pause of the engine.
	returning *backoff.Return[uint64]
}

// Accepted records that the engine has accepted the request.
func (g *Grant) Accepted() {
	if g.returning != nil {
		g.a.pauses.end(g.returning, true)
	}
}

// Release returns the permit. Only the first call of Release or Abort has an
// effect.
func (g *Grant) Release() {
	g.once.Do(func() {
		g.a.pauses.end(g.returning, false)
		g.a.releasePermit(g.ID)
	})
}

// Abort ends the permit of a stream whose caller has disconnected. It reports
// whether this router still held the permit: if the caller has resumed the
// stream at another router, that router holds the permit and the stream
// continues there.
func (g *Grant) Abort(ctx context.Context) (wasHeld bool) {
	g.once.Do(func() {
		g.a.pauses.end(g.returning, false)
		wasHeld = g.a.abort(ctx, g.ID)
	})
	return wasHeld
}

const (
	// DefaultMaxWait is the default of Options.MaxWait.
	DefaultMaxWait = 30 * time.Second
	// DefaultCallTimeout is the default of Options.CallTimeout.
	DefaultCallTimeout = 400 * time.Millisecond
	// maxPlacementAttempts limits the engines tried for one placement. After
	// them the request is queued: while the loads change, further attempts
	// would probably be denied too.
	maxPlacementAttempts = 3
	// noEngineRetryAfter is the Retry-After value while a pool has no engine in
	// service.
	noEngineRetryAfter = 2 * time.Second
)

// Options configures an Admission.
type Options struct {
	Board *board.Board
	// Caller makes the calls to the routers that own other engines.
	Caller *peer.Caller
	// Self is this router's name; Instance distinguishes its restarts.
	Self     string
	Instance uint64
	Policy   placement.Policy
	// NewStrategy creates the placement strategy of a scheduler; nil means a
	// placement.Picker with Policy. Benchmarks set it to compare other
	// strategies.
	NewStrategy func(*rand.Rand) placement.Strategy
	// Rand seeds the random sources of the schedulers.
	Rand *rand.Rand
	// MaxWait limits how long a request waits in the queue; a request with an
	// earlier deadline waits only until then.
	MaxWait time.Duration
	// CallTimeout limits one call to an engine's owner.
	CallTimeout time.Duration
}

// Admission grants engines to requests. It is safe for concurrent use.
type Admission struct {
	opts         Options
	holder       string
	ledgers      *permitLedgers
	held         *heldPermits
	releases     *releaseQueue
	health       *health
	pauses       *pauses
	ownerChanges *ownerChanges
	Metrics      Metrics

	mu         sync.Mutex
	schedulers map[groupKey]*scheduler
	rng        *rand.Rand

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns an Admission. The caller must call Close to stop its goroutines.
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
	a := &Admission{opts: o, holder: board.HolderName(o.Self, o.Instance), schedulers: make(map[groupKey]*scheduler), rng: o.Rand}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.ledgers = newPermitLedgers(a)
	a.held = newHeldPermits()
	a.releases = newReleaseQueue(a)
	a.health = newHealth()
	a.pauses = newPauses()
	a.ownerChanges = newOwnerChanges()
	return a
}

// Close stops the goroutines. Requests still waiting are refused.
func (a *Admission) Close() {
	a.stop()
	a.wg.Wait()
}

// Admit waits for a grant. Its errors are *apierr.Error, and each means that
// nothing was sent to an engine.
func (a *Admission) Admit(ctx context.Context, req *Request) (*Grant, error) {
	snap := a.opts.Board.Snapshot()
	now := time.Now()
	var queueAt *scheduler
	var last error
	for _, p := range req.Pools {
		s := a.schedulerFor(snap, p)
		if s == nil {
			continue
		}
		g, err := s.tryPlace(ctx, now, req)
		if err == nil {
			a.Metrics.Granted.Add(1)
			return g, nil
		}
		if queueAt == nil && errors.Is(err, placement.ErrFull) {
			queueAt = s
		}
		last = err
	}
	if queueAt == nil {
		a.Metrics.NoEngine.Add(1)
		return nil, a.noEngineError(now, snap, req, last)
	}
	return queueAt.wait(ctx, now, req)
}

// noEngineError refuses a request for which no engine is in service. If engines of its pools are
// paused, the caller should retry once the first of them is used again.
func (a *Admission) noEngineError(now time.Time, snap *board.Snapshot, req *Request, cause error) *apierr.Error {
	refusal := apierr.New(apierr.CodeNoUpstream, http.StatusServiceUnavailable, "no engine in service can take the request").WithCause(cause)
	resumeIn, paused := a.resumeIn(now, snap, req)
	if !paused {
		return refusal.WithRetryAfter(noEngineRetryAfter)
	}
	return refusal.WithRetryAfter(backoff.RetryAfter(resumeIn, int(req.Class), rand.Float64()))
}

// schedulerFor returns the scheduler of a pool in this router's region,
// creating it if necessary. It returns nil if the region has no engines of the
// pool.
func (a *Admission) schedulerFor(snap *board.Snapshot, p *config.Pool) *scheduler {
	key := groupKey{pool: p.Name, region: snap.Config.Site.Region}
	if snap.Group(key.pool, key.region) == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.schedulerLocked(key, p)
}

func (a *Admission) schedulerLocked(key groupKey, p *config.Pool) *scheduler {
	s := a.schedulers[key]
	if s == nil {
		rng := rand.New(rand.NewPCG(a.rng.Uint64(), a.rng.Uint64()))
		s = newScheduler(a, key, rng)
		a.schedulers[key] = s
		a.wg.Add(1)
		go s.run()
	}
	s.setPool(p)
	return s
}

// scheduler returns an existing scheduler, or nil.
func (a *Admission) scheduler(key groupKey) *scheduler {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.schedulers[key]
}

// schedulerOfEngine returns the scheduler of an engine's pool and region,
// creating it if necessary. It returns nil if the configuration has no such
// pool.
func (a *Admission) schedulerOfEngine(snap *board.Snapshot, e *board.Engine) *scheduler {
	if snap.Config == nil {
		return nil
	}
	p, ok := snap.Config.Pool(e.Pool)
	if !ok {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.schedulerLocked(groupKey{pool: e.Pool, region: e.Region}, p)
}

func (a *Admission) allSchedulers() []*scheduler {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*scheduler, 0, len(a.schedulers))
	for _, s := range a.schedulers {
		out = append(out, s)
	}
	return out
}

// Sync applies a new snapshot: it opens the ledgers of engines that this router
// now owns and closes those of engines that it no longer owns. Then the
// schedulers retry their waiting requests.
func (a *Admission) Sync(snap *board.Snapshot) {
	now := time.Now()
	a.ledgers.sync(now, snap)
	a.health.sync(now, snap)
	a.pauses.prune(now, snap)
	a.ownerChanges.update(snap)
	for _, s := range a.allSchedulers() {
		s.prune(snap)
		s.wake()
	}
}

// placementError converts a *permit.FullError to a placement error that wraps
// placement.ErrFull.
func placementError(err error) error {
	var f *permit.FullError
	if errors.As(err, &f) {
		return &placement.RefusedError{Cause: placement.ErrFull}
	}
	return err
}
