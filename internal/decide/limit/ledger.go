package limit

import (
	"math"
	"time"
)

const (
	// warmUpShare is the share of the limits that a new owner grants while it may not know of all
	// grants of its predecessor.
	warmUpShare = 0.5
	// leaseGrace is the share of the TTL by which the owner extends a lease on its side, since
	// clocks may run at slightly different rates.
	leaseGrace = 0.1
	// minTokenWait and maxTokenWait bound the delay between token requests of a router while tokens
	// are short.
	minTokenWait = 200 * time.Millisecond
	maxTokenWait = 10 * time.Second
)

// holder is a router with a lease.
type holder struct {
	seq       uint64
	held      int
	expires   time.Time
	lastBatch Batch
}

// Ledger tracks, at the owner of one client account, what the routers hold of its limits. Use
// NewLedger to create one.
type Ledger struct {
	limits     Limits
	ttl        time.Duration
	tokens     float64
	refilledAt time.Time
	holders    map[string]*holder
	held       int
	// lastShortfall is when a router last got fewer slots than it wanted.
	lastShortfall time.Time
	unreported    map[string]struct{}
	warmUpEnd     time.Time
}

// NewLedger returns the ledger of an account. A router that becomes the owner of an account passes
// the other live routers: until each has reported, or a full lease has passed, the ledger grants
// half of the limits. A ttl of 0 means DefaultTTL.
func NewLedger(now time.Time, limits Limits, ttl time.Duration, live []string) *Ledger {
	if ttl <= 0 {
		ttl = DefaultTTL
	}
	l := &Ledger{
		limits:     limits,
		ttl:        ttl,
		refilledAt: now,
		holders:    map[string]*holder{},
		unreported: map[string]struct{}{},
		warmUpEnd:  now.Add(ttl),
	}
	for _, r := range live {
		l.unreported[r] = struct{}{}
	}
	l.tokens = limits.burst() * l.grantableShare(now)
	return l
}

// WarmingUp reports whether the ledger grants only half of the limits.
func (l *Ledger) WarmingUp(now time.Time) bool {
	return len(l.unreported) > 0 && now.Before(l.warmUpEnd)
}

// SetLimits changes the limits. Slots already leased stay leased; while they exceed the new limit,
// no more are granted.
func (l *Ledger) SetLimits(now time.Time, limits Limits) {
	l.advance(now)
	l.limits = limits
	l.tokens = min(l.tokens, limits.burst())
}

// Held returns the number of slots leased to routers.
func (l *Ledger) Held(now time.Time) int {
	l.advance(now)
	return l.held
}

// Idle reports whether no router holds anything and the bucket is full. Such a ledger can be
// dropped and created again without a difference.
func (l *Ledger) Idle(now time.Time) bool {
	l.advance(now)
	return len(l.holders) == 0 && l.tokens >= l.limits.burst() && !l.WarmingUp(now)
}

// Report records what a router holds. It returns true, and records nothing, if r is stale, that is,
// if a later report arrived first.
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
	delete(l.unreported, r.Router)
	h.seq = r.Seq
	h.lastBatch = Batch{}
	h.expires = now.Add(l.ttl + time.Duration(leaseGrace*float64(l.ttl)))
	l.held += max(r.Held, 0) - h.held
	h.held = max(r.Held, 0)
	return false
}

// Grant handles a request for tokens and slots. A repeated request gets the reply to the first one.
func (l *Ledger) Grant(now time.Time, req GrantRequest) Batch {
	if h, ok := l.holders[req.Router]; ok && h.seq == req.Seq && h.lastBatch.Seq == req.Seq {
		return h.lastBatch
	}
	if l.Report(now, req.Report) {
		return Batch{Seq: req.Seq, Stale: true}
	}
	h := l.holders[req.Router]
	b := Batch{Seq: req.Seq, TTL: l.ttl, Target: l.fairShare()}
	b.Slots = l.grantSlots(now, h, req.WantSlots)
	b.Tight = now.Sub(l.lastShortfall) < l.ttl && !l.lastShortfall.IsZero()
	b.Over = l.limits.Concurrency > 0 && l.held > l.limits.Concurrency
	b.Tokens = l.grantTokens(req.WantTokens)
	if b.Tokens < req.WantTokens {
		b.RetryAfter = l.timeToNextToken(now)
	}
	h.lastBatch = b
	return b
}

// RouterDead stops waiting for a dead router's report. Its slots stay leased until the lease
// expires: the router may be alive and only unreachable.
func (l *Ledger) RouterDead(name string) { delete(l.unreported, name) }

// advance refills the bucket and ends expired leases.
func (l *Ledger) advance(now time.Time) {
	if dt := now.Sub(l.refilledAt); dt > 0 {
		l.refilledAt = now
		tokens := l.tokens + dt.Seconds()*l.limits.Rate*l.grantableShare(now)
		l.tokens = min(tokens, l.limits.burst())
	}
	for name, h := range l.holders {
		if now.After(h.expires) {
			l.held -= h.held
			delete(l.holders, name)
		}
	}
}

// grantableShare returns the share of the limits that may be granted now.
func (l *Ledger) grantableShare(now time.Time) float64 {
	if l.WarmingUp(now) {
		return warmUpShare
	}
	return 1
}

// slotLimit returns the number of slots that may be leased now.
func (l *Ledger) slotLimit(now time.Time) int {
	if l.limits.Concurrency <= 0 {
		return 0
	}
	return max(1, int(float64(l.limits.Concurrency)*l.grantableShare(now)))
}

// fairShare returns each holder's fair share of the slots.
func (l *Ledger) fairShare() int {
	return l.limits.Concurrency / max(1, len(l.holders))
}

// grantSlots leases up to want slots, but no more than are free, and no more than the larger of
// half of the free slots and what the router lacks of its fair share. A router can thus borrow idle
// slots beyond its share, but a surge at one router leaves some for the next router that requests
// any.
func (l *Ledger) grantSlots(now time.Time, h *holder, want int) int {
	if l.limits.Concurrency <= 0 || want <= 0 {
		return 0
	}
	free := max(0, l.slotLimit(now)-l.held)
	n := min(want, free)
	maxGrant := max(l.fairShare()-h.held, (free+1)/2)
	n = min(n, maxGrant)
	if n < want {
		l.lastShortfall = now
	}
	h.held += n
	l.held += n
	return n
}

// grantTokens takes up to want tokens from the bucket, but no more than half of its level, so that
// some are left for the next router that requests any.
func (l *Ledger) grantTokens(want int) int {
	if l.limits.Rate <= 0 || want <= 0 {
		return 0
	}
	whole := math.Floor(l.tokens)
	n := min(float64(want), math.Ceil(whole/2))
	l.tokens -= n
	return int(n)
}

// timeToNextToken returns how long it takes until another token is available.
func (l *Ledger) timeToNextToken(now time.Time) time.Duration {
	if l.limits.Rate <= 0 {
		return 0
	}
	missing := max(0, 1-l.tokens)
	seconds := missing / (l.limits.Rate * l.grantableShare(now))
	if seconds >= maxTokenWait.Seconds() {
		return maxTokenWait
	}
	return max(minTokenWait, time.Duration(seconds*float64(time.Second)))
}
