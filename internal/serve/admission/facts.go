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
	// DefaultRecentChats bounds the table of recent chats. At 36.5 bytes each
	// (go test -bench Memory ./internal/decide/prefix) that is 1.8 MB.
	DefaultRecentChats = 50_000
	// viewPrefixes bounds what is remembered of one engine's cache.
	viewPrefixes = 20_000
	// maxEvidence bounds the engines named in one answer.
	maxEvidence = 8
)

// Facts is what this router knows of where prefixes are cached. It is safe
// for concurrent use.
type Facts struct {
	mu     sync.Mutex
	recent *prefix.Recent
	views  map[uint64]*prefix.View
	list   []*prefix.View
	seed   uint64
	epoch  time.Time
	found  []prefix.Evidence
	// incarnations are the current ones, by engine.
	incarnations map[uint64]uint64
}

// NewFacts returns an empty Facts for chats recent chats.
func NewFacts(chats int, seed uint64) (*Facts, error) {
	epoch := time.Now()
	r, err := prefix.NewRecent(chats, seed, epoch)
	if err != nil {
		return nil, err
	}
	return &Facts{
		recent:       r,
		views:        make(map[uint64]*prefix.View),
		seed:         seed,
		epoch:        epoch,
		incarnations: make(map[uint64]uint64),
	}, nil
}

// Incarnation implements prefix.Incarnations; f.mu is held.
func (f *Facts) Incarnation(engine uint64) (uint64, bool) {
	i, ok := f.incarnations[engine]
	return i, ok
}

// Current notes the incarnation of an engine; evidence of others is void.
func (f *Facts) Current(engine, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations[engine] = incarnation
}

// Served notes that a chat's prefix is cached at an engine from now on.
func (f *Facts) Served(chat uint64, p prefix.Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.incarnations[p.Engine]; !ok {
		f.incarnations[p.Engine] = p.Incarnation
	}
	// A full table of engines loses only speed; the chat is then placed by
	// its hint or its hash.
	_ = f.recent.Record(chat, p, time.Now())
}

// Evidence finds what is known of a request's prefix.
func (f *Facts) Evidence(q prefix.Query) []placement.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	q.Now = time.Now()
	if q.Hint != nil {
		if _, ok := f.incarnations[q.Hint.Engine]; !ok {
			// Nothing better is known about that engine here; its owner
			// refuses a permit for an incarnation that is over.
			f.incarnations[q.Hint.Engine] = q.Hint.Incarnation
		}
	}
	l := prefix.Locator{Recent: f.recent, Views: f.list, Current: f}
	f.found = l.Evidence(f.found[:0], q)
	n := min(len(f.found), maxEvidence)
	out := make([]placement.Evidence, 0, n)
	for _, e := range f.found[:n] {
		out = append(out, placement.Evidence{
			Engine:       e.Engine,
			Incarnation:  f.incarnations[e.Engine],
			CachedTokens: e.CachedTokens,
			Confidence:   e.Confidence,
		})
	}
	return out
}

// Follow returns the sequence number from which to ask for an engine's events.
func (f *Facts) Follow(engine uint64) (next uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.views[engine]
	if v == nil {
		if v, err = prefix.NewView(engine, viewPrefixes, f.seed, f.epoch); err != nil {
			return 0, err
		}
		f.views[engine] = v
		f.listViews()
	}
	return v.Next(), nil
}

// Unfollow forgets the view of an engine that this router no longer owns.
func (f *Facts) Unfollow(engine uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.views, engine)
	f.listViews()
}

func (f *Facts) listViews() {
	f.list = f.list[:0]
	for _, v := range f.views {
		f.list = append(f.list, v)
	}
}

// Apply takes in a page of an engine's events.
func (f *Facts) Apply(engine uint64, page wire.CacheEvents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.views[engine]; v != nil {
		v.Apply(page, time.Now())
		f.incarnations[engine] = v.Incarnation()
	}
}

// Hot lists the chats that an engine served, for the export of its cache.
func (f *Facts) Hot(engine, incarnation uint64, limit int) []HotChat {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []HotChat
	f.recent.Visit(engine, incarnation, time.Now(), func(chat uint64, p prefix.Place, age time.Duration) {
		if len(out) < limit {
			out = append(out, HotChat{Chat: chat, Place: p, Age: age})
		}
	})
	return out
}

// HotChat is a chat whose prefix an engine holds.
type HotChat struct {
	Chat  uint64
	Place prefix.Place
	// Age is the time since its last turn.
	Age time.Duration
}

// Prune forgets the incarnations of engines that are gone.
func (f *Facts) Prune(snap *board.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.incarnations {
		if _, ok := snap.EngineByID(id); !ok {
			delete(f.incarnations, id)
		}
	}
}
