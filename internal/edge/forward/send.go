package forward

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/reach"
)

const (
	// maxUnreachable is how many unreachable engines are tried before the request is refused.
	maxUnreachable = 4
	// maxEngineRefusals is how many engines may refuse a request before it is refused to the
	// caller.
	maxEngineRefusals = 3
	// maxRefusalBody is how much of the body of an engine's refusal is read, in bytes, and refusalBodyTimeout for
	// how long, before the connection is given up rather than used again.
	maxRefusalBody     = 16 << 10
	refusalBodyTimeout = 50 * time.Millisecond
	// maxIdleNonRepeatable is the maximum idle time of a reused connection for a request that must
	// not be sent twice; see engineconn.Request.MaxIdle.
	maxIdleNonRepeatable = 300 * time.Millisecond
	// maxIdleRepeatable is the same for a request that may be sent twice.
	maxIdleRepeatable = 4 * time.Second
)

// nextAction is what to do after an attempt.
type nextAction uint8

const (
	// actionDone means that the caller has the response.
	actionDone nextAction = iota
	// actionTryNext means that the request goes to another engine.
	actionTryNext
	// actionStop means that the refusal is final.
	actionStop
)

// forward sends the request until a response was relayed or no further attempt is allowed. It
// returns the refusal to send, or nil.
func (x *exchange) forward() *Refusal {
	x.excluded = make(map[string]bool)
	unreachable, refusals := 0, 0
	last := notExecuted(ReasonNoEngine, retryLater)
	for {
		if refusal := x.checkBeforeSend(last); refusal != nil {
			return refusal
		}
		choice, refusal := x.chooseEngine(last)
		if refusal != nil {
			return refusal
		}
		// The request may have waited for a permit.
		if refusal := x.checkSuspicion(); refusal != nil {
			x.f.Engines.Done(choice)
			return x.suspicionRefusal(refusal, last)
		}
		e := choice.Engine
		result := x.send(choice)
		if result.action != actionTryNext {
			return result.refusal
		}
		x.excluded[e.ID] = true
		last = result.refusal
		switch {
		case result.unsent:
			unreachable++
		case result.refused:
			refusals++
		}
		if unreachable >= maxUnreachable || refusals >= maxEngineRefusals {
			return x.finalRefusal(last)
		}
		if result.refused && x.executed == 0 && x.brittle(e.Service) {
			return x.overloadRefusal(e.Service)
		}
		if !result.unsent && !result.budgetSpent && !x.f.Budget.Spend(e.Service, x.f.Clock()) {
			return x.finalRefusal(last)
		}
	}
}

// brittle reports whether engines of the service are brittle. A request that one of them rejects does
// not go round the others.
func (x *exchange) brittle(service string) bool {
	var ids []string
	for _, e := range x.snapshot.Engines.ForService(service) {
		ids = append(ids, e.ID)
	}
	return x.f.Engines.Brittle(ids)
}

// checkBeforeSend checks what may have changed while the request waited: whether the caller is
// still connected, the deadline, and the age of the configuration. If the configuration is too old
// and the request may have executed already, it returns last, the result of the previous attempt.
func (x *exchange) checkBeforeSend(last *Refusal) *Refusal {
	switch {
	case x.callerDisconnected():
		return x.disconnectRefusal()
	case x.remaining() <= 0:
		return x.timeoutRefusal()
	}
	x.snapshot = x.f.Snapshot()
	if age := x.snapshot.ConfigAge(x.f.Clock()); x.account != nil && age > x.f.KeyLease() {
		if x.executed > 0 {
			return last
		}
		return notExecuted(ReasonStaleConfig, retryStoreLost)
	}
	if refusal := x.checkSuspicion(); refusal != nil {
		return x.suspicionRefusal(refusal, last)
	}
	return nil
}

// suspicionRefusal returns the refusal of a suspect, or the result of the previous attempt if the
// request may have executed already.
func (x *exchange) suspicionRefusal(refusal, last *Refusal) *Refusal {
	if x.executed > 0 {
		return last
	}
	return refusal
}

func (x *exchange) disconnectRefusal() *Refusal {
	if x.givenUp.Load() {
		return &Refusal{Status: http.StatusBadGateway, Reason: ReasonSlowCaller}
	}
	return &Refusal{Status: http.StatusBadGateway, Reason: ReasonCallerLeft}
}

