package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/charmbracelet/log"
)

const (
	// pullWait is how long the reply to a pull is held. Each level of the tree adds it to the age
	// of the catalog and of the loads. With a wait of twice this length and a bound of one second
	// for changes, the data that arrives is too old and routers read the store themselves (4,000
	// calls in a scenario of 34 s with 88 routers, instead of 1,100).
	pullWait = 150 * time.Millisecond
	// pullTimeout bounds a complete pull: its wait and one TCP retransmission.
	pullTimeout = pullWait + 350*time.Millisecond
	// newParentGrace is how long a new parent may return old data: it may first have to determine
	// that it is the reader.
	newParentGrace = 400 * time.Millisecond
	// newConfigGrace is how long a parent that has passed on a new configuration may return an old one:
	// the transfer from the store counts into its age until the store confirms it.
	newConfigGrace = 400 * time.Millisecond
	// retryPause is the pause after a failed pull.
	retryPause = 50 * time.Millisecond
)

// Call calls an RPC method of another router.
type Call func(ctx context.Context, to Peer, method string, args, reply any) error

// Follower keeps the board current by pulling from the parent of this router.
type Follower struct {
	Self  Peer
	Board *Board
	Loads *Loads
	Clock Clock
	// Timing returns the waits and ages derived from the time within which a change must be active
	// on all routers.
	Timing func() Timing
	Call   Call
	// Start is the state of joining the fleet. Roster is the known membership.
	Start    *Start
	Roster   Roster
	Contacts Contacts
	Statuses *Statuses
	Suspects *suspects.Set
	// Live returns the routers believed to be alive.
	Live func() []Peer
	Log  *log.Logger
	// StoreLost reports whether this router is the reader and cannot reach the store.
	StoreLost func() bool

	distrust    Distrust
	parent      Peer
	parentSince time.Duration
	// newConfigAt is when the parent last passed on a new configuration.
	newConfigAt time.Duration
	// failedPulls counts consecutive failed pulls from the parent.
	failedPulls int
	// parentExchange is the state of the load exchange. pulledFrom is the name of the router from
	// which this one pulls, its own name if it reads the store, or empty at first. Pulls carry the
	// load exchange if pulledFrom names the parent of the exchange.
	parentExchange parentExchange
	// suspectExchange is the state of the exchanges of suspects.
	suspectExchange suspects.Exchange
	pulledFrom      atomic.Value
	// parentStoreLost is set if the parent reported that it cannot reach the store.
	parentStoreLost bool
	readsStore      atomic.Bool
	// newerConfigAt names a router that holds a newer configuration than this one; nil for none.
	newerConfigAt atomic.Pointer[string]
	// chain names the routers through which the catalog arrives, the reader of the store last.
	chain atomic.Pointer[[]string]
	// storeLostAt is the time, on the boot clock, of the last known failure of a reader, this
	// router or another, to reach the store.
	storeLostAt atomic.Int64
	// lastReplyAt is the time, on the boot clock, of the last reply from another router.
	lastReplyAt atomic.Int64
	// failures holds the routers that could not reach the store as of a time on the boot clock.
	failures atomic.Pointer[knownFailures]
}

// Reads reports whether this router is the one that reads the store.
func (f *Follower) Reads() bool { return f.readsStore.Load() }

// Chain names the routers through which the catalog of this router arrives, this router first and
// the reader of the store last.
func (f *Follower) Chain() []string {
	out := []string{f.Self.Name}
	if rest := f.chain.Load(); rest != nil && !f.Reads() {
		out = append(out, *rest...)
	}
	return out
}

// storeLostMemory is how long a failure of a reader counts. After that, the next reader has failed
// too, or its data has arrived.
const storeLostMemory = 2 * time.Second

// LostAgo returns the time since the latest failure of a reader to reach the store that this router
// knows of.
func (f *Follower) LostAgo() time.Duration {
	return f.Clock() - time.Duration(f.storeLostAt.Load())
}

// StoreDown reports whether the data of this router is old because the store cannot be reached.
func (f *Follower) StoreDown() bool { return f.LostAgo() < storeLostMemory }

// maxReplyAge is the age of the last reply from another router up to which its report on the store
// counts. It covers two pulls, one of which may be lost.
const maxReplyAge = 2 * pullTimeout

// ReportedStoreLost reports whether other routers report the store as unreachable and still reply.
// The report of a router that no longer replies does not count: this router may be the only one
// left that can notice when the store is reachable again.
func (f *Follower) ReportedStoreLost() bool {
	return f.StoreDown() && f.Clock()-time.Duration(f.lastReplyAt.Load()) < maxReplyAge
}

