package feed

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// State is what a router does at present, for operators.
type State string

// The states of a router.
const (
	StateServing State = "serving"
	// StateNotReady routers know no configuration that is young enough.
	StateNotReady State = "not ready"
	StateLeaving  State = "leaving"
	// StateStoreLost routers serve, but can't reach the store, or hear that nobody can.
	StateStoreLost State = "store lost"
	// StateUnheard routers are members whose word has not come.
	StateUnheard State = "not heard"
)

// Status is what a router says of itself, for operators. Ages are as of the moment at which it
// says so.
type Status struct {
	Router string `json:"router"`
	Site   string `json:"site"`
	State  State  `json:"state"`
	// Settings is the digest of the settings in force, SettingsAge since when they are.
	Settings    string        `json:"settings"`
	SettingsAge time.Duration `json:"settings_age"`
	// Waiting are the fields of the settings file that wait for a restart, Problem what is
	// wrong with the file; empty for nothing.
	Waiting []string `json:"waiting,omitempty"`
	Problem string   `json:"problem,omitempty"`
	// Config is the version of the configuration in force, ConfigAge how long ago it was
	// last confirmed; zero and zero for none.
	Config    uint64        `json:"config"`
	ConfigAge time.Duration `json:"config_age"`
	// Evacuated are the sites whose engines get no requests from it by an operator's order.
	Evacuated []string `json:"evacuated,omitempty"`
	// Version is the program's, UpFor how long the process has run, and Boot tells it from
	// others of the same name.
	Version string        `json:"version"`
	UpFor   time.Duration `json:"up_for"`
	Boot    uint64        `json:"boot"`
	// Age is how long ago the router said so.
	Age time.Duration `json:"age"`
}

// after is the status as it is told d later.
func (s Status) after(d time.Duration) Status {
	s.SettingsAge += d
	s.ConfigAge += d
	s.UpFor += d
	s.Age += d
	return s
}

// sameAs says whether it says the same as another one but for the time that has passed.
func (s Status) sameAs(o Status) bool {
	return s.Router == o.Router && s.Boot == o.Boot && s.State == o.State && s.Settings == o.Settings &&
		s.Config == o.Config && s.Problem == o.Problem && slices.Equal(s.Waiting, o.Waiting) &&
		slices.Equal(s.Evacuated, o.Evacuated)
}

const (
	// statusRefresh is how often a status is told again that has not changed: its ages are
	// known that well, at some ten bytes a second for each router.
	statusRefresh = 5 * time.Second
	// statusLifetime is how long a status counts.
	statusLifetime = 3 * statusRefresh
)

// Statuses is what a router knows of itself and of those that ask it. It is told upwards with
// the pulls, so that the first of the fleet knows all. It is safe for concurrent use.
type Statuses struct {
	own   func() Status
	clock Clock

	mu    sync.Mutex
	below map[string]heardStatus
	// told is what the router above was told of each router, and when.
	parent string
	told   map[string]heardStatus
}

// heardStatus is a status as of a boot time.
type heardStatus struct {
	status Status
	at     time.Duration
}

// NewStatuses returns a Statuses; own returns what this router says of itself.
func NewStatuses(own func() Status, clock Clock) *Statuses {
	return &Statuses{own: own, clock: clock, below: make(map[string]heardStatus), told: make(map[string]heardStatus)}
}

// hear takes what another router tells of itself and of those below it.
func (s *Statuses) hear(list []Status) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, status := range list {
		have, known := s.below[status.Router]
		if known && have.status.after(now-have.at).Age < status.Age {
			// A router that has just changed the one above is told of by both.
			continue
		}
		s.below[status.Router] = heardStatus{status: status, at: now}
	}
}

// All returns this router's status and those of the routers below, by name.
func (s *Statuses) All() []Status {
	own := s.own()
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Status{own}
	for name, heard := range s.below {
		status := heard.status.after(now - heard.at)
		if status.Age > statusLifetime {
			delete(s.below, name)
			continue
		}
		if name != own.Router {
			out = append(out, status)
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Router, b.Router) })
	return out
}

// due returns what is to be told to the router above, and takes it for told.
func (s *Statuses) due(parent string) []Status {
	all := s.All()
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parent != parent {
		s.parent = parent
		clear(s.told)
	}
	var out []Status
	for _, status := range all {
		told, known := s.told[status.Router]
		if known && told.status.sameAs(status) && now-told.at < statusRefresh {
			continue
		}
		s.told[status.Router] = heardStatus{status: status, at: now}
		out = append(out, status)
	}
	return out
}

// failed notes that it is not known whether the router above got what was due.
func (s *Statuses) failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.told)
}

// FleetMethod is the name under which Relay.Fleet is called.
const FleetMethod = RelayName + ".Fleet"

// FleetArgs asks for the statuses that a router knows.
type FleetArgs struct{}

// FleetReply is the answer to FleetArgs.
type FleetReply struct{ Statuses []Status }

// Fleet answers with the statuses that this router knows. It is called by net/rpc; the error is
// always nil.
func (r *Relay) Fleet(_ FleetArgs, reply *FleetReply) error {
	reply.Statuses = r.Statuses.All()
	return nil
}

// Fleet is the whole fleet as one router finds out.
type Fleet struct {
	// SeenBy is the router that was asked, ToldBy the one whose list it is.
	SeenBy   string   `json:"seen_by"`
	ToldBy   string   `json:"told_by"`
	Statuses []Status `json:"routers"`
}

// fleetTries is how many routers are asked for the list.
const fleetTries = 3

// Fleet returns the status of all members: from the router at the top of the tree of pulls,
// which is told of all, or, if that can't be asked, from the next one in the order. Members of
// whom it has no word are listed as such.
func (f *Follower) Fleet(ctx context.Context) Fleet {
	out := Fleet{SeenBy: f.Self.Name, ToldBy: f.Self.Name}
	chain := f.Chain()
	top := chain[len(chain)-1]
	order := slices.Clone(f.Live())
	slices.SortFunc(order, func(a, b Peer) int {
		if (a.Name == top) != (b.Name == top) {
			return boolOrder(a.Name == top)
		}
		return ComparePeers(a, b)
	})
	for _, p := range order[:min(fleetTries, len(order))] {
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
		f.Log.Warn("list of routers not had", "from", p.Name, "cause", err)
	}
	if out.Statuses == nil {
		out.Statuses = f.Statuses.All()
	}
	out.addUnheard(order)
	return out
}

// boolOrder sorts what is true first.
func boolOrder(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// addUnheard adds the members of whom there is no word.
func (l *Fleet) addUnheard(members []Peer) {
	for _, p := range members {
		if !slices.ContainsFunc(l.Statuses, func(s Status) bool { return s.Router == p.Name }) {
			l.Statuses = append(l.Statuses, Status{Router: p.Name, Site: p.Site, State: StateUnheard})
		}
	}
	slices.SortFunc(l.Statuses, func(a, b Status) int { return strings.Compare(a.Router, b.Router) })
}
