package limit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// requestTimeout is after how long a request to the owner without a reply counts as failed.
	requestTimeout = time.Second
	// prefetchHorizon is the time ahead for which a router requests the tokens that it expects to
	// spend.
	prefetchHorizon = time.Second
	// refillThreshold is a share of the demand in one second; a router that holds fewer tokens than
	// that requests more.
	refillThreshold = 0.25
	// demandWindow is the shortest interval over which demand is measured.
	demandWindow = 250 * time.Millisecond
	// slotRetryDelay is how long a router waits before it requests slots again after the owner has
	// granted fewer than it wanted.
	slotRetryDelay = 200 * time.Millisecond
	// ownerBackoffBase and ownerBackoffMax bound the exponential backoff between requests to a lost
	// owner.
	ownerBackoffBase = 200 * time.Millisecond
	ownerBackoffMax  = 2 * time.Second
	// retryJitter is the random share added to retry delays.
	retryJitter = 0.5
)

// Decision is the result of Take.
type Decision struct {
	// OK admits the request; the caller must call Done when it ends.
	OK bool
	// NeedRefill means that the caller of Take must send a request for tokens and slots to the
	// owner, see NewRequest; with OK, it may do so in the background. If neither OK nor Err is set,
	// the client's request is undecided: Take must be called again once the owner has replied or
	// the request to it has failed.
	NeedRefill bool
	// Err is a *RateError or a *ConcurrencyError if the request is refused.
	Err error
}

// CacheConfig configures a Cache.
type CacheConfig struct {
	// Self is this router's name in requests to owners.
	Self string
	// Limits returns an account's limits according to the active configuration.
	Limits func(account string) Limits
	// Rand adds jitter to waits; nil means no jitter.
	Rand *rand.Rand
}

// Cache holds a router's share of the limits of all accounts. Use NewCache to create one.
type Cache struct {
	cfg      CacheConfig
	live     []string
	seq      uint64
	accounts map[string]*accountState
}

// accountState is what the router holds and knows of one account.
type accountState struct {
	inUse    int
	lastUsed time.Time
	tokens   int
	// tokenExpiry and leaseExpiry are when the tokens and the slots expire.
	tokenExpiry time.Time
	leaseExpiry time.Time
	slots       int
	target      int
	contended   bool
	overLimit   bool

	// pendingSeq is the sequence number of the pending request to the owner, 0 if there is none.
	pendingSeq    uint64
	requestedAt   time.Time
	heldAtRequest int
	wantTokens    int
	wantSlots     int
	renewAt       time.Time
	tokensRetryAt time.Time
	slotsRetryAt  time.Time

	// demand counts the client requests since the last request to the owner, and blocked those of
	// them for which no slot was left.
	demand     int
	blocked    int
	demandRate float64

	// failures is the number of consecutive failed requests to the owner.
	failures     int
	ownerRetryAt time.Time
	// fallbackTokens is the level of the bucket used without an owner. It fills only while the
	// owner is lost.
	fallbackTokens     float64
	fallbackRefilledAt time.Time
	fallbackStarted    bool
}

// NewCache returns an empty cache. The live routers include this one.
func NewCache(cfg CacheConfig, live []string) *Cache {
	c := &Cache{cfg: cfg, accounts: map[string]*accountState{}}
	c.SetLive(live)
	return c
}

// SetLive sets the routers that share the limits, including this one.
func (c *Cache) SetLive(live []string) { c.live = slices.Clone(live) }

// InUse returns the number of the account's unfinished requests at this router.
func (c *Cache) InUse(account string) int {
	if s, ok := c.accounts[account]; ok {
		return s.inUse
	}
	return 0
}