// timeoutRefusal returns the final response after the deadline, or at the end of the router.
func (x *exchange) timeoutRefusal() *Refusal {
	switch {
	case x.givenUpAtEnd() && x.executed == 0:
		return notExecuted(ReasonDraining, retrySoon)
	case x.givenUpAtEnd():
		return maybeExecuted(http.StatusGatewayTimeout, ReasonDraining)
	case x.executed == 0:
		return notExecuted(ReasonTimeout, 0)
	}
	return maybeExecuted(http.StatusGatewayTimeout, ReasonTimeout)
}

// chooseEngine returns the engine for the next send. Retries need no permit: they have already
// waited, and the retry budget limits them.
func (x *exchange) chooseEngine(last *Refusal) (Choice, *Refusal) {
	if x.executed == 0 {
		return x.chooseFirst(last)
	}
	if choice, ok := x.pickEngine(); ok {
		return choice, nil
	}
	return Choice{}, x.finalRefusal(last)
}

// pickEngine selects an engine of one of the route's services by the known loads.
func (x *exchange) pickEngine() (Choice, bool) {
	for _, service := range x.openServices() {
		q := x.query(service)
		q.Unadmitted = true
		if choice, ok := x.f.Engines.Pick(x.snapshot, service, q); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// query describes the request for the selection of an engine of a service.
func (x *exchange) query(service string) Query {
	return Query{
		Shared: x.sharedParts(), Excluded: x.excluded, Isolate: x.tracker.IsolationKey(service),
		Version: x.stream.version, Resumable: x.recordsOrigin(),
	}
}

// sharedParts returns the IDs of the prompt parts that engines may have cached.
func (x *exchange) sharedParts() []string {
	if !x.route.Prompted {
		return nil
	}
	return x.req.SharedParts()
}

// openServices returns the services of serviceOrder to which the request may be sent, as far as the
// parts of its prompt are concerned.
func (x *exchange) openServices() []string {
	return slices.DeleteFunc(x.serviceOrder(x.sharedParts()), func(service string) bool {
		return x.tracker.Restriction(service).Refused != quarantine.Part{}
	})
}

// serviceOrder returns the route's services in the order of preference. Prompts that share a part
// prefer the same service, so that they find that part in the caches of its engines.
func (x *exchange) serviceOrder(shared []string) []string {
	if x.stream.service != "" {
		return x.streamService()
	}
	backends := x.route.Backends
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	key := x.req.ID
	if len(shared) > 0 {
		key = shared[len(shared)-1]
	}
	point := hashMod(key, total)
	var first string
	var rest []string
	for _, b := range backends {
		if b.Weight <= 0 {
			continue
		}
		if first == "" && point < b.Weight {
			first = b.Service
		} else {
			rest = append(rest, b.Service)
		}
		point -= b.Weight
	}
	if first == "" {
		return rest
	}
	return append([]string{first}, rest...)
}

// sendResult is the result of one attempt.
type sendResult struct {
	action nextAction
	// unsent means that nothing left the router. refused means that the engine guarantees that it
	// did not execute the request.
	unsent, refused bool
	// budgetSpent means that the retry budget has already been charged for the next send.
	budgetSpent bool
	refusal     *Refusal
}

// send sends the request to an engine and relays its response.
func (x *exchange) send(choice Choice) sendResult {
	e := choice.Engine
	x.sends++
	x.engine, x.engineService, x.engineVersion = e.ID, e.Service, e.Version
	x.reply = Reply{}
	x.via, x.answeredAt, x.outlived = "", 0, false
	x.fetchFrom = choice.FetchFrom
	if x.sends == 1 {
		x.f.Budget.RecordRequest(e.Service, x.f.Clock())
	}
	ctx, cancel := x.context()
	defer cancel()
	a := x.newAttempt(choice)
	// The end of the context closes the connection also after a complete response.
	defer a.end()
	ctx, stopTimer := x.withAttemptTimeout(ctx, e)
	x.recordBegin(e)
	x.sentAt = x.f.Clock()
	response, err := x.f.Conns.Send(ctx, engineTarget(e), x.engineRequest(choice, ""))
	stopTimer()
	waited := x.f.Clock() - x.sentAt
	if err != nil {
		a.executing = !engineconn.ErrNotSent.Has(err)
		return x.handleSendError(ctx, e, err, waited)
	}
	a.response = response
	x.via = response.Via
	reply := x.f.Codec.Reply(response.Status, response.Header)
	x.recordSignals(choice, response.Status, reply)
	if reply.NotExecuted {
		return x.handleEngineRefusal(e, response, reply)
	}
	x.executed++
	a.executing = true
	if x.route.Kind != catalog.Streaming {
		x.f.responseTimes.record(e.Service, waited)
	}
	if !reply.Sealed || reply.Encoded {
		if !x.limitsLoad(response.Status) {
			x.f.Engines.RecordOutcome(e.ID, false)
		}
		return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonBadAnswer))
	}
	if x.route.Kind == catalog.Streaming && response.Status < http.StatusMultipleChoices {
		if !x.confirmVersion(e, response.OpenedAt()) {
			return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonStreamBroken))
		}
		return x.relayStream(ctx, a)
	}
	return x.relayBuffered(ctx, e, response)
}

