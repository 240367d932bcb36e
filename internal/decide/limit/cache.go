package limit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// askTimeout is after how long an ask without an answer counts as failed.
	askTimeout = time.Second
	// horizon is for how long ahead a router asks for tokens.
	horizon = time.Second
	// lowWater is the part of the horizon's demand at which to ask again.
	lowWater = 0.25
	// demandWindow is the shortest time over which demand is measured.
	demandWindow = 250 * time.Millisecond
	// slotRetry is when to ask again for slots after none were free.
	slotRetry = 200 * time.Millisecond
	// ownerRetry and ownerRetryMax bound the back-off towards a lost owner.
	ownerRetry    = 200 * time.Millisecond
	ownerRetryMax = 2 * time.Second
	// retryJitter is the random part added to waits that callers are told.
	retryJitter = 0.5
)

// Verdict is the answer of Take.
type Verdict struct {
	// OK admits the request; the caller must call Done when it ends.
	OK bool
	// NeedRefill asks the caller to ask the owner. With OK it may do so in the
	// background. Without OK and Err the request is undecided: Take is to be
	// called again when the answer is there or the ask has failed.
	NeedRefill bool
	// Err is a *RateError or a *ConcurrencyError; the request did not run.
	Err error
}

// CacheConfig sets up a Cache.
type CacheConfig struct {
	// Self is this router's name in asks.
	Self string
	// Limits returns an account's limits by the configuration in force.
	Limits func(account string) Limits
	// Rand jitters waits; nil means no jitter.
	Rand *rand.Rand
}

// Cache is a router's part of the limits. Use NewCache.
type Cache struct {
	cfg    CacheConfig
	live   []string
	seq    uint64
	shares map[string]*share
}

// share is what the router has of one account.
type share struct {
	inUse  int
	used   time.Time
	tokens int
	// tokenEnd and leaseEnd are when the tokens and the slots lapse.
	tokenEnd time.Time
	leaseEnd time.Time
	slots    int
	target   int
	tight    bool
	over     bool

	// pending is the seq of the ask under way, 0 if there is none.
	pending    uint64
	asked      time.Time
	askedHeld  int
	wantTokens int
	wantSlots  int
	renewAt    time.Time
	tokensAt   time.Time
	slotsAt    time.Time

	// demand and blocked count since the last ask.
	demand  int
	blocked int
	rate    float64

	// failures counts asks that failed in a row.
	failures int
	ownerAt  time.Time
	// static is the fallback's bucket. It fills only while the owner is lost.
	static     float64
	staticAt   time.Time
	staticInit bool
}

// NewCache returns a cache that holds nothing. The live routers include itself.
func NewCache(cfg CacheConfig, live []string) *Cache {
	c := &Cache{cfg: cfg, shares: map[string]*share{}}
	c.SetLive(live)
	return c
}

// SetLive tells the cache which routers share the limits, itself included.
func (c *Cache) SetLive(live []string) { c.live = slices.Clone(live) }

// InUse returns the account's unfinished requests at this router.
func (c *Cache) InUse(account string) int {
	if s, ok := c.shares[account]; ok {
		return s.inUse
	}
	return 0
}

// Take decides on one request.
func (c *Cache) Take(now time.Time, account string) Verdict {
	lim := c.cfg.Limits(account)
	s := c.share(account)
	s.used = now
	s.demand++
	c.lapse(now, s)
	if lim.Rate <= 0 && lim.Concurrency <= 0 {
		s.inUse++
		return Verdict{OK: true}
	}
	if !s.leased(now) && !s.ownerLost() {
		return Verdict{NeedRefill: true}
	}
	if lim.Concurrency > 0 && s.inUse >= c.slots(now, account, lim, s) {
		s.blocked++
		wait := max(slotRetry, s.slotsAt.Sub(now))
		return s.refuse(now, s.slotsAt, &ConcurrencyError{account, c.jitter(wait)})
	}
	if lim.Rate > 0 && !c.takeToken(now, lim, s) {
		wait := c.tokenWait(now, lim, s)
		return s.refuse(now, s.tokensAt, &RateError{account, c.jitter(wait)})
	}
	s.inUse++
	return Verdict{OK: true, NeedRefill: s.wantsRefill(now, lim)}
}

// Done ends a request that Take admitted.
func (c *Cache) Done(account string) {
	if s, ok := c.shares[account]; ok && s.inUse > 0 {
		s.inUse--
	}
}