// Take decides whether to admit one request of the account.
func (c *Cache) Take(now time.Time, account string) Decision {
	lim := c.cfg.Limits(account)
	s := c.state(account)
	s.lastUsed = now
	s.demand++
	c.expire(now, s)
	if lim.Rate <= 0 && lim.Concurrency <= 0 {
		s.inUse++
		return Decision{OK: true}
	}
	if !s.leased(now) && !s.ownerLost() {
		return Decision{NeedRefill: true}
	}
	if lim.Concurrency > 0 && s.inUse >= c.slotLimit(now, account, lim, s) {
		s.blocked++
		wait := max(slotRetryDelay, s.slotsRetryAt.Sub(now))
		return s.refuse(now, s.slotsRetryAt, &ConcurrencyError{account, c.jitter(wait)})
	}
	if lim.Rate > 0 && !c.takeToken(now, lim, s) {
		wait := c.tokenWait(now, lim, s)
		return s.refuse(now, s.tokensRetryAt, &RateError{account, c.jitter(wait)})
	}
	s.inUse++
	return Decision{OK: true, NeedRefill: s.needsRefill(now, lim)}
}

// Done ends a request that Take admitted.
func (c *Cache) Done(account string) {
	if s, ok := c.accounts[account]; ok && s.inUse > 0 {
		s.inUse--
	}
}

// NewRequest returns the request to send to the account's owner; ok is false while an earlier one
// is pending. The caller must pass the outcome of every request to Fill or Failed.
func (c *Cache) NewRequest(now time.Time, account string) (req GrantRequest, ok bool) {
	s := c.state(account)
	c.expire(now, s)
	if s.pendingSeq != 0 {
		return GrantRequest{}, false
	}
	c.seq++
	s.updateDemandRate(now)
	s.releaseIdleSlots()
	s.pendingSeq = c.seq
	s.requestedAt = now
	s.heldAtRequest = s.slots
	s.wantTokens = max(0, int(math.Ceil(s.demandRate*prefetchHorizon.Seconds()))+1-s.tokens)
	s.wantSlots = max(0, s.inUse+s.blocked+s.extraSlots()-s.slots)
	s.blocked = 0
	return GrantRequest{
		Report:     Report{Router: c.cfg.Self, Seq: s.pendingSeq, Held: s.slots},
		WantTokens: s.wantTokens,
		WantSlots:  s.wantSlots,
	}, true
}

// Fill applies the owner's reply and reports whether it belongs to the pending request.
func (c *Cache) Fill(now time.Time, account string, b Batch) bool {
	s, ok := c.accounts[account]
	if !ok || s.pendingSeq == 0 || s.pendingSeq != b.Seq {
		// The request timed out or failed, or the owner changed, before this reply arrived. The
		// owner learns from the next request that these slots were never used.
		return false
	}
	if b.Stale {
		c.Failed(now, account, b.Seq)
		return true
	}
	s.pendingSeq = 0
	s.failures = 0
	s.tokens += b.Tokens
	s.slots = s.heldAtRequest + b.Slots
	s.target = b.Target
	s.contended = b.Tight
	s.overLimit = b.Over
	// The lease is counted from before the owner received the request, so that it ends here before
	// it ends at the owner.
	s.leaseExpiry = s.requestedAt.Add(b.TTL)
	s.tokenExpiry = s.requestedAt.Add(TokenTTL)
	s.renewAt = s.requestedAt.Add(b.TTL / 2)
	if b.Tokens < s.wantTokens {
		s.tokensRetryAt = now.Add(c.jitter(b.RetryAfter))
	}
	if b.Slots < s.wantSlots {
		s.slotsRetryAt = now.Add(c.jitter(slotRetryDelay))
	}
	return true
}

// Failed records that a request to the owner got no reply. Until a reply arrives, the router uses
// its static share of the rate once its tokens are spent, and its static share of the concurrency
// once its lease has expired.
func (c *Cache) Failed(now time.Time, account string, seq uint64) {
	s, ok := c.accounts[account]
	if !ok || s.pendingSeq == 0 || s.pendingSeq != seq {
		return
	}
	s.failRequest(now, c)
}