func engineTarget(e catalog.Engine) engineconn.Target {
	return engineconn.Target{ID: e.ID, Address: e.Address}
}

func (x *exchange) engineRequest(choice Choice, lastEvent string) *engineconn.Request {
	info := EngineRequestInfo{
		Engine: choice.Engine, FetchFrom: choice.FetchFrom, Account: x.accountName(),
		Remaining: x.remaining(), Urgency: engineUrgency, LastEvent: lastEvent,
	}
	maxIdle := maxIdleNonRepeatable
	if x.route.Repeatable() {
		maxIdle = maxIdleRepeatable
	}
	return &engineconn.Request{
		Method: x.r.Method, Target: x.requestTarget(), Host: x.r.Host,
		Header: x.f.Codec.EngineHeader(x.r.Header, &x.req, info),
		Body:   x.body, Repeatable: x.mayRepeat(), KnownStart: x.recordsOrigin() || x.stream.version != "", MaxIdle: maxIdle, MaxIdleConns: x.idleConnLimit(choice.Engine.Service),
		Withdrawn: func() bool { return x.stopped(choice.Engine) },
		Waiting:   x.watchWait(choice),
		Matches: func(h http.Header) bool {
			id := x.f.Codec.Reply(0, h).RequestID
			return id == "" || id == x.req.ID
		},
	}
}

// watchWait returns a function that is called while the request waits for its response. A request that
// is not acknowledged, or was sent on a path that is lost since, has most likely not reached the engine:
// it takes no slot there until its own deadline.
func (x *exchange) watchWait(choice Choice) func(unacked bool) {
	sentAt, pathLost, engines := x.f.Clock(), x.f.PathLost, x.f.Engines
	return func(unacked bool) {
		if unacked || pathLost(choice.Engine.Address, sentAt) {
			engines.Unreached(choice)
		}
	}
}

const (
	// idleConnShare is the share of an engine's connection limit that all routers together may keep
	// idle. The rest is for requests: an engine resets connections beyond its limit, and a request
	// lost that way may have executed.
	idleConnShare = 0.5
	// maxIdleConns limits the idle connections to one engine in any case.
	maxIdleConns = 16
)

// idleConnLimit returns how many idle connections this router may keep to an engine of the service.
func (x *exchange) idleConnLimit(service string) int {
	config := x.snapshot.Config.Service(service)
	if config == nil || config.MaxConns == 0 {
		return maxIdleConns
	}
	share := idleConnShare * float64(config.MaxConns) / float64(x.f.Routers())
	return min(max(int(share), 1), maxIdleConns)
}

// requestTarget returns the path and query as received. A request in absolute form, as sent to
// proxies, is reduced to them, because an engine is not a proxy.
func (x *exchange) requestTarget() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// engineUrgency is the priority of all requests at engines. The gates decide the order before
// requests are sent; an engine that preempts one request for another delays both. At four times the
// usual load, 1,100 requests were preempted in 8 s with different priorities, and in the worst
// seconds 0.705 of the benefit was earned. With gates and a single priority, no request was
// preempted, and 0.85 of the benefit was earned.
const engineUrgency = 5

// urgencyStep is the difference in urgency between two consecutive account priorities. Route
// priorities take the values in between, so that account priorities take precedence.
const urgencyStep = 3

func (x *exchange) urgency() int {
	if x.account == nil {
		return x.route.Priority
	}
	return x.account.Priority*urgencyStep + min(x.route.Priority, urgencyStep-1)
}

