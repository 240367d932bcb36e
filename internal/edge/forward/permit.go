package forward

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
)

// chooseFirst selects the engine for the first send: directly while the service has free capacity,
// and by requesting a permit otherwise. It returns either a choice, which must be passed to
// Balancer.Done, or a refusal. If no service has an engine left, the refusal is the argument last.
func (x *exchange) chooseFirst(last *Refusal) (Choice, *Refusal) {
	need := x.need()
	for _, service := range x.openServices() {
		q := x.query(service)
		q.Need = need
		plan, ok := x.f.Engines.Plan(x.snapshot, service, q)
		if ok {
			x.recordAsk(service, len(plan.Ask) > 0 && !plan.Warm)
		}
		switch {
		case !ok:
		case len(plan.Ask) == 0:
			x.recordTimeout(service)
			x.recordShareGrant(service)
			return plan.Choice, nil
		default:
			choice, refusal, again := x.requestPermit(service, plan, q.Shared)
			if again {
				return x.chooseFirst(last)
			}
			return choice, refusal
		}
	}
	if x.awaitReturn() {
		return x.chooseFirst(last)
	}
	return Choice{}, x.finalRefusal(last)
}

const (
	// returnWaitShare is the share of its objective for which a request waits for an engine to which
	// requests return, and returnPoll is how often it looks.
	returnWaitShare = 0.5
	returnPoll      = 5 * time.Millisecond
)

// awaitReturn waits while an engine of the route has got its first requests after a pause and has not
// accepted them yet, and no other takes any. It returns true once one takes requests.
func (x *exchange) awaitReturn() bool {
	x.snapshot = x.f.Snapshot()
	a := x.availability()
	for a.Open == 0 && a.Returning > 0 && x.returnWait < time.Duration(returnWaitShare*float64(x.waitObjective())) {
		if x.remaining() <= returnPoll || !pause.For(x.r.Context(), returnPoll) {
			return false
		}
		x.returnWait += returnPoll
		x.snapshot = x.f.Snapshot()
		if a = x.availability(); a.Open > 0 {
			return true
		}
	}
	return false
}

// requestPermit requests a permit for one candidate engine after the other until it gets one. again
// means that the engine of the permit takes no new requests any more, and that the engine must be
// selected anew.
func (x *exchange) requestPermit(service string, plan Plan, shared []string) (choice Choice, refusal *Refusal, again bool) {
	ctx, cancel := x.withDeadline(x.r.Context())
	defer cancel()
	refused := false
	x.recordTimeout(service)
	// A caller that resumes a stream has less time left than it began with, and is not late.
	x.late = !x.stream.resumes && x.f.callerTimeouts.isLate(x.route.Name, x.req.Timeout, x.route.Objective)
	key := x.throttleKey(service)
	if !plan.Warm && !x.stream.resumes && x.f.throttles.shouldRefuse(key, x.f.Clock()) {
		return Choice{}, x.overloadRefusal(service), false
	}
	for i, candidate := range plan.Ask {
		age := x.f.Clock() - x.started
		maxWait := gate.MaxWait(x.route.Prompted, i, len(plan.Ask), x.waitObjective(), age)
		if plan.Warm {
			maxWait = min(maxWait, gate.ColdWait(x.route.Objective))
		}
		permit, reply, err := x.f.Places.Acquire(ctx, x.permitRequest(candidate, plan, maxWait), x.ownerReplySpare(candidate))
		x.late = x.late || reply.Late
		refused = refused || flow.ErrRefused.Has(err)
		switch {
		case err == nil && !x.stopped(candidate.Choice.Engine):
			choice := candidate.Choice
			choice.permit = permit
			x.recordGrant(key, true)
			x.recordShareGrant(service)
			return x.f.Engines.StartLeased(choice, shared), nil, false
		case err == nil:
			x.f.Places.Release(permit)
			return Choice{}, nil, true
		case x.callerDisconnected():
			return Choice{}, x.disconnectRefusal(), false
		case x.remaining() <= 0:
			return Choice{}, x.timeoutRefusal(), false
		case flow.ErrOwnerUnreachable.Has(err):
			if choice, ok := x.useUnowned(candidate); ok {
				return choice, nil, false
			}
		}
		x.deniedPermits++
		x.predictedWait, x.noMemory = reply.Wait, reply.NoMemory
		if (x.late || x.beyond) && x.route.Prompted && refused {
			// At another engine, the request would occupy a slot that one on time and within its
			// account's share can still use.
			break
		}
	}
	if !refused || plan.Warm {
		choice, refusal = x.chooseWithoutPermit()
		return choice, refusal, false
	}
	x.recordGrant(key, false)
	return Choice{}, x.overloadRefusal(service), false
}

const (
	// ownerReplyShare is the share of a route's objective for which the reply of the owner of a gate may
	// be late, and minOwnerReplySpare the least time: a round trip between sites and a busy VM.
	ownerReplyShare    = 0.1
	minOwnerReplySpare = 60 * time.Millisecond
	// maxOwnerReplySpare is for requests that nothing but a permit serves well. The client bounds it.
	maxOwnerReplySpare = time.Second
)

// ownerReplySpare returns how much longer than it lets a request wait the owner of the candidate's gate may
// take to reply. Brittle engines fall over if requests without permits reach them, and a stream that is
// resumed has only the engines of its version.
func (x *exchange) ownerReplySpare(candidate PermitCandidate) time.Duration {
	if candidate.Brittle || x.stream.resumes {
		return maxOwnerReplySpare
	}
	return max(time.Duration(ownerReplyShare*float64(x.waitObjective())), minOwnerReplySpare)
}

