// Package feed keeps the catalog of each router current. One router reads the platform's store; the
// others pull changes, with the age of the data, from it or from a router that pulls from it.
// ParentOf decides which router pulls from which.
package feed

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// expiryInterval is how often the board checks for doubtful engines whose time in service without
// an entry has ended.
const expiryInterval = 100 * time.Millisecond

// Clock returns the time since the VM booted, including time in suspend.
type Clock func() time.Duration

// Board owns the catalog. One goroutine applies updates and publishes immutable snapshots that any
// goroutine may read.
type Board struct {
	clock Clock
	// minOutage is the shortest store outage, in nanoseconds, that can expire the entry of a live
	// engine.
	minOutage atomic.Int64
	updates   chan update
	snapshot  atomic.Pointer[catalog.Snapshot]
	changed   atomic.Pointer[chan struct{}]
	// newestEra is the newest era of the store that this router knows of, from the store or from
	// another router. The catalog may still be of an earlier one.
	newestEra atomic.Pointer[catalog.Era]
	// pastConfigs holds the configurations before the current one, oldest first.
	pastConfigs atomic.Pointer[[]*catalog.Config]
}

// maxPastConfigs is how many past configurations are retained to compute incremental updates. A
// router whose configuration is older gets a full one.
const maxPastConfigs = 16

// PastConfig returns a past configuration, or nil if it is no longer retained.
func (b *Board) PastConfig(version uint64) *catalog.Config {
	for _, c := range *b.pastConfigs.Load() {
		if c.Version == version {
			return c
		}
	}
	return nil
}

// RecordEra records that an era of the store exists.
func (b *Board) RecordEra(era catalog.Era) {
	for {
		last := b.newestEra.Load()
		if !era.After(*last) || b.newestEra.CompareAndSwap(last, &era) {
			return
		}
	}
}

// NewestEra returns the newest era of the store that this router knows of.
func (b *Board) NewestEra() catalog.Era { return *b.newestEra.Load() }

// Era returns the newest era of the store, and whether this router has followed a return of the store
// from an older copy.
func (b *Board) Era() (era catalog.Era, returned bool) {
	return b.NewestEra(), b.Snapshot().FollowedReturn
}

// keepPastConfig adds a configuration that is about to be replaced to the past ones.
func (b *Board) keepPastConfig(c *catalog.Config) {
	kept := *b.pastConfigs.Load()
	if n := len(kept) + 1 - maxPastConfigs; n > 0 {
		kept = kept[n:]
	}
	next := append(append([]*catalog.Config(nil), kept...), c)
	b.pastConfigs.Store(&next)
}

// minOutageRenewals is the minimum duration of a store outage, in renewal intervals, that can make
// an entry expire. After it, the next renewal is the third that the engine misses.
const minOutageRenewals = 2

// NewBoard returns a Board with an empty catalog. Engines renew their entries every renewInterval.
// Updates are applied only while Run is running.
func NewBoard(clock Clock, renewInterval time.Duration) *Board {
	b := &Board{
		clock:   clock,
		updates: make(chan update),
	}
	b.SetRenewInterval(renewInterval)
	b.snapshot.Store(catalog.NewSnapshot())
	b.newestEra.Store(&catalog.Era{})
	b.pastConfigs.Store(&[]*catalog.Config{})
	changed := make(chan struct{})
	b.changed.Store(&changed)
	return b
}

// SetRenewInterval sets how often engines renew their entries.
func (b *Board) SetRenewInterval(renewInterval time.Duration) {
	b.minOutage.Store(int64(minOutageRenewals * renewInterval))
}

// Snapshot returns the current catalog.
func (b *Board) Snapshot() *catalog.Snapshot { return b.snapshot.Load() }

// Changed returns a channel that is closed at the next change of the content. A confirmation of
// known content is not a change.
func (b *Board) Changed() <-chan struct{} { return *b.changed.Load() }

// Run applies updates until the context is canceled.
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
	now := b.clock()
	s = s.ReviewLeaving(now)
	s, sitesChanged := s.ExpireKeptEvacuations(now)
	set, enginesChanged := s.Engines.Expire(now)
	if !enginesChanged {
		return s, sitesChanged
	}
	next := *s
	next.Engines = set
	return &next, true
}

