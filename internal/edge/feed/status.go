package feed

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// State is the current state of a router, for operators.
type State string

// States of a router.
const (
	StateServing State = "serving"
	// StateNotReady means that the router has no sufficiently recent configuration.
	StateNotReady State = "not ready"
	StateLeaving  State = "leaving"
	// StateStoreLost means that the router serves requests but cannot reach the store, or was
	// informed that no router can.
	StateStoreLost State = "store lost"
	// StateCutOff means that the router has a path of its own to no engine of some service. It serves
	// requests through other routers.
	StateCutOff State = "cut off"
	// StateNotHeard means that the router is a member from which no status has arrived.
	StateNotHeard State = "not heard"
)

// Status describes a router for operators. Ages are as of the time at which the status was created.
type Status struct {
	Router string `json:"router"`
	Site   string `json:"site"`
	State  State  `json:"state"`
	// Settings is the digest of the active settings, SettingsAge the time since they took effect.
	Settings    string        `json:"settings"`
	SettingsAge time.Duration `json:"settings_age"`
	// Waiting lists the fields of the settings file that take effect at a restart. Problem
	// describes an invalid file and is empty if there is none.
	Waiting []string `json:"waiting,omitempty"`
	Problem string   `json:"problem,omitempty"`
	// Config is the version of the active configuration, ConfigAge the time since it was last
	// confirmed. Both are zero for none.
	Config    uint64        `json:"config"`
	ConfigAge time.Duration `json:"config_age"`
	// Evacuated lists the sites that an operator has evacuated: the router sends no requests to
	// their engines.
	Evacuated []string `json:"evacuated,omitempty"`
	// StoreEra is the era of the store that the router's engines are of; empty if the store states
	// none and the router has found no return from an older copy.
	StoreEra string `json:"store_era,omitempty"`
	// CutOff lists the services of which the router has a path of its own to no engine, and Through the
	// routers through which it reaches engines. Routers of earlier releases send neither.
	CutOff  []string `json:"cut_off,omitempty"`
	Through []string `json:"through,omitempty"`
	// ShortOfMemory is set if the router has lately refused requests because others hold all of the memory
	// for requests. Routers of earlier releases don't send it.
	ShortOfMemory bool `json:"short_of_memory,omitempty"`
	// Version is the version of the program, UpFor the uptime of the process. Boot distinguishes
	// processes of the same router.
	Version string        `json:"version"`
	UpFor   time.Duration `json:"up_for"`
	Boot    uint64        `json:"boot"`
	// Age is the time since the router created this status.
	Age time.Duration `json:"age"`
}

// agedBy returns the status with its ages increased by d.
func (s Status) agedBy(d time.Duration) Status {
	s.SettingsAge += d
	s.ConfigAge += d
	s.UpFor += d
	s.Age += d
	return s
}

// sameContent reports whether two statuses differ only in their ages.
func (s Status) sameContent(o Status) bool {
	return s.Router == o.Router && s.Boot == o.Boot && s.State == o.State && s.Settings == o.Settings &&
		s.Config == o.Config && s.StoreEra == o.StoreEra && s.Problem == o.Problem && slices.Equal(s.Waiting, o.Waiting) && slices.Equal(s.CutOff, o.CutOff) &&
		slices.Equal(s.Evacuated, o.Evacuated) && s.ShortOfMemory == o.ShortOfMemory
}

const (
	// statusRefresh is how often an unchanged status is sent again, which bounds the error of its
	// ages. It costs about ten bytes a second for each router.
	statusRefresh = 5 * time.Second
	// statusLifetime is the age up to which a status counts.
	statusLifetime = 3 * statusRefresh
)

// Statuses holds the status of this router and those of its descendants. It is sent to the parent
// with the pulls, so that the first router of the fleet holds all of them. It is safe for
// concurrent use.
type Statuses struct {
	own   func() Status
	clock Clock

	mu       sync.Mutex
	received map[string]timedStatus
	// sent holds the status last sent about each router and when it was sent. parent is the router
	// to which they were sent.
	parent string
	sent   map[string]timedStatus
}

// timedStatus is a status as of a time on the boot clock.
type timedStatus struct {
	status Status
	at     time.Duration
}

