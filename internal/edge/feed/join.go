package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// A starting router requests everything it lacks from a seed: the configuration, the engines and
// the members. If no seed replies at once, it reads a list of contacts from the store and calls
// those. Seeds and contacts read the store themselves. Without them, 300 routers starting at once
// would make 4,000 store calls and know each other only after 25 seconds; with them, they know each
// other within a second.
const (
	// joinCallTimeout bounds one call: ten times what a router on the smallest VM takes to reply
	// while it replies to a hundred others.
	joinCallTimeout = 300 * time.Millisecond
	// joinRetryPause is the pause between calls to routers that refuse connections. Processes that
	// start together become ready some tens of milliseconds apart.
	joinRetryPause = 25 * time.Millisecond
	// nextCallDelay is how long a call may go without a reply before another router is called too,
	// so that an unresponsive router does not delay the join. With a shorter delay each router of a
	// starting fleet would call all seeds and slow them down further.
	nextCallDelay = 100 * time.Millisecond
	// maxJoinCalls limits concurrent calls.
	maxJoinCalls = 6
	// contactsDelay is how long seeds are called before the contacts are read: four times the time
	// that a reply takes, and little compared to how long requests may wait.
	contactsDelay = 40 * time.Millisecond
	// joinDeadline is how long a router tries to join before it continues alone, or with the
	// routers it reached if they have no catalog either. firstStartJoinDeadline applies instead if
	// the whole fleet starts for the first time and no router has replied: there are no contacts
	// and no callers yet.
	joinDeadline           = 600 * time.Millisecond
	firstStartJoinDeadline = 3 * time.Second
	// memberExchangePeriod is how long after its start a router requests new members by separate
	// calls, because it may not know its parent yet, and memberExchangeInterval is how often.
	// Routers that start later are reported by its parent.
	memberExchangePeriod   = 3 * time.Second
	memberExchangeInterval = 300 * time.Millisecond
	// SettleTime is the time after its start from which on a router that reached others may
	// consider itself the reader of the store. Earlier it may know only a few of the routers
	// starting with it. By then the seeds have read the store for the fleet.
	SettleTime = 500 * time.Millisecond
)

// StartOptions configures how a router starts.
type StartOptions struct {
	// Seeds holds the addresses of the routers to contact first.
	Seeds []string
	// Seed means that this router is a seed itself. Others contact it before it has anyone to
	// contact, so it reads the store at once.
	Seed bool
	// FirstOfAll means that the whole fleet starts for the first time.
	FirstOfAll bool
}

// Start is the state of a router joining the fleet. It is safe for concurrent use.
type Start struct {
	StartOptions
	startedAt time.Duration
	state     atomic.Int32
	// joinedVia is the address of the router that replied first. contacts holds the addresses in
	// the list of contacts.
	joinedVia, contacts atomic.Value
}

// NewStart returns the state of a router that started at startedAt by the boot clock.
func NewStart(o StartOptions, startedAt time.Duration) *Start {
	s := &Start{StartOptions: o, startedAt: startedAt}
	if s.Seed || len(s.Seeds) == 0 {
		s.state.Store(stateReading)
	}
	return s
}

// States of a start.
const (
	// stateJoining means that the router is contacting others.
	stateJoining int32 = iota
	// stateJoined means that another router has replied.
	stateJoined
	// stateReading means that the router reads the store without waiting for others, because it is
	// a seed or a contact or reached no other router.
	stateReading
)

func (s *Start) age(now time.Duration) time.Duration { return now - s.startedAt }

// readsAtStart reports whether this router reads the store without waiting for others.
func (s *Start) readsAtStart() bool { return s.state.Load() == stateReading }

// Settled reports whether this router knows enough members to consider itself the reader of the
// store.
func (s *Start) Settled(now time.Duration) bool {
	return s.state.Load() != stateJoining && s.age(now) >= SettleTime
}

// join calls seeds and contacts until this router has a catalog or the deadline passes.
func (f *Follower) join(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.Start.readsAtStart() {
		return
	}
	j := &joinRun{follower: f, queue: shuffled(f.Start.Seeds), results: make(chan pullResult), contacts: make(chan []Contact, 1)}
	j.run(ctx)
	if f.Start.state.CompareAndSwap(stateJoining, stateReading) {
		f.Log.Warn("no router reached; reading the store", "seeds", f.Start.Seeds)
	}
}

// hasCatalog reports whether this router holds a configuration and engines.
func (f *Follower) hasCatalog() bool {
	s := f.Board.Snapshot()
	return s.Config != nil && s.Engines.Upto > 0
}

// joinRun is the state of one run of join.
type joinRun struct {
	follower *Follower
	// queue holds the addresses to call, the next one first. inFlight counts the calls in progress,
	// the latest of which began at lastCallAt.
	queue      []string
	inFlight   int
	lastCallAt time.Duration
	results    chan pullResult
	contacts   chan []Contact
}

// pullResult is the result of a pull from another router.
type pullResult struct {
	to    Peer
	args  PullArgs
	sent  time.Duration
	reply PullReply
	err   error
}

func (j *joinRun) run(ctx context.Context) {
	start := j.follower.Start
	retry := time.NewTicker(joinRetryPause)
	defer retry.Stop()
	deadline := time.NewTimer(joinDeadline)
	defer deadline.Stop()
	if !start.FirstOfAll {
		contactsTimer := time.AfterFunc(contactsDelay, func() { j.readContacts(ctx) })
		defer contactsTimer.Stop()
	}
	j.callNext(ctx)
	for !start.readsAtStart() && !j.follower.hasCatalog() {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			if !start.FirstOfAll || start.state.Load() != stateJoining || start.age(j.follower.Clock()) >= firstStartJoinDeadline {
				return
			}
			deadline.Reset(firstStartJoinDeadline - joinDeadline)
		case <-retry.C:
			if j.inFlight == 0 || j.follower.Clock()-j.lastCallAt >= nextCallDelay {
				j.callNext(ctx)
			}
		case list := <-j.contacts:
			j.queueContacts(list)
			j.callNext(ctx)
		case result := <-j.results:
			j.handleResult(ctx, result)
		}
	}
}

