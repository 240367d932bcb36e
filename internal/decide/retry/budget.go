package retry

import "time"

const (
	// DefaultRatio is the share of fresh requests that may be retried.
	DefaultRatio = 0.1
	// DefaultMinPerSecond is what may be retried at any rate of traffic.
	DefaultMinPerSecond = 2.0
	// DefaultBurst is how many retries may be saved up.
	DefaultBurst = 20.0
)

// BudgetConfig sets up a Budget. Zero fields take the defaults.
type BudgetConfig struct {
	// Ratio is the share of fresh requests that may be retried.
	Ratio float64
	// MinPerSecond lets a router with little traffic retry at all.
	MinPerSecond float64
	// Burst bounds what is saved up in quiet times.
	Burst float64
}

// Budget bounds the retries of one router to a share of its fresh requests.
// When an upstream or a whole site fails, every request fails; retries without
// a budget would multiply the load on what is left, just when it has least to
// spare. A Budget is not safe for concurrent use.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time, cfg BudgetConfig) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, tokens: cfg.Burst, last: now}
}

// withDefaults replaces zero fields.
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

// Configure changes the limits from now on. What was saved up is kept as far as
// the new burst allows; a larger one fills as time goes by.
func (b *Budget) Configure(now time.Time, cfg BudgetConfig) {
	b.advance(now)
	b.cfg = cfg.withDefaults()
	b.tokens = min(b.tokens, b.cfg.Burst)
}

// Fresh counts a request that is sent for the first time.
func (b *Budget) Fresh(now time.Time) {
	b.advance(now)
	b.deposit(b.cfg.Ratio)
}

// Spend takes one retry out of the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance deposits what time alone allows.
func (b *Budget) advance(now time.Time) {
	dt := now.Sub(b.last)
	if dt <= 0 {
		return
	}
	b.last = now
	b.deposit(dt.Seconds() * b.cfg.MinPerSecond)
}

func (b *Budget) deposit(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.cfg.Burst)
}