// recordStoreLost records that a reader failed to reach the store at a time on the boot clock.
func (f *Follower) recordStoreLost(at time.Duration) {
	if at > time.Duration(f.storeLostAt.Load()) {
		f.storeLostAt.Store(int64(at))
	}
}

// knownFailures holds failures as of a time on the boot clock.
type knownFailures struct {
	at   time.Duration
	list []Failure
}

// publishFailures makes the known failures visible to the relay.
func (f *Follower) publishFailures(now time.Duration) {
	f.failures.Store(&knownFailures{at: now, list: f.distrust.Failures(now)})
}

// Failures returns the routers known to be unable to reach the store.
func (f *Follower) Failures() []Failure {
	k := f.failures.Load()
	if k == nil {
		return nil
	}
	passed := f.Clock() - k.at
	var out []Failure
	for _, failure := range k.list {
		failure.Ago += passed
		if failure.Ago < storeLostDistrust {
			out = append(out, failure)
		}
	}
	return out
}

// mergeFailures adds the failures reported by another router as of a time on the boot clock.
func (f *Follower) mergeFailures(failures []Failure, at time.Duration) {
	for _, failure := range failures {
		f.distrust.AddStoreLost(failure.Router, at-failure.Ago)
	}
	if len(failures) > 0 {
		f.publishFailures(f.Clock())
	}
}

// Run joins the fleet and then pulls until the context is canceled.
func (f *Follower) Run(ctx context.Context) {
	f.distrust = make(Distrust)
	f.pulledFrom.Store("")
	var others sync.WaitGroup
	defer others.Wait()
	others.Go(func() { f.exchangeLoads(ctx) })
	others.Go(func() { f.exchangeMembers(ctx) })
	others.Go(func() { f.pushSuspects(ctx) })
	f.join(ctx)
	for ctx.Err() == nil {
		now := f.Clock()
		f.distrust.Prune(now)
		f.distrustSelf(now)
		parent, ok := ParentOf(f.Self, f.Live(), f.distrust, now)
		f.readsStore.Store(!ok)
		if !ok {
			f.setParent(f.Self, now)
			f.fetchNewerConfig(ctx)
			pause.For(ctx, retryPause)
			continue
		}
		f.setParent(parent, now)
		f.pull(ctx, parent)
	}
}

// RecordNewerConfig records that another router holds a newer configuration than this one.
func (f *Follower) RecordNewerConfig(router string) { f.newerConfigAt.Store(&router) }

// fetchNewerConfig pulls a newer configuration from the router that holds it. A router that reads the
// store has no parent. If it started after the store returned from an older copy, it knows only the
// configuration of the copy until the operator writes the newer one again.
func (f *Follower) fetchNewerConfig(ctx context.Context) {
	name := f.newerConfigAt.Swap(nil)
	if name == nil {
		return
	}
	live := f.Live()
	i := slices.IndexFunc(live, func(p Peer) bool { return p.Name == *name })
	if i < 0 {
		return
	}
	sent := f.Clock()
	var reply PullReply
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := f.Call(callCtx, live[i], PullMethod, f.catalogArgs(), &reply); err != nil {
		f.Log.Warn("newer configuration not received", "router", *name, "cause", err)
		return
	}
	f.applyReply(ctx, *name, reply, sent)
}

// distrustSelf distrusts this router as the reader if it cannot reach the store.
func (f *Follower) distrustSelf(now time.Duration) {
	if !f.readsStore.Load() || !f.StoreLost() {
		return
	}
	f.recordStoreLost(now)
	if f.distrust.trusted(f.Self.Name, now) {
		f.distrustRouter(f.Self, reasonStoreLost, nil)
	}
}

// setParent records and logs a change of the parent.
func (f *Follower) setParent(parent Peer, now time.Duration) {
	if f.parent.Name == parent.Name {
		return
	}
	s := f.Board.Snapshot()
	fields := []any{"from", f.parent.Name, "to", parent.Name, "reads_store", parent.Name == f.Self.Name,
		"engines_revision", s.Engines.Upto}
	f.Log.Info("catalog source changed", append(fields, s.AgeFields(now)...)...)
	f.parent = parent
	f.parentSince, f.newConfigAt = now, 0
	f.failedPulls = 0
	f.parentStoreLost = false
	f.pulledFrom.Store(parent.Name)
}

