package forward

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/retry"
)

// BudgetLimits are what the whole fleet may send to one service beyond the
// first send of each request.
type BudgetLimits struct {
	// Ratio is the allowed share of the requests of a window, and Slack what is
	// allowed besides.
	Ratio float64
	Slack float64
	// Window is the span in which arrivals are counted.
	Window time.Duration
}

// budgetMargin is the part of the limits that the routers use: their counts do
// not start and end with the windows of whoever checks them.
const budgetMargin = 0.7

// fewestRouters is how many routers are taken to share the slack at least: one
// that knows fewer has most likely not heard of the others yet.
const minRouters = 6

// Budgets holds a router's part of the fleet's retry budget, one for each
// service. Each router takes the ratio of its own requests and an equal part of
// the slack, so that the sum stays within the limits however the traffic is
// split, without a message. It is safe for concurrent use.
type Budgets struct {
	limits  func() BudgetLimits
	routers func() int

	mu        sync.Mutex
	byService map[string]*retry.Budget
}

// NewBudgets returns full budgets. Limits are those in force, routers is how many routers share
// them.
func NewBudgets(limits func() BudgetLimits, routers func() int) *Budgets {
	return &Budgets{limits: limits, routers: routers, byService: make(map[string]*retry.Budget)}
}

// Fresh counts the first send of a request.
func (b *Budgets) RecordRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, now).Fresh(bootTime(now))
}

// Spend takes one more send out of the budget and says whether there was one.
func (b *Budgets) Spend(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).Spend(bootTime(now))
}

// of returns the service's budget, sized for the routers that share it now. A
// router that has just started knows no other yet; were its part fixed then, it
// would take the whole slack for itself.
func (b *Budgets) budget(service string, now time.Duration) *retry.Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(bootTime(now), b.config())
		b.byService[service] = budget
		return budget
	}
	budget.Configure(bootTime(now), b.config())
	return budget
}

// share is this router's part: half of its slack can be saved up, and the other
// half comes evenly over a window, so that both together stay within it.
func (b *Budgets) config() retry.BudgetConfig {
	limits := b.limits()
	slack := budgetMargin * limits.Slack / float64(max(b.routers(), minRouters))
	return retry.BudgetConfig{
		Ratio:        budgetMargin * limits.Ratio,
		MinPerSecond: slack / 2 / limits.Window.Seconds(),
		Burst:        max(slack/2, 1.5),
	}
}

// at turns a reading of the boot clock into a time for package retry, which
// only looks at differences.
func bootTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }
