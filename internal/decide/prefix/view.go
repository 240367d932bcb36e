package prefix

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// maxStaleRun is the number of pages in a row of the previous incarnation after
// which it is believed to be the present one.
const maxStaleRun = 3

// View is what one engine's cache events say of its cache. It is bounded; what
// it forgets is merely unknown. Evictions are kept as such, because "evicted"
// contradicts a hint while "unknown" does not.
type View struct {
	engine      uint64
	incarnation uint64
	previous    uint64
	next        uint64
	gaps        uint16
	// staleRun counts the stale pages in a row.
	staleRun int
	table    *table[viewEntry]
	epoch    time.Time
	lastPage time.Time
	stats    ViewStats
}

// viewEntry is a prefix; without tokens it is known to be evicted.
type viewEntry struct {
	tokens uint32
	// gaps is the view's count when the entry was last told of.
	gaps uint16
}

// ViewStats counts what went wrong with an engine's events.
type ViewStats struct {
	// Gaps counts the places where events were missing.
	Gaps uint64
	// Repeats counts events that were older than the last one applied.
	Repeats uint64
	// StalePages counts pages of an incarnation that is over.
	StalePages uint64
	// Unknown counts events of a kind that this version does not know.
	Unknown uint64
}

// NewView makes a view of engine for capacity prefixes.
func NewView(engine uint64, capacity int, seed uint64, epoch time.Time) (*View, error) {
	t, err := newTable[viewEntry](capacity, seed)
	if err != nil {
		return nil, err
	}
	return &View{engine: engine, table: t, epoch: epoch}, nil
}

// Next returns the sequence number to ask the engine for.
func (v *View) Next() uint64 { return v.next }

// Incarnation returns the engine's incarnation that the view describes.
func (v *View) Incarnation() uint64 { return v.incarnation }

// Len returns the number of prefixes that the view knows of.
func (v *View) Len() int { return v.table.len }

// Stats returns the counters since the view was made.
func (v *View) Stats() ViewStats { return v.stats }

// Apply takes in a page of events.
//
// Pages come late, twice and out of order. A repeated event is left out:
// applied after a later eviction, it would bring back a prefix that is gone,
// seen as misses on chats with high confidence. A page of the incarnation
// before this one is left out too, or it would empty the view of its successor.
func (v *View) Apply(page wire.CacheEvents, now time.Time) {
	if page.Incarnation != v.incarnation && !v.restart(page.Incarnation) {
		v.stats.StalePages++
		return
	}
	v.staleRun = 0
	if page.Next >= v.next {
		v.lastPage = now
	}
	at := stampAt(v.epoch, now)
	for _, e := range page.Events {
		v.applyEvent(e, at)
	}
	v.skipTo(page.Next)
}

// restart empties the view for a new incarnation. It refuses the previous one,
// unless that keeps coming: then the page that replaced it was the late one, and
// refusing on would leave the view describing an engine that is gone.
func (v *View) restart(incarnation uint64) bool {
	if incarnation == v.previous && v.previous != 0 {
		v.staleRun++
		if v.staleRun < maxStaleRun {
			return false
		}
	}
	v.previous, v.incarnation = v.incarnation, incarnation
	v.next, v.gaps = 0, 0
	v.table.sweep(func(uint64, *viewEntry, stamp) bool { return true })
	return true
}

func (v *View) applyEvent(e wire.CacheEvent, at stamp) {
	if e.Seq < v.next {
		v.stats.Repeats++
		return
	}
	v.skipTo(e.Seq)
	v.next = e.Seq + 1
	switch {
	case e.Kind == wire.CacheStored && e.Tokens > 0:
		v.set(e.Prefix, clampTokens(e.Tokens), at)
	case e.Kind == wire.CacheEvicted:
		v.set(e.Prefix, 0, at)
	default:
		v.stats.Unknown++
	}
}

// skipTo notes a gap if events before seq are missing. The missing ones may
// have been evictions: trusting the older entries as before would send chats to
// an engine that dropped them, seen as misses after each gap; deleting them
// would lose what mostly still holds.
func (v *View) skipTo(seq uint64) {
	if seq <= v.next {
		return
	}
	v.next = seq
	v.stats.Gaps++
	if v.gaps < 1<<16-1 {
		v.gaps++
	}
}

func (v *View) set(prefix uint64, tokens uint32, at stamp) {
	e, _, _ := v.table.put(prefix, at)
	*e = viewEntry{tokens: tokens, gaps: v.gaps}
}

// fact is what a view says of one prefix.
type fact struct {
	// tokens is the cached length; 0 means that the prefix was evicted.
	tokens int
	// confidence is how far to trust that, 0 if nothing is known.
	confidence float64
	// age is how long ago the view was told.
	age time.Duration
}

func (v *View) lookup(prefix uint64, now time.Time) fact {
	e, told := v.table.get(prefix)
	if e == nil {
		return fact{}
	}
	c := gapConfidence(int(v.gaps) - int(e.gaps))
	if now.Sub(v.lastPage) > ViewStaleAfter {
		c *= StaleFactor
	}
	return fact{tokens: int(e.tokens), confidence: c, age: told.age(stampAt(v.epoch, now))}
}
