package feed

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"github.com/charmbracelet/log"
)

// PullMethod is the name under which Relay.Pull is called.
const PullMethod = RelayName + ".Pull"

// RelayName is the name to register a Relay under.
const RelayName = "Feed"

// maxPullWait bounds how long a pull may ask to be held.
const maxPullWait = time.Second

// lostCheck is how often a router that holds a pull looks whether it can't reach the
// store any more. The asker finds another source the sooner.
const lostCheck = 50 * time.Millisecond

// PullArgs asks for what is newer than what the asker has.
type PullArgs struct {
	// From is the asker's name.
	From string
	// ConfigVersion and EnginesUpto are what the asker has; zero for nothing.
	ConfigVersion uint64
	EnginesUpto   uint64
	// Evacuations is the store version up to which the asker's evacuations are current. Routers
	// of earlier releases send the revision of their newest change instead.
	Evacuations uint64
	// KnowsLost means that the asker knows that the one asked can't reach the store,
	// and asks because nobody can.
	KnowsLost bool
	// Wait is how long the answer may be held until there is something new.
	Wait time.Duration
	// Roster is the asker's half of an exchange of members.
	Roster membership.RosterAsk
	// Statuses are those of the asker and of the routers below it, as far as they are news.
	Statuses []Status
	// Loads is the asker's half of an exchange of loads; nil if it exchanges them with
	// another router.
	Loads *LoadArgs
}

// PullReply is what is newer, and how old all of it may be.
type PullReply struct {
	// Config leads on from the asker's version; nil if it is the newest one.
	Config        *PackedConfig
	ConfigVersion uint64
	// ConfigAge is the age of the last confirmation, as of the reply.
	ConfigAge time.Duration
	// Evacuations holds all known evacuations if the asker may lack any of them, and is empty
	// otherwise. ConfigAge is also its age.
	Evacuations catalog.EvacuationUpdate
	// Engines leads on from the asker's version; if that can't be, AllEngines has all.
	Engines    catalog.EngineUpdate
	AllEngines *PackedEngines
	// EnginesAge is the age of the last confirmation, as of the reply.
	EnginesAge time.Duration
	// StoreLost means that the one asked is to read the store, and can't.
	StoreLost bool
	// LostAgo is how long ago a reader of the store last failed, as far as the
	// one asked knows.
	LostAgo time.Duration
	// Failures are the routers that can't reach the store, as known.
	Failures []Failure
	// Chain names the routers through which the answer came, the one asked
	// first and the reader of the store last.
	Chain []string
	// Held is how long the reply was held. What it says is that much younger
	// than the pull.
	Held time.Duration
	// Roster is the other half of an exchange of members.
	Roster membership.RosterReply
	// Loads is the other half of an exchange of loads; nil if there was none.
	Loads *LoadReply
}

// Relay answers the pulls of other routers from the board.
type Relay struct {
	Board    *Board
	Loads    *Loads
	Roster   Roster
	Statuses *Statuses
	Clock    Clock
	// StoreLost says whether this router is to read the store, and can't.
	StoreLost func() bool
	// LostAgo is how long ago a reader failed to reach the store, as known.
	LostAgo func() time.Duration
	// Failures returns which routers can't reach the store, as known.
	Failures func() []Failure
	// Chain names the routers through which this one's catalog comes.
	Chain func() []string
	// Done is closed when pulls are not to be held any more.
	Done <-chan struct{}
	Log  *log.Logger

	// packer packs updates once for all askers, reporter spaces out what they are told
	// of loads.
	packer   packer
	reporter reporter
}

// Pull answers once the board holds something newer, or after args.Wait, and at
// once where the asker is the source of what this router knows. It is
// called by net/rpc; the error is always nil.
func (r *Relay) Pull(args PullArgs, reply *PullReply) error {
	started := r.Clock()
	heard := uint64(0)
	if args.Loads != nil {
		heard = r.hear(args.Loads, started)
	}
	r.Statuses.hear(args.Statuses)
	roster := r.Roster.RosterAnswer(args.Roster)
	timer := time.NewTimer(pullHold(args, roster))
	defer timer.Stop()
	lost := time.NewTicker(lostCheck)
	defer lost.Stop()
	for {
		changed := r.Board.Changed()
		if r.news(args) || slices.Contains(r.Chain(), args.From) || !args.KnowsLost && r.StoreLost() {
			break
		}
		select {
		case <-changed:
			continue
		case <-lost.C:
			continue
		case <-timer.C:
		case <-r.Done:
		}
		break
	}
	*reply = r.reply(args)
	reply.Roster = roster
	if args.Loads != nil {
		reply.Loads = r.tell(args.Loads, heard, r.Clock())
	}
	reply.Held = r.Clock() - started
	return nil
}

// rosterHold is how long a pull is held that brings news of members. More of them are under
// way while a fleet starts.
const rosterHold = 50 * time.Millisecond

// pullHold is how long an answer is held at most.
func pullHold(args PullArgs, roster membership.RosterReply) time.Duration {
	hold := min(args.Wait, maxPullWait)
	if len(roster.Rows) > 0 {
		hold = min(hold, rosterHold)
	}
	return hold
}

// news says whether the board holds something that the asker lacks.
func (r *Relay) news(args PullArgs) bool {
	s := r.Board.Snapshot()
	if s.Config != nil && s.Config.Version > args.ConfigVersion {
		return true
	}
	if s.Evacuations.Revision() > args.Evacuations {
		return true
	}
	u := s.Engines.Since(args.EnginesUpto)
	return s.Engines.Upto > 0 && (u.Full || len(u.Present)+len(u.Removed) > 0)
}

func (r *Relay) reply(args PullArgs) PullReply {
	now := r.Clock()
	s := r.Board.Snapshot()
	out := PullReply{
		ConfigAge:   s.ConfigAge(now),
		Evacuations: s.Evacuations.Since(args.Evacuations),
		EnginesAge:  s.EnginesAge(now),
		StoreLost:   r.StoreLost(),
		LostAgo:     r.LostAgo(),
		Failures:    r.Failures(),
		Chain:       r.Chain(),
	}
	if s.Config != nil {
		out.ConfigVersion = s.Config.Version
		if s.Config.Version > args.ConfigVersion {
			out.Config = r.update(s.Config, args.ConfigVersion)
		}
	}
	r.addEngines(&out, s.Engines, args.EnginesUpto)
	return out
}

// addEngines adds what leads from the asker's version to the newest one.
func (r *Relay) addEngines(out *PullReply, set *catalog.EngineSet, from uint64) {
	out.Engines = set.Since(from)
	if !out.Engines.Full || set.Upto == 0 {
		return
	}
	packed, err := r.packer.engines(set)
	if err != nil {
		r.Log.Error("engines not packed", "upto", set.Upto, "cause", err)
		return
	}
	out.AllEngines = packed
	out.Engines.Present = nil
}

// update returns what leads from the asker's version to the newest one, or nil if it
// can't be encoded; the asker then reads the store when it finds itself behind.
func (r *Relay) update(c *catalog.Config, from uint64) *PackedConfig {
	packed, err := r.packer.update(c, r.Board.Past(from))
	if err != nil {
		r.Log.Error("configuration update not encoded", "from", from, "version", c.Version, "cause", err)
		return nil
	}
	return packed
}