// Ask returns what to send to the account's owner; ok is false while an
// earlier ask is under way. Every ask must end in Fill or Failed.
func (c *Cache) Ask(now time.Time, account string) (a Ask, ok bool) {
	s := c.share(account)
	c.lapse(now, s)
	if s.pending != 0 {
		return Ask{}, false
	}
	c.seq++
	s.measure(now)
	s.giveBack()
	s.pending = c.seq
	s.asked = now
	s.askedHeld = s.slots
	s.wantTokens = max(0, int(math.Ceil(s.rate*horizon.Seconds()))+1-s.tokens)
	s.wantSlots = max(0, s.inUse+s.blocked+s.reserve()-s.slots)
	s.blocked = 0
	return Ask{
		Report:     Report{Router: c.cfg.Self, Seq: s.pending, Held: s.slots},
		WantTokens: s.wantTokens,
		WantSlots:  s.wantSlots,
	}, true
}

// Fill takes in the owner's answer and reports whether it was still awaited.
func (c *Cache) Fill(now time.Time, account string, b Batch) bool {
	s, ok := c.shares[account]
	if !ok || s.pending == 0 || s.pending != b.Seq {
		// An answer to an ask that was given up. The owner learns from the
		// next ask that these slots were never used.
		return false
	}
	if b.Stale {
		c.Failed(now, account, b.Seq)
		return true
	}
	s.pending = 0
	s.failures = 0
	s.tokens += b.Tokens
	s.slots = s.askedHeld + b.Slots
	s.target = b.Target
	s.tight = b.Tight
	s.over = b.Over
	// The lease is counted from before the owner saw the ask, so that it ends
	// here before it ends there.
	s.leaseEnd = s.asked.Add(b.TTL)
	s.tokenEnd = s.asked.Add(TokenTTL)
	s.renewAt = s.asked.Add(b.TTL / 2)
	if b.Tokens < s.wantTokens {
		s.tokensAt = now.Add(c.jitter(b.RetryAfter))
	}
	if b.Slots < s.wantSlots {
		s.slotsAt = now.Add(c.jitter(slotRetry))
	}
	return true
}

// Failed notes that an ask got no answer. Without a lease the router goes over
// to its static share.
func (c *Cache) Failed(now time.Time, account string, seq uint64) {
	s, ok := c.shares[account]
	if !ok || s.pending == 0 || s.pending != seq {
		return
	}
	s.fail(now, c)
}

// Due returns, in order, the accounts whose owner should be asked now to keep
// a lease, and forgets accounts that have fallen idle.
func (c *Cache) Due(now time.Time) []string {
	var due []string
	for account, s := range c.shares {
		c.lapse(now, s)
		if s.idle(now) {
			// Unused slots return to the owner when the lease is over.
			delete(c.shares, account)
			continue
		}
		if s.pending == 0 && s.dueAt(now) {
			due = append(due, account)
		}
	}
	slices.Sort(due)
	return due
}

// OwnerMoved makes the account due at once, so that its new owner learns what
// this router holds and can end its warm-up.
func (c *Cache) OwnerMoved(now time.Time, account string) {
	s, ok := c.shares[account]
	if !ok {
		return
	}
	s.pending = 0
	s.renewAt = now
	s.ownerAt = now
}

// slots is how many requests may be unfinished here: what is leased or, without
// a lease, the static part. A single lost answer must not bring the static part
// into play: the other routers still hold the whole limit.
func (c *Cache) slots(now time.Time, account string, lim Limits, s *share) int {
	if s.leased(now) && s.over {
		// A busy router never has an idle slot to give back. If each free slot
		// were used again, a fleet that was beyond the limit would stay there.
		return min(s.slots, s.target)
	}
	if s.leased(now) {
		return s.slots
	}
	return c.staticSlots(account, lim.Concurrency)
}

// takeToken spends a granted token or, while the owner is lost, a static one.
func (c *Cache) takeToken(now time.Time, lim Limits, s *share) bool {
	if s.tokens >= 1 {
		s.tokens--
		return true
	}
	if !s.ownerLost() {
		return false
	}
	s.refillStatic(now, lim, c.routers())
	if s.static < 1 {
		return false
	}
	s.static--
	return true
}

