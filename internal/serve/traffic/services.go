package traffic

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

const (
	maxServiceBody = 1 << 20
	maxKeyLength   = 256
	// recordTimeout bounds one write of a record, which continues after the
	// caller has disconnected: the call was executed, and its response must be
	// stored for retries.
	recordTimeout = 5 * time.Second
	// nonIdempotentTimeout bounds a non-idempotent call at the service.
	nonIdempotentTimeout = 30 * time.Second
	// storeRetryAfter is suggested to callers while the table service is
	// unavailable.
	storeRetryAfter = 2 * time.Second
)

// serviceCall is one request to a plain service.
type serviceCall struct {
	s              *Server
	caller         *callerInfo
	id             string
	service        *config.Service
	route          config.RouteMatch
	query          string
	contentType    string
	accept         string
	idempotencyKey string
	body           []byte
	excluded       []uint64
	// tracker follows the call as a possible cause of the end of VMs.
	tracker suspects.Tracker
}

// service serves /v1/services/{service}/{path}.
func (s *Server) service(c echo.Context) error {
	caller, err := s.authenticate(c)
	if err != nil {
		return err
	}
	sc := &serviceCall{s: s, caller: caller, id: requestID(c)}
	if err := sc.read(c); err != nil {
		return err
	}
	release, err := s.Quota.Take(c.Request().Context(), caller.account)
	if err != nil {
		return err
	}
	defer release()
	resp, err := sc.serve(c.Request().Context())
	if err != nil {
		return err
	}
	return c.Blob(resp.Status, resp.ContentType, resp.Body)
}

func (sc *serviceCall) serve(ctx context.Context) (upstream.Response, error) {
	sc.tracker = suspects.NewTracker(sc.s.Suspects, quarantine.Content{
		Account: sc.caller.account.Name, Method: sc.route.Route.Method, Host: sc.service.Name,
		Target: sc.route.Path + "?" + sc.query, Body: sc.body,
	}, sc.service.Name, nil)
	if refusal := sc.s.suspicionError(&sc.tracker, sc.service.Name); refusal != nil {
		return upstream.Response{}, refusal
	}
	if !sc.route.Idempotent {
		return sc.sendOnce(ctx)
	}
	resp, refusal := sc.send(ctx, true)
	if refusal != nil {
		return resp, refusal
	}
	// A nil *apierr.Error returned as an error would not equal nil.
	return resp, nil
}

func (sc *serviceCall) read(c echo.Context) error {
	r := c.Request()
	if err := sc.match(r); err != nil {
		return err
	}
	body, err := readBody(c, maxServiceBody)
	if err != nil {
		return err
	}
	sc.body = body
	sc.query = r.URL.RawQuery
	sc.contentType = r.Header.Get("Content-Type")
	sc.accept = r.Header.Get("Accept")
	sc.idempotencyKey = r.Header.Get(wire.HeaderIdempotencyKey)
	if len(sc.idempotencyKey) > maxKeyLength {
		return httperr.BadRequest(wire.HeaderIdempotencyKey + " is too long")
	}
	if !sc.route.Idempotent && sc.idempotencyKey == "" {
		return apierr.New(apierr.CodeKeyMissing, http.StatusBadRequest,
			"this call is not idempotent and needs "+wire.HeaderIdempotencyKey)
	}
	if r.Header.Get(wire.HeaderPriority) == "" {
		return sc.setRouteClass()
	}
	return nil
}

// match finds the declared route. Only the route's own encoding of the path is
// sent upstream, never the caller's.
func (sc *serviceCall) match(r *http.Request) error {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), wire.PathServices)
	name, path, _ := strings.Cut(rest, "/")
	svc, ok := sc.caller.config.Service(name)
	if !ok || !sc.caller.account.MayCall(name) {
		return apierr.New(apierr.CodeNotFound, http.StatusNotFound, "no such service")
	}
	route, err := svc.Match(r.Method, "/"+path)
	switch {
	case config.ErrMethodNotAllowed.Has(err):
		return apierr.New(apierr.CodeMethodNotAllowed, http.StatusMethodNotAllowed, "method not allowed here").WithCause(err)
	case config.ErrBadPath.Has(err):
		return httperr.BadRequest("malformed path").WithCause(err)
	case err != nil:
		return apierr.New(apierr.CodeNotFound, http.StatusNotFound, "no such route").WithCause(err)
	}
	sc.service = svc
	sc.route = route
	return nil
}

