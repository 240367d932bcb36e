package forward

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
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
			x.noteLimit(service)
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
	x.noteLimit(service)
	x.late = x.f.limits.late(x.route.Name, x.req.Timeout, x.route.Objective)
	key := throttleKey{service: service, urgency: x.urgency(), late: x.late}
	if !plan.Warm && x.f.throttles.refuses(key, x.f.Clock()) {
		return Choice{}, x.overloaded(service)
	}
	for i, alternative := range plan.Ask {
		age := x.f.Clock() - x.started
		maxWait := gate.MaxWait(x.route.Prompted, i, len(plan.Ask), x.route.Objective, age)
		if plan.Warm {
			maxWait = min(maxWait, gate.ColdWait(x.route.Objective))
		}
		permit, answer, err := x.f.Places.Ask(ctx, x.askFor(alternative, plan, maxWait))
		x.late = x.late || answer.Late
		refused = refused || flow.ErrRefused.Has(err)
		switch {
		case err == nil && x.stillTakes(alternative.Choice.Engine):
			choice := alternative.Choice
			choice.permit = permit
			x.f.throttles.note(key, true, x.f.Clock())
			return x.f.Engines.TakeLeased(choice, shared), nil
		case err == nil:
			x.f.Places.Release(permit)
		case x.callerLeft():
			return Choice{}, x.gone()
		case x.remaining() <= 0:
			return Choice{}, x.timeUp()
		}
		x.asks++
		x.predicted = answer.Wait
		if x.late && x.route.Prompted && refused {
			// At another engine it would take a place that somebody else can use on time.
			break
		}
	}
	if !refused || plan.Warm {
		return x.unasked()
	}
	x.f.throttles.note(key, false, x.f.Clock())
	return Choice{}, x.overloaded(service)
}

// overloaded refuses a request for which there is no place in time, and says when to come back.
func (x *exchange) overloaded(service string) *Refusal {
	return notRun(ReasonOverload, x.f.overloads.comeBack(service, x.route.Objective, x.remaining(), x.f.Clock()))
}

// stillTakes says whether requests may be sent to an engine by the newest knowledge: its site may
// have been evacuated while a request waited for a place there.
func (x *exchange) stillTakes(e catalog.Engine) bool {
	x.snapshot = x.f.Snapshot()
	now, known := x.snapshot.Engines.ByID[e.ID]
	return known && x.snapshot.TakesRequests(now)
}

// noteLimit remembers the caller's time limit, if it is sure to be one that callers give:
// while nobody is refused, nobody comes back.
func (x *exchange) noteLimit(service string) {
	if x.f.overloads.over(service, x.f.Clock()) {
		x.f.limits.note(x.route.Name, x.req.Timeout)
	}
}

// askFor is the question to the owner of an engine's gate.
func (x *exchange) askFor(a Alternative, plan Plan, maxWait time.Duration) flow.Ask {
	out := flow.Ask{
		Engine: a.Choice.Engine.ID, Places: a.Places, Urgency: x.urgency(), Weight: x.req.Work(),
		MaxWait: maxWait, Lease: x.remaining(), Hold: plan.Hold,
		Subject: x.req.Subject(), Attempt: rendezvous.ID(x.req.ID), Slack: gate.StartWithin(x.route.Objective), Late: x.late,
		Pace: a.Pace,
	}
	if x.account != nil {
		out.Account = x.account.Name
	}
	return out
}

// unasked places a request by what is known of the loads, as while there is room: no owner of a
// gate could be reached, or only cold engines were asked.
func (x *exchange) unasked() (Choice, *Refusal) {
	if choice, ok := x.pick(); ok {
		return choice, nil
	}
	return Choice{}, notRun(ReasonNoEngine, retryLater)
}

// limits remembers the time limits that callers of each route usually give. It is safe for
// concurrent use.
type limits struct {
	mu     sync.Mutex
	routes map[string]*gate.Usual
}

// note adds the limit of a request that came while nobody was refused.
func (l *limits) note(route string, limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual := l.routes[route]
	if usual == nil {
		usual = &gate.Usual{}
		l.routes[route] = usual
	}
	usual.Note(limit)
}

// late says whether a caller with such a limit has come back too late to be served on time.
func (l *limits) late(route string, limit, objective time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual := l.routes[route]
	return usual != nil && usual.Late(limit, objective)
}

// overloads remembers since when each service has refused requests. It is safe for
// concurrent use.
type overloads struct {
	mu       sync.Mutex
	random   func() float64
	services map[string]*gate.Overload
}

// comeBack notes a refusal and returns when the caller should come back.
func (o *overloads) comeBack(service string, objective, left, now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.of(service).ComeBack(objective, left, now, o.random())
}

// over says whether the service has refused nobody for a while.
func (o *overloads) over(service string, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.of(service).Over(now)
}

// of returns the state of a service. The caller holds the mutex.
func (o *overloads) of(service string) *gate.Overload {
	state := o.services[service]
	if state == nil {
		state = &gate.Overload{}
		o.services[service] = state
	}
	return state
}