// callNext calls the next router of the queue, unless maxJoinCalls are in progress.
func (j *joinRun) callNext(ctx context.Context) {
	if j.inFlight >= maxJoinCalls || len(j.queue) == 0 {
		return
	}
	to := Peer{Address: j.queue[0]}
	j.queue = j.queue[1:]
	j.inFlight++
	j.lastCallAt = j.follower.Clock()
	result := pullResult{to: to, sent: j.follower.Clock()}
	result.args = j.follower.pullArgs(to, result.sent)
	if j.follower.Start.state.Load() == stateJoining {
		// Request an immediate reply: reaching any router matters more than the data that it may
		// receive while it holds the reply.
		result.args.Wait = 0
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout)
		defer cancel()
		result.err = j.follower.Call(callCtx, to, PullMethod, result.args, &result.reply)
		select {
		case j.results <- result:
		case <-ctx.Done():
		}
	}()
}

// handleResult processes the result of a call. A router that replied is called again at once,
// since its data may be incomplete and grows while the fleet starts. One that failed is put at the
// end of the queue.
func (j *joinRun) handleResult(ctx context.Context, result pullResult) {
	j.inFlight--
	err := j.follower.handleResult(ctx, result)
	if err != nil {
		j.follower.Log.Debug("router not reached; retrying later", "address", result.to.Address, "cause", err)
		j.queue = append(j.queue, result.to.Address)
		return
	}
	j.queue = slices.Insert(j.queue, 0, result.to.Address)
	if j.follower.Start.state.CompareAndSwap(stateJoining, stateJoined) {
		j.follower.Start.joinedVia.Store(result.to.Address)
		now := j.follower.Clock()
		fields := []any{"by", result.to.Address, "after", j.follower.Start.age(now), "routers", len(j.follower.Live())}
		j.follower.Log.Info("joined", append(fields, j.follower.Board.Snapshot().AgeFields(now)...)...)
	}
	j.callNext(ctx)
}

// readContacts reads the list of contacts if no router has replied yet.
func (j *joinRun) readContacts(ctx context.Context) {
	if j.follower.Start.state.Load() != stateJoining {
		return
	}
	list, err := j.follower.Contacts.Read(ctx)
	if err != nil {
		j.follower.Log.Warn("list of contacts not read", "cause", err)
		return
	}
	j.contacts <- list
}

// queueContacts puts the contacts ahead of the seeds. A router that is a contact itself reads the
// store, since others call it. So does one that finds an empty list, which means that no router has
// written one.
func (j *joinRun) queueContacts(list []Contact) {
	selfListed := slices.ContainsFunc(list, func(c Contact) bool { return c.Name == j.follower.Self.Name })
	var addresses []string
	for _, c := range list {
		if c.Name != j.follower.Self.Name {
			addresses = append(addresses, c.Address)
		}
	}
	j.follower.Start.contacts.Store(addresses)
	j.follower.Log.Info("list of contacts read", "contacts", len(list), "self", selfListed, "after", j.follower.Start.age(j.follower.Clock()))
	if selfListed || len(list) == 0 {
		j.follower.Start.state.Store(stateReading)
		return
	}
	j.queue = append(shuffled(addresses), j.queue...)
}

// shuffled returns the addresses in random order, so that routers starting together spread their
// calls.
func shuffled(addresses []string) []string {
	out := slices.Clone(addresses)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// MeetMethod is the RPC name of Relay.Meet.
const MeetMethod = RelayName + ".Meet"

// Meet handles an exchange of members. It is called by net/rpc; the error is always nil.
func (r *Relay) Meet(request membership.RosterRequest, reply *membership.RosterReply) error {
	*reply = r.Roster.HandleRosterRequest(request)
	return nil
}

// exchangeMembers exchanges members with other routers for memberExchangePeriod after the start.
func (f *Follower) exchangeMembers(ctx context.Context) {
	for i := 0; f.Start.age(f.Clock()) < memberExchangePeriod; i++ {
		if to, ok := f.Start.memberExchangeTarget(i); ok {
			f.exchangeMembersWith(ctx, to)
		}
		if !pause.For(ctx, memberExchangeInterval) {
			return
		}
	}
}

// memberExchangeTarget returns the address for the i-th exchange: the router that replied first,
// since each other one would send all members again. If none has replied, it cycles through the
// seeds and contacts.
func (s *Start) memberExchangeTarget(i int) (string, bool) {
	if address, ok := s.joinedVia.Load().(string); ok {
		return address, true
	}
	contacts, _ := s.contacts.Load().([]string)
	all := append(slices.Clone(s.Seeds), contacts...)
	if len(all) == 0 || i == 0 && !s.Seed {
		return "", false
	}
	return all[i%len(all)], true
}

func (f *Follower) exchangeMembersWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	var reply membership.RosterReply
	if err := f.Call(ctx, Peer{Address: address}, MeetMethod, f.Roster.RosterRequest(address), &reply); err != nil {
		f.Roster.RosterRequestFailed(address)
		f.Log.Debug("seed not reached", "seed", address, "cause", err)
		return
	}
	f.Roster.HandleRosterReply(address, reply)
}