func (sc *serviceCall) setRouteClass() error {
	class, err := queue.ParseClass(sc.route.Priority)
	if err != nil {
		return nil
	}
	highest, err := queue.ParseClass(sc.caller.account.MaxPriority)
	if err != nil {
		highest = queue.Normal
	}
	sc.caller.class = max(class, highest)
	return nil
}

// send sends the call, and retries it at another VM where that is allowed and
// useful. Its error is final: its field Ran covers all attempts.
func (sc *serviceCall) send(ctx context.Context, idempotent bool) (upstream.Response, *apierr.Error) {
	attempts := sc.s.newAttemptTracker(idempotent, sc.caller.deadline)
	for {
		resp, err := sc.attempt(ctx)
		if err == nil {
			sc.tracker.RecordCompletion()
			return resp, nil
		}
		if sc.tracker.LikelyCause() {
			return resp, attempts.withRan(upstreamError(err)).WithRan(apierr.RanUnknown)
		}
		if refusal := attempts.handleFailure(ctx, err); refusal != nil {
			return resp, refusal
		}
	}
}

// sendOnce sends a non-idempotent call under a claim. The claim is in the table
// service before the first byte is sent, and no other router ever takes it
// over.
func (sc *serviceCall) sendOnce(ctx context.Context) (upstream.Response, error) {
	outcome, err := sc.s.Claims.Begin(ctx, claim.Key{
		Account:        sc.caller.account.Name,
		IdempotencyKey: sc.idempotencyKey,
		Service:        sc.service.Name,
		Deduplicates:   sc.service.Deduplicates,
	}, claim.HashBody(sc.fingerprint()))
	if err != nil {
		return upstream.Response{}, claimError(err)
	}
	if outcome.Kind == claim.Answered {
		sc.s.metrics.responsesRepeated.Add(1)
		return upstream.Response(outcome.Answer), nil
	}
	if err := outcome.Err(); err != nil {
		return upstream.Response{}, claimError(err)
	}
	sc.s.metrics.claimsExecuted.Add(1)
	return sc.executeClaimed(ctx, outcome.Claim)
}

// fingerprint returns the parts of the request that must be equal when a key is
// used again: method, service, path, query and body.
func (sc *serviceCall) fingerprint() []byte {
	requestLine := sc.route.Route.Method + " " + sc.service.Name + sc.route.Path + "?" + sc.query + "\n"
	return append([]byte(requestLine), sc.body...)
}

// executeClaimed executes a claimed call and records its result. The call is
// sent again only if an attempt was provably not executed, or if the service
// deduplicates repeated calls.
func (sc *serviceCall) executeClaimed(ctx context.Context, c *claim.Claim) (upstream.Response, error) {
	resp, refusal := sc.send(ctx, sc.service.Deduplicates)
	switch {
	case refusal == nil:
		sc.record(ctx, func(ctx context.Context) error { return sc.s.Claims.Finish(ctx, c, claim.Response(resp)) })
		return resp, nil
	case refusal.Ran == apierr.RanNo:
		sc.record(ctx, func(ctx context.Context) error { return sc.s.Claims.Release(ctx, c) })
		return resp, refusal
	}
	sc.record(ctx, func(ctx context.Context) error { return sc.s.Claims.MarkUnknown(ctx, c) })
	return resp, outcomeUnknownError(refusal)
}

