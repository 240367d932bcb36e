package feed

import (
	"context"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/charmbracelet/log"
)

const (
	// configGap and enginesGap are the least pauses between two watches, so
	// that a series of changes does not become a series of calls. Engines change
	// all the time in a large fleet, and a change of the configuration is
	// waited for by operators.
	configGap  = 100 * time.Millisecond
	enginesGap = 300 * time.Millisecond
	// failurePause spaces calls to a store that refuses; it doubles up to
	// maxFailurePause.
	failurePause    = 150 * time.Millisecond
	maxFailurePause = time.Second
	// lostReadAfter is the age from which a router reads for itself while the
	// others say that the store can't be reached. Six of them have tried then or
	// are about to, and a store that is away is not to be asked by all.
	lostReadAfter = 20 * time.Second
	// maxOwnPause bounds the doubling of the pauses of a router that reads for
	// itself while it is not the one to read.
	maxOwnPause = 4 * time.Second
	// idlePause is how often a router that need not read looks again, startPause the same
	// while it starts: requests may wait for what it reads.
	idlePause  = 50 * time.Millisecond
	startPause = 5 * time.Millisecond
	// probeWait and probeTimeout are for the first call of a router whose turn it
	// has become. It is answered at once where the store is well; a router that is
	// cut off from it is known so in half the time of a watch, and several of them
	// in a row do not add up to what a change may take. Each failure doubles the
	// time, up to maxCallTimeout: the store may be slow for all.
	probeWait      = time.Millisecond
	probeTimeout   = 500 * time.Millisecond
	maxCallTimeout = 2 * time.Second
	// lostAfter is how long the store fails before another router is let try.
	// One lost packet or a moment of overload is not worth a change.
	lostAfter = 100 * time.Millisecond
)

// Reader reads the store while this router is the one to do so, or has not
// heard from any other router for too long.
type Reader struct {
	Board *Board
	Store Store
	Clock Clock
	// Timing follows from the bounds on changes.
	Timing func() Timing
	// Start is how this router becomes one of the fleet.
	Start *Start
	// Reads says whether this router is the one to read.
	Reads func() bool
	// LostAgo is how long ago a router that reads for others last failed to
	// reach the store, as known.
	LostAgo func() time.Duration
	// OthersLost says whether the router that reads for this one can't reach
	// the store.
	OthersLost func() bool
	Log        *log.Logger

	// downSince is the boot time of the first of a series of failures of each
	// watch, or zero.
	downSince [2]atomic.Int64
	// failedAt is the boot time at which a call of this router last failed.
	failedAt atomic.Int64
	// configCursor is the store's version up to which the configuration was
	// read here; zero asks for all of it. Only Run's goroutine uses it.
	configCursor uint64
	started      time.Duration
	// tried is set once the first call of each watch of a router is made that reads
	// without waiting for others. What it brings does not matter: before the first
	// configuration is written it brings nothing.
	tried [2]atomic.Bool
}

// The store is watched twice, for the configuration and for the engines.
const (
	watchesConfig = iota
	watchesEngines
)

var watchNames = [...]string{"configuration", "engines"}

// Lost says whether this router is to read the store, and can't.
func (r *Reader) Lost() bool {
	now := r.Clock()
	for i := range r.downSince {
		since := time.Duration(r.downSince[i].Load())
		if since != 0 && now-since >= lostAfter {
			return r.Reads()
		}
	}
	return false
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	r.started = r.Clock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.loop(ctx, watchesEngines, enginesGap, r.watchEngines)
	}()
	r.loop(ctx, watchesConfig, configGap, r.watchConfig)
	<-done
}

