// Package board holds the control state of one router: the state of the fleet as its controllers
// know it.
//
// One goroutine owns the control state. Controllers send it changes; after each batch of changes it
// publishes an immutable Snapshot, which request goroutines read without locks. Nothing reachable
// from a published Snapshot may be written again.
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

// Router is a router of the fleet, as known to the router that runs this board; it may be that
// router itself.
type Router struct {
	Name string
	// ID is the rendezvous identity of Name.
	ID uint64
	// Instance is a random number that differs after a restart of the router.
	Instance uint64
	// Address is the host and port that callers connect to, Control the one that routers connect
	// to.
	Address string
	Control string
	Site    string
	// Region is the region of Site in the active configuration. It is only set in snapshots.
	Region   string
	Draining bool
	// ConfigVersion is the version of the active configuration that the router last reported.
	ConfigVersion uint64
}

// Engine is an engine, or a VM of a service without a model.
type Engine struct {
	Name string
	// ID is the rendezvous identity of Name.
	ID uint64
	// Generation is the platform's count of reuses of the name and the address.
	Generation uint64
	Address    string
	Site       string
	// Region is the region of Site in the active configuration.
	Region string
	Pool   string
	Kind   string
	// Leaving is set once any source reported that this generation is draining, and is never reset.
	Leaving bool
	// Status is the report that last changed the incarnation, model, version or draining state,
	// without request IDs.
	Status wire.EngineStatus
	// Reported is set once a report of this generation was received.
	Reported bool
	// FirstSeen is the time when this router first saw this generation.
	FirstSeen time.Time
	// Joined is set for an engine that appeared after this router had read the first complete list.
	Joined bool
}

// State is the control state. Only the board's goroutine may access it.
type State struct {
	// Config is the active configuration, or nil until the first version was received.
	Config *config.Effective
	// ConfigVersion is the version of Config.
	ConfigVersion uint64
	// Routers are the live and draining routers by name.
	Routers map[string]Router
	// Engines are the engines and service VMs by name.
	Engines map[string]Engine
	// Draining is set once this router is shutting down.
	Draining bool
}

// Group is the engines of one pool in one region, sorted by name. The load bound applies within a
// group, because sites of a region are half a millisecond apart, while the network between regions
// can fail.
type Group struct {
	Pool    string
	Region  string
	Engines []Engine
	// IDs are the rendezvous identities of Engines, index for index.
	IDs []uint64
	// Owners are the indexes in Snapshot.Routers of the engines' owners, or -1 for an engine
	// without an owner.
	Owners []int
}

// Snapshot is an immutable view of the control state.
type Snapshot struct {
	// Revision counts the published snapshots.
	Revision      uint64
	Self          string
	Config        *config.Effective
	ConfigVersion uint64
	// Routers are sorted by name.
	Routers []Router
	// Live are the routers that may own accounts, engines and duties: those that are not draining.
	// LiveIDs are their rendezvous identities, index for index.
	Live     []Router
	LiveIDs  []uint64
	Engines  map[string]Engine
	Draining bool

	groups        map[groupKey]*Group
	routerIndexes map[string]int
	engineNames   map[uint64]string
	ownership     *ownership
}

type groupKey struct{ pool, region string }

// Group returns the engines of a pool in a region, or nil.
func (s *Snapshot) Group(pool, region string) *Group {
	return s.groups[groupKey{pool, region}]
}

// Groups returns all groups, sorted by pool and region.
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

// Router returns the router with the given name.
func (s *Snapshot) Router(name string) (Router, bool) {
	i, ok := s.routerIndexes[name]
	if !ok {
		return Router{}, false
	}
	return s.Routers[i], true
}

// EngineByID returns the engine with the given rendezvous identity.
func (s *Snapshot) EngineByID(id uint64) (Engine, bool) {
	name, ok := s.engineNames[id]
	if !ok {
		return Engine{}, false
	}
	return s.Engines[name], true
}

