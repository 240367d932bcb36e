package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

const (
	// maxUnsent is how many engines are tried that can't be reached.
	maxUnreachable = 4
	// maxRefusals is how many engines may refuse before the caller is refused.
	maxEngineRefusals = 3
	// maxIdleOnce is how long a connection may have been idle for a request
	// that must not be sent twice; see engineconn.Request.MaxIdle.
	maxIdleNonRepeatable = 300 * time.Millisecond
	// maxIdleRepeatable is the same for one that may be.
	maxIdleRepeatable = 4 * time.Second
)

// verdict is what to do after a send.
type nextAction uint8

const (
	// done means that the caller has the answer.
	actionDone nextAction = iota
	// another means that the request goes to another engine.
	actionTryNext
	// over means that the refusal is final.
	actionStop
)

// forward sends the request until an answer is on its way or nothing more may
// be tried. It returns the refusal to send, or nil.
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
			return last
		}
		if !result.unsent && !result.budgetSpent && !x.f.Budget.Spend(e.Service, x.f.Clock()) {
			return last
		}
	}
}

// mayGoOn checks what may have changed while the request waited.
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
	return nil
}

func (x *exchange) disconnectRefusal() *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Reason: ReasonCallerLeft}
}

// timeUp is the final answer at the time limit.
func (x *exchange) timeoutRefusal() *Refusal {
	if x.executed == 0 {
		return notExecuted(ReasonTimeout, 0)
	}
	return maybeExecuted(http.StatusGatewayTimeout, ReasonTimeout)
}

// choose returns the engine for the next send. Repeats go at once: they have been waited
// for already, and the budget bounds them.
func (x *exchange) chooseEngine(last *Refusal) (Choice, *Refusal) {
	if x.executed == 0 {
		return x.chooseFirst(last)
	}
	if choice, ok := x.pickEngine(); ok {
		return choice, nil
	}
	return Choice{}, last
}