// NewStatuses returns a Statuses. own returns the status of this router.
func NewStatuses(own func() Status, clock Clock) *Statuses {
	return &Statuses{own: own, clock: clock, received: make(map[string]timedStatus), sent: make(map[string]timedStatus)}
}

// receive records the statuses sent by another router about itself and its descendants.
func (s *Statuses) receive(list []Status) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range list {
		have, known := s.received[status.Router]
		if known && have.status.agedBy(now-have.at).Age < status.Age {
			// A router that just changed its parent is reported by both the old and the new one.
			continue
		}
		s.received[status.Router] = timedStatus{status: status, at: now}
	}
}

// All returns the statuses of this router and its descendants, sorted by name.
func (s *Statuses) All() []Status {
	own := s.own()
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Status{own}
	for name, entry := range s.received {
		status := entry.status.agedBy(now - entry.at)
		if status.Age > statusLifetime {
			delete(s.received, name)
			continue
		}
		if name != own.Router {
			out = append(out, status)
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Router, b.Router) })
	return out
}

// nextUpdate returns the statuses to send to the parent and records them as sent.
func (s *Statuses) nextUpdate(parent string) []Status {
	all := s.All()
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parent != parent {
		s.parent = parent
		clear(s.sent)
	}
	var out []Status
	for _, status := range all {
		last, known := s.sent[status.Router]
		if known && last.status.sameContent(status) && now-last.at < statusRefresh {
			continue
		}
		s.sent[status.Router] = timedStatus{status: status, at: now}
		out = append(out, status)
	}
	return out
}

// resetSent makes the next update a full one. It is called after a failed pull, when it is unknown
// whether the parent received the last update.
func (s *Statuses) resetSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.sent)
}

// FleetMethod is the RPC name of Relay.Fleet.
const FleetMethod = RelayName + ".Fleet"

// FleetArgs requests the statuses that a router holds.
type FleetArgs struct{}

// FleetReply is the reply to FleetArgs.
type FleetReply struct{ Statuses []Status }

// Fleet replies with the statuses that this router holds. It is called by net/rpc; the error is
// always nil.
func (r *Relay) Fleet(_ FleetArgs, reply *FleetReply) error {
	reply.Statuses = r.Statuses.All()
	return nil
}

// Fleet is the state of the whole fleet as determined by one router.
type Fleet struct {
	// SeenBy is the router that was queried, ToldBy the router that supplied the list of statuses.
	SeenBy   string   `json:"seen_by"`
	ToldBy   string   `json:"told_by"`
	Statuses []Status `json:"routers"`
}

// maxFleetCalls is how many routers are called for the list.
const maxFleetCalls = 3

// Fleet returns the statuses of all members. It requests them from the router at the top of the
// pull tree, which receives all of them, or from the next routers in the order of ComparePeers if
// that call fails. Members without a status are listed as StateNotHeard.
func (f *Follower) Fleet(ctx context.Context) Fleet {
	out := Fleet{SeenBy: f.Self.Name, ToldBy: f.Self.Name}
	chain := f.Chain()
	top := chain[len(chain)-1]
	order := slices.Clone(f.Live())
	slices.SortFunc(order, func(a, b Peer) int {
		if (a.Name == top) != (b.Name == top) {
			return trueFirst(a.Name == top)
		}
		return ComparePeers(a, b)
	})
	for _, p := range order[:min(maxFleetCalls, len(order))] {
		if p.Name == f.Self.Name {
			break
		}
		var reply FleetReply
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		err := f.Call(callCtx, p, FleetMethod, FleetArgs{}, &reply)
		cancel()
		if err == nil {
			out.ToldBy, out.Statuses = p.Name, reply.Statuses
			break
		}
		f.Log.Warn("list of routers not received", "from", p.Name, "cause", err)
	}
	if out.Statuses == nil {
		out.Statuses = f.Statuses.All()
	}
	out.addMissing(order)
	return out
}

// trueFirst sorts true before false.
func trueFirst(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// addMissing adds the members without a status.
func (f *Fleet) addMissing(members []Peer) {
	for _, p := range members {
		if !slices.ContainsFunc(f.Statuses, func(s Status) bool { return s.Router == p.Name }) {
			f.Statuses = append(f.Statuses, Status{Router: p.Name, Site: p.Site, State: StateNotHeard})
		}
	}
	slices.SortFunc(f.Statuses, func(a, b Status) int { return strings.Compare(a.Router, b.Router) })
}
