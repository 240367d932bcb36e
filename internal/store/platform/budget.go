package platform

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of BudgetOptions.
const (
	// DefaultBurst is how many seconds' worth of calls may come at once.
	DefaultBurst = 2 * time.Second
	// minBurst keeps the reserves below apart when the rate is small.
	minBurst = 10
)

// Rates bounds a process's calls to the store, in calls a second. A
// transaction is one write, whatever the number of its rows.
type Rates struct {
	Reads, Writes float64
}

// reserves is the part of a full bucket that a use leaves to those before it.
// When the total runs short, the bucket drains and the uses are cut off from
// the bottom of this list upwards: the audit trail first, claims last.
var reserves = map[Use]float64{
	UseClaim:     0,
	UseConfig:    0.2,
	UseAudit:     0.4,
	UseAdmin:     0.6,
	UseRetention: 0.75,
}

// paidBy names the uses that spend the bound of another use, and not one of
// their own. They leave their reserve of that bound too.
//
// What goes wrong without it: the pages of retention take the last of what a
// router may spend on claims, and calls that must not be repeated are refused
// while the store is idle. One sees refusals for the budget whenever it runs.
var paidBy = map[Use]Use{UseRetention: UseClaim}

// otherReserve is the reserve of a use that is not listed.
const otherReserve = 0.75

func reserve(use Use) float64 {
	if r, ok := reserves[use]; ok {
		return r
	}
	return otherReserve
}

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	// Total bounds all uses together: this process's share of what the
	// platform gives the fleet.
	Total Rates
	// PerUse bounds single uses besides; a use that is not listed is bounded
	// by the total alone. Without a bound on claims a flood of them would
	// starve the configuration.
	PerUse map[Use]Rates
	// Burst is the length of the burst; DefaultBurst where zero.
	Burst time.Duration
	// Now is the clock; time.Now where nil.
	Now func() time.Time
}

// Budget is a process's share of the store's reads and writes. It is safe for
// concurrent use.
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

// SetTotal changes the total, as the share does when the fleet grows or shrinks.
func (b *Budget) SetTotal(r Rates) {
	now := b.now()
	b.reads.resize(now, r.Reads, b.burst)
	b.writes.resize(now, r.Writes, b.burst)
}

// takeRead takes a read for use, or returns ErrBudget.
func (b *Budget) takeRead(use Use) error {
	if !b.reads.take(b.now(), use) {
		return ErrBudget.New("reads of use %s", use)
	}
	return nil
}

// takeWrite takes a write for use, or returns ErrBudget.
func (b *Budget) takeWrite(use Use) error {
	if !b.writes.take(b.now(), use) {
		return ErrBudget.New("writes of use %s", use)
	}
	return nil
}

// bucket is a token bucket that keeps reserves for the uses that go first.
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

// burstSize returns the size of a bucket, in calls. A rate of 0 allows nothing.
func burstSize(perSecond float64, burst time.Duration) int {
	if perSecond <= 0 {
		return 0
	}
	return max(minBurst, int(perSecond*burst.Seconds()))
}

// take takes one token for use, unless that would touch the reserve of the
// uses before it.
func (b *bucket) take(now time.Time, use Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.total.TokensAt(now) - 1
	if left < reserve(use)*float64(b.total.Burst()) {
		return false
	}
	if !b.takeOwn(now, use) {
		return false
	}
	return b.total.AllowN(now, 1)
}

// takeOwn takes a token from the bound of use, or of the use that pays for it.
func (b *bucket) takeOwn(now time.Time, use Use) bool {
	payer, shared := paidBy[use]
	if !shared {
		own := b.perUse[use]
		return own == nil || own.AllowN(now, 1)
	}
	own := b.perUse[payer]
	if own == nil {
		return true
	}
	left := own.TokensAt(now) - 1
	return left >= reserve(use)*float64(own.Burst()) && own.AllowN(now, 1)
}

func (b *bucket) resize(now time.Time, perSecond float64, burst time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.SetLimitAt(now, rate.Limit(perSecond))
	b.total.SetBurstAt(now, burstSize(perSecond, burst))
}

// budgeted is the Table of Budgeted.
type budgeted struct {
	next   Table
	budget *Budget
}

// Budgeted returns a Table that makes a call of next only where budget allows,
// and otherwise returns ErrBudget at once.
func Budgeted(next Table, budget *Budget) Table {
	return &budgeted{next: next, budget: budget}
}

// Commit implements Table.
func (b *budgeted) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	if err := b.budget.takeWrite(use); err != nil {
		return nil, err
	}
	return b.next.Commit(ctx, use, writes...)
}

// Get implements Table.
func (b *budgeted) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	if err := b.budget.takeRead(use); err != nil {
		return Row{}, err
	}
	return b.next.Get(ctx, use, table, key)
}

// Scan implements Table.
func (b *budgeted) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	if err := b.budget.takeRead(use); err != nil {
		return nil, err
	}
	return b.next.Scan(ctx, use, table, from, to, limit)
}