// pick chooses an engine of one of the route's services, by the loads as known.
func (x *exchange) pickEngine() (Choice, bool) {
	var shared []string
	if x.route.Prompted {
		shared = x.req.SharedParts()
	}
	for _, service := range x.serviceOrder(shared) {
		if choice, ok := x.f.Engines.Pick(x.snapshot, service, shared, x.excluded); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// services returns the route's services, the one to use first. Prompts that
// share a part go to the same service, so that its engines' caches are used.
func (x *exchange) serviceOrder(shared []string) []string {
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

// result is the end of one send.
type sendResult struct {
	action nextAction
	// unsent means that nothing left the router, refused that the engine
	// promised not to have executed the request.
	unsent, refused bool
	// paid means that the retry budget has granted the next send already.
	budgetSpent bool
	refusal     *Refusal
}

// send sends the request to an engine and relays its answer.
func (x *exchange) send(choice Choice) sendResult {
	e := choice.Engine
	defer x.f.Engines.Done(choice)
	x.sends++
	x.engine = e.ID
	x.fetchFrom = choice.FetchFrom
	if x.sends == 1 {
		x.f.Budget.RecordRequest(e.Service, x.f.Clock())
	}
	ctx, cancel := x.context()
	defer cancel()
	ctx, stopTimer := x.withAttemptTimeout(ctx, e)
	sentAt := x.f.Clock()
	answer, err := x.f.Conns.Send(ctx, engineTarget(e), x.engineRequest(choice, ""))
	stopTimer()
	waited := x.f.Clock() - sentAt
	if err != nil {
		return x.handleSendError(ctx, e, err, waited)
	}
	defer answer.Close()
	reply := x.f.Codec.Reply(answer.Status, answer.Header)
	if reply.NotExecuted {
		return x.handleEngineRefusal(e, answer, reply)
	}
	x.executed++
	if x.route.Kind != catalog.Streaming {
		x.f.answerTimes.record(e.Service, waited)
	}
	if !reply.Sealed || reply.Encoded {
		x.f.Engines.RecordOutcome(e.ID, false)
		return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, ReasonBadAnswer))
	}
	if x.route.Kind == catalog.Streaming && answer.Status < http.StatusMultipleChoices {
		return x.relayStream(ctx, e, answer)
	}
	return x.relayBuffered(e, answer)
}

func engineTarget(e catalog.Engine) engineconn.Target {
	return engineconn.Target{ID: e.ID, Address: e.Address}
}

func (x *exchange) engineRequest(choice Choice, lastEvent string) *engineconn.Request {
	sending := Sending{
		Engine: choice.Engine, FetchFrom: choice.FetchFrom,
		Remaining: x.remaining(), Urgency: engineUrgency, LastEvent: lastEvent,
	}
	if x.account != nil {
		sending.Account = x.account.Name
	}
	maxIdle := maxIdleNonRepeatable
	if x.route.Repeatable() {
		maxIdle = maxIdleRepeatable
	}
	return &engineconn.Request{
		Method: x.r.Method, Target: x.requestTarget(), Host: x.r.Host,
		Header: x.f.Codec.EngineHeader(x.r.Header, &x.req, sending),
		Body:   x.body, MaxIdle: maxIdle, Keep: x.idleConnLimit(choice.Engine.Service),
		Own: func(h http.Header) bool {
			id := x.f.Codec.Reply(0, h).RequestID
			return id == "" || id == x.req.ID
		},
	}
}

const (
	// keptShare is the part of the connections that an engine accepts which
	// all routers together may keep idle. The rest is for requests: an engine
	// resets what is over its bound, and a request lost by that may have run.
	idleConnShare = 0.5
	// maxKept bounds the idle connections to one engine in any case.
	maxIdleConns = 16
)

// keep is how many idle connections this router may keep to an engine of the
// service.
func (x *exchange) idleConnLimit(service string) int {
	config := x.snapshot.Config.Service(service)
	if config == nil || config.MaxConns == 0 {
		return maxIdleConns
	}
	share := idleConnShare * float64(config.MaxConns) / float64(x.f.Routers())
	return min(max(int(share), 1), maxIdleConns)
}

// target is the path and query as they came; only a request to a proxy names
// the host there too, and an engine is none.
func (x *exchange) requestTarget() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// engineUrgency is the rank of all requests at engines. Who goes first is decided before a
// request is sent; an engine that preempts one for another makes both late. With ranks,
// 1,100 requests were preempted in 8 s of four times the usual load and 0.705 of the
// benefit was earned in the worst seconds of it; with gates and one rank none, and 0.85.
const engineUrgency = 5

// urgencyStep separates the priorities of accounts: the account's goes before
// the route's.
const urgencyStep = 3

func (x *exchange) urgency() int {
	if x.account == nil {
		return x.route.Priority
	}
	return x.account.Priority*urgencyStep + min(x.route.Priority, urgencyStep-1)
}

// sendFailed decides after a send without an answer.
func (x *exchange) handleSendError(ctx context.Context, e catalog.Engine, err error, waited time.Duration) sendResult {
	unsent := engineconn.ErrNotSent.Has(err)
	if !unsent {
		x.executed++
	}
	x.logAttempt(e, err, waited)
	switch {
	case x.callerDisconnected():
		return sendResult{action: actionStop, refusal: x.disconnectRefusal()}
	case attemptTimedOut(ctx):
		return x.handleAttemptTimeout(e, unsent, waited)
	case ctx.Err() != nil:
		x.f.Engines.RecordOutcome(e.ID, false)
		return sendResult{action: actionStop, refusal: x.timeoutRefusal()}
	}
	x.f.Engines.RecordOutcome(e.ID, false)
	if unsent {
		refusal := notExecuted(ReasonUnreachable, retryLater)
		if x.executed > 0 {
			refusal = maybeExecuted(http.StatusBadGateway, ReasonUnreachable)
		}
		return sendResult{action: actionTryNext, unsent: true, refusal: refusal}
	}
	reason := ReasonNoAnswer
	if engineconn.ErrMalformed.Has(err) {
		reason = ReasonBadAnswer
	}
	return x.retryIfAllowed(maybeExecuted(http.StatusBadGateway, reason))
}

// gaveUp decides after a send to an engine that stayed silent; see watchSilence.
func (x *exchange) handleAttemptTimeout(e catalog.Engine, unsent bool, waited time.Duration) sendResult {
	x.f.Engines.RecordOutcome(e.ID, false)
	x.f.answerTimes.record(e.Service, waited)
	x.f.stats.recordAttemptTimeout()
	refusal := maybeExecuted(http.StatusBadGateway, ReasonNoAnswer)
	if unsent && x.executed == 0 {
		refusal = notExecuted(ReasonUnreachable, retryLater)
	}
	return sendResult{action: actionTryNext, unsent: unsent, budgetSpent: true, refusal: refusal}
}

// mayRepeat decides after an attempt that may have executed the request.
func (x *exchange) retryIfAllowed(refusal *Refusal) sendResult {
	if x.route.Repeatable() && x.executed < x.route.Attempts {
		return sendResult{action: actionTryNext, refusal: refusal}
	}
	return sendResult{action: actionStop, refusal: refusal}
}

// engineRefused decides after an engine's promise that nothing ran.
func (x *exchange) handleEngineRefusal(e catalog.Engine, answer *engineconn.Answer, reply Reply) sendResult {
	x.logAttempt(e, errEngineRefused.New("status %d", answer.Status), 0)
	if reply.WrongEngine {
		// Until the store says so too, others need not try the address.
		x.f.Engines.RecordOutcome(e.ID, false)
	}
	// The body is read so that the connection can be kept; what it says does
	// not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxBufferedAnswer))
	if answer.Status == http.StatusBadRequest {
		return sendResult{action: actionStop, refusal: rejected(http.StatusBadRequest, ReasonMalformed)}
	}
	refusal := notExecuted(ReasonRefused, retryLater)
	if x.executed > 0 {
		refusal = maybeExecuted(http.StatusBadGateway, ReasonRefused)
	}
	return sendResult{action: actionTryNext, refused: true, refusal: refusal}
}
