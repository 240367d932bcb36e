// Package feed keeps a router's catalog current: one router reads the
// platform's store, the others ask it, or one that asked it, for what changed
// and how old that is. Who asks whom is decided in ParentOf.
package feed

import (
	"context"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// expiryInterval is how often engines in doubt are looked at.
const expiryInterval = 100 * time.Millisecond

// Clock reads the time since the VM booted, suspends included.
type Clock func() time.Duration

// Board owns the catalog. One goroutine applies updates and publishes
// snapshots, which anyone may read.
type Board struct {
	clock Clock
	// lapse is the shortest outage of the store in which an engine's entry
	// can go although the engine lives.
	lapse    atomic.Int64
	updates  chan update
	snapshot atomic.Pointer[catalog.Snapshot]
	changed  atomic.Pointer[chan struct{}]
	// past holds the configurations before the present one, oldest first.
	past atomic.Pointer[[]*catalog.Config]
}

// maxPast is how many configurations are kept for routers that are behind. A
// router that is further behind gets the whole.
const maxPast = 16

// Past returns an earlier configuration, or nil if it is not kept.
func (b *Board) Past(version uint64) *catalog.Config {
	for _, c := range *b.past.Load() {
		if c.Version == version {
			return c
		}
	}
	return nil
}

// remember keeps a configuration that is being replaced.
func (b *Board) remember(c *catalog.Config) {
	kept := *b.past.Load()
	if n := len(kept) + 1 - maxPast; n > 0 {
		kept = kept[n:]
	}
	next := append(append([]*catalog.Config(nil), kept...), c)
	b.past.Store(&next)
}

// lapsedBeats is how many renewals of an entry an outage must cover, after which
// the next one is the third that is missed.
const lapsedBeats = 2

// NewBoard returns a board with an empty catalog. Engines renew their entries
// each beat. Run makes the board work.
func NewBoard(clock Clock, beat time.Duration) *Board {
	b := &Board{
		clock:   clock,
		updates: make(chan update),
	}
	b.SetBeat(beat)
	b.snapshot.Store(catalog.Empty())
	b.past.Store(&[]*catalog.Config{})
	changed := make(chan struct{})
	b.changed.Store(&changed)
	return b
}

// SetBeat says how often engines renew their entries.
func (b *Board) SetBeat(beat time.Duration) { b.lapse.Store(int64(lapsedBeats * beat)) }

// Snapshot returns the newest catalog.
func (b *Board) Snapshot() *catalog.Snapshot { return b.snapshot.Load() }

// Changed returns a channel that is closed at the next change of content;
// confirmations of what was known already do not count.
func (b *Board) Changed() <-chan struct{} { return *b.changed.Load() }

// Run applies updates until the context ends.
func (b *Board) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-b.updates:
			b.apply(u.change)
			close(u.applied)
		case <-ticker.C:
			b.apply(b.expire)
		}
	}
}

func (b *Board) expire(s *catalog.Snapshot) (*catalog.Snapshot, bool) {
	set, changed := s.Engines.Expire(b.clock())
	if !changed {
		return s, false
	}
	next := *s
	next.Engines = set
	return &next, true
}

func (b *Board) apply(update func(*catalog.Snapshot) (*catalog.Snapshot, bool)) {
	last := b.snapshot.Load()
	next, changed := update(last)
	if last.Config != nil && next.Config != last.Config {
		b.remember(last.Config)
	}
	b.snapshot.Store(next)
	if !changed {
		return
	}
	fresh := make(chan struct{})
	close(*b.changed.Swap(&fresh))
}

// PutConfig hands over a configuration that was confirmed by a call sent at
// asOf, and what the call said of evacuations. It returns once snapshots have it, or the
// context has ended: a writer that went on at once would ask for the same again.
func (b *Board) PutConfig(ctx context.Context, c *catalog.Config, evacuations catalog.EvacuationUpdate, asOf time.Duration) {
	b.put(ctx, func(s *catalog.Snapshot) (*catalog.Snapshot, bool) {
		s, moved := s.WithEvacuations(evacuations)
		s, replaced := s.WithConfig(c, asOf)
		return s, moved || replaced
	})
}

// PutEngines hands over an update of the engines; see PutConfig. LostAgo is how
// long ago a reader last failed to reach the store, as known. It returns the changes that the
// update made, or none if the context ended before it was applied.
func (b *Board) PutEngines(ctx context.Context, u catalog.EngineUpdate, asOf, lostAgo time.Duration) catalog.EngineChanges {
	var changes catalog.EngineChanges
	applied := b.put(ctx, func(s *catalog.Snapshot) (*catalog.Snapshot, bool) {
		next, changed := s.WithEngines(u, asOf, time.Duration(b.lapse.Load()), lostAgo)
		if changed {
			changes = s.Engines.ChangesTo(next.Engines)
		}
		return next, changed
	})
	if !applied {
		// The board's goroutine may still be writing to changes.
		return catalog.EngineChanges{}
	}
	return changes
}

// update is a change for the board's goroutine.
type update struct {
	change func(*catalog.Snapshot) (*catalog.Snapshot, bool)
	// applied is closed once snapshots have the change.
	applied chan struct{}
}

// put waits until the change is applied and returns true. It returns false if the context ends
// first; the change may still be applied after that.
func (b *Board) put(ctx context.Context, change func(*catalog.Snapshot) (*catalog.Snapshot, bool)) bool {
	u := update{change: change, applied: make(chan struct{})}
	select {
	case b.updates <- u:
	case <-ctx.Done():
		return false
	}
	select {
	case <-u.applied:
		return true
	case <-ctx.Done():
		return false
	}
}