func (b *Board) apply(update func(*catalog.Snapshot) (*catalog.Snapshot, bool)) {
	last := b.snapshot.Load()
	next, changed := update(last)
	if last.Config != nil && next.Config != last.Config {
		b.keepPastConfig(last.Config)
	}
	b.snapshot.Store(next)
	if !changed {
		return
	}
	nextChanged := make(chan struct{})
	close(*b.changed.Swap(&nextChanged))
}

// PutConfig applies a configuration and an evacuation update that were confirmed by a call sent at
// asOf, as far as they are not of an earlier era than the known ones. It returns true once snapshots
// contain them, or false if the context ends first: the update may then never be applied. If it
// returned earlier, the goroutine that requests the data would request the same data again.
func (b *Board) PutConfig(ctx context.Context, c *catalog.Config, evacuations catalog.EvacuationUpdate, asOf time.Duration) (applied bool) {
	return b.PutRelayedConfig(ctx, c, evacuations, asOf, asOf)
}

// PutRelayedConfig is PutConfig for an update of another router, which last read its source at
// readAsOf.
func (b *Board) PutRelayedConfig(ctx context.Context, c *catalog.Config, evacuations catalog.EvacuationUpdate, asOf, readAsOf time.Duration) (applied bool) {
	b.RecordEra(evacuations.Era)
	return b.put(ctx, func(s *catalog.Snapshot) (*catalog.Snapshot, bool) {
		s, evacuationsChanged := s.WithEvacuations(evacuations, readAsOf)
		s, configChanged := s.WithConfig(c, asOf)
		if c == s.Config {
			s = s.WithConfigRead(readAsOf)
		}
		return s, evacuationsChanged || configChanged
	})
}

// PutEngines applies an engine update that was confirmed by a call sent at asOf; see PutConfig.
// lostAgo is the time since the last known failure of a reader to reach the store. PutEngines
// returns the changes made by the update, and false if the context ended before it was applied.
func (b *Board) PutEngines(ctx context.Context, u catalog.EngineUpdate, asOf, lostAgo time.Duration) (changes catalog.EngineChanges, applied bool) {
	b.RecordEra(u.Era)
	applied = b.put(ctx, func(s *catalog.Snapshot) (*catalog.Snapshot, bool) {
		next, changed := s.WithEngines(u, asOf, time.Duration(b.minOutage.Load()), lostAgo)
		if changed {
			changes = s.ChangesTo(next)
		}
		return next, changed
	})
	if !applied {
		// The goroutine of the board may still be writing to changes.
		return catalog.EngineChanges{}, false
	}
	return changes, true
}

// PutVersions adds the versions of engines whose entries lack them; see PutConfig.
func (b *Board) PutVersions(ctx context.Context, entries []catalog.Engine) {
	b.put(ctx, func(s *catalog.Snapshot) (*catalog.Snapshot, bool) {
		next := *s
		next.Engines = s.Engines.WithVersions(entries)
		return &next, true
	})
}

// PutLeaving applies announcements of engines that they will stop, and returns those that were not
// known; see PutConfig. It returns none if the context is canceled first.
func (b *Board) PutLeaving(ctx context.Context, starts []catalog.LeavingStart) []catalog.LeavingStart {
	var added []catalog.LeavingStart
	applied := b.put(ctx, func(s *catalog.Snapshot) (*catalog.Snapshot, bool) {
		now := b.clock()
		needed := slices.DeleteFunc(slices.Clone(starts), func(start catalog.LeavingStart) bool { return !s.NeedsLeaving(start, now) })
		next, fresh := s.WithLeaving(needed, now)
		added = fresh
		return next, false
	})
	if !applied {
		return nil
	}
	return added
}

// update is a change to be applied by the goroutine of the board.
type update struct {
	change func(*catalog.Snapshot) (*catalog.Snapshot, bool)
	// applied is closed once snapshots contain the change.
	applied chan struct{}
}

// put waits until the change is applied and returns true. It returns false if the context is
// canceled first; the change may still be applied later.
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
