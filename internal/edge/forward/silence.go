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
var errSilent = errs.Class("engine silent")

// paces is how long answers take, by service. It is safe for concurrent use.
type paces struct {
	mu       sync.Mutex
	services map[string]*health.Pace
}

func newPaces() *paces { return &paces{services: make(map[string]*health.Pace)} }

// note adds an answer of the service, or a send that was given up.
func (p *paces) note(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(service).Note(took)
}

func (p *paces) patience(service string, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(service).Patience(objective)
}

// of returns the pace of a service. The caller holds the mutex.
func (p *paces) of(service string) *health.Pace {
	pace := p.services[service]
	if pace == nil {
		pace = &health.Pace{}
		p.services[service] = pace
	}
	return pace
}

// watchSilence returns a context that ends, with errSilent as its cause, if the engine
// stays silent for too long and the request can go on elsewhere: an engine that hangs,
// or whose answer was lost, would otherwise use up all the time of a request that
// another engine serves at once. Only idempotent requests are given up: what a stream
// has cost its engine is much more than a second answer. The function that is returned
// ends the watch and must be called once the engine has answered.
func (x *exchange) watchSilence(ctx context.Context, e catalog.Engine) (context.Context, func()) {
	if x.route.Kind != catalog.Idempotent || x.executed+1 >= x.route.Attempts {
		return ctx, func() {}
	}
	patience := x.f.paces.patience(e.Service, x.route.Objective)
	if patience <= 0 || patience >= x.remaining() {
		return ctx, func() {}
	}
	snapshot := x.snapshot
	avoid := maps.Clone(x.avoid)
	avoid[e.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(patience, func() {
		// The budget is asked last, since what it grants is spent.
		if x.f.Engines.HasRoom(snapshot, e.Service, avoid) && x.f.Budget.Spend(e.Service, x.f.Clock()) {
			cancel(errSilent.New("for %s", patience))
		}
	})
	return ctx, func() { timer.Stop() }
}

// wasSilent says whether a send ended because its engine stayed silent.
func wasSilent(ctx context.Context) bool { return errSilent.Has(context.Cause(ctx)) }
