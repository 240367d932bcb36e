package traffic

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/outlier"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
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
	// recordTimeout bounds the recording of an answer, which goes on after a
	// caller has left: the work ran, and its answer must be found again.
	recordTimeout = 5 * time.Second
	// onceTimeout bounds a non-idempotent call at the service.
	onceTimeout = 30 * time.Second
	// storeRetryAfter is suggested to callers while the table service is down.
	storeRetryAfter = 2 * time.Second
)

// call is one request to a plain service.
type call struct {
	s       *Server
	who     *caller
	id      string
	service *config.Service
	route   config.RouteMatch
	query   string
	typ     string
	accept  string
	key     string
	body    []byte
	avoid   []uint64
}

// service serves /v1/services/{service}/{path}.
func (s *Server) service(c echo.Context) error {
	who, err := s.authenticate(c)
	if err != nil {
		return err
	}
	k := &call{s: s, who: who, id: requestID(c)}
	if err := k.read(c); err != nil {
		return err
	}
	done, err := s.Quota.Take(c.Request().Context(), who.account)
	if err != nil {
		return err
	}
	defer done()
	resp, err := k.serve(c.Request().Context())
	if err != nil {
		return err
	}
	return c.Blob(resp.Status, resp.ContentType, resp.Body)
}

func (k *call) serve(ctx context.Context) (upstream.Response, error) {
	if !k.route.Idempotent {
		return k.once(ctx)
	}
	resp, refused := k.send(ctx, true)
	if refused != nil {
		return resp, refused
	}
	// Returned as an error, a nil *apierr.Error would not equal nil.
	return resp, nil
}

func (k *call) read(c echo.Context) error {
	r := c.Request()
	if err := k.match(r); err != nil {
		return err
	}
	body, err := readBody(c, maxServiceBody)
	if err != nil {
		return err
	}
	k.body = body
	k.query = r.URL.RawQuery
	k.typ = r.Header.Get("Content-Type")
	k.accept = r.Header.Get("Accept")
	k.key = r.Header.Get(wire.HeaderIdempotencyKey)
	if len(k.key) > maxKeyLength {
		return httperr.BadRequest(wire.HeaderIdempotencyKey + " is too long")
	}
	if !k.route.Idempotent && k.key == "" {
		return apierr.New(apierr.CodeKeyMissing, http.StatusBadRequest,
			"this call is not idempotent and needs "+wire.HeaderIdempotencyKey)
	}
	if r.Header.Get(wire.HeaderPriority) == "" {
		return k.defaultClass()
	}
	return nil
}

// match finds the declared route. Only its own encoding of the path goes
// upstream, never the caller's.
func (k *call) match(r *http.Request) error {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), wire.PathServices)
	name, path, _ := strings.Cut(rest, "/")
	svc, ok := k.who.config.Service(name)
	if !ok || !k.who.account.MayCall(name) {
		return apierr.New(apierr.CodeNotFound, http.StatusNotFound, "no such service")
	}
	route, err := svc.Match(r.Method, "/"+path)
	switch {
	case config.ErrMethod.Has(err):
		return apierr.New(apierr.CodeMethod, http.StatusMethodNotAllowed, "method not allowed here").WithCause(err)
	case config.ErrBadPath.Has(err):
		return httperr.BadRequest("malformed path").WithCause(err)
	case err != nil:
		return apierr.New(apierr.CodeNotFound, http.StatusNotFound, "no such route").WithCause(err)
	}
	k.service = svc
	k.route = route
	return nil
}

func (k *call) defaultClass() error {
	class, err := queue.ParseClass(k.route.Priority)
	if err != nil {
		return nil
	}
	highest, err := queue.ParseClass(k.who.account.MaxPriority)
	if err != nil {
		highest = queue.Normal
	}
	k.who.class = max(class, highest)
	return nil
}

// send sends the call, again to another VM where that is allowed and helps.
// The error is final: it says what is known of all attempts.
func (k *call) send(ctx context.Context, idempotent bool) (upstream.Response, *apierr.Error) {
	tries := k.s.newAttempts(idempotent, k.who.deadline)
	for {
		resp, err := k.attempt(ctx)
		if err == nil {
			return resp, nil
		}
		if final := tries.after(ctx, err); final != nil {
			return resp, final
		}
	}
}

// once sends a non-idempotent call under a claim: the claim is in the table
// service before the first byte leaves, and nobody else ever takes it over.
func (k *call) once(ctx context.Context) (upstream.Response, error) {
	out, err := k.s.Claims.Begin(ctx, claim.Key{
		Account:        k.who.account.Name,
		IdempotencyKey: k.key,
		Service:        k.service.Name,
		Deduplicates:   k.service.Deduplicates,
	}, claim.HashBody(k.fingerprint()))
	if err != nil {
		return upstream.Response{}, claimRefusal(err)
	}
	if out.Kind == claim.Answered {
		k.s.metrics.repeated.Add(1)
		return upstream.Response(out.Answer), nil
	}
	if err := out.Err(); err != nil {
		return upstream.Response{}, claimRefusal(err)
	}
	k.s.metrics.claimsRun.Add(1)
	return k.run(ctx, out.Claim)
}

