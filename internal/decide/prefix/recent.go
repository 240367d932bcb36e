package prefix

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// maxIncarnations limits the number of distinct engine incarnations in a table of
// recent chats. It is enough for ten incarnations of each of 850 engines, even if
// DropEngine is never called.
const maxIncarnations = 8500

// ErrTooManyEngines reports that a chat wasn't recorded because the table already
// refers to the maximum number of engine incarnations.
var ErrTooManyEngines = errs.Class("prefix: number of engine incarnations exceeds the limit")

// RecentChats is a bounded table of the chats that an owner recorded last. Recording a
// chat whose bucket is full evicts the least recently recorded chat of the bucket.
type RecentChats struct {
	table        *table[recentEntry]
	incarnations incarnationTable
	epoch        time.Time
}

type recentEntry struct {
	prefix uint64
	tokens uint32
	slot   uint16
}

// NewRecentChats returns a table with capacity for the given number of chats. The
// methods of the table use times only relative to epoch, so that readings of a
// monotonic clock suffice. It returns ErrCapacity if capacity isn't positive.
func NewRecentChats(capacity int, seed uint64, epoch time.Time) (*RecentChats, error) {
	t, err := newTable[recentEntry](capacity, seed)
	if err != nil {
		return nil, err
	}
	return &RecentChats{table: t, incarnations: newIncarnationTable(), epoch: epoch}, nil
}

// Record records that chat was served at p. It returns ErrTooManyEngines if the table
// doesn't refer to p's engine incarnation yet and already refers to the maximum number
// of incarnations.
func (r *RecentChats) Record(chat uint64, p Location, now time.Time) error {
	slot, ok := r.incarnations.acquire(engineIncarnation{p.Engine, p.Incarnation})
	if !ok {
		return ErrTooManyEngines.New("%d", maxIncarnations)
	}
	e, old, replaced := r.table.put(chat, stampAt(r.epoch, now))
	if replaced {
		r.incarnations.release(old.slot)
	}
	*e = recentEntry{prefix: p.Prefix, tokens: clampTokens(p.Tokens), slot: slot}
	return nil
}

// Lookup returns where chat was served last, and how long ago.
func (r *RecentChats) Lookup(chat uint64, now time.Time) (p Location, age time.Duration, ok bool) {
	e, used := r.table.get(chat)
	if e == nil {
		return Location{}, 0, false
	}
	return r.location(e), used.age(stampAt(r.epoch, now)), true
}

// Visit calls f for each chat that was served by the given incarnation of engine, to
// export the engine's cache before the engine leaves. f must not change r.
func (r *RecentChats) Visit(engine, incarnation uint64, now time.Time, f func(chat uint64, p Location, age time.Duration)) {
	want, nowStamp := engineIncarnation{engine, incarnation}, stampAt(r.epoch, now)
	r.table.sweep(func(chat uint64, e *recentEntry, used stamp) bool {
		if r.incarnations.slots[e.slot].engineIncarnation == want {
			f(chat, r.location(e), used.age(nowStamp))
		}
		return false
	})
}

// DropEngine removes the chats served by any incarnation of engine except keep, which is
// 0 for an engine that was removed.
func (r *RecentChats) DropEngine(engine, keep uint64) {
	r.table.sweep(func(_ uint64, e *recentEntry, _ stamp) bool {
		servedBy := r.incarnations.slots[e.slot].engineIncarnation
		if servedBy.engine != engine || servedBy.incarnation == keep {
			return false
		}
		r.incarnations.release(e.slot)
		return true
	})
}

// Len returns the number of chats in the table.
func (r *RecentChats) Len() int { return r.table.len }

func (r *RecentChats) location(e *recentEntry) Location {
	servedBy := r.incarnations.slots[e.slot].engineIncarnation
	return Location{
		Engine:      servedBy.engine,
		Incarnation: servedBy.incarnation,
		Prefix:      e.prefix,
		Tokens:      int(e.tokens),
	}
}

func clampTokens(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