// handleSendError decides what to do after an attempt without a response.
func (x *exchange) handleSendError(ctx context.Context, e catalog.Engine, err error, waited time.Duration) sendResult {
	unsent := engineconn.ErrNotSent.Has(err)
	if !unsent {
		x.executed++
	}
	x.reportCut(ctx, e, err)
	x.logAttempt(e, err, waited)
	switch {
	case x.callerDisconnected():
		return sendResult{action: actionStop, refusal: x.disconnectRefusal()}
	case engineconn.ErrWithdrawn.Has(err):
		return sendResult{action: actionTryNext, unsent: true, refusal: x.unreachableRefusal()}
	case attemptTimedOut(ctx):
		return x.handleAttemptTimeout(e, err, unsent, waited)
	case ctx.Err() != nil:
		if !x.givenUpAtEnd() {
			x.recordNoResponse(e, err)
		}
		return sendResult{action: actionStop, refusal: x.timeoutRefusal()}
	}
	x.recordNoResponse(e, err)
	if unsent {
		return sendResult{action: actionTryNext, unsent: true, refusal: x.unreachableRefusal()}
	}
	reason := ReasonNoAnswer
	if engineconn.ErrMalformed.Has(err) {
		reason = ReasonBadAnswer
	}
	return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, reason))
}

// recordNoResponse records an attempt that ended without a response, unless the way to the engine is
// known to be the cause.
func (x *exchange) recordNoResponse(e catalog.Engine, err error) {
	if !reach.ErrTunnel.Has(err) && !reach.ErrNoRelay.Has(err) && !x.f.PathLost(e.Address, x.sentAt) {
		x.f.Engines.RecordNoResponse(e.ID)
	}
}

// unreachableRefusal returns the refusal after a send of which nothing has left the router.
func (x *exchange) unreachableRefusal() *Refusal {
	if x.executed > 0 {
		return maybeExecuted(http.StatusBadGateway, ReasonUnreachable)
	}
	return notExecuted(ReasonUnreachable, retryLater)
}

// handleAttemptTimeout decides what to do after an attempt that timed out; see withAttemptTimeout.
func (x *exchange) handleAttemptTimeout(e catalog.Engine, err error, unsent bool, waited time.Duration) sendResult {
	x.recordNoResponse(e, err)
	x.f.responseTimes.record(e.Service, waited)
	x.f.stats.recordAttemptTimeout()
	if !unsent {
		x.timedOutAt = append(x.timedOutAt, e)
	}
	refusal := maybeExecuted(http.StatusBadGateway, ReasonNoAnswer)
	if unsent && x.executed == 0 {
		refusal = notExecuted(ReasonUnreachable, retryLater)
	}
	return sendResult{action: actionTryNext, unsent: unsent, budgetSpent: true, refusal: refusal}
}

// mayRepeat reports whether the request may go to another engine after the attempt in progress.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.executed+1 < x.route.Attempts
}

// retryIfAllowed decides what to do after an attempt that may have executed the request.
func (x *exchange) retryIfAllowed(refusal *Refusal) sendResult {
	if x.route.Repeatable() && x.executed < x.route.Attempts && !x.tracker.LikelyCause() {
		return sendResult{action: actionTryNext, refusal: refusal}
	}
	return sendResult{action: actionStop, refusal: refusal}
}

// handleEngineRefusal decides what to do after an engine refused the request, which guarantees that
// it did not execute it.
func (x *exchange) handleEngineRefusal(e catalog.Engine, response *engineconn.Response, reply Reply) sendResult {
	x.logAttempt(e, errEngineRefused.New("status %d", response.Status), 0)
	if reply.WrongEngine {
		// Recording a failure keeps other requests from the address until the store lists the
		// engine that now has this address.
		x.f.Engines.RecordOutcome(e.ID, false)
	}
	response.Drain(maxRefusalBody, refusalBodyTimeout)
	if response.Status == http.StatusBadRequest {
		return sendResult{action: actionStop, refusal: rejected(http.StatusBadRequest, ReasonMalformed)}
	}
	refusal := notExecuted(ReasonRefused, retryLater)
	if x.executed > 0 {
		refusal = maybeExecuted(http.StatusBadGateway, ReasonRefused)
	}
	return sendResult{action: actionTryNext, refused: true, refusal: refusal}
}
