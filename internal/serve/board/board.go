// Package board is the blackboard that controllers read and write.
//
// One goroutine owns the control state. Controllers send it changes; after
// each batch of changes it publishes an immutable Snapshot, which traffic
// goroutines read without locks. Nothing reachable from a published Snapshot
// is ever written again.
package board

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// Router is one router as this one sees it.
type Router struct {
	Name string
	// ID is the rendezvous identity of Name.
	ID uint64
	// Instance is random and tells a router's restarts apart.
	Instance uint64
	// Address is where callers connect, Control where routers do.
	Address string
	Control string
	Site    string
	// Region is that of Site, by the configuration in force; snapshots have it.
	Region  string
	Leaving bool
	// ConfigVersion is the configuration the router last said it has in force.
	ConfigVersion uint64
}

// Engine is one engine or one VM of a plain service.
type Engine struct {
	Name string
	// ID is the rendezvous identity of Name.
	ID uint64
	// Generation is the platform's count of uses of the name and the address.
	Generation uint64
	Address    string
	Site       string
	// Region is the region of Site, by the configuration in force.
	Region string
	Pool   string
	Kind   string
	// Leaving holds once any witness said so, for this generation.
	Leaving bool
	// Status is the engine's last report, as its owner passed it on.
	Status wire.EngineStatus
	// Known is set once a report of this generation has arrived.
	Known bool
	// Since is when this router first saw this incarnation, for the ramp.
	Since time.Time
	// Joined is set for an engine that came after this router had a complete view.
	Joined bool
}

// State is the control state. Only the board's goroutine touches it.
type State struct {
	// Config is what is in force; nil until the first version has arrived.
	Config *config.Effective
	// ConfigVersion is the version of Config.
	ConfigVersion uint64
	// Routers are the live and leaving routers, by name.
	Routers map[string]Router
	// Engines are the engines and service VMs, by name.
	Engines map[string]Engine
	// Draining is set once this router is to stop.
	Draining bool
}

// Group is the members of one pool in one region, in the order of their
// names. The load bound holds within a group: the sites of a region are half a
// millisecond apart, regions may lose each other.
type Group struct {
	Pool    string
	Region  string
	Engines []Engine
	// IDs are the engines' rendezvous identities, index for index.
	IDs []uint64
	// Owners are the indexes in Snapshot.Routers of the engines' owners, or -1.
	Owners []int
}

// Snapshot is an immutable view of the control state.
type Snapshot struct {
	// Revision counts published snapshots.
	Revision      uint64
	Self          string
	Config        *config.Effective
	ConfigVersion uint64
	// Routers are in the order of their names; RouterIDs match them.
	Routers []Router
	// Live are the routers that may own something: not leaving.
	Live     []Router
	LiveIDs  []uint64
	Engines  map[string]Engine
	Draining bool

	groups    map[groupKey]*Group
	byName    map[string]int
	engineID  map[uint64]string
	ownership *ownership
}

type groupKey struct{ pool, region string }

// Group returns the members of pool in region, or nil.
func (s *Snapshot) Group(pool, region string) *Group {
	return s.groups[groupKey{pool, region}]
}

// Groups returns all groups in a stable order.
func (s *Snapshot) Groups() []*Group {
	out := make([]*Group, 0, len(s.groups))
	for _, g := range s.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Pool != out[j].Pool {
			return out[i].Pool < out[j].Pool
		}
		return out[i].Region < out[j].Region
	})
	return out
}

// Router finds a router by name.
func (s *Snapshot) Router(name string) (Router, bool) {
	i, ok := s.byName[name]
	if !ok {
		return Router{}, false
	}
	return s.Routers[i], true
}

// EngineByID finds an engine by its rendezvous identity.
func (s *Snapshot) EngineByID(id uint64) (Engine, bool) {
	name, ok := s.engineID[id]
	if !ok {
		return Engine{}, false
	}
	return s.Engines[name], true
}