// Due returns, in order, the accounts whose lease must be renewed with their owner now. It drops
// the state of idle accounts.
func (c *Cache) Due(now time.Time) []string {
	var due []string
	for account, s := range c.accounts {
		c.expire(now, s)
		if s.idle(now) {
			// The owner reclaims unused slots when the lease expires.
			delete(c.accounts, account)
			continue
		}
		if s.pendingSeq == 0 && s.renewalDue(now) {
			due = append(due, account)
		}
	}
	slices.Sort(due)
	return due
}

// OwnerChanged makes the account due at once, so that its new owner learns what this router holds
// and can end its warm-up.
func (c *Cache) OwnerChanged(now time.Time, account string) {
	s, ok := c.accounts[account]
	if !ok {
		return
	}
	s.pendingSeq = 0
	s.renewAt = now
	s.ownerRetryAt = now
}

// slotLimit returns how many requests may be unfinished at this router: the leased slots or,
// without a lease, the static share. A single lost reply must not activate the static share, since
// the other routers' leases may still add up to the whole limit.
func (c *Cache) slotLimit(now time.Time, account string, lim Limits, s *accountState) int {
	if s.leased(now) && s.overLimit {
		// A busy router never has an idle slot to release. If it reused each slot that becomes
		// free, a fleet above the limit would stay above it.
		return min(s.slots, s.target)
	}
	if s.leased(now) {
		return s.slots
	}
	return c.fallbackSlots(account, lim.Concurrency)
}

// takeToken spends a granted token or, while the owner is lost, a fallback token.
func (c *Cache) takeToken(now time.Time, lim Limits, s *accountState) bool {
	if s.tokens >= 1 {
		s.tokens--
		return true
	}
	if !s.ownerLost() {
		return false
	}
	s.refillFallback(now, lim, c.routers())
	if s.fallbackTokens < 1 {
		return false
	}
	s.fallbackTokens--
	return true
}

