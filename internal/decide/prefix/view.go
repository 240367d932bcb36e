package prefix

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// maxStaleRun is the number of consecutive pages of the previous incarnation after
// which a view takes that incarnation for the current one.
const maxStaleRun = 3

// CacheView is the state of one engine's cache according to its cache events. The view
// has a bounded size; a prefix dropped from the view counts as unknown, not as evicted.
// Evictions are stored, since an evicted prefix contradicts a hint while an unknown one
// doesn't.
type CacheView struct {
	engine      uint64
	incarnation uint64
	previous    uint64
	nextSeq     uint64
	gaps        uint16
	// staleRun is the number of consecutive stale pages.
	staleRun int
	table    *table[viewEntry]
	epoch    time.Time
	lastPage time.Time
	stats    ViewStats
}

// viewEntry is the state of a prefix; tokens is 0 if it is known to be evicted.
type viewEntry struct {
	tokens uint32
	// gaps is the view's number of gaps when the entry was last updated.
	gaps uint16
}

// ViewStats counts irregularities in an engine's events.
type ViewStats struct {
	// Gaps counts the gaps in the sequence of events.
	Gaps uint64
	// Repeats counts events that were older than the last one applied.
	Repeats uint64
	// StalePages counts pages of the previous incarnation.
	StalePages uint64
	// Unknown counts events that are malformed or of an unknown kind.
	Unknown uint64
}

// NewCacheView returns a view of engine with capacity for the given number of prefixes. It
// returns ErrCapacity if capacity isn't positive.
func NewCacheView(engine uint64, capacity int, seed uint64, epoch time.Time) (*CacheView, error) {
	t, err := newTable[viewEntry](capacity, seed)
	if err != nil {
		return nil, err
	}
	return &CacheView{engine: engine, table: t, epoch: epoch}, nil
}

// NextSeq returns the sequence number of the next event to request from the engine.
func (v *CacheView) NextSeq() uint64 { return v.nextSeq }

// Incarnation returns the incarnation of the engine that the view describes.
func (v *CacheView) Incarnation() uint64 { return v.incarnation }

// Len returns the number of prefixes in the view, including evicted ones.
func (v *CacheView) Len() int { return v.table.len }

// Stats returns the counters since the view was created.
func (v *CacheView) Stats() ViewStats { return v.stats }

// Apply applies a page of events.
//
// Pages may be late, repeated or out of order. A repeated event is ignored: applied after
// a later eviction, it would restore a prefix that is no longer cached, and chats would
// miss despite a high confidence. A page of the previous incarnation is ignored too,
// since it would empty the view of the current one.
func (v *CacheView) Apply(page wire.CacheEvents, now time.Time) {
	if page.Incarnation != v.incarnation && !v.switchIncarnation(page.Incarnation) {
		v.stats.StalePages++
		return
	}
	v.staleRun = 0
	if page.Next >= v.nextSeq {
		v.lastPage = now
	}
	at := stampAt(v.epoch, now)
	for _, e := range page.Events {
		v.applyEvent(e, at)
	}
	v.skipTo(page.Next)
}

// switchIncarnation empties the view for a new incarnation and returns true. It returns
// false for the previous incarnation until maxStaleRun pages of it have arrived in a
// row. After that many, the late page must have been the one that made the view switch
// away from it, and without switching back the view would describe an incarnation that
// has ended.
func (v *CacheView) switchIncarnation(incarnation uint64) bool {
	if incarnation == v.previous && v.previous != 0 {
		v.staleRun++
		if v.staleRun < maxStaleRun {
			return false
		}
	}
	v.previous, v.incarnation = v.incarnation, incarnation
	v.nextSeq, v.gaps = 0, 0
	v.table.sweep(func(uint64, *viewEntry, stamp) bool { return true })
	return true
}

func (v *CacheView) applyEvent(e wire.CacheEvent, at stamp) {
	if e.Seq < v.nextSeq {
		v.stats.Repeats++
		return
	}
	v.skipTo(e.Seq)
	v.nextSeq = e.Seq + 1
	switch {
	case e.Kind == wire.CacheStored && e.Tokens > 0:
		v.set(e.Prefix, clampTokens(e.Tokens), at)
	case e.Kind == wire.CacheEvicted:
		v.set(e.Prefix, 0, at)
	default:
		v.stats.Unknown++
	}
}

// skipTo records a gap if events before seq are missing. The missing ones may have been
// evictions: with unchanged confidence in older entries, each gap would be followed by
// chats sent to an engine that has evicted their prefix. Deleting the entries would
// lose information that is mostly still valid.
func (v *CacheView) skipTo(seq uint64) {
	if seq <= v.nextSeq {
		return
	}
	v.nextSeq = seq
	v.stats.Gaps++
	if v.gaps < 1<<16-1 {
		v.gaps++
	}
}

func (v *CacheView) set(prefix uint64, tokens uint32, at stamp) {
	e, _, _ := v.table.put(prefix, at)
	*e = viewEntry{tokens: tokens, gaps: v.gaps}
}

// prefixState is what a view reports of one prefix.
type prefixState struct {
	// tokens is the cached length; 0 means that the prefix was evicted.
	tokens int
	// confidence is the trust in that state, 0 if nothing is known.
	confidence float64
	// age is the time since the entry was last updated.
	age time.Duration
}

func (v *CacheView) lookup(prefix uint64, now time.Time) prefixState {
	e, reportedAt := v.table.get(prefix)
	if e == nil {
		return prefixState{}
	}
	c := gapConfidence(int(v.gaps) - int(e.gaps))
	if now.Sub(v.lastPage) > ViewStaleAfter {
		c *= StaleFactor
	}
	return prefixState{tokens: int(e.tokens), confidence: c, age: reportedAt.age(stampAt(v.epoch, now))}
}
