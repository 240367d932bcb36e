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
	"github.com/charmbracelet/log"
)

const (
	// pullWait is how long a pull is held. The age of what a router knows grows by it
	// at each level of the tree, and so does that of the loads. Of a bound of one second
	// twice as much leaves too little: routers then read the store for themselves (4,000
	// calls a day of 34 s and 88 routers in place of 1,100).
	pullWait = 150 * time.Millisecond
	// pullTimeout bounds a whole pull: its wait, and a packet that TCP sends
	// again.
	pullTimeout = pullWait + 350*time.Millisecond
	// newParentGrace is how long a new parent may still give old answers: it
	// may itself have to find out first that it is the one to read.
	newParentGrace = 400 * time.Millisecond
	// retryPause spaces pulls after a failure.
	retryPause = 50 * time.Millisecond
)

// Call calls a method of another router.
type Call func(ctx context.Context, to Peer, method string, args, reply any) error

// Follower keeps the board current by asking the router's parent.
type Follower struct {
	Self  Peer
	Board *Board
	Loads *Loads
	Clock Clock
	// Timing follows from the bounds on changes.
	Timing func() Timing
	Call   Call
	// Start is how this router becomes one of the fleet, Roster who is there as far as it
	// knows.
	Start    *Start
	Roster   Roster
	Contacts Contacts
	Statuses *Statuses
	// Live returns the routers that seem alive.
	Live func() []Peer
	Log  *log.Logger
	// StoreLost says whether this router reads the store and can't.
	StoreLost func() bool

	distrust Distrust
	parent   Peer
	since    time.Duration
	// misses counts the pulls from the parent that failed in a row.
	misses int
	// link is the exchange of loads, asked the name of the router whose pulls it goes
	// with, empty for none.
	link  loadLink
	asked atomic.Value
	// parentLost means that the parent has said that it can't reach the store.
	parentLost bool
	reading    atomic.Bool
	// chain names the routers through which the catalog comes, the reader of
	// the store last.
	chain atomic.Pointer[[]string]
	// lostAt is the boot time at which a reader, this router or another, was
	// last known to fail to reach the store.
	lostAt atomic.Int64
	// answeredAt is the boot time at which another router last answered.
	answeredAt atomic.Int64
	// known are the routers that can't reach the store, as of a boot time.
	known atomic.Pointer[knownFailures]
}

// Reads says whether this router is the one to read the store.
func (f *Follower) Reads() bool { return f.reading.Load() }

// Chain names the routers through which this one's catalog comes, itself first
// and the reader of the store last.
func (f *Follower) Chain() []string {
	out := []string{f.Self.Name}
	if rest := f.chain.Load(); rest != nil && !f.Reads() {
		out = append(out, *rest...)
	}
	return out
}

// lostMemory is how long a failure of a reader counts. The next reader has
// failed too by then, or its news has arrived.
const lostMemory = 2 * time.Second

// LostAgo is how long ago a reader last failed to reach the store, as known.
func (f *Follower) LostAgo() time.Duration {
	return f.Clock() - time.Duration(f.lostAt.Load())
}

// Lost says whether what is old here is so because the store can't be reached.
func (f *Follower) Lost() bool { return f.LostAgo() < lostMemory }

// heardWithin is how long ago another router must have answered for its word on the
// store to count: two pulls, one of which may be lost.
const heardWithin = 2 * pullTimeout

// ToldLost says whether other routers say that the store can't be reached, and still
// answer. The word of one that has fallen silent is no reason to leave the store alone:
// this router may be the only one left that could find out that it is back.
func (f *Follower) ToldLost() bool {
	return f.Lost() && f.Clock()-time.Duration(f.answeredAt.Load()) < heardWithin
}

// noteLost records that a reader failed at a boot time.
func (f *Follower) noteLost(at time.Duration) {
	if at > time.Duration(f.lostAt.Load()) {
		f.lostAt.Store(int64(at))
	}
}

// knownFailures are failures as of a boot time.
type knownFailures struct {
	at   time.Duration
	list []Failure
}

// publish makes what is known of failures visible to the relay.
func (f *Follower) publish(now time.Duration) {
	f.known.Store(&knownFailures{at: now, list: f.distrust.Failures(now)})
}