// tokenWait returns how long it takes until the next token can be available.
func (c *Cache) tokenWait(now time.Time, lim Limits, s *accountState) time.Duration {
	if !s.ownerLost() {
		return max(minTokenWait, s.tokensRetryAt.Sub(now))
	}
	seconds := (1 - s.fallbackTokens) * c.routers() / lim.Rate
	seconds = min(seconds, maxTokenWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// routers returns the number of routers that share the limits without an owner.
func (c *Cache) routers() float64 { return float64(max(1, len(c.live))) }

// fallbackSlots returns this router's share of the concurrency without an owner. The remainder of
// the division goes to the routers that rank first for the account, so that the shares add up to
// the limit and a small limit does not become zero at every router.
func (c *Cache) fallbackSlots(account string, limit int) int {
	n := max(1, len(c.live))
	rank := 0
	ownHash := xxh3.HashString(account + "\x00" + c.cfg.Self)
	for _, r := range c.live {
		if r != c.cfg.Self && xxh3.HashString(account+"\x00"+r) < ownHash {
			rank++
		}
	}
	slots := limit / n
	if rank < limit%n {
		slots++
	}
	return slots
}

func (c *Cache) state(account string) *accountState {
	s, ok := c.accounts[account]
	if !ok {
		s = &accountState{}
		c.accounts[account] = s
	}
	return s
}

// expire drops what has expired: tokens, the lease, and a request without a reply.
func (c *Cache) expire(now time.Time, s *accountState) {
	if now.After(s.tokenExpiry) {
		s.tokens = 0
	}
	if !s.leased(now) {
		s.slots = 0
	}
	if s.pendingSeq != 0 && now.Sub(s.requestedAt) > requestTimeout {
		s.failRequest(now, c)
	}
}

// failRequest ends the pending request, which got no reply, and schedules the next one.
func (s *accountState) failRequest(now time.Time, c *Cache) {
	s.pendingSeq = 0
	if s.failures == 0 {
		s.fallbackRefilledAt = now
	}
	s.failures++
	wait := min(ownerBackoffBase<<min(s.failures-1, 10), ownerBackoffMax)
	s.ownerRetryAt = now.Add(c.jitter(wait))
}

func (c *Cache) jitter(d time.Duration) time.Duration {
	if c.cfg.Rand == nil {
		return d
	}
	return d + time.Duration(c.cfg.Rand.Float64()*retryJitter*float64(d))
}

func (s *accountState) leased(now time.Time) bool { return now.Before(s.leaseExpiry) }

// ownerLost reports whether the last request to the owner failed.
func (s *accountState) ownerLost() bool { return s.failures > 0 }

// refuse refuses a request, or leaves it undecided if a reply of the owner could still admit it.
func (s *accountState) refuse(now, notBefore time.Time, err error) Decision {
	if s.ownerLost() {
		return Decision{NeedRefill: s.pendingSeq == 0 && !now.Before(s.ownerRetryAt), Err: err}
	}
	if s.canRequest(now, notBefore) {
		return Decision{NeedRefill: true}
	}
	return Decision{Err: err}
}

// needsRefill reports whether to send a request to the owner after admitting a request.
func (s *accountState) needsRefill(now time.Time, lim Limits) bool {
	if s.pendingSeq != 0 {
		return false
	}
	low := lim.Rate > 0 && float64(s.tokens) < refillThreshold*s.demandRate
	return low && s.canRequest(now, s.tokensRetryAt) || s.renewalDue(now)
}

// canRequest reports whether a pending request, or one that may be sent now, could yield the
// missing tokens or slots.
func (s *accountState) canRequest(now, notBefore time.Time) bool {
	if s.pendingSeq != 0 {
		return true
	}
	return !now.Before(notBefore) && !now.Before(s.ownerRetryAt)
}

// renewalDue reports whether it is time to renew the lease, or to retry a lost owner.
func (s *accountState) renewalDue(now time.Time) bool {
	return !now.Before(s.renewAt) && !now.Before(s.ownerRetryAt)
}

// idle reports whether the state can be dropped.
func (s *accountState) idle(now time.Time) bool {
	return s.inUse == 0 && s.pendingSeq == 0 && now.Sub(s.lastUsed) > DefaultTTL
}

// updateDemandRate updates the estimate of the demand and starts a new interval.
func (s *accountState) updateDemandRate(now time.Time) {
	dt := now.Sub(s.requestedAt)
	if s.requestedAt.IsZero() {
		dt = prefetchHorizon
	}
	rate := float64(s.demand) / max(dt, demandWindow).Seconds()
	s.demandRate = (s.demandRate + rate) / 2
	s.demand = 0
}

// extraSlots returns the number of idle slots to retain for the next requests.
func (s *accountState) extraSlots() int { return max(1, s.inUse/4) }

// releaseIdleSlots releases idle slots. This router stops using them at once, before the owner can
// learn of it and lease them to another router.
func (s *accountState) releaseIdleSlots() {
	keep := s.inUse + s.extraSlots()
	if (s.contended || s.overLimit) && keep > s.target {
		keep = max(s.inUse, s.target)
	}
	s.slots = min(s.slots, keep)
	// Requests that outlived a lease are still running and must be counted.
	s.slots = max(s.slots, s.inUse)
}

// refillFallback refills the fallback bucket up to now. The bucket gets its initial content, at
// most one request per router, only once: if every lost reply filled it again, the account could
// exceed its limit on an unreliable network.
func (s *accountState) refillFallback(now time.Time, lim Limits, routers float64) {
	burstShare := lim.burst() / routers
	if !s.fallbackStarted {
		s.fallbackStarted = true
		s.fallbackTokens = min(1, burstShare)
	}
	if dt := now.Sub(s.fallbackRefilledAt); dt > 0 {
		s.fallbackTokens += dt.Seconds() * lim.Rate / routers
	}
	s.fallbackTokens = min(s.fallbackTokens, max(1, burstShare))
	s.fallbackRefilledAt = now
}