// loop calls watch while it is this router's turn.
func (r *Reader) loop(ctx context.Context, which int, gap time.Duration, watch func(ctx context.Context, hold time.Duration) error) {
	c := newCadence()
	for ctx.Err() == nil {
		if !r.due(which) {
			// What failed when this router last read says nothing now.
			r.downSince[which].Store(0)
			c = newCadence()
			pause.For(ctx, r.idle())
			continue
		}
		hold, timeout := c.call(r.Timing())
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := watch(callCtx, hold)
		cancel()
		if err == nil {
			r.up(which)
			c.succeeded()
			pause.For(ctx, gap)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.lost(which, err, c.reached)
		pause.For(ctx, c.failed(r.maxPause()))
	}
}

func (r *Reader) idle() time.Duration {
	if r.Start.Settled(r.Clock()) {
		return idlePause
	}
	return startPause
}

// cadence is how a router that reads goes on after its last call.
type cadence struct {
	// reached means that the last call was answered.
	reached bool
	// timeout bounds the next call if it was not, pause is what follows its failure.
	timeout, pause time.Duration
}

func newCadence() cadence { return cadence{timeout: probeTimeout, pause: failurePause} }

// call returns how long the next call may be held, and its timeout.
func (c *cadence) call(t Timing) (hold, timeout time.Duration) {
	if c.reached {
		return t.Watch, t.Watch + watchSlack
	}
	return probeWait, c.timeout
}

func (c *cadence) succeeded() {
	*c = newCadence()
	c.reached = true
}

// failed returns the pause before the next call.
func (c *cadence) failed(maxPause time.Duration) time.Duration {
	if !c.reached {
		c.timeout = min(2*c.timeout, maxCallTimeout)
	}
	c.reached = false
	wait := c.pause
	c.pause = min(2*c.pause, maxPause)
	return wait
}

// maxPause bounds the pauses after failures.
func (r *Reader) maxPause() time.Duration {
	if r.Reads() {
		return maxFailurePause
	}
	return maxOwnPause
}

// due says whether to call the store now.
func (r *Reader) due(which int) bool {
	s := r.Board.Snapshot()
	now := r.Clock()
	asOf := s.ConfigAsOf
	if which == watchesEngines {
		asOf = s.EnginesAsOf
	}
	// What was never heard is as old as this process.
	age := now - max(asOf, r.started)
	switch {
	case r.Start.readsFirst() && !r.tried[which].Swap(true):
		return true
	case !r.Start.Settled(now):
		return false
	case r.Reads():
		return true
	case r.OthersLost():
		return age > lostReadAfter
	}
	return age > r.Timing().OwnReadAfter
}

// up notes that the store answers.
func (r *Reader) up(which int) {
	if since := r.downSince[which].Swap(0); since != 0 {
		r.Log.Info("store regained", "watch", watchNames[which], "down_for", r.Clock()-time.Duration(since))
	}
}

// lost notes a failure. A router that has not reached the store since its turn came
// need not wait for a second one.
func (r *Reader) lost(which int, err error, reached bool) {
	now := r.Clock()
	r.failedAt.Store(int64(now))
	since := now
	if !reached {
		since -= lostAfter
	}
	if r.downSince[which].CompareAndSwap(0, int64(since)) {
		s := r.Board.Snapshot()
		fields := []any{"watch", watchNames[which], "cause", err}
		r.Log.Warn("store lost", append(fields, s.AgeFields(now)...)...)
	}
}

func (r *Reader) watchConfig(ctx context.Context, hold time.Duration) error {
	sent := r.Clock()
	read, err := r.readConfig(ctx, hold)
	if err != nil {
		return err
	}
	c := read.Config
	if c == nil {
		c = r.Board.Snapshot().Config
	} else {
		r.logConfig(c, sent)
	}
	r.configCursor = read.Upto
	logEvacuations(r.Log, "evacuation read", r.Board.Snapshot().Evacuations.StateChanges(read.Evacuations), "took", r.Clock()-sent)
	r.Board.PutConfig(ctx, c, read.Evacuations, r.asOf(sent, hold, read.nothing()))
	return nil
}

// asOf is the time for which a reply speaks. A watch that brought nothing was held
// until its time was over, and speaks for the moment after it; anything else may have
// been decided as soon as the call was sent.
func (r *Reader) asOf(sent, hold time.Duration, nothing bool) time.Duration {
	if nothing && r.Clock()-sent >= hold {
		return sent + hold
	}
	return sent
}

func (r *Reader) readConfig(ctx context.Context, hold time.Duration) (ConfigRead, error) {
	if r.configCursor == 0 {
		return r.Store.ReadConfig(ctx)
	}
	read, err := r.Store.WatchConfig(ctx, r.configCursor, hold)
	if ErrHistoryLost.Has(err) {
		r.Log.Info("store's history lost; reading all", "watch", watchNames[watchesConfig], "since", r.configCursor)
		r.configCursor = 0
		return r.Store.ReadConfig(ctx)
	}
	return read, err
}

func (r *Reader) logConfig(c *catalog.Config, sent time.Duration) {
	if have := r.Board.Snapshot().Config; have == nil || c.Version > have.Version {
		r.Log.Info("configuration read", "version", c.Version, "routes", len(c.Routes),
			"accounts", len(c.Accounts), "took", r.Clock()-sent)
	}
}

func (r *Reader) watchEngines(ctx context.Context, hold time.Duration) error {
	sent := r.Clock()
	update, err := r.readEngines(ctx, hold)
	if err != nil {
		return err
	}
	for _, e := range update.Present {
		r.Log.Debug("engine entry", "engine", e.ID, "service", e.Service, "draining", e.Draining, "revision", e.Revision)
	}
	for _, foreign := range update.Foreign {
		r.Log.Warn("entry is no engine's; passed over", "entry", foreign.ID, "revision", foreign.Revision)
	}
	nothing := !update.Full && len(update.Present)+len(update.Removed)+len(update.Foreign) == 0
	if update.Full {
		r.Log.Info("full engine list read", "engines", len(update.Present), "engines_revision", update.Upto, "took", r.Clock()-sent)
	}
	changes := r.Board.PutEngines(ctx, update, r.asOf(sent, hold, nothing), r.failedAgo())
	logEngineChanges(r.Log, sourceStore, changes)
	return nil
}

// failedAgo is how long ago this router, or one that reads for others, last
// failed to reach the store.
func (r *Reader) failedAgo() time.Duration {
	return min(r.LostAgo(), r.Clock()-time.Duration(r.failedAt.Load()))
}

func (r *Reader) readEngines(ctx context.Context, hold time.Duration) (catalog.EngineUpdate, error) {
	since := r.Board.Snapshot().Engines.Upto
	if since == 0 {
		return r.Store.ReadEngines(ctx)
	}
	update, err := r.Store.WatchEngines(ctx, since, hold)
	if ErrHistoryLost.Has(err) {
		r.Log.Info("store's history lost; reading all", "watch", watchNames[watchesEngines], "since", since)
		return r.Store.ReadEngines(ctx)
	}
	return update, err
}