// EngineOwner returns the live router that owns an engine, or false for an engine that is not in
// the snapshot. Because engines are few and carry the traffic, they are spread evenly over the
// routers, which plain rendezvous hashing would not do.
func (s *Snapshot) EngineOwner(id uint64) (Router, bool) {
	i, ok := s.ownership.owners[id]
	if !ok || i == rendezvous.NoOwner {
		return Router{}, false
	}
	return s.Live[i], true
}

// Owner returns the live router that owns an account or a duty, by plain rendezvous hashing. For
// engines see EngineOwner.
func (s *Snapshot) Owner(key uint64) (Router, bool) {
	i := rendezvous.Owner(key, s.LiveIDs)
	if i < 0 {
		return Router{}, false
	}
	return s.Live[i], true
}

// Rank returns the position of this router in the rendezvous order for a duty, with 0 for the
// first, or -1 if this router may not own anything.
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
	self        string
	changes     chan change
	current     atomic.Pointer[Snapshot]
	stopped     chan struct{}
	subscribers atomic.Pointer[[]func(*Snapshot)]
}

// changeBacklog bounds the queued changes. A controller that sends changes faster than the board
// applies them blocks; no change is lost.
const changeBacklog = 256

// change is a change by a controller. done, if set, is closed once the change is part of a
// published snapshot.
type change struct {
	apply func(*State)
	done  chan struct{}
}

// New returns a Board. Updates are applied only while Run executes.
func New(self string) *Board {
	b := &Board{self: self, changes: make(chan change, changeBacklog), stopped: make(chan struct{})}
	b.current.Store(newSnapshot(self, &State{}, 0, nil))
	return b
}

// Snapshot returns the last published snapshot.
func (b *Board) Snapshot() *Snapshot { return b.current.Load() }

// Subscribe adds a function that is called on the board's goroutine after each published snapshot.
// It must not block, and must be added before Run is called.
func (b *Board) Subscribe(f func(*Snapshot)) {
	var added []func(*Snapshot)
	if current := b.subscribers.Load(); current != nil {
		added = append(added, *current...)
	}
	added = append(added, f)
	b.subscribers.Store(&added)
}

// Update queues a change for the board's goroutine. It returns once the change is queued, or when
// the board has stopped.
func (b *Board) Update(apply func(*State)) {
	b.enqueue(change{apply: apply})
}

// UpdateWait queues a change and returns once it is part of a published snapshot, or when the board
// has stopped.
func (b *Board) UpdateWait(apply func(*State)) {
	c := change{apply: apply, done: make(chan struct{})}
	b.enqueue(c)
	select {
	case <-c.done:
	case <-b.stopped:
	}
}

func (b *Board) enqueue(c change) {
	select {
	case b.changes <- c:
	case <-b.stopped:
	}
}

// Run applies changes and publishes snapshots until ctx ends.
func (b *Board) Run(ctx context.Context) {
	defer close(b.stopped)
	st := &State{Routers: make(map[string]Router), Engines: make(map[string]Engine)}
	revision := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-b.changes:
			batch := b.collectBatch(c)
			for _, c := range batch {
				c.apply(st)
			}
			revision++
			b.publish(newSnapshot(b.self, st, revision, b.Snapshot()))
			closeDone(batch)
		}
	}
}

// collectBatch returns the first change and all that are queued after it, so that a burst of
// changes costs one snapshot.
func (b *Board) collectBatch(first change) []change {
	batch := []change{first}
	for len(batch) < changeBacklog {
		select {
		case c := <-b.changes:
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

func closeDone(batch []change) {
	for _, c := range batch {
		if c.done != nil {
			close(c.done)
		}
	}
}

func (b *Board) publish(s *Snapshot) {
	b.current.Store(s)
	subscribers := b.subscribers.Load()
	if subscribers == nil {
		return
	}
	for _, f := range *subscribers {
		f(s)
	}
}
