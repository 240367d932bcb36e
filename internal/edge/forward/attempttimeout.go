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

// errSilent ends a send to an engine that has not answered for longer than the other
// engines of its service take.
var errAttemptTimeout = errs.Class("engine silent")

// paces is how long answers take, by service. It is safe for concurrent use.
type answerTimes struct {
	mu        sync.Mutex
	byService map[string]*health.Pace
}

func newAnswerTimes() *answerTimes { return &answerTimes{byService: make(map[string]*health.Pace)} }

// note adds an answer of the service, or a send that was given up.
func (p *answerTimes) record(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace(service).Note(took)
}

func (p *answerTimes) attemptTimeout(service string, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace(service).Patience(objective)
}

// of returns the pace of a service. The caller holds the mutex.
func (p *answerTimes) pace(service string) *health.Pace {
	pace := p.byService[service]
	if pace == nil {
		pace = &health.Pace{}
		p.byService[service] = pace
	}
	return pace
}

// watchSilence returns a context that ends, with errSilent as its cause, if the engine
// stays silent for too long and the request can go on elsewhere: an engine that hangs,
// or whose answer was lost, would otherwise use up all the time of a request that
// another engine serves at once. Only idempotent requests are given up: what a stream
// has cost its engine is much more than a second answer. The function that is returned
// ends the watch and must be called once the engine has answered.
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
		// The budget is asked last, since what it grants is spent.
		if x.f.Engines.HasFreeSlot(snapshot, e.Service, excluded) && x.f.Budget.Spend(e.Service, x.f.Clock()) {
			cancel(errAttemptTimeout.New("for %s", timeout))
		}
	})
	return ctx, func() { timer.Stop() }
}

// wasSilent says whether a send ended because its engine stayed silent.
func attemptTimedOut(ctx context.Context) bool { return errAttemptTimeout.Has(context.Cause(ctx)) }