// Failures returns which routers can't reach the store, as known.
func (f *Follower) Failures() []Failure {
	k := f.known.Load()
	if k == nil {
		return nil
	}
	passed := f.Clock() - k.at
	var out []Failure
	for _, failure := range k.list {
		failure.Ago += passed
		if failure.Ago < lostDistrust {
			out = append(out, failure)
		}
	}
	return out
}

// hear takes over what another router knows of failures as of a boot time.
func (f *Follower) hear(failures []Failure, at time.Duration) {
	for _, failure := range failures {
		f.distrust.AddLost(failure.Router, at-failure.Ago)
	}
	if len(failures) > 0 {
		f.publish(f.Clock())
	}
}

// Run asks until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.distrust = make(Distrust)
	f.asked.Store("")
	var others sync.WaitGroup
	defer others.Wait()
	others.Go(func() { f.exchangeLoads(ctx) })
	others.Go(func() { f.meet(ctx) })
	f.join(ctx)
	for ctx.Err() == nil {
		now := f.Clock()
		f.distrust.Forget(now)
		f.judgeSelf(now)
		parent, ok := ParentOf(f.Self, f.Live(), f.distrust, now)
		f.reading.Store(!ok)
		if !ok {
			f.follow(f.Self, now)
			pause.For(ctx, retryPause)
			continue
		}
		f.follow(parent, now)
		f.pull(ctx, parent)
	}
}

// judgeSelf passes this router over if it is to read the store and can't.
func (f *Follower) judgeSelf(now time.Duration) {
	if !f.reading.Load() || !f.StoreLost() {
		return
	}
	f.noteLost(now)
	if f.distrust.trusted(f.Self.Name, now) {
		f.suspect(f.Self, whyStoreLost, nil)
	}
}

// follow notes a change of parent.
func (f *Follower) follow(parent Peer, now time.Duration) {
	if f.parent.Name == parent.Name {
		return
	}
	s := f.Board.Snapshot()
	fields := []any{"from", f.parent.Name, "to", parent.Name, "reads_store", parent.Name == f.Self.Name,
		"engines_revision", s.Engines.Upto}
	f.Log.Info("catalog source changed", append(fields, s.AgeFields(now)...)...)
	f.parent = parent
	f.since = now
	f.misses = 0
	f.parentLost = false
	f.asked.Store(parent.Name)
}

// pull asks the parent for what is new.
func (f *Follower) pull(ctx context.Context, parent Peer) {
	a := answer{to: parent, sent: f.Clock()}
	a.args = f.pullArgs(parent, a.sent)
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	a.err = f.Call(callCtx, parent, PullMethod, a.args, &a.reply)
	cancel()
	if err := f.answered(ctx, a); err != nil {
		f.unanswered(parent, err)
		pause.For(ctx, retryPause)
		return
	}
	f.misses = 0
}

// answered takes over what another router has told, and judges it.
func (f *Follower) answered(ctx context.Context, a answer) error {
	if a.err != nil {
		f.Roster.RosterFailed(a.to.Address)
		f.link.failed()
		f.Statuses.failed()
		return a.err
	}
	f.answeredAt.Store(int64(f.Clock()))
	f.parentLost = a.reply.StoreLost
	f.Roster.RosterReplied(a.to.Address, a.reply.Roster)
	if a.args.Loads != nil && a.reply.Loads != nil {
		f.link.answered(a.to.Name, a.args.Loads, a.reply.Loads, f.Loads, f.Clock())
	}
	f.take(ctx, cmp.Or(a.to.Name, a.to.Address), a.reply, a.sent)
	f.judge(ctx, a.to, a.reply)
	return nil
}

func (f *Follower) pullArgs(to Peer, now time.Duration) PullArgs {
	s := f.Board.Snapshot()
	args := PullArgs{
		From: f.Self.Name, EnginesUpto: s.Engines.Upto, Evacuations: s.Evacuations.Upto(), Wait: pullWait,
		KnowsLost: f.parentLost || !f.distrust.trusted(to.Name, now),
		Roster:    f.Roster.RosterAsk(to.Address),
	}
	if s.Config != nil {
		args.ConfigVersion = s.Config.Version
	}
	args.Loads = f.link.ask(f.Self.Name, to.Name, f.Loads, now)
	if to.Name != "" {
		args.Statuses = f.Statuses.due(to.Name)
	}
	return args
}

