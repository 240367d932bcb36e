package retry

import "time"

const (
	// DefaultRatio is the share of first attempts that may be retried.
	DefaultRatio = 0.1
	// DefaultMinPerSecond is the number of retries per second allowed at any rate of traffic, in
	// addition to that share.
	DefaultMinPerSecond = 2.0
	// DefaultBurst is how many unused retries may accumulate.
	DefaultBurst = 20.0
)

// BudgetConfig configures a Budget. Zero fields take the defaults.
type BudgetConfig struct {
	// Ratio is the share of first attempts that may be retried.
	Ratio float64
	// MinPerSecond is the number of retries per second allowed in addition to that share, so that
	// a router with little traffic can retry at all.
	MinPerSecond float64
	// Burst bounds the retries that accumulate in quiet times.
	Burst float64
}

// Budget bounds the retries of one router to a share of its first attempts. When an upstream or a
// whole site fails, every request fails; retries without a budget would multiply the load on the
// remaining upstreams, just when they have the least free capacity. A Budget is not safe for
// concurrent use.
type Budget struct {
	cfg       BudgetConfig
	tokens    float64
	updatedAt time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, tokens: cfg.Burst, updatedAt: now}
}

// withDefaults returns cfg with defaults for fields that are not set.
func (cfg BudgetConfig) withDefaults() BudgetConfig {
	if cfg.Ratio <= 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.MinPerSecond <= 0 {
		cfg.MinPerSecond = DefaultMinPerSecond
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return cfg
}

// Configure changes the limits from now on. Accumulated retries are retained up to the new burst; a
// larger burst fills over time.
func (b *Budget) Configure(now time.Time, cfg BudgetConfig) {
	b.advance(now)
	b.cfg = cfg.withDefaults()
	b.tokens = min(b.tokens, b.cfg.Burst)
}

// RecordFirstAttempt counts the first attempt at a request.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now)
	b.deposit(b.cfg.Ratio)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance deposits what MinPerSecond allows for the elapsed time.
func (b *Budget) advance(now time.Time) {
	dt := now.Sub(b.updatedAt)
	if dt <= 0 {
		return
	}
	b.updatedAt = now
	b.deposit(dt.Seconds() * b.cfg.MinPerSecond)
}

func (b *Budget) deposit(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.cfg.Burst)
}
