package forward

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/flow"
)

const (
	// startShare is the part of the objective within which a request must have a place
	// to be on time; the rest is for the engine to begin its answer.
	startShare = 0.6
	// plainShare is the part of the objective for which a request without a prompt waits
	// at one engine before another one is asked.
	plainShare = 0.2
	// defaultObjective is for routes without one.
	defaultObjective = time.Second
)

// place finds the engine for the first send: at once while there is room, else by asking
// for a place. It returns a choice to be given back by Engines.Done, or a refusal.
func (x *exchange) place(last *Refusal) (Choice, *Refusal) {
	var shared []string
	if x.route.Prompted {
		shared = x.req.SharedParts()
	}
	for _, service := range x.services(shared) {
		plan, ok := x.f.Engines.Plan(x.snapshot, service, shared, x.avoid)
		switch {
		case !ok:
		case len(plan.Ask) == 0:
			return plan.Choice, nil
		default:
			return x.ask(service, plan, shared)
		}
	}
	return Choice{}, last
}

// ask asks for a place at one engine after the other.
func (x *exchange) ask(service string, plan Plan, shared []string) (Choice, *Refusal) {
	ctx, cancel := context.WithTimeout(x.r.Context(), x.remaining())
	defer cancel()
	refused := false
	for i, alternative := range plan.Ask {
		permit, wait, err := x.f.Places.Ask(ctx, x.askFor(alternative, plan, x.maxWait(i, len(plan.Ask))))
		switch {
		case err == nil:
			choice := alternative.Choice
			choice.permit = permit
			return x.f.Engines.TakeLeased(choice, shared), nil
		case x.callerLeft():
			return Choice{}, x.gone()
		case x.remaining() <= 0:
			return Choice{}, x.timeUp()
		case flow.ErrRefused.Has(err):
			refused = true
			x.predicted = wait
		}
		x.asks++
	}
	if !refused {
		return x.unasked()
	}
	return Choice{}, notRun(ReasonOverload, x.f.overloads.comeBack(service, x.remaining(), x.f.Clock()))
}

// askFor is the question to the owner of an engine's gate.
func (x *exchange) askFor(a Alternative, plan Plan, maxWait time.Duration) flow.Ask {
	out := flow.Ask{
		Engine: a.Choice.Engine.ID, Places: a.Places, Urgency: x.urgency(), Weight: x.req.Work(),
		MaxWait: maxWait, Lease: x.remaining(), Hold: plan.Hold,
	}
	if x.account != nil {
		out.Account = x.account.Name
	}
	return out
}

// maxWait is how long the request may wait at the i-th of n engines that are asked.
//
// A prompt waits at its own engine for all the time that it has. Elsewhere it would have to
// be fetched, over links that carry one prompt after the other; it goes there only if there
// is a free place. Where all engines are full, moving from one to the other helps nobody.
func (x *exchange) maxWait(i, n int) time.Duration {
	objective := x.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	left := max(x.started+time.Duration(startShare*float64(objective))-x.f.Clock(), 0)
	switch {
	case x.route.Prompted && i > 0:
		return 0
	case x.route.Prompted || i == n-1:
		return left
	}
	return min(left, time.Duration(plainShare*float64(objective)))
}

// unasked places a request for which no owner of a gate could be reached: without an
// answer, what is known of the loads decides, as while there is room.
func (x *exchange) unasked() (Choice, *Refusal) {
	if choice, ok := x.pick(); ok {
		return choice, nil
	}
	return Choice{}, notRun(ReasonNoEngine, retryLater)
}

const (
	// overloadGap is how long after its last refusal an overload is over.
	overloadGap = 2 * time.Second
	// leastComeBack is the least time for which a refused caller is sent away: places
	// become free several times in it.
	leastComeBack = 150 * time.Millisecond
	// comeBackSpread is by how much of it the time differs from caller to caller, to both
	// sides, so that they don't return together.
	comeBackSpread = 0.3
	// callerShare is the part of the time it has left for which a caller stays away at
	// most.
	callerShare = 1.0 / 3
)

// overloads remembers since when each service has refused requests. It is safe for
// concurrent use.
type overloads struct {
	mu       sync.Mutex
	random   func() float64
	services map[string]*overload
}

type overload struct{ since, last time.Duration }

// comeBack is when a refused caller should come back. How long an overload lasts is not
// known; the best guess is that it goes on for as long as it has lasted.
func (o *overloads) comeBack(service string, left, now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.services[service]
	if state == nil {
		state = &overload{since: now}
		o.services[service] = state
	}
	if now-state.last > overloadGap {
		state.since = now
	}
	state.last = now
	wait := max(now-state.since, leastComeBack)
	wait = min(wait, time.Duration(callerShare*float64(left)))
	return time.Duration((1 - comeBackSpread + 2*comeBackSpread*o.random()) * float64(wait))
}
