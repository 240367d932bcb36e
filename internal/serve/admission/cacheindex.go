package admission

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/prefix"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

const (
	// DefaultRecentChats is the default capacity of the table of recent chats.
	// At 36.5 bytes each (go test -bench Memory ./internal/decide/prefix) it
	// takes 1.8 MB.
	DefaultRecentChats = 50_000
	// maxViewPrefixes limits the prefixes recorded for one engine's cache.
	maxViewPrefixes = 20_000
	// maxEvidence limits the engines that Evidence returns.
	maxEvidence = 8
)

// CacheIndex records at which engines prompt prefixes are cached, as far as this
// router knows. It is safe for concurrent use.
type CacheIndex struct {
	mu       sync.Mutex
	recent   *prefix.RecentChats
	views    map[uint64]*prefix.CacheView
	viewList []*prefix.CacheView
	seed     uint64
	epoch    time.Time
	scratch  []prefix.Evidence
	// incarnations maps engine IDs to the current incarnations.
	incarnations map[uint64]uint64
}

// NewCacheIndex returns an empty Facts with room for the given number of recent
// chats.
func NewCacheIndex(chats int, seed uint64) (*CacheIndex, error) {
	epoch := time.Now()
	r, err := prefix.NewRecentChats(chats, seed, epoch)
	if err != nil {
		return nil, err
	}
	return &CacheIndex{
		recent:       r,
		views:        make(map[uint64]*prefix.CacheView),
		seed:         seed,
		epoch:        epoch,
		incarnations: make(map[uint64]uint64),
	}, nil
}

// Incarnation implements prefix.Incarnations; the caller holds f.mu.
func (f *CacheIndex) Incarnation(engine uint64) (uint64, bool) {
	i, ok := f.incarnations[engine]
	return i, ok
}

// SetIncarnation sets the current incarnation of an engine. Evidence from other
// incarnations becomes invalid.
func (f *CacheIndex) SetIncarnation(engine, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations[engine] = incarnation
}

// RecordServed records that a chat's prefix is now cached at an engine.
func (f *CacheIndex) RecordServed(chat uint64, p prefix.Location) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.incarnations[p.Engine]; !ok {
		f.incarnations[p.Engine] = p.Incarnation
	}
	// An error means that the engine table is full. That costs only speed: the
	// chat is then placed by its hint or its hash.
	_ = f.recent.Record(chat, p, time.Now())
}

// Evidence returns the engines believed to cache a prefix of the request, at
// most maxEvidence.
func (f *CacheIndex) Evidence(q prefix.Query) []placement.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	q.Now = time.Now()
	if q.Hint != nil {
		if _, ok := f.incarnations[q.Hint.Engine]; !ok {
			// The hint is the only source for this engine here. If the
			// incarnation is outdated, the engine's owner rejects the permit
			// request.
			f.incarnations[q.Hint.Engine] = q.Hint.Incarnation
		}
	}
	locator := prefix.Locator{Recent: f.recent, Views: f.viewList, Current: f}
	f.scratch = locator.Evidence(f.scratch[:0], q)
	n := min(len(f.scratch), maxEvidence)
	out := make([]placement.Evidence, 0, n)
	for _, e := range f.scratch[:n] {
		out = append(out, placement.Evidence{
			Engine:       e.Engine,
			Incarnation:  f.incarnations[e.Engine],
			CachedTokens: e.CachedTokens,
			Confidence:   e.Confidence,
		})
	}
	return out
}

// Follow starts a view of an engine's cache if there is none, and returns the
// sequence number of the next cache event to fetch.
func (f *CacheIndex) Follow(engine uint64) (next uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.views[engine]
	if v == nil {
		if v, err = prefix.NewCacheView(engine, maxViewPrefixes, f.seed, f.epoch); err != nil {
			return 0, err
		}
		f.views[engine] = v
		f.rebuildViewList()
	}
	return v.NextSeq(), nil
}

// Unfollow drops the view of an engine that this router no longer owns.
func (f *CacheIndex) Unfollow(engine uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.views, engine)
	f.rebuildViewList()
}

func (f *CacheIndex) rebuildViewList() {
	f.viewList = f.viewList[:0]
	for _, v := range f.views {
		f.viewList = append(f.viewList, v)
	}
}

// Apply applies a page of an engine's cache events.
func (f *CacheIndex) Apply(engine uint64, page wire.CacheEvents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.views[engine]; v != nil {
		v.Apply(page, time.Now())
		f.incarnations[engine] = v.Incarnation()
	}
}

// RecentChats returns up to limit chats that an engine served recently, so that their
// cached prefixes can be exported.
func (f *CacheIndex) RecentChats(engine, incarnation uint64, limit int) []RecentChat {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []RecentChat
	f.recent.Visit(engine, incarnation, time.Now(), func(chat uint64, p prefix.Location, age time.Duration) {
		if len(out) < limit {
			out = append(out, RecentChat{Chat: chat, Place: p, Age: age})
		}
	})
	return out
}

// RecentChat is a chat whose prefix is cached at an engine.
type RecentChat struct {
	Chat  uint64
	Place prefix.Location
	// Age is the time since the chat's last turn.
	Age time.Duration
}

// Prune drops the incarnations of engines that are no longer in the snapshot.
func (f *CacheIndex) Prune(snap *board.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.incarnations {
		if _, ok := snap.EngineByID(id); !ok {
			delete(f.incarnations, id)
		}
	}
}
