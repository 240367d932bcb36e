package traffic

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/retry"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
)

// retries is the router's one retry layer: a policy and the budget that all
// its requests share.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
	policy *retry.Policy
}

func newRetries() *retries {
	b := retry.NewBudget(time.Now(), retry.BudgetConfig{})
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &retries{budget: b, policy: retry.NewPolicy(retry.Config{}, b, rng)}
}

func (r *retries) fresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordFirstAttempt(time.Now())
}

func (r *retries) decide(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Decide(time.Now(), a)
}

// noDeadline stands for the time left of a request without a deadline.
const noDeadline = time.Minute

// attempts follows one request through its attempts at upstreams.
type attempts struct {
	s          *Server
	idempotent bool
	deadline   time.Time
	number     int
	// worst is the strongest of what is known of the attempts so far: a
	// request whose second attempt was not sent may still have run in its first.
	worst retry.Outcome
}

func (s *Server) newAttempts(idempotent bool, deadline time.Time) *attempts {
	s.retries.fresh()
	return &attempts{s: s, idempotent: idempotent, deadline: deadline}
}

// after decides what follows a failed attempt. Nil means that the request is
// to be sent again, now; any other result is the final refusal.
func (a *attempts) after(ctx context.Context, err error) *apierr.Error {
	var refused *apierr.Error
	if errors.As(err, &refused) {
		// Admission refused this attempt; an earlier one may have run.
		return a.ran(refused)
	}
	a.number++
	known := knownOf(upstream.SentOf(err))
	d := a.s.retries.decide(retry.Attempt{
		Number:     a.number,
		Idempotent: a.idempotent,
		Known:      known,
		Earlier:    a.worst,
		Alternate:  true,
		Remaining:  a.remaining(),
	})
	a.worst = max(a.worst, known)
	if ctx.Err() != nil {
		return a.ran(gone(ctx.Err()))
	}
	switch d.Action {
	case retry.RetryNow:
	case retry.RetryAfter:
		pause.For(ctx, d.Delay)
	default:
		return a.ran(upstreamFailed(err))
	}
	a.s.metrics.retries.Add(1)
	return nil
}

// ran sets what may be said about execution after all attempts.
func (a *attempts) ran(e *apierr.Error) *apierr.Error { return e.WithRan(a.worst.Ran()) }

func (a *attempts) remaining() time.Duration {
	if a.deadline.IsZero() {
		return noDeadline
	}
	return time.Until(a.deadline)
}

func knownOf(s upstream.Sent) retry.Outcome {
	switch s {
	case upstream.NotSent:
		return retry.NotSent
	case upstream.RefusedBeforeExecuting:
		return retry.RefusedBeforeExecuting
	}
	return retry.SentNoReply
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
	return apierr.New(apierr.CodeDeadline, http.StatusRequestTimeout, "caller is gone").WithCause(err)
}

// upstreamFailed is the refusal after an upstream's failure. What is said
// about execution is set by the caller, from all attempts.
func upstreamFailed(err error) *apierr.Error {
	if upstream.SentOf(err) == upstream.RefusedBeforeExecuting {
		return apierr.New(apierr.CodeUpstreamRefused, http.StatusServiceUnavailable, "the upstream refused the request").
			WithRetryAfter(time.Second).WithCause(err)
	}
	return apierr.New(apierr.CodeUpstreamFailed, http.StatusBadGateway, "the upstream failed").
		WithRetryAfter(time.Second).WithCause(err)
}
