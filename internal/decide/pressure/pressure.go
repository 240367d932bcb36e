// Package pressure decides which requests a router takes on, and which answers it gives up, when the memory
// that requests hold there runs short.
//
// Load pattern: several times the usual requests, of whose callers one in three reads its answer slowly or
// sends a long body. What such a caller has not read is held by the router, for as long as the caller
// likes. VMs have little memory, and a router that the kernel ends for it breaks all of its streams.
//
// The types are not safe for concurrent use and read no clock.
package pressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// admitShare is the share of the budget that requests of the least urgent class may fill, and the rest of
	// it is for more urgent ones, class by class.
	admitShare = 0.6
	// minStall is how long a caller must have read nothing before its answer may be given up: longer than
	// a packet takes to be sent again over a bad link several times.
	minStall = time.Second
	// relievedShare is the share of the budget below which no more answers are given up.
	relievedShare = 0.9
)

// Budget is the memory that the requests at one router may hold, in bytes. Use New to create one.
type Budget struct {
	limit, used int64
	classes     int
	holders     map[uint64]*holder
	lastID      uint64
}

// holder is a request that holds memory.
type holder struct {
	bytes int64
	// stalled is when its caller began to be waited for; zero while it is not.
	stalled time.Duration
	givenUp bool
}

// New returns a Budget without a limit for requests of some classes, 0 being the most urgent one.
func New(classes int) *Budget {
	return &Budget{classes: max(classes, 1), holders: make(map[uint64]*holder)}
}

// SetLimit sets the limit; zero for none.
func (b *Budget) SetLimit(limit int64) { b.limit = max(limit, 0) }

// Limit returns the limit; zero for none.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the memory that is held, and the number of requests that hold it.
func (b *Budget) Used() (bytes int64, requests int) { return b.used, len(b.holders) }

// Admit takes on a request of a class that needs some memory, or returns false if that is not left for its
// class.
func (b *Budget) Admit(class int, bytes int64) (id uint64, ok bool) {
	if b.limit > 0 && float64(b.used+bytes) > b.share(class)*float64(b.limit) {
		return 0, false
	}
	b.lastID++
	b.holders[b.lastID] = &holder{bytes: bytes}
	b.used += bytes
	return b.lastID, true
}

// share returns the share of the budget that requests of a class may fill.
func (b *Budget) share(class int) float64 {
	if b.classes == 1 {
		return 1
	}
	class = min(max(class, 0), b.classes-1)
	return 1 - (1-admitShare)*float64(class)/float64(b.classes-1)
}

// Grow adds to what a request holds, or returns false if that exceeds the budget.
func (b *Budget) Grow(id uint64, bytes int64) bool {
	h := b.holders[id]
	if h == nil || b.limit > 0 && b.used+bytes > b.limit {
		return false
	}
	h.bytes += bytes
	b.used += bytes
	return true
}

// Shrink ends the count of a part of what a request holds.
func (b *Budget) Shrink(id uint64, bytes int64) {
	if h := b.holders[id]; h != nil {
		bytes = min(bytes, h.bytes)
		h.bytes -= bytes
		b.used -= bytes
	}
}

// End ends a request.
func (b *Budget) End(id uint64) {
	if h := b.holders[id]; h != nil {
		b.used -= h.bytes
		delete(b.holders, id)
	}
}

// Wait records that the caller of a request is waited for since now, and Resume that it is not any more.
func (b *Budget) Wait(id uint64, now time.Duration) {
	if h := b.holders[id]; h != nil {
		h.stalled = now
	}
}

// Resume ends the wait for the caller of a request.
func (b *Budget) Resume(id uint64) {
	if h := b.holders[id]; h != nil {
		h.stalled = 0
	}
}

// Relieve returns the requests whose answers are to be given up so that memory for another request of some
// bytes becomes free: those whose callers have read nothing for long, the longest first, and as few as are
// sufficient. Each is returned once.
func (b *Budget) Relieve(now time.Duration, bytes int64) (ids []uint64) {
	if b.limit == 0 {
		return nil
	}
	excess := b.used + bytes - int64(relievedShare*float64(b.limit))
	var candidates []uint64
	for id, h := range b.holders {
		switch {
		case h.givenUp:
			excess -= h.bytes
		case h.stalled > 0 && now-h.stalled >= minStall:
			candidates = append(candidates, id)
		}
	}
	slices.SortFunc(candidates, func(x, y uint64) int {
		return cmp.Or(cmp.Compare(b.holders[x].stalled, b.holders[y].stalled), cmp.Compare(x, y))
	})
	for _, id := range candidates {
		if excess <= 0 {
			break
		}
		h := b.holders[id]
		h.givenUp = true
		excess -= h.bytes
		ids = append(ids, id)
	}
	return ids
}