// pull requests changes from the parent and applies the reply.
func (f *Follower) pull(ctx context.Context, parent Peer) {
	result := pullResult{to: parent, sent: f.Clock()}
	result.args = f.pullArgs(parent, result.sent)
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	result.err = f.Call(callCtx, parent, PullMethod, result.args, &result.reply)
	cancel()
	if err := f.handleResult(ctx, result); err != nil {
		f.recordFailedPull(parent, err)
		pause.For(ctx, retryPause)
		return
	}
	f.failedPulls = 0
}

// handleResult applies the result of a pull and checks the router that replied. It returns the
// error of the pull.
func (f *Follower) handleResult(ctx context.Context, result pullResult) error {
	if result.err != nil {
		f.Roster.RosterRequestFailed(result.to.Address)
		f.parentExchange.resetAcked()
		f.Statuses.resetSent()
		return result.err
	}
	f.lastReplyAt.Store(int64(f.Clock()))
	f.parentStoreLost = result.reply.StoreLost
	f.Roster.HandleRosterReply(result.to.Address, result.reply.Roster)
	if result.args.Loads != nil && result.reply.Loads != nil {
		f.parentExchange.handleReply(result.to.Name, result.args.Loads, result.reply.Loads, f.Loads, f.Clock())
	}
	f.suspectExchange.HandleReply(cmp.Or(result.to.Name, result.to.Address), result.reply.Suspects, f.Suspects, result.sent+result.reply.Held)
	f.applyReply(ctx, cmp.Or(result.to.Name, result.to.Address), result.reply, result.sent)
	if result.reply.Config != nil {
		f.newConfigAt = f.Clock()
	}
	f.checkParent(ctx, result.to, result.reply)
	return nil
}

func (f *Follower) pullArgs(to Peer, now time.Duration) PullArgs {
	args := f.catalogArgs()
	args.Wait = pullWait
	args.KnowsLost = f.parentStoreLost || !f.distrust.trusted(to.Name, now)
	args.Roster = f.Roster.RosterRequest(to.Address)
	args.Loads = f.parentExchange.request(f.Self.Name, to.Name, f.Loads, now)
	args.Suspects = f.suspectExchange.Request(cmp.Or(to.Name, to.Address), f.Suspects, now)
	if to.Name != "" {
		args.Statuses = f.Statuses.nextUpdate(to.Name)
	}
	return args
}

// catalogArgs returns a request for everything that is newer than the catalog of this router.
func (f *Follower) catalogArgs() PullArgs {
	s := f.Board.Snapshot()
	args := PullArgs{
		From: f.Self.Name, EnginesUpto: s.Engines.Upto, Evacuations: s.Evacuations.Upto(),
		TellsEra: true, EnginesEra: s.Engines.Era, EvacuationsEra: s.Evacuations.Era(), NewestEra: f.Board.NewestEra(),
	}
	if s.Config != nil {
		args.ConfigVersion = s.Config.Version
	}
	return args
}

// config returns the configuration that the reply refers to, or nil for none. Errors: ErrMalformed,
// also if the reply is an update based on a version that this router does not hold.
func (f *Follower) config(reply PullReply) (*catalog.Config, error) {
	have := f.Board.Snapshot().Config
	if reply.Config == nil {
		if have != nil && have.Version == reply.ConfigVersion {
			return have, nil
		}
		return nil, nil
	}
	update, err := reply.Config.unpack()
	if err != nil {
		return nil, err
	}
	c, ok := update.Apply(have)
	if !ok {
		return nil, ErrMalformed.New("update is based on version %d, which is not the current one", update.Base)
	}
	return c, nil
}

// maxFailedPulls is how many consecutive pulls may fail before the parent is distrusted. A single
// failure may be a lost packet or a closed connection.
const maxFailedPulls = 2

// recordFailedPull counts a failed pull and distrusts the parent at the limit.
func (f *Follower) recordFailedPull(parent Peer, err error) {
	f.failedPulls++
	if f.failedPulls >= maxFailedPulls {
		f.distrustRouter(parent, reasonNoReply, err)
	}
}