// attempt acquires a grant and sends the call once.
func (sc *serviceCall) attempt(ctx context.Context) (upstream.Response, error) {
	grant, err := sc.admit(ctx)
	if err != nil {
		return upstream.Response{}, err
	}
	defer grant.Release()
	if !sc.route.Idempotent {
		// Once sent, the call continues although the caller may have
		// disconnected. Aborting it would leave the outcome unknown, while a
		// recorded response can be returned when the caller retries with the
		// key.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), nonIdempotentTimeout)
		defer cancel()
	}
	sentAt := sc.s.Suspects.Now()
	resp, err := sc.s.Upstream.Do(ctx, sc.upstreamCall(grant))
	if err != nil && ctx.Err() == nil {
		if !upstream.SentOf(err).NotExecuted() {
			sc.s.reportCut(&sc.tracker, sc.service.Name, sentAt, sc.upstreamCall(grant), err)
		}
		sc.excluded = append(sc.excluded, grant.Engine.ID)
		sc.s.recordFailure(grant, err)
	}
	if err == nil {
		grant.Accepted()
	}
	return resp, err
}

// admit waits for a grant to send one attempt to one VM of the service.
func (sc *serviceCall) admit(ctx context.Context) (*admission.Grant, error) {
	pool, ok := sc.caller.config.Pool(sc.service.Pool)
	if !ok {
		return nil, apierr.New(apierr.CodeNoUpstream, http.StatusServiceUnavailable, "the service has no pool here").
			WithRetryAfter(time.Second)
	}
	return sc.s.Admitter.Admit(ctx, &admission.Request{
		ID:       uuid.NewString(),
		Account:  sc.caller.account,
		Class:    sc.caller.class,
		Pools:    []*config.Pool{pool},
		Deadline: sc.caller.deadline,
		Place:    placement.Request{OutputTokens: 1},
		Excluded: sc.excluded,
	})
}

// upstreamCall returns the call that grant allows.
func (sc *serviceCall) upstreamCall(grant *admission.Grant) upstream.Call {
	return upstream.Call{
		Address:        grant.Engine.Address,
		Name:           grant.Engine.Name,
		Incarnation:    grant.Incarnation,
		RequestID:      grant.ID,
		Method:         sc.route.Route.Method,
		Path:           sc.route.Path,
		Query:          sc.query,
		ContentType:    sc.contentType,
		Accept:         sc.accept,
		IdempotencyKey: sc.upstreamKey(),
		Idempotent:     sc.route.Idempotent,
		Body:           sc.body,
	}
}

// upstreamKey returns the idempotency key for the service. It includes the
// account: a service that deduplicates calls by key would otherwise return the
// response of one account to another that chose the same key.
func (sc *serviceCall) upstreamKey() string {
	if sc.idempotencyKey == "" {
		return ""
	}
	return sc.caller.account.Name + "/" + sc.idempotencyKey
}

func outcomeUnknownError(cause error) *apierr.Error {
	return apierr.New(apierr.CodeOutcomeUnknown, http.StatusBadGateway,
		"the request was sent and its outcome is not known; do not repeat it under another key").
		WithRan(apierr.RanUnknown).WithCause(cause)
}

// claimError translates the errors of a claim.
func claimError(err error) error {
	var notExecuted *claim.NotExecutedError
	switch {
	case errors.As(err, &notExecuted):
		return apierr.New(apierr.CodeStoreUnavailable, http.StatusServiceUnavailable,
			"the claim could not be recorded; come back with the same key").
			WithRetryAfter(storeRetryAfter).WithCause(err)
	case claim.ErrKeyReused.Has(err):
		return apierr.New(apierr.CodeKeyReused, http.StatusUnprocessableEntity,
			"the key belongs to a request with another body").WithCause(err)
	case claim.ErrOutcomeUnknown.Has(err):
		return apierr.New(apierr.CodeOutcomeUnknown, http.StatusConflict,
			"an earlier request with this key may have run or may still be running").
			WithRan(apierr.RanUnknown).WithRetryAfter(time.Second).WithCause(err)
	case claim.ErrResponseLost.Has(err):
		return apierr.New(apierr.CodeOutcomeUnknown, http.StatusConflict,
			"the request ran, but its answer can't be shown again").
			WithRan(apierr.RanYes).WithCause(err)
	case claim.ErrBadKey.Has(err):
		return httperr.BadRequest("malformed " + wire.HeaderIdempotencyKey).WithCause(err)
	}
	return apierr.From(err)
}
