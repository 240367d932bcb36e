package feed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// A router that starts asks a seed for all that it lacks: the configuration, the engines, and
// who else is there. It reads the store itself only if no seed can be reached. Three hundred
// routers that start at once would otherwise call the store 4,000 times and know of one another
// after 25 seconds; so they call it for as many of them as are seeds, and know one another
// within a second.
const (
	// joinTimeout bounds one try at a seed: ten times what a seed takes that answers a
	// hundred routers at once on the smallest VM.
	joinTimeout = 300 * time.Millisecond
	// joinPause spaces tries while seeds refuse connections: processes that start together
	// are ready some tens of milliseconds apart.
	joinPause = 25 * time.Millisecond
	// joinPatience is how long a router tries before it goes on alone: seeds may be gone,
	// and requests wait meanwhile.
	joinPatience = 600 * time.Millisecond
	// meetFor is how long after its start a router goes on to ask seeds who else has come,
	// and meetInterval how often: of those that start after it, it hears by its source in
	// the tree, which it may not know yet.
	meetFor      = 3 * time.Second
	meetInterval = 300 * time.Millisecond
	// settleTime is how long after its start a router that has met others may take itself
	// for the one to read the store: it may have met few of those that start with it.
	// Seeds have read for all by then.
	settleTime = 500 * time.Millisecond
)

// Start is how a router becomes one of the fleet. It is safe for concurrent use.
type Start struct {
	// Seeds are the addresses of other routers to ask first.
	Seeds []string
	// First means that this router is a seed itself: others ask it before it has anybody
	// to ask, so that it reads the store at once.
	First bool

	began atomic.Int64
	state atomic.Int32
}

// The states of a start.
const (
	// joining routers ask seeds.
	joining int32 = iota
	// joined ones have an answer, or are seeds.
	joined
	// alone ones have found no seed.
	alone
)

func (s *Start) begin(now time.Duration) {
	s.began.Store(int64(now))
	if s.First || len(s.Seeds) == 0 {
		s.state.Store(joined)
	}
}

func (s *Start) age(now time.Duration) time.Duration { return now - time.Duration(s.began.Load()) }

// readsFirst says whether this router is to read the store without waiting for anybody.
func (s *Start) readsFirst() bool {
	return s.First || len(s.Seeds) == 0 || s.state.Load() == alone
}

// settled says whether this router knows enough of the others to take itself for the one to
// read the store.
func (s *Start) settled(now time.Duration) bool {
	return s.state.Load() != joining && s.age(now) >= settleTime
}

// shuffled returns the seeds in a random order, so that those that start together share them.
func (s *Start) shuffled() []string {
	out := append([]string(nil), s.Seeds...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// join asks seeds until one has told all that there is, or patience is over.
func (f *Follower) join(ctx context.Context) {
	seeds := f.Start.shuffled()
	for i := 0; !f.informed() && len(seeds) > 0 && !f.Start.First && ctx.Err() == nil; i++ {
		if f.Start.age(f.Clock()) >= joinPatience {
			break
		}
		f.joinBy(ctx, seeds[i%len(seeds)])
	}
	if f.Start.state.CompareAndSwap(joining, alone) {
		f.Log.Warn("no seed reached; reading the store", "seeds", f.Start.Seeds)
	}
}

// informed says whether this router knows a configuration and engines.
func (f *Follower) informed() bool {
	s := f.Board.Snapshot()
	return s.Config != nil && s.Engines.Upto > 0
}

func (f *Follower) joinBy(ctx context.Context, seed string) {
	if err := f.ask(ctx, Peer{Address: seed}, joinTimeout); err != nil {
		f.Log.Debug("seed not reached", "seed", seed, "cause", err)
		pause.For(ctx, joinPause)
		return
	}
	if !f.Start.state.CompareAndSwap(joining, joined) {
		return
	}
	now := f.Clock()
	fields := []any{"seed", seed, "after", f.Start.age(now), "routers", len(f.Live())}
	f.Log.Info("joined", append(fields, f.Board.Snapshot().AgeFields(now)...)...)
}

// MeetMethod is the name under which Relay.Meet is called.
const MeetMethod = RelayName + ".Meet"

// Meet answers an exchange of members. It is called by net/rpc; the error is always nil.
func (r *Relay) Meet(ask membership.RosterAsk, reply *membership.RosterReply) error {
	*reply = r.Roster.RosterAnswer(ask)
	return nil
}

// meet goes on to exchange members with seeds for a while.
func (f *Follower) meet(ctx context.Context) {
	seeds := f.Start.shuffled()
	for i := 0; len(seeds) > 0 && f.Start.age(f.Clock()) < meetFor; i++ {
		if i > 0 || f.Start.First {
			f.meetOne(ctx, seeds[i%len(seeds)])
		}
		if !pause.For(ctx, meetInterval) {
			return
		}
	}
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
