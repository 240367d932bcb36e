package forward

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/retry"
)

// RetryBudgetLimits limit the retries of the whole fleet at one service. A retry is any send of a
// request after its first one.
type RetryBudgetLimits struct {
	// Ratio is the number of retries allowed per request in a window. Slack is the number of
	// retries allowed in addition.
	Ratio float64
	Slack float64
	// Window is the period over which requests are counted.
	Window time.Duration
}

// budgetMargin is the share of the limits that the routers use. The rest is reserved because the
// routers' counts are not aligned with the windows in which operators check the limits.
const budgetMargin = 0.7

// minRouters is the minimum number of routers by which the slack is divided. A router that knows of
// fewer routers has most likely not discovered the others yet.
const minRouters = 6

// RetryBudgets holds one router's share of the fleet's retry budget for each service. Each router
// applies the ratio to its own requests and gets an equal share of the slack. The sum over all
// routers therefore stays within the limits for any split of the traffic, without communication
// between the routers. It is safe for concurrent use.
type RetryBudgets struct {
	limits  func() RetryBudgetLimits
	routers func() int

	mu        sync.Mutex
	byService map[string]*retry.Budget
}

// NewRetryBudgets returns full budgets. The function limits returns the active limits, and routers
// the number of routers that share them.
func NewRetryBudgets(limits func() RetryBudgetLimits, routers func() int) *RetryBudgets {
	return &RetryBudgets{limits: limits, routers: routers, byService: make(map[string]*retry.Budget)}
}

// RecordRequest counts the first send of a request at now on the boot clock.
func (b *RetryBudgets) RecordRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, now).RecordFirstAttempt(bootTime(now))
}

// Spend takes one retry out of the service's budget and reports whether one was available.
func (b *RetryBudgets) Spend(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).Spend(bootTime(now))
}

// budget returns the service's budget, sized for the current number of routers. A router that has
// just started knows no others; if its size were fixed at that time, the budget would get the whole
// slack. The caller holds the mutex.
func (b *RetryBudgets) budget(service string, now time.Duration) *retry.Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(bootTime(now), b.config())
		b.byService[service] = budget
		return budget
	}
	budget.Configure(bootTime(now), b.config())
	return budget
}

// config returns this router's share of the limits. Half of the slack can accumulate as burst and
// the other half refills evenly over a window, so that both together stay within the slack.
func (b *RetryBudgets) config() retry.BudgetConfig {
	limits := b.limits()
	slack := budgetMargin * limits.Slack / float64(max(b.routers(), minRouters))
	return retry.BudgetConfig{
		Ratio:        budgetMargin * limits.Ratio,
		MinPerSecond: slack / 2 / limits.Window.Seconds(),
		Burst:        max(slack/2, 1.5),
	}
}

// bootTime converts a reading of the boot clock to a time for package retry, which uses only
// differences.
func bootTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }
