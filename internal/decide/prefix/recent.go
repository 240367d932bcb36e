package prefix

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// maxRefs bounds how many engine incarnations a table of recent chats tells
// apart: ten restarts of each of 850 engines, without a call of DropEngine.
const maxRefs = 8500

// ErrTooManyEngines reports a chat that was not recorded, because the table
// already names the greatest number of engine incarnations.
var ErrTooManyEngines = errs.Class("prefix: too many engine incarnations")

// Recent is a bounded table of the chats that an owner placed last. When it is
// full, recording a chat forgets one that was used least recently among a few.
type Recent struct {
	table *table[recentEntry]
	refs  refs
	epoch time.Time
}

type recentEntry struct {
	prefix uint64
	tokens uint32
	ref    uint16
}

// NewRecent makes a table for capacity chats. Times passed to its methods are
// compared with epoch only, so a monotonic clock's readings will do.
func NewRecent(capacity int, seed uint64, epoch time.Time) (*Recent, error) {
	t, err := newTable[recentEntry](capacity, seed)
	if err != nil {
		return nil, err
	}
	return &Recent{table: t, refs: newRefs(), epoch: epoch}, nil
}

// Record notes that chat was served at p.
func (r *Recent) Record(chat uint64, p Place, now time.Time) error {
	ref, ok := r.refs.acquire(engineRef{p.Engine, p.Incarnation})
	if !ok {
		return ErrTooManyEngines.New("%d", maxRefs)
	}
	e, old, replaced := r.table.put(chat, stampAt(r.epoch, now))
	if replaced {
		r.refs.release(old.ref)
	}
	*e = recentEntry{prefix: p.Prefix, tokens: clampTokens(p.Tokens), ref: ref}
	return nil
}

// Lookup returns where chat was served last, and how long ago.
func (r *Recent) Lookup(chat uint64, now time.Time) (p Place, age time.Duration, ok bool) {
	e, used := r.table.get(chat)
	if e == nil {
		return Place{}, 0, false
	}
	return r.place(e), used.age(stampAt(r.epoch, now)), true
}

// Visit calls f with each chat that was served by the given incarnation of
// engine, for the export of its cache before it leaves. f must not change r.
func (r *Recent) Visit(engine, incarnation uint64, now time.Time, f func(chat uint64, p Place, age time.Duration)) {
	want, at := engineRef{engine, incarnation}, stampAt(r.epoch, now)
	r.table.sweep(func(chat uint64, e *recentEntry, used stamp) bool {
		if r.refs.slots[e.ref].engineRef == want {
			f(chat, r.place(e), used.age(at))
		}
		return false
	})
}

// DropEngine forgets the chats served by engine at any incarnation but keep,
// which is 0 for an engine that is gone for good.
func (r *Recent) DropEngine(engine, keep uint64) {
	r.table.sweep(func(_ uint64, e *recentEntry, _ stamp) bool {
		at := r.refs.slots[e.ref].engineRef
		if at.engine != engine || at.incarnation == keep {
			return false
		}
		r.refs.release(e.ref)
		return true
	})
}

// Len returns the number of chats in the table.
func (r *Recent) Len() int { return r.table.len }

func (r *Recent) place(e *recentEntry) Place {
	at := r.refs.slots[e.ref].engineRef
	return Place{
		Engine:      at.engine,
		Incarnation: at.incarnation,
		Prefix:      e.prefix,
		Tokens:      int(e.tokens),
	}
}

func clampTokens(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
