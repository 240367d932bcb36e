package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of BudgetOptions.
const (
	// DefaultBurst is the default of BudgetOptions.Burst.
	DefaultBurst = 2 * time.Second
	// minBurst is the minimum bucket size, in calls. It keeps the reserves of
	// the uses distinct at low rates.
	minBurst = 10
)

// Rates limits a process's calls to the store, in calls per second. A
// transaction counts as one write, regardless of its number of rows.
type Rates struct {
	Reads, Writes float64
}

// reserves is the share of a full bucket that each use leaves to the uses of
// higher priority, which are listed before it. When the total runs short, the
// bucket drains and uses are rejected from the bottom of the list upwards:
// retention first, claims last.
var reserves = map[Use]float64{
	UseClaim:     0,
	UseConfig:    0.2,
	UseAudit:     0.4,
	UseAdmin:     0.6,
	UseRetention: 0.75,
}

// chargedTo maps uses that are charged to the limit of another use and have no
// limit of their own. A use in chargedTo must leave its share in reserves
// unused in that limit, as it must in the total.
//
// Without the reserve, the pages that retention reads exhaust the router's
// budget for claims, and non-idempotent requests are refused while the store is
// idle. The symptom is refusals for lack of budget whenever retention runs.
var chargedTo = map[Use]Use{UseRetention: UseClaim}

// defaultReserve is the reserve of a use that is not in reserves.
const defaultReserve = 0.75

func reserve(use Use) float64 {
	if r, ok := reserves[use]; ok {
		return r
	}
	return defaultReserve
}

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Total limits all uses together. It is this process's share of the rates
	// that the platform grants the fleet.
	Total Rates
	// PerUse limits single uses in addition; a use that is not listed has only
	// the limit of the total. Without a limit on claims, many claims at once
	// would leave no calls for the configuration.
	PerUse map[Use]Rates
	// Burst is the size of a full bucket, as the time in which it fills: that
	// number of calls may be made at once. Zero means DefaultBurst.
	Burst time.Duration
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

// Budget limits the rates of a process's reads and writes of the store. It is
// safe for concurrent use.
type Budget struct {
	now    func() time.Time
	burst  time.Duration
	reads  *bucket
	writes *bucket
}

// NewBudget returns a Budget with full buckets.
func NewBudget(opts BudgetOptions) *Budget {
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	b := &Budget{now: opts.Now, burst: opts.Burst}
	b.reads = newBucket(opts.Total.Reads, opts.Burst)
	b.writes = newBucket(opts.Total.Writes, opts.Burst)
	for use, r := range opts.PerUse {
		b.reads.perUse[use] = newLimiter(r.Reads, opts.Burst)
		b.writes.perUse[use] = newLimiter(r.Writes, opts.Burst)
	}
	return b
}

// SetTotal changes the limit of all uses together. A process's share changes
// when the fleet grows or shrinks.
func (b *Budget) SetTotal(r Rates) {
	now := b.now()
	b.reads.resize(now, r.Reads, b.burst)
	b.writes.resize(now, r.Writes, b.burst)
}

// takeRead takes a token for a read, or returns ErrBudget.
func (b *Budget) takeRead(use Use) error {
	if !b.reads.take(b.now(), use) {
		return ErrBudget.New("no reads left for use %s", use)
	}
	return nil
}

// takeWrite takes a token for a write, or returns ErrBudget.
func (b *Budget) takeWrite(use Use) error {
	if !b.writes.take(b.now(), use) {
		return ErrBudget.New("no writes left for use %s", use)
	}
	return nil
}

// bucket is a token bucket that reserves tokens for uses of higher priority.
type bucket struct {
	mu     sync.Mutex
	total  *rate.Limiter
	perUse map[Use]*rate.Limiter
}

func newBucket(perSecond float64, burst time.Duration) *bucket {
	return &bucket{
		total:  newLimiter(perSecond, burst),
		perUse: map[Use]*rate.Limiter{},
	}
}

func newLimiter(perSecond float64, burst time.Duration) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond, burst))
}

// burstSize returns the size of a bucket, in calls. A rate of 0 allows no calls.
func burstSize(perSecond float64, burst time.Duration) int {
	if perSecond <= 0 {
		return 0
	}
	return max(minBurst, int(perSecond*burst.Seconds()))
}

// take takes one token for use and reports whether it did. It leaves the
// reserve of the uses of higher priority untouched.
func (b *bucket) take(now time.Time, use Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.total.TokensAt(now) - 1
	if remaining < reserve(use)*float64(b.total.Burst()) {
		return false
	}
	if !b.takePerUse(now, use) {
		return false
	}
	return b.total.AllowN(now, 1)
}

// takePerUse takes a token from the limit of use, or of the use that it is
// charged to.
func (b *bucket) takePerUse(now time.Time, use Use) bool {
	charged, shared := chargedTo[use]
	if !shared {
		limiter := b.perUse[use]
		return limiter == nil || limiter.AllowN(now, 1)
	}
	limiter := b.perUse[charged]
	if limiter == nil {
		return true
	}
	remaining := limiter.TokensAt(now) - 1
	return remaining >= reserve(use)*float64(limiter.Burst()) && limiter.AllowN(now, 1)
}

func (b *bucket) resize(now time.Time, perSecond float64, burst time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.SetLimitAt(now, rate.Limit(perSecond))
	b.total.SetBurstAt(now, burstSize(perSecond, burst))
}

// budgetTable is the Table that WithBudget returns.
type budgetTable struct {
	next   Table
	budget *Budget
}

// WithBudget returns a Table that calls next only if budget allows the call, and
// returns ErrBudget immediately otherwise.
func WithBudget(next Table, budget *Budget) Table {
	return &budgetTable{next: next, budget: budget}
}

// Commit implements Table.
func (b *budgetTable) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	if err := b.budget.takeWrite(use); err != nil {
		return nil, err
	}
	return b.next.Commit(ctx, use, writes...)
}

// Get implements Table.
func (b *budgetTable) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	if err := b.budget.takeRead(use); err != nil {
		return Row{}, err
	}
	return b.next.Get(ctx, use, table, key)
}

// Scan implements Table.
func (b *budgetTable) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	if err := b.budget.takeRead(use); err != nil {
		return nil, err
	}
	return b.next.Scan(ctx, use, table, from, to, limit)
}
