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

// errAttemptTimeout ends an attempt at an engine that takes much longer to respond than the engines
// of its service usually do.
var errAttemptTimeout = errs.Class("attempt timeout")

// responseTimes records how long responses take, by service. It is safe for concurrent use.
type responseTimes struct {
	mu        sync.Mutex
	byService map[string]*health.Latency
}

func newResponseTimes() *responseTimes {
	return &responseTimes{byService: make(map[string]*health.Latency)}
}

// record adds the time that an engine took to respond, or the time after which an attempt timed
// out.
func (a *responseTimes) record(service string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latency(service).Observe(took)
}

func (a *responseTimes) attemptTimeout(service string, objective time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latency(service).SilenceTimeout(objective)
}

// latency returns the response times of a service. The caller holds the mutex.
func (a *responseTimes) latency(service string) *health.Latency {
	return valueOf(a.byService, service)
}

// withAttemptTimeout returns a context that is canceled with errAttemptTimeout as its cause if the
// engine does not respond in time and the request can go to another engine. Otherwise an engine
// that hangs, or whose response was lost, would use up the time of a request that another engine
// could serve at once. Only idempotent requests have an attempt timeout. Their responses are short,
// so generating one twice costs little; canceling a stream would discard much more work of the
// first engine. A request that may crash its engine has none: it would end two at once. The returned
// function stops the timer and must be called once the engine has responded.
func (x *exchange) withAttemptTimeout(ctx context.Context, e catalog.Engine) (context.Context, func()) {
	if x.route.Kind != catalog.Idempotent || x.executed+1 >= x.route.Attempts || x.tracker.LikelyCause() {
		return ctx, func() {}
	}
	timeout := x.f.responseTimes.attemptTimeout(e.Service, x.route.Objective)
	if timeout <= 0 || timeout >= x.remaining() {
		return ctx, func() {}
	}
	snapshot := x.snapshot
	excluded := maps.Clone(x.excluded)
	excluded[e.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() {
		// The budget is checked last, because a successful Spend takes a retry from it.
		if x.f.Engines.HasFreeSlot(snapshot, e.Service, excluded) && x.f.Budget.Spend(e.Service, x.f.Clock()) {
			cancel(errAttemptTimeout.New("no answer within %s", timeout))
		}
	})
	return ctx, func() { timer.Stop() }
}

// attemptTimedOut reports whether an attempt ended because of its timeout.
func attemptTimedOut(ctx context.Context) bool { return errAttemptTimeout.Has(context.Cause(ctx)) }