// EngineOwner returns the live router that owns an engine. Engines are few and
// carry the traffic, so they are spread evenly; see ownership. An engine that is
// not in the snapshot has no owner.
func (s *Snapshot) EngineOwner(id uint64) (Router, bool) {
	i, ok := s.ownership.owners[id]
	if !ok || i == rendezvous.NoOwner {
		return Router{}, false
	}
	return s.Live[i], true
}

// Owner returns the live router that owns an account or a duty, by plain
// rendezvous hashing; for engines see EngineOwner.
func (s *Snapshot) Owner(key uint64) (Router, bool) {
	i := rendezvous.Owner(key, s.LiveIDs)
	if i < 0 {
		return Router{}, false
	}
	return s.Live[i], true
}

// Rank returns the place of this router in the rendezvous order for a duty,
// 0 for the first, or -1 for a router that may not own anything.
func (s *Snapshot) Rank(duty uint64) int {
	order := rendezvous.Order(nil, duty, s.LiveIDs)
	for rank, i := range order {
		if s.Live[i].Name == s.Self {
			return rank
		}
	}
	return -1
}

// Board owns the control state of one router.
type Board struct {
	self    string
	changes chan change
	current atomic.Pointer[Snapshot]
	stopped chan struct{}
	subs    atomic.Pointer[[]func(*Snapshot)]
}

// changeBacklog is how many changes may wait; a controller that is faster
// than the board waits, it does not lose changes.
const changeBacklog = 256

// change is one controller's write; done, if set, is closed once the write
// is part of a published snapshot.
type change struct {
	apply func(*State)
	done  chan struct{}
}

// New returns a Board; Run must be called before Update has an effect.
func New(self string) *Board {
	b := &Board{self: self, changes: make(chan change, changeBacklog), stopped: make(chan struct{})}
	b.current.Store(snapshot(self, &State{}, 0, nil))
	return b
}

// Snapshot returns the newest published view.
func (b *Board) Snapshot() *Snapshot { return b.current.Load() }

// Subscribe adds f, which is called from the board's goroutine after each
// published snapshot; it must not block. Subscribe before Run.
func (b *Board) Subscribe(f func(*Snapshot)) {
	var fs []func(*Snapshot)
	if old := b.subs.Load(); old != nil {
		fs = append(fs, *old...)
	}
	fs = append(fs, f)
	b.subs.Store(&fs)
}

// Update hands a change to the board's goroutine. It returns once the change
// is queued, or when the board has stopped.
func (b *Board) Update(apply func(*State)) {
	b.send(change{apply: apply})
}

// UpdateWait is Update, but returns only after the change is in a published
// snapshot, or when the board has stopped.
func (b *Board) UpdateWait(apply func(*State)) {
	c := change{apply: apply, done: make(chan struct{})}
	b.send(c)
	select {
	case <-c.done:
	case <-b.stopped:
	}
}

func (b *Board) send(c change) {
	select {
	case b.changes <- c:
	case <-b.stopped:
	}
}

// Run owns the state until ctx ends.
func (b *Board) Run(ctx context.Context) {
	defer close(b.stopped)
	st := &State{Routers: make(map[string]Router), Engines: make(map[string]Engine)}
	revision := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-b.changes:
			batch := b.batch(c)
			for _, c := range batch {
				c.apply(st)
			}
			revision++
			b.publish(snapshot(b.self, st, revision, b.Snapshot()))
			release(batch)
		}
	}
}

// batch takes what else is waiting, so that a burst costs one snapshot.
func (b *Board) batch(first change) []change {
	all := []change{first}
	for len(all) < changeBacklog {
		select {
		case c := <-b.changes:
			all = append(all, c)
		default:
			return all
		}
	}
	return all
}

func release(batch []change) {
	for _, c := range batch {
		if c.done != nil {
			close(c.done)
		}
	}
}

func (b *Board) publish(s *Snapshot) {
	b.current.Store(s)
	subs := b.subs.Load()
	if subs == nil {
		return
	}
	for _, f := range *subs {
		f(s)
	}
}