// config returns the configuration that the reply speaks of, nil for none. Errors:
// ErrMalformed, also if the reply leads on from one that this router does not have.
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
		return nil, ErrMalformed.New("update from version %d, which is not the one here", update.Base)
	}
	return c, nil
}

// maxUnanswered is how many pulls in a row may fail before the parent is
// distrusted: one may be due to a lost packet or a connection that was cut.
const maxUnanswered = 2

// unanswered counts a failed pull.
func (f *Follower) unanswered(parent Peer, err error) {
	f.misses++
	if f.misses >= maxUnanswered {
		f.suspect(parent, whyNoAnswer, err)
	}
}

// take hands over what the parent said. Ages are counted back from the moment
// at which the pull was sent, and the time that the parent held it: whatever the
// parent said, it said later.
func (f *Follower) take(ctx context.Context, source string, reply PullReply, sent time.Duration) {
	said := sent + reply.Held
	f.chain.Store(&reply.Chain)
	f.noteLost(said - reply.LostAgo)
	f.hear(reply.Failures, said)
	c, err := f.config(reply)
	if err != nil {
		f.Log.Warn("configuration update not taken", "version", reply.ConfigVersion, "cause", err)
		// The next answer would come at once, and be the same.
		pause.For(ctx, retryPause)
	}
	logEvacuations(f.Log, "evacuation heard", f.Board.Snapshot().Evacuations.StateChanges(reply.Evacuations))
	f.Board.PutConfig(ctx, c, reply.Evacuations, said-reply.ConfigAge)
	if reply.Engines.Upto == 0 {
		return
	}
	engines := reply.Engines
	if reply.AllEngines != nil {
		if engines, err = reply.AllEngines.unpack(); err != nil {
			f.Log.Warn("engines not taken", "upto", reply.Engines.Upto, "cause", err)
			pause.For(ctx, retryPause)
			return
		}
	}
	if engines.Full {
		f.Log.Info("full engine list received", "source", source, "engines", len(engines.Present), "engines_revision", engines.Upto)
	}
	changes := f.Board.PutEngines(ctx, engines, said-reply.EnginesAge, f.LostAgo())
	logEngineChanges(f.Log, source, changes)
}

// judge distrusts a parent that can't reach the store, whose knowledge has grown
// old, or that asks this router, directly or through others: then none of them
// reads. The last shows in the parent's chain.
func (f *Follower) judge(ctx context.Context, parent Peer, reply PullReply) {
	switch {
	case parent.Name == "":
		// It was asked at the start, and is nobody's parent by that.
	case slices.Contains(reply.Chain, f.Self.Name):
		// A router that has passed itself over waits for the others to do so
		// too; whoever of the circle still trusts itself goes on alone.
		if f.distrust.trusted(f.Self.Name, f.Clock()) {
			f.suspect(parent, whyCircle, nil)
		}
		// The answer was not held, and the next one may not be either.
		pause.For(ctx, retryPause)
	case f.Clock()-f.since <= newParentGrace:
	case reply.StoreLost:
		f.suspect(parent, whyStoreLost, nil)
	case f.Lost():
		// Readers further up fail; it is for those next to them to find
		// another.
	case f.stale(reply):
		f.suspect(parent, whyStale, nil)
	}
}

// stale says whether what the parent knows is too old. What it has never heard of is as old as
// the wait for it: all may have started just now.
func (f *Follower) stale(reply PullReply) bool {
	configAge, enginesAge := reply.ConfigAge, reply.EnginesAge
	waited := f.Clock() - f.since
	if reply.ConfigVersion == 0 {
		configAge = waited
	}
	if reply.Engines.Upto == 0 {
		enginesAge = waited
	}
	return max(configAge, enginesAge) > f.Timing().StaleAfter
}

// Why a source is distrusted, as logged.
const (
	whyNoAnswer  = "no answer"
	whyCircle    = "circle"
	whyStoreLost = "store lost"
	whyStale     = "stale"
)

func (f *Follower) suspect(parent Peer, why string, cause error) {
	now := f.Clock()
	if why == whyStoreLost {
		f.distrust.AddLost(parent.Name, now)
	} else {
		f.distrust.Add(parent.Name, now)
	}
	f.publish(now)
	s := f.Board.Snapshot()
	fields := []any{"source", parent.Name, "why", why, "cause", cause, "engines_revision", s.Engines.Upto}
	f.Log.Warn("catalog source distrusted", append(fields, s.AgeFields(now)...)...)
}