// tokenWait is when the next token can be there.
func (c *Cache) tokenWait(now time.Time, lim Limits, s *share) time.Duration {
	if !s.ownerLost() {
		return max(minAskGap, s.tokensAt.Sub(now))
	}
	seconds := (1 - s.static) * c.routers() / lim.Rate
	seconds = min(seconds, maxAskGap.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// routers is the number of routers that share the limits without an owner.
func (c *Cache) routers() float64 { return float64(max(1, len(c.live))) }

// staticSlots is this router's part of the concurrency without an owner. The
// remainder goes to the routers that rank first for the account, so that the
// parts add up to the limit and a small limit does not become zero everywhere.
func (c *Cache) staticSlots(account string, limit int) int {
	n := max(1, len(c.live))
	rank := 0
	own := xxh3.HashString(account + "\x00" + c.cfg.Self)
	for _, r := range c.live {
		if r != c.cfg.Self && xxh3.HashString(account+"\x00"+r) < own {
			rank++
		}
	}
	slots := limit / n
	if rank < limit%n {
		slots++
	}
	return slots
}

func (c *Cache) share(account string) *share {
	s, ok := c.shares[account]
	if !ok {
		s = &share{}
		c.shares[account] = s
	}
	return s
}

// lapse ends what has run out: tokens, the lease, an ask without an answer.
func (c *Cache) lapse(now time.Time, s *share) {
	if now.After(s.tokenEnd) {
		s.tokens = 0
	}
	if !s.leased(now) {
		s.slots = 0
	}
	if s.pending != 0 && now.Sub(s.asked) > askTimeout {
		s.fail(now, c)
	}
}

// fail ends the ask under way without an answer.
func (s *share) fail(now time.Time, c *Cache) {
	s.pending = 0
	if s.failures == 0 {
		s.staticAt = now
	}
	s.failures++
	wait := min(ownerRetry<<min(s.failures-1, 10), ownerRetryMax)
	s.ownerAt = now.Add(c.jitter(wait))
}

func (c *Cache) jitter(d time.Duration) time.Duration {
	if c.cfg.Rand == nil {
		return d
	}
	return d + time.Duration(c.cfg.Rand.Float64()*retryJitter*float64(d))
}

func (s *share) leased(now time.Time) bool { return now.Before(s.leaseEnd) }

// ownerLost reports whether the last ask got no answer.
func (s *share) ownerLost() bool { return s.failures > 0 }

// refuse turns a request away, or leaves it undecided if an answer of the
// owner could still admit it.
func (s *share) refuse(now, notBefore time.Time, err error) Verdict {
	if s.ownerLost() {
		return Verdict{NeedRefill: s.pending == 0 && !now.Before(s.ownerAt), Err: err}
	}
	if s.mayAsk(now, notBefore) {
		return Verdict{NeedRefill: true}
	}
	return Verdict{Err: err}
}

// wantsRefill reports whether an admitted request should be followed by an ask.
func (s *share) wantsRefill(now time.Time, lim Limits) bool {
	if s.pending != 0 {
		return false
	}
	low := lim.Rate > 0 && float64(s.tokens) < lowWater*s.rate
	return low && s.mayAsk(now, s.tokensAt) || s.dueAt(now)
}

// mayAsk reports whether an ask under way, or one that may be made now, could
// bring what is missing.
func (s *share) mayAsk(now, notBefore time.Time) bool {
	if s.pending != 0 {
		return true
	}
	return !now.Before(notBefore) && !now.Before(s.ownerAt)
}

// dueAt reports whether it is time to renew the lease, or to try a lost owner.
func (s *share) dueAt(now time.Time) bool {
	return !now.Before(s.renewAt) && !now.Before(s.ownerAt)
}

// idle reports whether the share can be forgotten.
func (s *share) idle(now time.Time) bool {
	return s.inUse == 0 && s.pending == 0 && now.Sub(s.used) > DefaultTTL
}

// measure moves the estimate of demand on and starts a new interval.
func (s *share) measure(now time.Time) {
	dt := now.Sub(s.asked)
	if s.asked.IsZero() {
		dt = horizon
	}
	rate := float64(s.demand) / max(dt, demandWindow).Seconds()
	s.rate = (s.rate + rate) / 2
	s.demand = 0
}

// reserve is the number of idle slots to keep for the next requests.
func (s *share) reserve() int { return max(1, s.inUse/4) }

// giveBack lets go of idle slots. They are out of use from here on, before the
// owner can hear of it and lease them to another router.
func (s *share) giveBack() {
	keep := s.inUse + s.reserve()
	if (s.tight || s.over) && keep > s.target {
		keep = max(s.inUse, s.target)
	}
	s.slots = min(s.slots, keep)
	// Requests that outlived a lease are still running and must be counted.
	s.slots = max(s.slots, s.inUse)
}

// refillStatic moves the fallback's bucket to now. It starts with at most one
// request per router, once: a bucket that started anew with each lost answer
// would let the limit leak on a bad network.
func (s *share) refillStatic(now time.Time, lim Limits, routers float64) {
	part := lim.burst() / routers
	if !s.staticInit {
		s.staticInit = true
		s.static = min(1, part)
	}
	if dt := now.Sub(s.staticAt); dt > 0 {
		s.static += dt.Seconds() * lim.Rate / routers
	}
	s.static = min(s.static, max(1, part))
	s.staticAt = now
}