// applyReply applies the reply of a router to the board. Ages count back from the time the pull was
// sent plus the time it was held, since the reply cannot be older than that.
func (f *Follower) applyReply(ctx context.Context, source string, reply PullReply, sent time.Duration) {
	asOf := sent + reply.Held
	if !f.withEras(&reply) {
		return
	}
	f.chain.Store(&reply.Chain)
	f.recordStoreLost(asOf - reply.LostAgo)
	f.mergeFailures(reply.Failures, asOf)
	c, err := f.config(reply)
	if err != nil {
		f.Log.Warn("configuration update not applied", "version", reply.ConfigVersion, "cause", err)
		// The next reply would arrive at once with the same update.
		pause.For(ctx, retryPause)
	}
	logEvacuations(f.Log, "evacuation heard", f.Board.Snapshot().Evacuations.StateChanges(reply.Evacuations))
	f.Board.PutRelayedConfig(ctx, c, reply.Evacuations, asOf-reply.ConfigAge, asOf-reply.configReadAge())
	if reply.Engines.Upto == 0 {
		return
	}
	engines := reply.Engines
	if reply.AllEngines != nil {
		if engines, err = reply.AllEngines.unpack(); err != nil {
			f.Log.Warn("engine update not applied", "upto", reply.Engines.Upto, "cause", err)
			pause.For(ctx, retryPause)
			return
		}
		engines.Era = reply.Engines.Era
	}
	if engines.Full {
		f.Log.Info("full engine list received", "source", source, "engines", len(engines.Present), "engines_revision", engines.Upto)
	}
	changes, _ := f.Board.PutEngines(ctx, engines, asOf-reply.EnginesAge, f.LostAgo())
	logEngineChanges(f.Log, source, changes)
}

// withEras gives the updates of a router of an earlier release, which tells no eras, those of this
// router. It returns false if the updates may be of another era: once the store has returned from an
// older copy, nothing shows which they are of.
func (f *Follower) withEras(reply *PullReply) bool {
	if reply.TellsEra {
		return true
	}
	s := f.Board.Snapshot()
	if s.FollowedReturn {
		return false
	}
	reply.Engines.Era, reply.Evacuations.Era = s.Engines.Era, s.Evacuations.Era()
	return true
}

// checkParent distrusts a parent that cannot reach the store, returns stale data, or pulls from
// this router directly or through others, in which case none of them reads the store. Such a cycle
// shows in the chain of the reply.
func (f *Follower) checkParent(ctx context.Context, parent Peer, reply PullReply) {
	switch {
	case parent.Name == "":
		// A router contacted while joining is not a parent.
	case slices.Contains(reply.Chain, f.Self.Name):
		// A router that distrusts itself keeps its parent and waits. A router of the cycle that
		// still trusts itself distrusts its own parent, becomes the reader, and distrusts itself
		// too if it cannot reach the store.
		if f.distrust.trusted(f.Self.Name, f.Clock()) {
			f.distrustRouter(parent, reasonCycle, nil)
		}
		// The reply was not held, and the next one may not be held either: pause, so as not to pull
		// in a tight loop.
		pause.For(ctx, retryPause)
	case f.Clock()-f.parentSince <= newParentGrace:
	case reply.StoreLost:
		f.distrustRouter(parent, reasonStoreLost, nil)
	case f.StoreDown():
		// A reader further up the tree failed. The routers that pull from it select another one.
	case f.Clock()-f.newConfigAt <= newConfigGrace:
	case f.isStale(reply):
		f.distrustRouter(parent, reasonStale, nil)
	}
}

// isStale reports whether the data of the parent is too old. The age of data that the parent never
// received counts from the change to this parent, because the whole fleet may have just started.
func (f *Follower) isStale(reply PullReply) bool {
	configAge, enginesAge := reply.configReadAge(), reply.EnginesAge
	waited := f.Clock() - f.parentSince
	if reply.ConfigVersion == 0 {
		configAge = waited
	}
	if reply.Engines.Upto == 0 {
		enginesAge = waited
	}
	return max(configAge, enginesAge) > f.Timing().StaleAfter
}

// Logged reasons for distrusting a source.
const (
	reasonNoReply   = "no answer"
	reasonCycle     = "circle"
	reasonStoreLost = "store lost"
	reasonStale     = "stale"
)

func (f *Follower) distrustRouter(router Peer, reason string, cause error) {
	now := f.Clock()
	if reason == reasonStoreLost {
		f.distrust.AddStoreLost(router.Name, now)
	} else {
		f.distrust.Add(router.Name, now)
	}
	f.publishFailures(now)
	s := f.Board.Snapshot()
	fields := []any{"source", router.Name, "why", reason, "cause", cause, "engines_revision", s.Engines.Upto}
	f.Log.Warn("catalog source distrusted", append(fields, s.AgeFields(now)...)...)
}