// useUnowned selects an engine without a permit whose gate's owner does not reply, if the engine has
// room by the known loads. Cold and brittle engines get nothing without a permit.
func (x *exchange) useUnowned(candidate PermitCandidate) (Choice, bool) {
	if candidate.Brittle || x.stopped(candidate.Choice.Engine) {
		return Choice{}, false
	}
	choice, ok := x.f.Engines.StartUnowned(x.snapshot, candidate.Choice, x.sharedParts())
	if ok {
		x.unowned = true
		x.recordShareGrant(choice.Engine.Service)
	}
	return choice, ok
}

// throttleKey returns the key by which the request is refused early. The requests beyond the share of an
// account are refused for what happened to the same ones, and not to others.
func (x *exchange) throttleKey(service string) throttleKey {
	key := throttleKey{service: service, urgency: x.urgency(), late: x.late}
	if x.beyond {
		key.beyond, key.account = true, x.accountName()
	}
	return key
}

// recordGrant records whether a request got a permit, by which later ones are refused early. Those that
// resume a stream are not, and do not count.
func (x *exchange) recordGrant(key throttleKey, granted bool) {
	if !x.stream.resumes {
		x.f.throttles.record(key, granted, x.f.Clock())
	}
}

// resumptionObjective is the objective by which a request that resumes a stream waits for a slot, if the
// route has a shorter one: callers stay for as long a gap in a stream.
const resumptionObjective = 2 * time.Second

// waitObjective returns the objective by which the request waits for a slot.
func (x *exchange) waitObjective() time.Duration {
	if x.stream.resumes {
		return max(x.route.Objective, resumptionObjective)
	}
	return x.route.Objective
}

// overloadRefusal refuses a request that can't get a permit in time, and suggests when to retry.
func (x *exchange) overloadRefusal(service string) *Refusal {
	reason, key := ReasonOverload, refusedKey{service: service}
	if x.beyond {
		reason, key.beyond, key.account = ReasonBeyondShare, true, x.accountName()
	}
	return notExecuted(reason, x.f.overloads.retryAfter(key, x.route.Objective, x.remaining(), x.f.Clock()))
}

// recordTimeout records the caller's timeout while the service refuses no requests. Without
// refusals there are no retries, so the timeout is the full one that callers use.
func (x *exchange) recordTimeout(service string) {
	if x.f.overloads.ended(service, x.f.Clock()) {
		x.f.callerTimeouts.record(x.route.Name, x.req.Timeout)
	}
}

// permitRequest returns the request to the owner of an engine's gate.
func (x *exchange) permitRequest(a PermitCandidate, plan Plan, maxWait time.Duration) flow.SlotRequest {
	out := flow.SlotRequest{
		Engine: a.Choice.Engine.ID, Places: a.MaxInFlight, MostPlaces: a.MostInFlight, Urgency: x.urgency(), Weight: x.req.Cost(),
		MaxWait: maxWait, Lease: x.remaining(), Hold: plan.Hold,
		Subject: x.req.RetryKey(), Attempt: rendezvous.ID(x.req.ID), Slack: gate.StartWithin(x.route.Objective), Late: x.late, Beyond: x.beyond,
		Pace: a.Pace, Brittle: a.Brittle, Tolerance: int(a.Tolerance), Account: x.accountName(),
		Memory: a.Memory, Need: plan.Need,
	}
	if a.Brittle {
		// The engine may go on with the request when its caller has left at its deadline.
		out.Lease += abandonedHold(plan.Hold)
	}
	if x.stream.resumes {
		// Only engines of its version serve the request, so that it goes ahead of those that any engine
		// can serve. What was refused to the same prompt before does not count.
		out.Urgency, out.Subject = 0, 0
	}
	return out
}

// chooseWithoutPermit selects an engine by the known loads, as while the service has free capacity.
// It is used if no permit was obtained although no owner of a gate refused one, for example because
// no owner could be reached, or if a permit was requested only for a cold engine while others are
// available.
func (x *exchange) chooseWithoutPermit() (Choice, *Refusal) {
	if choice, ok := x.pickEngine(); ok {
		x.recordShareGrant(choice.Engine.Service)
		return choice, nil
	}
	return Choice{}, x.finalRefusal(notExecuted(ReasonNoEngine, retryLater))
}

// callerTimeouts records the timeouts that callers of each route usually set. It is safe for
// concurrent use.
type callerTimeouts struct {
	mu      sync.Mutex
	byRoute map[string]*gate.TimeoutBaseline
}

// record adds the timeout of a request that arrived while nothing was refused.
func (l *callerTimeouts) record(route string, limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	valueOf(l.byRoute, route).Note(limit)
}

// isLate reports whether a caller with this timeout has retried too late to be served on time.
func (l *callerTimeouts) isLate(route string, limit, objective time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	baseline := l.byRoute[route]
	return baseline != nil && baseline.Late(limit, objective)
}

// overloads records since when each service has refused requests. It is safe for concurrent use.
type overloads struct {
	mu     sync.Mutex
	random func() float64
	// byService holds all refusals of a service, and byRefused those of the requests with a key.
	byService map[string]*gate.Overload
	byRefused map[refusedKey]*gate.Overload
}

// refusedKey identifies the refused requests of a service: those beyond the share of an account, or those
// of all accounts that are within their shares.
type refusedKey struct {
	service string
	beyond  bool
	account string
}

// retryAfter records a refusal and returns how long the caller should wait before it retries.
func (o *overloads) retryAfter(key refusedKey, objective, left, now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state(key.service).Note(now)
	return valueOf(o.byRefused, key).RetryAfter(objective, left, now, o.random())
}

// ended reports whether the service has refused no request for a while.
func (o *overloads) ended(service string, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state(service).Over(now)
}

// state returns the overload state of a service. The caller holds the mutex.
func (o *overloads) state(service string) *gate.Overload {
	return valueOf(o.byService, service)
}
