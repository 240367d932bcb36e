package feed

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/charmbracelet/log"
)

// PullMethod is the RPC name of Relay.Pull.
const PullMethod = RelayName + ".Pull"

// RelayName is the name under which a Relay is registered with net/rpc.
const RelayName = "Feed"

// maxPullWait bounds the time for which a pull may request its reply to be held.
const maxPullWait = time.Second

// storeLostCheckInterval is how often a router that holds a pull checks whether it lost the store.
// The requesting router can then select another source sooner.
const storeLostCheckInterval = 50 * time.Millisecond

// PullArgs requests what is newer than the data of the requesting router.
type PullArgs struct {
	// From is the name of the requesting router.
	From string
	// ConfigVersion and EnginesUpto are what the requesting router holds, or zero for nothing.
	ConfigVersion uint64
	EnginesUpto   uint64
	// TellsEra is set by routers that tell the eras of EnginesUpto and Evacuations; routers of earlier
	// releases don't.
	TellsEra                   bool
	EnginesEra, EvacuationsEra catalog.Era
	// NewestEra is the newest era that the requesting router knows of. It reaches the router that
	// reads the store, which may not have noticed the return of a store that states no era.
	NewestEra catalog.Era
	// Evacuations is the store version up to which the evacuations of the requesting router are
	// current. Routers of earlier releases send the revision of their newest change instead.
	Evacuations uint64
	// KnowsLost means that the requesting router knows that the called one cannot reach the store,
	// and pulls because no router can.
	KnowsLost bool
	// Wait is how long the reply may be held until there is something new.
	Wait time.Duration
	// Roster is the request of a member exchange.
	Roster membership.RosterRequest
	// Statuses holds the changed statuses of the requesting router and its descendants.
	Statuses []Status
	// Loads is the request of a load exchange, or nil if the requesting router exchanges loads with
	// another router.
	Loads *LoadArgs
	// Suspects is the request of an exchange of suspects. Routers of earlier releases send none.
	Suspects *suspects.Args
}

// PullReply contains what is newer and the age of the data.
type PullReply struct {
	// Config is the update from the requested version, or nil if that is the newest one.
	Config        *PackedConfig
	ConfigVersion uint64
	// ConfigAge is the age of the last confirmation when the reply was created.
	ConfigAge time.Duration
	// ConfigReadAge is catalog.Snapshot.ConfigReadAge when the reply was created. Routers of earlier
	// releases send none.
	ConfigReadAge time.Duration
	// Evacuations holds all known evacuations if the requesting router may lack any of them, and is
	// empty otherwise. ConfigAge applies to it too.
	Evacuations catalog.EvacuationUpdate
	// Engines is the update from the requested version. If that version is too old, AllEngines
	// holds the full list.
	Engines    catalog.EngineUpdate
	AllEngines *PackedEngines
	// TellsEra is set by routers that tell the eras of their updates; routers of earlier releases
	// don't.
	TellsEra bool
	// EnginesAge is the age of the last confirmation when the reply was created.
	EnginesAge time.Duration
	// StoreLost means that the replying router is the reader and cannot reach the store.
	StoreLost bool
	// LostAgo is the time since a reader of the store last failed, as known to the replying router.
	LostAgo time.Duration
	// Failures holds the routers known to be unable to reach the store.
	Failures []Failure
	// Chain names the routers through which the data arrived, the replying router first and the
	// reader of the store last.
	Chain []string
	// Held is how long the reply was held. The receiver adds it to the time at which it sent the
	// pull to date the contents of the reply.
	Held time.Duration
	// Roster is the reply of the member exchange.
	Roster membership.RosterReply
	// Loads is the reply of the load exchange, or nil if there was none.
	Loads *LoadReply
	// Suspects is the reply of the exchange of suspects, or nil if there was none.
	Suspects *suspects.Reply
}

// configReadAge returns ConfigReadAge, or ConfigAge if a router of an earlier release replied.
func (r *PullReply) configReadAge() time.Duration {
	if r.TellsEra {
		return r.ConfigReadAge
	}
	return r.ConfigAge
}

// Relay replies to the pulls of other routers from the board.
type Relay struct {
	Board    *Board
	Loads    *Loads
	Roster   Roster
	Statuses *Statuses
	Suspects *suspects.Set
	Clock    Clock
	// StoreLost reports whether this router is the reader and cannot reach the store.
	StoreLost func() bool
	// LostAgo returns the time since the last known failure of a reader to reach the store.
	LostAgo func() time.Duration
	// Failures returns the routers known to be unable to reach the store.
	Failures func() []Failure
	// Chain names the routers through which the catalog of this router arrives.
	Chain func() []string
	// OnNewerConfig is called with the name of a requesting router that holds a newer configuration
	// than this one; nil for nothing.
	OnNewerConfig func(router string)
	// Done is closed when replies to pulls must no longer be held.
	Done <-chan struct{}
	Log  *log.Logger

	// packer packs each update once for all routers. reporter limits how often loads are reported.
	packer   packer
	reporter reporter
}

