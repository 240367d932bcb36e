package traffic

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/outlier"
	"damaskrouter.example/damaskrouter/internal/decide/retry"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
)

// retrier is the router's only retry layer: a policy, and the budget that all
// requests share.
type retrier struct {
	mu     sync.Mutex
	budget *retry.Budget
	policy *retry.Policy
}

func newRetrier() *retrier {
	b := retry.NewBudget(time.Now(), retry.BudgetConfig{})
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &retrier{budget: b, policy: retry.NewPolicy(retry.Config{}, b, rng)}
}

func (r *retrier) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordFirstAttempt(time.Now())
}

func (r *retrier) decide(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Decide(time.Now(), a)
}

// defaultRemaining is the remaining time assumed for a request without a
// deadline.
const defaultRemaining = time.Minute

// attemptTracker tracks one request through its attempts at upstreams.
type attemptTracker struct {
	s          *Server
	idempotent bool
	deadline   time.Time
	number     int
	// strongest is the strongest evidence of execution so far. A request whose
	// second attempt was not sent may still have been executed in its first.
	strongest retry.Outcome
}

func (s *Server) newAttemptTracker(idempotent bool, deadline time.Time) *attemptTracker {
	s.retrier.countRequest()
	return &attemptTracker{s: s, idempotent: idempotent, deadline: deadline}
}

// handleFailure decides whether to retry after a failed attempt, and waits for
// the delay of a retry. It returns nil if the request is to be sent again now,
// and the final refusal otherwise.
func (a *attemptTracker) handleFailure(ctx context.Context, err error) *apierr.Error {
	var refusal *apierr.Error
	if errors.As(err, &refusal) {
		// Admission refused this attempt; an earlier one may have been
		// executed.
		return a.withRan(refusal)
	}
	a.number++
	outcome := outcomeFrom(upstream.SentOf(err))
	decision := a.s.retrier.decide(retry.Attempt{
		Number:     a.number,
		Idempotent: a.idempotent,
		Known:      outcome,
		Earlier:    a.strongest,
		Alternate:  true,
		Remaining:  a.remaining(),
	})
	a.strongest = max(a.strongest, outcome)
	if ctx.Err() != nil {
		return a.withRan(disconnectedError(ctx.Err()))
	}
	switch decision.Action {
	case retry.RetryNow:
	case retry.RetryAfter:
		pause.For(ctx, decision.Delay)
	default:
		return a.withRan(upstreamError(err))
	}
	a.s.metrics.retries.Add(1)
	return nil
}

// withRan sets the field Ran from the evidence of all attempts.
func (a *attemptTracker) withRan(e *apierr.Error) *apierr.Error { return e.WithRan(a.strongest.Ran()) }

func (a *attemptTracker) remaining() time.Duration {
	if a.deadline.IsZero() {
		return defaultRemaining
	}
	return time.Until(a.deadline)
}

// recordFailure records a failed attempt at an engine. An engine that states that it leaves or limits
// its load is not failing.
func (s *Server) recordFailure(grant *admission.Grant, err error) {
	var f *upstream.Failure
	if !errors.As(err, &f) || f.Code != protocol.CodeLeaving && f.RetryAfter == "" {
		s.Admitter.Observe(grant.Engine.Name, admission.Observation{Kind: outlier.Failure})
		return
	}
	refusal := admission.Refusal{Leaving: f.Code == protocol.CodeLeaving, RetryAfter: f.RetryAfter}
	s.log.Info("engine refused", "engine", grant.Engine.Name, "request", grant.ID, "leaving", refusal.Leaving, "retry_after", refusal.RetryAfter)
	s.Admitter.Refused(grant, refusal)
}

func outcomeFrom(s upstream.Sent) retry.Outcome {
	switch s {
	case upstream.NotSent:
		return retry.NotSent
	case upstream.RefusedBeforeExecuting:
		return retry.RefusedBeforeExecuting
	}
	return retry.SentNoReply
}

// cancelInBackground cancels at its engine a request whose response is no
// longer needed.
func (s *Server) cancelInBackground(call upstream.Call) {
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.Upstream.Cancel(ctx, call); err != nil {
			s.log.Debug("cancel failed", "request", call.RequestID, "engine", call.Name, "cause", err)
		}
	}()
}

func disconnectedError(err error) *apierr.Error {
	// The caller never receives this error; it is for the log and the metrics.
	return apierr.New(apierr.CodeDeadlineUnreachable, http.StatusRequestTimeout, "caller is gone").WithCause(err)
}

// upstreamError returns the refusal after an upstream's failure. The calling
// function sets the field Ran from all attempts.
func upstreamError(err error) *apierr.Error {
	if upstream.SentOf(err) == upstream.RefusedBeforeExecuting {
		return apierr.New(apierr.CodeUpstreamRefused, http.StatusServiceUnavailable, "the upstream refused the request").
			WithRetryAfter(time.Second).WithCause(err)
	}
	return apierr.New(apierr.CodeUpstreamFailed, http.StatusBadGateway, "the upstream failed").
		WithRetryAfter(time.Second).WithCause(err)
}
