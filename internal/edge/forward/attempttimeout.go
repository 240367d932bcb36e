package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/health"
	"github.com/zeebo/errs"
)

// errAttemptTimeout ends an attempt at an engine that takes much longer to answer than the engines
// of its service usually do.
var errAttemptTimeout = errs.Class("attempt timeout")

// answerTimes records how long answers take, by service. It is safe for concurrent use.
type answerTimes struct {
	mu        sync.Mutex
	byService map[string]*health.Pace
}

func newAnswerTimes() *answerTimes { return &answerTimes{byService: make(map[string]*health.Pace)} }

// record adds the time to an answer, or to an attempt's timeout.
func (a *answerTimes) record(service string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pace(service).Note(took)
}

func (a *answerTimes) attemptTimeout(service string, objective time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pace(service).Patience(objective)
}

// pace returns the answer times of a service. The caller holds the mutex.
func (a *answerTimes) pace(service string) *health.Pace {
	pace := a.byService[service]
	if pace == nil {
		pace = &health.Pace{}
		a.byService[service] = pace
	}
	return pace
}

// withAttemptTimeout returns a context that is canceled with errAttemptTimeout as its cause if the
// engine does not answer in time and the request can go to another engine. Otherwise an engine that
// hangs, or whose answer was lost, would use up the time of a request that another engine could
// serve at once. Only idempotent requests have an attempt timeout: the work that an engine has done
// for a stream costs much more than a second short answer. The returned function stops the timer
// and must be called once the engine has answered.
func (x *exchange) withAttemptTimeout(ctx context.Context, e catalog.Engine) (context.Context, func()) {
	if x.route.Kind != catalog.Idempotent || x.executed+1 >= x.route.Attempts {
		return ctx, func() {}
	}
	timeout := x.f.answerTimes.attemptTimeout(e.Service, x.route.Objective)
	if timeout <= 0 || timeout >= x.remaining() {
		return ctx, func() {}
	}
	snapshot := x.snapshot
	excluded := maps.Clone(x.excluded)
	excluded[e.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() {
		// The budget is checked last, because a successful Spend uses it up.
		if x.f.Engines.HasFreeSlot(snapshot, e.Service, excluded) && x.f.Budget.Spend(e.Service, x.f.Clock()) {
			cancel(errAttemptTimeout.New("no answer within %s", timeout))
		}
	})
	return ctx, func() { timer.Stop() }
}

// attemptTimedOut reports whether an attempt ended because of its timeout.
func attemptTimedOut(ctx context.Context) bool { return errAttemptTimeout.Has(context.Cause(ctx)) }
