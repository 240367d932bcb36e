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

// NewCacheIndex returns an empty CacheIndex with capacity for the given number of recent
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

// Incarnation implements prefix.Incarnations; the caller holds c.mu.
func (c *CacheIndex) Incarnation(engine uint64) (uint64, bool) {
	i, ok := c.incarnations[engine]
	return i, ok
}

// SetIncarnation sets the current incarnation of an engine. Evidence from other
// incarnations becomes invalid.
func (c *CacheIndex) SetIncarnation(engine, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[engine] = incarnation
}

// RecordServed records that a chat's prefix is now cached at an engine.
func (c *CacheIndex) RecordServed(chat uint64, p prefix.Location) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.incarnations[p.Engine]; !ok {
		c.incarnations[p.Engine] = p.Incarnation
	}
	// An error means that the engine table is full. That costs only speed: the
	// chat is then placed by its hint or its hash.
	_ = c.recent.Record(chat, p, time.Now())
}

// Evidence returns the engines believed to cache a prefix of the request, at
// most maxEvidence.
func (c *CacheIndex) Evidence(q prefix.Query) []placement.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.Now = time.Now()
	if q.Hint != nil {
		if _, ok := c.incarnations[q.Hint.Engine]; !ok {
			// This router knows no incarnation of the engine but the one in the
			// hint. If that one is outdated, the engine's owner rejects the permit
			// request.
			c.incarnations[q.Hint.Engine] = q.Hint.Incarnation
		}
	}
	locator := prefix.Locator{Recent: c.recent, Views: c.viewList, Current: c}
	c.scratch = locator.Evidence(c.scratch[:0], q)
	n := min(len(c.scratch), maxEvidence)
	out := make([]placement.Evidence, 0, n)
	for _, e := range c.scratch[:n] {
		out = append(out, placement.Evidence{
			Engine:       e.Engine,
			Incarnation:  c.incarnations[e.Engine],
			CachedTokens: e.CachedTokens,
			Confidence:   e.Confidence,
		})
	}
	return out
}

// Follow starts a view of an engine's cache if there is none, and returns the
// sequence number of the next cache event to fetch.
func (c *CacheIndex) Follow(engine uint64) (next uint64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.views[engine]
	if v == nil {
		if v, err = prefix.NewCacheView(engine, maxViewPrefixes, c.seed, c.epoch); err != nil {
			return 0, err
		}
		c.views[engine] = v
		c.rebuildViewList()
	}
	return v.NextSeq(), nil
}

// Unfollow drops the view of an engine that this router no longer owns.
func (c *CacheIndex) Unfollow(engine uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.views, engine)
	c.rebuildViewList()
}

func (c *CacheIndex) rebuildViewList() {
	c.viewList = c.viewList[:0]
	for _, v := range c.views {
		c.viewList = append(c.viewList, v)
	}
}

// Apply applies a page of an engine's cache events.
func (c *CacheIndex) Apply(engine uint64, page wire.CacheEvents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.views[engine]; v != nil {
		v.Apply(page, time.Now())
		c.incarnations[engine] = v.Incarnation()
	}
}

// RecentChats returns up to limit chats that an engine served recently, so that their
// cached prefixes can be exported.
func (c *CacheIndex) RecentChats(engine, incarnation uint64, limit int) []RecentChat {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []RecentChat
	c.recent.Visit(engine, incarnation, time.Now(), func(chat uint64, p prefix.Location, age time.Duration) {
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
func (c *CacheIndex) Prune(snap *board.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.incarnations {
		if _, ok := snap.EngineByID(id); !ok {
			delete(c.incarnations, id)
		}
	}
}
