package feed

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/charmbracelet/log"
)

const (
	// configWatchPause and enginesWatchPause are the minimum pauses between two watches, so that a
	// series of changes does not become a series of calls. In a large fleet engines change all the
	// time, whereas operators wait for a configuration change.
	configWatchPause  = 100 * time.Millisecond
	enginesWatchPause = 300 * time.Millisecond
	// failurePause is the pause between calls to a failing store. It doubles up to maxFailurePause.
	failurePause    = 150 * time.Millisecond
	maxFailurePause = time.Second
	// storeLostReadAfter is the age of the catalog above which a router reads the store itself
	// although other routers report the store as lost. By then maxFailedReaders routers have tried
	// the store or are about to. With a lower age, all routers would call a store that is down.
	storeLostReadAfter = 20 * time.Second
	// maxOwnReadPause bounds the doubling of the pauses of a router that reads for itself without
	// being the reader.
	maxOwnReadPause = 4 * time.Second
	// idlePollInterval is how often a router that need not read checks again. startPollInterval
	// applies while it starts, when requests may wait for the data.
	idlePollInterval  = 50 * time.Millisecond
	startPollInterval = 5 * time.Millisecond
	// probeWait and probeTimeout apply to the first call of a router that begins to read, and to
	// calls after a failure. A healthy store replies at once. A router that cannot reach the store
	// is detected in half the time of a watch, so that several such readers in a row do not exceed
	// the time allowed for a change. Each failure of such a call doubles the timeout up to
	// maxCallTimeout, because the store may be slow for all routers.
	probeWait      = time.Millisecond
	probeTimeout   = 500 * time.Millisecond
	maxCallTimeout = 2 * time.Second
	// storeLostAfter is how long the store must fail before another router becomes the reader. One
	// lost packet or a short overload does not justify a change of the reader.
	storeLostAfter = 100 * time.Millisecond
)

// Reader reads the store while this router is the reader, or when the data from the other routers
// is too old.
type Reader struct {
	Board *Board
	Store Store
	Clock Clock
	// Timing returns the waits and ages derived from the time within which a change must be active
	// on all routers.
	Timing func() Timing
	// Start is the state of joining the fleet.
	Start *Start
	// Reads reports whether this router is the reader.
	Reads func() bool
	// LostAgo returns the time since the last known failure to reach the store of a router that
	// reads for others.
	LostAgo func() time.Duration
	// OthersLost reports whether the router that reads for this one cannot reach the store.
	OthersLost func() bool
	Log        *log.Logger

	// downSince is, for each watch, the time on the boot clock of the first of a series of
	// failures, or zero if there is none.
	downSince [2]atomic.Int64
	// failedAt is the time, on the boot clock, of the last failed call of this router.
	failedAt atomic.Int64
	// configCursor is the store version up to which this router has read the configuration, and
	// configEra its era. Zero requests a complete read. Only the goroutine of Run uses them.
	configCursor uint64
	configEra    catalog.Era
	// readAll is set for each watch from a loss of the store's history until a complete read is in force,
	// because the store's version may meanwhile pass the one of the last watch. Each element is used
	// only by the goroutine of its watch.
	readAll [2]bool
	started time.Duration
	// ignoredLists counts the complete reads whose engines were ignored because this router holds a
	// newer set.
	ignoredLists expvar.Int
	// loggedEra is the newest era of the store that was logged; nil for none.
	loggedEra atomic.Pointer[catalog.Era]
	// triedAtStart is set for each watch once a router that reads without waiting for others has
	// made its first call. The result does not matter: before the first configuration is written,
	// the call returns nothing.
	triedAtStart [2]atomic.Bool
}

// The store has two watches, one for the configuration and one for the engines.
const (
	configWatch = iota
	enginesWatch
)

var watchNames = [...]string{"configuration", "engines"}

// StoreLost reports whether this router is the reader and cannot reach the store.
func (r *Reader) StoreLost() bool {
	now := r.Clock()
	for i := range r.downSince {
		since := time.Duration(r.downSince[i].Load())
		if since != 0 && now-since >= storeLostAfter {
			return r.Reads()
		}
	}
	return false
}

