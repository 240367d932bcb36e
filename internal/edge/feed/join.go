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

// A router that starts asks a seed for all that it lacks: the configuration, the engines, and
// who else is there. If no seed answers at once, it reads a list of contacts from the store,
// and asks them. Seeds and contacts read the store themselves. Three hundred routers that start
// at once would otherwise call the store 4,000 times and know of one another after 25 seconds;
// so they know one another within a second.
const (
	// joinTimeout bounds one try: ten times what a router takes that answers a hundred
	// others at once on the smallest VM.
	joinTimeout = 300 * time.Millisecond
	// joinPause spaces tries at routers that refuse connections: processes that start
	// together are ready some tens of milliseconds apart.
	joinPause = 25 * time.Millisecond
	// silentAfter is how long a router may be silent before another one is asked too: one
	// that is dark must not hold up those that are there. Sooner, each would ask all seeds
	// of a fleet that starts, and make them slower still.
	silentAfter = 100 * time.Millisecond
	// maxTries is how many routers are asked at the same time.
	maxTries = 6
	// contactsAfter is how long seeds are asked before the contacts are read: four times
	// what an answer takes, and little where requests wait.
	contactsAfter = 40 * time.Millisecond
	// joinPatience is how long a router tries before it goes on alone, or with whom it has
	// met if they know nothing either. Where the whole fleet starts for the first time
	// there are no contacts, and no callers yet: firstPatience.
	joinPatience  = 600 * time.Millisecond
	firstPatience = 3 * time.Second
	// meetFor is how long after its start a router goes on to ask who else has come,
	// and meetInterval how often: of those that start after it, it hears by its source in
	// the tree, which it may not know yet.
	meetFor      = 3 * time.Second
	meetInterval = 300 * time.Millisecond
	// SettleTime is how long after its start a router that has met others may take itself
	// for the one to read the store: it may have met few of those that start with it.
	// Seeds have read for all by then.
	SettleTime = 500 * time.Millisecond
)

// StartOptions say how a router starts.
type StartOptions struct {
	// Seeds are the addresses of other routers to ask first.
	Seeds []string
	// Seed means that this router is a seed itself: others ask it before it has anybody
	// to ask, so that it reads the store at once.
	Seed bool
	// FirstOfAll means that the whole fleet starts for the first time.
	FirstOfAll bool
}

// Start is how a router becomes one of the fleet. It is safe for concurrent use.
type Start struct {
	StartOptions
	began time.Duration
	state atomic.Int32
	// by is the address of the router that answered first, contacts those of the list.
	by, contacts atomic.Value
}

// NewStart returns the start of a router that began at a boot time.
func NewStart(o StartOptions, began time.Duration) *Start {
	s := &Start{StartOptions: o, began: began}
	if s.Seed || len(s.Seeds) == 0 {
		s.state.Store(reading)
	}
	return s
}

// The states of a start.
const (
	// joining routers ask others.
	joining int32 = iota
	// joined ones have an answer.
	joined
	// reading ones read the store without waiting for anybody: seeds, contacts, and those
	// that found nobody.
	reading
)

func (s *Start) age(now time.Duration) time.Duration { return now - s.began }

// readsFirst says whether this router is to read the store without waiting for anybody.
func (s *Start) readsFirst() bool { return s.state.Load() == reading }

// Settled says whether this router knows enough of the others to take itself for the one to
// read the store.
func (s *Start) Settled(now time.Duration) bool {
	return s.state.Load() != joining && s.age(now) >= SettleTime
}

// join asks seeds and contacts until one has told all that there is, or patience is over.
func (f *Follower) join(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.Start.readsFirst() {
		return
	}
	j := &join{f: f, queue: shuffled(f.Start.Seeds), answers: make(chan answer), contacts: make(chan []Contact, 1)}
	j.run(ctx)
	if f.Start.state.CompareAndSwap(joining, reading) {
		f.Log.Warn("no router reached; reading the store", "seeds", f.Start.Seeds)
	}
}

// informed says whether this router knows a configuration and engines.
func (f *Follower) informed() bool {
	s := f.Board.Snapshot()
	return s.Config != nil && s.Engines.Upto > 0
}

// join is the state of a join.
type join struct {
	f *Follower
	// queue are the addresses to ask, the next one first; asking is how many are being
	// asked, the last one since asked.
	queue    []string
	asking   int
	asked    time.Duration
	answers  chan answer
	contacts chan []Contact
}

// answer is the end of a question to another router.
type answer struct {
	to    Peer
	args  PullArgs
	sent  time.Duration
	reply PullReply
	err   error
}

func (j *join) run(ctx context.Context) {
	start := j.f.Start
	next := time.NewTicker(joinPause)
	defer next.Stop()
	patience := time.NewTimer(joinPatience)
	defer patience.Stop()
	if !start.FirstOfAll {
		read := time.AfterFunc(contactsAfter, func() { j.readContacts(ctx) })
		defer read.Stop()
	}
	j.askNext(ctx)
	for !start.readsFirst() && !j.f.informed() {
		select {
		case <-ctx.Done():
			return
		case <-patience.C:
			if !start.FirstOfAll || start.state.Load() != joining || start.age(j.f.Clock()) >= firstPatience {
				return
			}
			patience.Reset(firstPatience - joinPatience)
		case <-next.C:
			if j.asking == 0 || j.f.Clock()-j.asked >= silentAfter {
				j.askNext(ctx)
			}
		case list := <-j.contacts:
			j.take(list)
			j.askNext(ctx)
		case a := <-j.answers:
			j.answered(ctx, a)
		}
	}
}

