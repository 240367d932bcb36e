package limit

import (
	"math"
	"time"
)

const (
	// warmUpShare is the part of the limits that a new owner grants while it
	// may not know of all that its predecessor granted.
	warmUpShare = 0.5
	// leaseGrace is the part of the TTL that the owner waits beyond it, for
	// clocks that run at slightly different speeds.
	leaseGrace = 0.1
	// minAskGap bounds how often a router asks while tokens are short.
	minAskGap = 200 * time.Millisecond
	maxAskGap = 10 * time.Second
)

// holder is a router with a lease.
type holder struct {
	seq     uint64
	held    int
	expires time.Time
	last    Batch
}

// Ledger is the owner's account book of one client account. Use NewLedger.
type Ledger struct {
	limits  Limits
	ttl     time.Duration
	level   float64
	refill  time.Time
	holders map[string]*holder
	held    int
	// starved is when a router last got fewer slots than it wanted.
	starved   time.Time
	awaited   map[string]struct{}
	warmUntil time.Time
}

// NewLedger returns the book of an account. A router that takes an account
// over passes the other live routers: until each has reported, or a full lease
// has passed, the ledger grants half of the limits. A ttl of 0 means DefaultTTL.
func NewLedger(now time.Time, limits Limits, ttl time.Duration, live []string) *Ledger {
	if ttl <= 0 {
		ttl = DefaultTTL
	}
	l := &Ledger{
		limits:    limits,
		ttl:       ttl,
		refill:    now,
		holders:   map[string]*holder{},
		awaited:   map[string]struct{}{},
		warmUntil: now.Add(ttl),
	}
	for _, r := range live {
		l.awaited[r] = struct{}{}
	}
	l.level = limits.burst() * l.share(now)
	return l
}

// WarmingUp reports whether the ledger grants half of the limits.
func (l *Ledger) WarmingUp(now time.Time) bool {
	return len(l.awaited) > 0 && now.Before(l.warmUntil)
}

// SetLimits puts new limits in force. Slots that are out stay out; no more are
// granted until they fit.
func (l *Ledger) SetLimits(now time.Time, limits Limits) {
	l.advance(now)
	l.limits = limits
	l.level = min(l.level, limits.burst())
}

// Held returns the number of slots that are leased to routers.
func (l *Ledger) Held(now time.Time) int {
	l.advance(now)
	return l.held
}

// Idle reports whether no router holds anything and the bucket is full, so
// that the ledger can be forgotten and made anew without a trace.
func (l *Ledger) Idle(now time.Time) bool {
	l.advance(now)
	return len(l.holders) == 0 && l.level >= l.limits.burst() && !l.WarmingUp(now)
}

// Report takes in what a router holds; stale tells that a later one came first.
func (l *Ledger) Report(now time.Time, r Report) (stale bool) {
	l.advance(now)
	h, ok := l.holders[r.Router]
	if ok && r.Seq <= h.seq {
		return true
	}
	if !ok {
		h = &holder{}
		l.holders[r.Router] = h
	}
	delete(l.awaited, r.Router)
	h.seq = r.Seq
	h.last = Batch{}
	h.expires = now.Add(l.ttl + time.Duration(leaseGrace*float64(l.ttl)))
	l.held += max(r.Held, 0) - h.held
	h.held = max(r.Held, 0)
	return false
}

// Grant answers an ask. A repeated ask gets the answer of the first one.
func (l *Ledger) Grant(now time.Time, a Ask) Batch {
	if h, ok := l.holders[a.Router]; ok && h.seq == a.Seq && h.last.Seq == a.Seq {
		return h.last
	}
	if l.Report(now, a.Report) {
		return Batch{Seq: a.Seq, Stale: true}
	}
	h := l.holders[a.Router]
	b := Batch{Seq: a.Seq, TTL: l.ttl, Target: l.target()}
	b.Slots = l.grantSlots(now, h, a.WantSlots)
	b.Tight = now.Sub(l.starved) < l.ttl && !l.starved.IsZero()
	b.Over = l.limits.Concurrency > 0 && l.held > l.limits.Concurrency
	b.Tokens = l.grantTokens(a.WantTokens)
	if b.Tokens < a.WantTokens {
		b.RetryAfter = l.untilToken(now)
	}
	h.last = b
	return b
}

// RouterDead stops waiting for a dead router's report. Its slots stay out
// until the lease is over: it may be alive and only out of reach.
func (l *Ledger) RouterDead(name string) { delete(l.awaited, name) }

// advance refills the bucket and ends leases.
func (l *Ledger) advance(now time.Time) {
	if dt := now.Sub(l.refill); dt > 0 {
		l.refill = now
		level := l.level + dt.Seconds()*l.limits.Rate*l.share(now)
		l.level = min(level, l.limits.burst())
	}
	for name, h := range l.holders {
		if now.After(h.expires) {
			l.held -= h.held
			delete(l.holders, name)
		}
	}
}

// share is the part of the limits that may be granted at present.
func (l *Ledger) share(now time.Time) float64 {
	if l.WarmingUp(now) {
		return warmUpShare
	}
	return 1
}

// slotLimit is the number of slots that may be out at present.
func (l *Ledger) slotLimit(now time.Time) int {
	if l.limits.Concurrency <= 0 {
		return 0
	}
	return max(1, int(float64(l.limits.Concurrency)*l.share(now)))
}

// target is a holder's fair share of the slots.
func (l *Ledger) target() int {
	return l.limits.Concurrency / max(1, len(l.holders))
}

// grantSlots leases up to want slots. Up to its fair share a router gets all
// that is free; beyond it, half, so that idle slots are lent but a surge at
// one router leaves some for the next one that asks.
func (l *Ledger) grantSlots(now time.Time, h *holder, want int) int {
	if l.limits.Concurrency <= 0 || want <= 0 {
		return 0
	}
	free := max(0, l.slotLimit(now)-l.held)
	n := min(want, free)
	lend := max(l.target()-h.held, (free+1)/2)
	n = min(n, lend)
	if n < want {
		l.starved = now
	}
	h.held += n
	l.held += n
	return n
}

// grantTokens takes up to want tokens out of the bucket, while it is low no
// more than half of it, for the same reason.
func (l *Ledger) grantTokens(want int) int {
	if l.limits.Rate <= 0 || want <= 0 {
		return 0
	}
	whole := math.Floor(l.level)
	n := min(float64(want), math.Ceil(whole/2))
	l.level -= n
	return int(n)
}

// untilToken is how long it takes until another token is there.
func (l *Ledger) untilToken(now time.Time) time.Duration {
	if l.limits.Rate <= 0 {
		return 0
	}
	missing := max(0, 1-l.level)
	seconds := missing / (l.limits.Rate * l.share(now))
	if seconds >= maxAskGap.Seconds() {
		return maxAskGap
	}
	return max(minAskGap, time.Duration(seconds*float64(time.Second)))
}