// Pull replies once the board holds something newer, after args.Wait, or when Done is closed. It
// replies at once if the catalog of this router comes from the requesting one, or if this router
// cannot reach the store and the requesting one does not know. It is called by net/rpc; the error
// is always nil.
func (r *Relay) Pull(args PullArgs, reply *PullReply) error {
	started := r.Clock()
	args = r.withEras(args)
	acked := uint64(0)
	if args.Loads != nil {
		acked = r.receiveReport(args.Loads, started)
	}
	if c := r.Board.Snapshot().Config; r.OnNewerConfig != nil && c != nil && args.ConfigVersion > c.Version {
		r.OnNewerConfig(args.From)
	}
	r.Suspects.Receive(args.From, args.Suspects, started)
	r.Statuses.receive(args.Statuses)
	roster := r.Roster.HandleRosterRequest(args.Roster)
	timer := time.NewTimer(pullHold(args, roster))
	defer timer.Stop()
	storeLostTicker := time.NewTicker(storeLostCheckInterval)
	defer storeLostTicker.Stop()
	for {
		changed, suspectsChanged := r.Board.Changed(), r.Suspects.Changed()
		if r.Suspects.HasNewer(args.Suspects) {
			time.Sleep(max(gatherTime, started+suspectsInterval-r.Clock()))
			break
		}
		if r.hasNewer(args) || slices.Contains(r.Chain(), args.From) || !args.KnowsLost && r.StoreLost() {
			break
		}
		select {
		case <-changed:
			continue
		case <-suspectsChanged:
			continue
		case <-storeLostTicker.C:
			continue
		case <-timer.C:
		case <-r.Done:
		}
		break
	}
	*reply = r.reply(args)
	reply.Roster = roster
	if args.Loads != nil {
		reply.Loads = r.loadReply(args.Loads, acked, r.Clock())
	}
	reply.Suspects = r.Suspects.Reply(args.From, args.Suspects, r.Clock())
	reply.Held = r.Clock() - started
	return nil
}

// withEras records the newest era that the requesting router knows. It returns the arguments with
// the eras of this router if the requesting one, of an earlier release, tells none.
func (r *Relay) withEras(args PullArgs) PullArgs {
	if args.TellsEra {
		r.Board.RecordEra(args.NewestEra)
		return args
	}
	s := r.Board.Snapshot()
	args.EnginesEra, args.EvacuationsEra = s.Engines.Era, s.Evacuations.Era()
	return args
}

// rosterHold bounds how long a reply that contains members is held. While a fleet starts, more
// members become known all the time, and the next pull requests them.
const rosterHold = 50 * time.Millisecond

// pullHold returns the longest time for which a reply is held.
func pullHold(args PullArgs, roster membership.RosterReply) time.Duration {
	hold := min(args.Wait, maxPullWait)
	if len(roster.Rows) > 0 {
		hold = min(hold, rosterHold)
	}
	return hold
}

// hasNewer reports whether the board holds something that the requesting router lacks.
func (r *Relay) hasNewer(args PullArgs) bool {
	s := r.Board.Snapshot()
	if s.Config != nil && s.Config.Version > args.ConfigVersion {
		return true
	}
	switch s.Evacuations.Era().Compare(args.EvacuationsEra) {
	case 1:
		return true
	case 0:
		if s.Evacuations.Revision() > args.Evacuations {
			return true
		}
	}
	u := s.Engines.SinceEra(args.EnginesEra, args.EnginesUpto)
	return s.Engines.Upto > 0 && (u.Full || len(u.Present)+len(u.Removed) > 0)
}

func (r *Relay) reply(args PullArgs) PullReply {
	now := r.Clock()
	s := r.Board.Snapshot()
	out := PullReply{
		ConfigAge:     s.ConfigAge(now),
		ConfigReadAge: s.ConfigReadAge(now),
		Evacuations:   s.Evacuations.SinceEra(args.EvacuationsEra, args.Evacuations),
		TellsEra:      true,
		EnginesAge:    s.EnginesAge(now),
		StoreLost:     r.StoreLost(),
		LostAgo:       r.LostAgo(),
		Failures:      r.Failures(),
		Chain:         r.Chain(),
	}
	if s.Config != nil {
		out.ConfigVersion = s.Config.Version
		if s.Config.Version > args.ConfigVersion {
			out.Config = r.configUpdate(s.Config, args.ConfigVersion)
		}
	}
	r.addEngines(&out, s.Engines, args)
	return out
}

// addEngines adds the update from the requested version to the newest one.
func (r *Relay) addEngines(out *PullReply, set *catalog.EngineSet, args PullArgs) {
	out.Engines = set.SinceEra(args.EnginesEra, args.EnginesUpto)
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

// configUpdate returns the update from a version to c, or nil if it cannot be encoded. The
// requesting router then reads the store once its data is too old.
func (r *Relay) configUpdate(c *catalog.Config, from uint64) *PackedConfig {
	packed, err := r.packer.configUpdate(c, r.Board.PastConfig(from))
	if err != nil {
		r.Log.Error("configuration update not encoded", "from", from, "version", c.Version, "cause", err)
		return nil
	}
	return packed
}
