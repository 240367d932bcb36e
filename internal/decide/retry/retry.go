// Package retry decides whether a failed attempt at an upstream is repeated. No other layer may
// retry, since retries of several layers multiply.
//
// A Policy is not safe for concurrent use and reads no clock.
package retry

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// Outcome is what is known for certain about a failed attempt, ordered by how far the request may
// have got at the upstream.
type Outcome uint8

// Values of Outcome.
const (
	// NotSent means that no byte of the request left the router.
	NotSent Outcome = iota
	// RefusedBeforeExecuting means that the upstream refused the request in a protocol that
	// guarantees that nothing was executed.
	RefusedBeforeExecuting
	// SentNoReply means that something was sent and the response is missing, truncated, or a 5xx.
	// The upstream may have executed the request: a 5xx can come from a step after the work.
	SentNoReply
	// FirstByteDelivered means that the caller has received a part of the response.
	FirstByteDelivered
)

// Ran returns what is reported to the caller about the execution of the request.
func (o Outcome) Ran() apierr.Ran {
	switch o {
	case NotSent, RefusedBeforeExecuting:
		return apierr.RanNo
	case FirstByteDelivered:
		return apierr.RanYes
	default:
		return apierr.RanUnknown
	}
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts the attempts at the request, including this one. On a stream it counts those
	// since the last chunk that arrived.
	Number int
	// Idempotent means that the request may execute more than once, by its nature or because the
	// upstream deduplicates.
	Idempotent bool
	// Known is what is known about this attempt.
	Known Outcome
	// Earlier is the maximum outcome of the earlier attempts. A request whose second attempt was
	// not sent may still have been executed in its first.
	Earlier Outcome
	// Resumable means that the response's stream can be resumed.
	Resumable bool
	// Alternate means that another upstream can serve the request.
	Alternate bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// NotBefore is the upstream's own Retry-After; it does not apply to alternates.
	NotBefore time.Duration
}

// strongest returns the maximum outcome of all attempts.
func (a *Attempt) strongest() Outcome { return max(a.Known, a.Earlier) }

// Action is what to do after a failed attempt.
type Action uint8

// Values of Action.
const (
	// GiveUp ends the request; Decision.Ran is what to report to the caller.
	GiveUp Action = iota
	// RetryNow sends the request again at once, to another upstream.
	RetryNow
	// RetryAfter sends the request again after Decision.Delay.
	RetryAfter
	// Resume continues the same stream after Decision.Delay. It never sends the request again.
	Resume
)

var actionNames = [...]string{"give up", "retry now", "retry after", "resume"}

// String returns the action's name for logs.
func (a Action) String() string {
	if int(a) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[a]
}

// Reason is why a request is not retried.
type Reason string

// Values of Reason.
const (
	ReasonMayHaveRun Reason = "may_have_run"
	ReasonDelivered  Reason = "partly_delivered"
	ReasonAttempts   Reason = "attempts_used_up"
	ReasonDeadline   Reason = "deadline"
	ReasonBudget     Reason = "budget_used_up"
)

// Decision is the result of Policy.Decide.
type Decision struct {
	Action Action
	// Delay is the wait before RetryAfter and Resume.
	Delay time.Duration
	// Ran and Reason are set with GiveUp.
	Ran    apierr.Ran
	Reason Reason
}

// Defaults of Config.
const (
	DefaultMaxAttempts = 3
	DefaultBase        = 50 * time.Millisecond
	DefaultCap         = 2 * time.Second
	DefaultMinUseful   = 20 * time.Millisecond
)

// Config configures a Policy. Zero fields take the defaults.
type Config struct {
	// MaxAttempts bounds the attempts at one request, including the first.
	MaxAttempts int
	// Base and Cap bound the backoff: the n-th delay is uniformly distributed between zero and Base
	// doubled n-1 times, or Cap if that is less.
	Base time.Duration
	Cap  time.Duration
	// MinUseful is the time that must be left after the delay for another attempt to be useful.
	MinUseful time.Duration
}

// Policy decides on retries within a budget. Use NewPolicy to create one.
type Policy struct {
	cfg    Config
	budget *Budget
	rand   *rand.Rand
}

// NewPolicy returns a policy that draws on the budget. The random source spreads the delays, since
// callers whose requests failed together must not retry together.
func NewPolicy(cfg Config, budget *Budget, rnd *rand.Rand) *Policy {
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.Base <= 0 {
		cfg.Base = DefaultBase
	}
	if cfg.Cap <= 0 {
		cfg.Cap = DefaultCap
	}
	if cfg.MinUseful <= 0 {
		cfg.MinUseful = DefaultMinUseful
	}
	return &Policy{cfg: cfg, budget: budget, rand: rnd}
}

// Decide returns what to do after a failed attempt. A retry that it grants is already taken from
// the budget.
func (p *Policy) Decide(now time.Time, a Attempt) Decision {
	if reason, denied := unsafeToRetry(&a); denied {
		return giveUp(&a, reason)
	}
	if a.Number >= p.cfg.MaxAttempts {
		return giveUp(&a, ReasonAttempts)
	}
	decision := p.chooseAction(&a)
	if decision.Delay+p.cfg.MinUseful > a.Remaining {
		return giveUp(&a, ReasonDeadline)
	}
	// A resume does not draw on the budget: it adds no work at the engine, and a caller whose
	// stream is not resumed is left with a truncated response.
	if decision.Action != Resume && !p.budget.Spend(now) {
		return giveUp(&a, ReasonBudget)
	}
	return decision
}

// unsafeToRetry reports whether another attempt would be unsafe, and the reason.
func unsafeToRetry(a *Attempt) (Reason, bool) {
	outcome := a.strongest()
	if outcome == FirstByteDelivered {
		// A second response would differ from the part that was delivered.
		return ReasonDelivered, !a.Resumable
	}
	if outcome == SentNoReply && !a.Idempotent {
		// The upstream may have executed the request already, for example issued a receipt.
		return ReasonMayHaveRun, true
	}
	return "", false
}

// chooseAction returns the action and its delay.
func (p *Policy) chooseAction(a *Attempt) Decision {
	if a.strongest() == FirstByteDelivered {
		return Decision{Action: Resume, Delay: p.resumeDelay(a)}
	}
	if a.Alternate && a.Number <= 1 {
		return Decision{Action: RetryNow}
	}
	delay := p.backoff(a.Number)
	if !a.Alternate {
		delay += a.NotBefore
	}
	return Decision{Action: RetryAfter, Delay: delay}
}

// resumeDelay returns the delay before a resume. The first resume is immediate, since a person is
// reading the stream.
func (p *Policy) resumeDelay(a *Attempt) time.Duration {
	if a.Number <= 1 {
		return 0
	}
	return p.backoff(a.Number)
}

// backoff returns a random delay after the given attempt, with full jitter.
func (p *Policy) backoff(attempt int) time.Duration {
	ceiling := p.cfg.Base
	for i := 1; i < attempt && ceiling < p.cfg.Cap; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, p.cfg.Cap)
	return time.Duration(p.rand.Int64N(int64(ceiling) + 1))
}

func giveUp(a *Attempt, reason Reason) Decision {
	return Decision{Action: GiveUp, Ran: a.strongest().Ran(), Reason: reason}
}