// fingerprint is what must be equal when a key is used again: method, path,
// query and body.
func (k *call) fingerprint() []byte {
	head := k.route.Route.Method + " " + k.service.Name + k.route.Path + "?" + k.query + "\n"
	return append([]byte(head), k.body...)
}

// run executes a claimed call and records how it ended. It is sent again only
// where an attempt provably did not run, or the service recognises repetitions.
func (k *call) run(ctx context.Context, c *claim.Claim) (upstream.Response, error) {
	resp, refused := k.send(ctx, k.service.Deduplicates)
	switch {
	case refused == nil:
		k.record(ctx, func(ctx context.Context) error { return k.s.Claims.Finish(ctx, c, claim.Answer(resp)) })
		return resp, nil
	case refused.Ran == apierr.RanNo:
		k.record(ctx, func(ctx context.Context) error { return k.s.Claims.Refused(ctx, c) })
		return resp, refused
	}
	k.record(ctx, func(ctx context.Context) error { return k.s.Claims.MarkUnknown(ctx, c) })
	return resp, outcomeUnknown(refused)
}

// attempt asks for a grant and sends the call once.
func (k *call) attempt(ctx context.Context) (upstream.Response, error) {
	g, err := k.admit(ctx)
	if err != nil {
		return upstream.Response{}, err
	}
	defer g.Release()
	if !k.route.Idempotent {
		// Once it is sent, the call runs to its end although the caller may be
		// gone: cutting it would leave the outcome unknown, while its recorded
		// answer is there when the caller comes back with the key.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), onceTimeout)
		defer cancel()
	}
	resp, err := k.s.Upstream.Do(ctx, k.upstreamCall(g))
	if err != nil && ctx.Err() == nil {
		k.avoid = append(k.avoid, g.Engine.ID)
		k.s.Admitter.Observe(g.Engine.Name, admission.Observation{Kind: outlier.Failure})
	}
	return resp, err
}

// admit waits for the right to send one attempt to one VM of the service.
func (k *call) admit(ctx context.Context) (*admission.Grant, error) {
	pool, ok := k.who.config.Pool(k.service.Pool)
	if !ok {
		return nil, apierr.New(apierr.CodeNoUpstream, http.StatusServiceUnavailable, "the service has no pool here").
			WithRetryAfter(time.Second)
	}
	return k.s.Admitter.Admit(ctx, &admission.Request{
		ID:       uuid.NewString(),
		Account:  k.who.account,
		Class:    k.who.class,
		Pools:    []*config.Pool{pool},
		Deadline: k.who.deadline,
		Place:    placement.Request{OutputTokens: 1},
		Avoid:    k.avoid,
	})
}

// upstreamCall is the attempt that g allows.
func (k *call) upstreamCall(g *admission.Grant) upstream.Call {
	return upstream.Call{
		Address:        g.Engine.Address,
		Name:           g.Engine.Name,
		Incarnation:    g.Incarnation,
		RequestID:      g.ID,
		Method:         k.route.Route.Method,
		Path:           k.route.Path,
		Query:          k.query,
		ContentType:    k.typ,
		Accept:         k.accept,
		IdempotencyKey: k.upstreamKey(),
		Idempotent:     k.route.Idempotent,
		Body:           k.body,
	}
}

// upstreamKey is the idempotency key as the service sees it. The account is
// part of it: a service that recognises repeated keys would otherwise give one
// account the answer of another that chose the same key.
func (k *call) upstreamKey() string {
	if k.key == "" {
		return ""
	}
	return k.who.account.Name + "/" + k.key
}

func outcomeUnknown(cause error) *apierr.Error {
	return apierr.New(apierr.CodeOutcomeUnknown, http.StatusBadGateway,
		"the request was sent and its outcome is not known; do not repeat it under another key").
		WithRan(apierr.RanUnknown).WithCause(cause)
}

// claimRefusal translates a claim's errors.
func claimRefusal(err error) error {
	var notRun *claim.NotRunError
	switch {
	case errors.As(err, &notRun):
		return apierr.New(apierr.CodeStoreDown, http.StatusServiceUnavailable,
			"the claim could not be recorded; come back with the same key").
			WithRetryAfter(storeRetryAfter).WithCause(err)
	case claim.ErrKeyReused.Has(err):
		return apierr.New(apierr.CodeKeyReused, http.StatusUnprocessableEntity,
			"the key belongs to a request with another body").WithCause(err)
	case claim.ErrOutcomeUnknown.Has(err):
		return apierr.New(apierr.CodeOutcomeUnknown, http.StatusConflict,
			"an earlier request with this key may have run or may still be running").
			WithRan(apierr.RanUnknown).WithRetryAfter(time.Second).WithCause(err)
	case claim.ErrAnswerLost.Has(err):
		return apierr.New(apierr.CodeOutcomeUnknown, http.StatusConflict,
			"the request ran, but its answer can't be shown again").
			WithRan(apierr.RanYes).WithCause(err)
	case claim.ErrBadKey.Has(err):
		return httperr.BadRequest("malformed " + wire.HeaderIdempotencyKey).WithCause(err)
	}
	return apierr.From(err)
}
