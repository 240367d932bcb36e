package traffic

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/admission"
	"damaskrouter.example/damaskrouter/internal/apierr"
	"damaskrouter.example/damaskrouter/internal/outlier"
	"damaskrouter.example/damaskrouter/internal/upstream"
)

// maxAttempts bounds the engines tried for one chat request.
const maxAttempts = 3

// again decides whether a request that failed before its first chunk may go to
// another engine: nil means yes. It is the only place where chats are retried.
func (t *turn) again(ctx context.Context, attempt int, g *admission.Grant, err error) error {
	t.s.Admitter.Observe(g.Engine.Name, admission.Observation{Kind: outlier.Failure})
	if ctx.Err() != nil {
		return gone(ctx.Err())
	}
	sent := upstream.SentOf(err)
	if attempt >= maxAttempts || t.expired() {
		return upstreamFailed(sent, err)
	}
	if !sent.DidNotRun() {
		// The engine may be working on it. A chat can be repeated, but the
		// first copy must not keep on using the engine.
		t.s.cancelLater(t.call(g))
	}
	t.avoid = append(t.avoid, g.Engine.ID)
	t.s.metrics.retries.Add(1)
	return nil
}

func (t *turn) expired() bool {
	return !t.who.deadline.IsZero() && time.Now().After(t.who.deadline)
}

// cancelLater tells an engine to stop work whose answer nobody waits for.
func (s *Server) cancelLater(call upstream.Call) {
	s.inflight.Add(1)
	go func() {
		defer s.inflight.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.Upstream.Cancel(ctx, call); err != nil {
			s.log.Debug("cancel failed", "request", call.RequestID, "engine", call.Name, "cause", err)
		}
	}()
}

func gone(err error) *apierr.Error {
	// Nobody reads this answer; it is for the log and the metrics.
	return apierr.New(apierr.CodeDeadline, http.StatusRequestTimeout, "caller is gone").
		WithRan(apierr.RanUnknown).WithCause(err)
}

// upstreamFailed is the refusal after an upstream's failure. Only proof that
// nothing was executed becomes "did not run".
func upstreamFailed(sent upstream.Sent, err error) *apierr.Error {
	var f *upstream.Failure
	if sent == upstream.RefusedBeforeExecuting && errors.As(err, &f) {
		return apierr.New(apierr.CodeUpstreamRefused, http.StatusServiceUnavailable, "the upstream refused the request").
			WithRetryAfter(time.Second).WithCause(err)
	}
	e := apierr.New(apierr.CodeUpstreamFailed, http.StatusBadGateway, "the upstream failed").
		WithRetryAfter(time.Second).WithCause(err)
	if !sent.DidNotRun() {
		e = e.WithRan(apierr.RanUnknown)
	}
	return e
}