// Run reads the store until the context is canceled.
func (r *Reader) Run(ctx context.Context) {
	r.started = r.Clock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watchLoop(ctx, enginesWatch, enginesWatchPause, r.watchEngines)
	}()
	r.watchLoop(ctx, configWatch, configWatchPause, r.watchConfig)
	<-done
}

// watchLoop calls watch while this router is to read the store.
func (r *Reader) watchLoop(ctx context.Context, which int, watchPause time.Duration, watch func(ctx context.Context, call storeCall) error) {
	schedule := newCallSchedule()
	for ctx.Err() == nil {
		if !r.shouldRead(which) {
			// Earlier failures no longer indicate the state of the store.
			r.downSince[which].Store(0)
			schedule = newCallSchedule()
			pause.For(ctx, r.pollInterval())
			continue
		}
		call, sent := schedule.next(r.Timing()), r.Clock()
		err := watch(ctx, call)
		r.logEra()
		if err == nil {
			r.recordSuccess(which)
			schedule.succeeded(r.Clock()-sent > call.hold+watchSlack)
			pause.For(ctx, watchPause)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.recordFailure(which, err, schedule.lastOK)
		pause.For(ctx, schedule.failed(r.maxPause()))
	}
}

// logEra logs each new era that the store states.
func (r *Reader) logEra() {
	era, last := r.Store.Era(), r.loggedEra.Load()
	if era == (catalog.Era{}) || last != nil && !era.After(*last) || !r.loggedEra.CompareAndSwap(last, &era) {
		return
	}
	r.Log.Info("store states another era", "era", era, "engines_revision", r.Board.Snapshot().Engines.Upto)
}

// IgnoredLists returns the number of complete reads of the engines that were ignored.
func (r *Reader) IgnoredLists() *expvar.Int { return &r.ignoredLists }

func (r *Reader) pollInterval() time.Duration {
	if r.Start.Settled(r.Clock()) {
		return idlePollInterval
	}
	return startPollInterval
}

// storeCall bounds a call to the store: hold is how long the store may hold it, and timeout how long
// the response may take to begin. The transfer of a large response may take longer, so that the
// deadline must not apply to what is done with the response.
type storeCall struct {
	hold, timeout time.Duration
}

// callSchedule holds the timeouts and pauses of consecutive calls to the store.
type callSchedule struct {
	// lastOK is set if the last call succeeded, and lastSlow if its response took long to arrive, unless it
	// was set before that call.
	lastOK, lastSlow bool
	// timeout bounds the next call unless the last one succeeded. pause is the pause after the next
	// call if it fails.
	timeout, pause time.Duration
}

func newCallSchedule() callSchedule { return callSchedule{timeout: probeTimeout, pause: failurePause} }

// next returns the bounds of the next call. What a slow response has brought counts as of when its call
// was sent. The next call is not held, so that it confirms it before other routers find it too old.
func (s *callSchedule) next(t Timing) storeCall {
	if s.lastSlow {
		return storeCall{hold: probeWait, timeout: t.Watch + watchSlack}
	}
	if s.lastOK {
		return storeCall{hold: t.Watch, timeout: t.Watch + watchSlack}
	}
	return storeCall{hold: probeWait, timeout: s.timeout}
}

func (s *callSchedule) succeeded(slow bool) {
	slow = slow && !s.lastSlow
	*s = newCallSchedule()
	s.lastOK, s.lastSlow = true, slow
}

// failed returns the pause before the next call.
func (s *callSchedule) failed(maxPause time.Duration) time.Duration {
	if !s.lastOK {
		s.timeout = min(2*s.timeout, maxCallTimeout)
	}
	s.lastOK, s.lastSlow = false, false
	wait := s.pause
	s.pause = min(2*s.pause, maxPause)
	return wait
}

// maxPause returns the upper bound of the pauses after failures.
func (r *Reader) maxPause() time.Duration {
	if r.Reads() {
		return maxFailurePause
	}
	return maxOwnReadPause
}

// shouldRead reports whether to call the store now.
func (r *Reader) shouldRead(which int) bool {
	s := r.Board.Snapshot()
	now := r.Clock()
	asOf := s.ConfigReadAsOf
	if which == enginesWatch {
		asOf = s.EnginesAsOf
	}
	// The age of data that was never received counts from the start of this process.
	age := now - max(asOf, r.started)
	switch {
	case r.Start.readsAtStart() && !r.triedAtStart[which].Swap(true):
		return true
	case !r.Start.Settled(now):
		return false
	case r.Reads():
		return true
	case r.OthersLost():
		return age > storeLostReadAfter
	}
	return age > r.Timing().OwnReadAfter
}

// recordSuccess records that the store replied.
func (r *Reader) recordSuccess(which int) {
	if since := r.downSince[which].Swap(0); since != 0 {
		r.Log.Info("store regained", "watch", watchNames[which], "down_for", r.Clock()-time.Duration(since))
	}
}

// recordFailure records a failed call. The store counts as lost at once if no call has succeeded
// since this router began to read it.
func (r *Reader) recordFailure(which int, err error, lastOK bool) {
	now := r.Clock()
	r.failedAt.Store(int64(now))
	since := now
	if !lastOK {
		since -= storeLostAfter
	}
	if r.downSince[which].CompareAndSwap(0, int64(since)) {
		s := r.Board.Snapshot()
		fields := []any{"watch", watchNames[which], "cause", err}
		r.Log.Warn("store lost", append(fields, s.AgeFields(now)...)...)
	}
}

// watchConfig reads changes of the configuration and of the evacuations, and advances the cursor once
// they are in force.
func (r *Reader) watchConfig(ctx context.Context, call storeCall) error {
	sent := r.Clock()
	readCtx, cancel := context.WithTimeout(ctx, call.timeout)
	read, err := r.readConfig(readCtx, call.hold)
	cancel()
	if err != nil {
		return err
	}
	if read.Evacuations.Full {
		r.Log.Info("configuration and evacuations read", "revision", read.Upto, "held", r.configCursor, "era", read.Evacuations.Era, "took", r.Clock()-sent)
	}
	c := read.Config
	if c == nil {
		c = r.Board.Snapshot().Config
	} else {
		r.logConfig(c, sent)
	}
	logEvacuations(r.Log, "evacuation read", r.Board.Snapshot().Evacuations.StateChanges(read.Evacuations), "took", r.Clock()-sent)
	if !r.Board.PutConfig(ctx, c, read.Evacuations, r.asOf(sent, call.hold, read.empty())) {
		return ctx.Err()
	}
	r.configCursor, r.configEra = read.Upto, read.Evacuations.Era
	if read.Evacuations.Full {
		r.readAll[configWatch] = false
	}
	return nil
}

// asOf returns the time as of which a reply is current. An empty watch was held for its whole wait
// and is current as of the end of the wait. Any other reply may have been determined as soon as the
// call was sent.
func (r *Reader) asOf(sent, hold time.Duration, empty bool) time.Duration {
	if empty && r.Clock()-sent >= hold {
		return sent + hold
	}
	return sent
}

func (r *Reader) readConfig(ctx context.Context, hold time.Duration) (ConfigRead, error) {
	if r.configCursor == 0 || r.readAll[configWatch] || r.newestEra().After(r.configEra) {
		return r.readAllConfig(ctx)
	}
	read, err := r.Store.WatchConfig(ctx, r.configCursor, hold)
	if ErrHistoryLost.Has(err) {
		r.recordHistoryLost(configWatch, r.configCursor, r.configEra)
		return r.readAllConfig(ctx)
	}
	if err == nil && read.Evacuations.Era.Stated != r.configEra.Stated {
		return r.readAllConfig(ctx)
	}
	read.Evacuations.Era = r.configEra
	return read, err
}

// readAllConfig reads the configuration and all evacuations, and finds out of which era they are.
func (r *Reader) readAllConfig(ctx context.Context) (ConfigRead, error) {
	known, cursor, cursorEra := r.newestEra(), r.configCursor, r.configEra
	read, err := r.Store.ReadConfig(ctx)
	if err != nil {
		return read, err
	}
	era, err := eraOf(read.Evacuations.Era, known, cursorEra == known && read.Upto < cursor)
	if err != nil {
		return ConfigRead{}, err
	}
	read.Evacuations.Era = era
	return read, nil
}

// newestEra returns the newest era of the store that is known here, also from responses to writes and
// from errors.
func (r *Reader) newestEra() catalog.Era {
	r.Board.RecordEra(r.Store.Era())
	return r.Board.NewestEra()
}

// eraOf returns the era of a complete read. stated is what the response states, known the newest era
// that was known when the read was sent, and older whether the read shows a state older than one of
// that era which this router already held. If the store states no era, that shows a return. Errors:
// errEarlierEra.
func eraOf(stated, known catalog.Era, older bool) (catalog.Era, error) {
	switch {
	case stated.Stated < known.Stated:
		return catalog.Era{}, errEarlierEra.New("response of %s, other routers know %s", stated, known)
	case stated.Stated > known.Stated:
		return stated, nil
	case stated.Stated == 0 && older:
		known.Returns++
	}
	return known, nil
}

func (r *Reader) recordHistoryLost(watch int, since uint64, era catalog.Era) {
	r.readAll[watch] = true
	r.Log.Info("store history lost; reading everything", "watch", watchNames[watch], "since", since, "era", era)
}

func (r *Reader) logConfig(c *catalog.Config, sent time.Duration) {
	if have := r.Board.Snapshot().Config; have == nil || c.Version > have.Version {
		r.Log.Info("configuration read", "version", c.Version, "routes", len(c.Routes),
			"accounts", len(c.Accounts), "took", r.Clock()-sent)
	}
}

// watchEngines reads changes of the engines. The cursor is that of the board.
func (r *Reader) watchEngines(ctx context.Context, call storeCall) error {
	sent := r.Clock()
	readCtx, cancel := context.WithTimeout(ctx, call.timeout)
	update, err := r.readEngines(readCtx, call.hold)
	cancel()
	if err != nil {
		return err
	}
	for _, e := range update.Present {
		r.Log.Debug("engine entry", "engine", e.ID, "service", e.Service, "draining", e.Draining, "revision", e.Revision)
	}
	for _, foreign := range update.Foreign {
		r.Log.Warn("entry is not an engine; ignored", "entry", foreign.ID, "revision", foreign.Revision)
	}
	empty := !update.Full && len(update.Present)+len(update.Removed)+len(update.Foreign) == 0
	if held := r.Board.Snapshot().Engines.Upto; update.Full {
		r.Log.Info("full engine list read", "engines", len(update.Present), "engines_revision", update.Upto, "held", held, "era", update.Era, "took", r.Clock()-sent)
		if !r.Board.Snapshot().Engines.Accepts(update) {
			r.ignoredLists.Add(1)
			r.Log.Warn("engine list ignored: it is older than the known engines", "engines_revision", update.Upto, "held", held, "era", update.Era)
		}
	}
	changes, applied := r.Board.PutEngines(ctx, update, r.asOf(sent, call.hold, empty), r.failedAgo())
	if !applied {
		return ctx.Err()
	}
	if update.Full {
		r.readAll[enginesWatch] = false
	}
	logEngineChanges(r.Log, sourceStore, changes)
	return nil
}

// failedAgo returns the time since the last known failure to reach the store, of this router or of
// one that reads for others.
func (r *Reader) failedAgo() time.Duration {
	return min(r.LostAgo(), r.Clock()-time.Duration(r.failedAt.Load()))
}

func (r *Reader) readEngines(ctx context.Context, hold time.Duration) (catalog.EngineUpdate, error) {
	held := r.Board.Snapshot().Engines
	if held.Upto == 0 || r.readAll[enginesWatch] || r.newestEra().After(held.Era) {
		return r.readAllEngines(ctx)
	}
	update, err := r.Store.WatchEngines(ctx, held.Upto, hold)
	if ErrHistoryLost.Has(err) {
		r.recordHistoryLost(enginesWatch, held.Upto, held.Era)
		return r.readAllEngines(ctx)
	}
	if err == nil && update.Era.Stated != held.Era.Stated {
		return r.readAllEngines(ctx)
	}
	update.Era = held.Era
	return update, err
}

// readAllEngines reads all engines and finds out of which era they are.
func (r *Reader) readAllEngines(ctx context.Context) (catalog.EngineUpdate, error) {
	known, held := r.newestEra(), r.Board.Snapshot().Engines
	update, err := r.Store.ReadEngines(ctx)
	if err != nil {
		return update, err
	}
	update.Era, err = eraOf(update.Era, known, held.Era == known && held.Contradicts(update))
	return update, err
}