// askNext asks the next router.
func (j *join) askNext(ctx context.Context) {
	if j.asking >= maxTries || len(j.queue) == 0 {
		return
	}
	to := Peer{Address: j.queue[0]}
	j.queue = j.queue[1:]
	j.asking++
	j.asked = j.f.Clock()
	a := answer{to: to, sent: j.f.Clock()}
	a.args = j.f.pullArgs(to, a.sent)
	if j.f.Start.state.Load() == joining {
		// Whether it is there matters more than what it may know in a moment.
		a.args.Wait = 0
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		defer cancel()
		a.err = j.f.Call(callCtx, to, PullMethod, a.args, &a.reply)
		select {
		case j.answers <- a:
		case <-ctx.Done():
		}
	}()
}

// answered takes an answer. Whoever has answered is asked again at once: it knows little as
// yet, but more each time; one that has not is asked again after the others.
func (j *join) answered(ctx context.Context, a answer) {
	j.asking--
	err := j.f.answered(ctx, a)
	if err != nil {
		j.f.Log.Debug("router not reached", "address", a.to.Address, "cause", err)
		j.queue = append(j.queue, a.to.Address)
		return
	}
	j.queue = slices.Insert(j.queue, 0, a.to.Address)
	if j.f.Start.state.CompareAndSwap(joining, joined) {
		j.f.Start.by.Store(a.to.Address)
		now := j.f.Clock()
		fields := []any{"by", a.to.Address, "after", j.f.Start.age(now), "routers", len(j.f.Live())}
		j.f.Log.Info("joined", append(fields, j.f.Board.Snapshot().AgeFields(now)...)...)
	}
	j.askNext(ctx)
}

// readContacts reads the list of contacts if nobody has answered yet.
func (j *join) readContacts(ctx context.Context) {
	if j.f.Start.state.Load() != joining {
		return
	}
	list, err := j.f.Contacts.Read(ctx)
	if err != nil {
		j.f.Log.Warn("list of contacts not read", "cause", err)
		return
	}
	j.contacts <- list
}

// take asks the contacts before the seeds. A router that is a contact itself reads the store,
// since others ask it; so does one that finds no list, as nobody has kept one.
func (j *join) take(list []Contact) {
	self := slices.ContainsFunc(list, func(c Contact) bool { return c.Name == j.f.Self.Name })
	var addresses []string
	for _, c := range list {
		if c.Name != j.f.Self.Name {
			addresses = append(addresses, c.Address)
		}
	}
	j.f.Start.contacts.Store(addresses)
	j.f.Log.Info("list of contacts read", "contacts", len(list), "self", self, "after", j.f.Start.age(j.f.Clock()))
	if self || len(list) == 0 {
		j.f.Start.state.Store(reading)
		return
	}
	j.queue = append(shuffled(addresses), j.queue...)
}

// shuffled returns addresses in a random order, so that those that start together share them.
func shuffled(addresses []string) []string {
	out := slices.Clone(addresses)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// MeetMethod is the name under which Relay.Meet is called.
const MeetMethod = RelayName + ".Meet"

// Meet answers an exchange of members. It is called by net/rpc; the error is always nil.
func (r *Relay) Meet(ask membership.RosterAsk, reply *membership.RosterReply) error {
	*reply = r.Roster.RosterAnswer(ask)
	return nil
}

// meet goes on to exchange members for a while.
func (f *Follower) meet(ctx context.Context) {
	for i := 0; f.Start.age(f.Clock()) < meetFor; i++ {
		if to, ok := f.Start.toMeet(i); ok {
			f.meetOne(ctx, to)
		}
		if !pause.For(ctx, meetInterval) {
			return
		}
	}
}

// toMeet returns whom to ask the i-th time: whoever answered first, as each other one would tell
// all members once more; where nobody has, all seeds and contacts in turn.
func (s *Start) toMeet(i int) (string, bool) {
	if by, ok := s.by.Load().(string); ok {
		return by, true
	}
	contacts, _ := s.contacts.Load().([]string)
	all := append(slices.Clone(s.Seeds), contacts...)
	if len(all) == 0 || i == 0 && !s.Seed {
		return "", false
	}
	return all[i%len(all)], true
}

func (f *Follower) meetOne(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var reply membership.RosterReply
	if err := f.Call(ctx, Peer{Address: seed}, MeetMethod, f.Roster.RosterAsk(seed), &reply); err != nil {
		f.Roster.RosterFailed(seed)
		f.Log.Debug("seed not reached", "seed", seed, "cause", err)
		return
	}
	f.Roster.RosterReplied(seed, reply)
}
