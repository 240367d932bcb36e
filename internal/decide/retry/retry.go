// Package retry is the one place that decides whether a failed attempt at an
// upstream is repeated. No other layer may retry: layers multiply.
//
// A Policy is not safe for concurrent use and reads no clock.
package retry

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// Known is what is certain about a failed attempt, weakest claim on the
// upstream first.
type Known uint8

// The states of knowledge.
const (
	// NotSent means that no byte of the request left the router.
	NotSent Known = iota
	// RefusedBeforeExecuting means that the upstream refused by a protocol
	// that promises that nothing ran.
	RefusedBeforeExecuting
	// SentNoReply means that something was sent and the answer is missing, cut
	// short, or a 5xx. The upstream may have executed the request: a 5xx can
	// come from a step after the work.
	SentNoReply
	// FirstByteDelivered means that the caller has received a part of the answer.
	FirstByteDelivered
)

// Ran translates the knowledge into what the caller is told.
func (k Known) Ran() apierr.Ran {
	switch k {
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
	// Number counts the attempts made for the request, this one included. On a
	// stream it counts those since the last chunk that arrived.
	Number int
	// Idempotent says that the request may execute more than once, by its
	// nature or because the upstream deduplicates.
	Idempotent bool
	// Known is what is certain about this attempt.
	Known Known
	// Earlier is the strongest of the earlier attempts' Known. A request whose
	// second attempt was not sent may still have run in its first.
	Earlier Known
	// Resumable says that the answer's stream can be continued.
	Resumable bool
	// Alternate says that another upstream can take the request.
	Alternate bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// NotBefore is the upstream's own Retry-After; it does not bind alternates.
	NotBefore time.Duration
}

// strongest returns what is certain over all attempts.
func (a *Attempt) strongest() Known { return max(a.Known, a.Earlier) }

// Action is what to do after a failed attempt.
type Action uint8

// The actions.
const (
	// GiveUp ends the request; the decision's Ran is what to tell the caller.
	GiveUp Action = iota
	// RetryNow sends the request again at once, to another upstream.
	RetryNow
	// RetryAfter sends the request again after the decision's Delay.
	RetryAfter
	// Resume continues the same stream after the decision's Delay. It never
	// sends the request again.
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

// Reason says why a request is given up.
type Reason string

// The reasons for giving up.
const (
	ReasonMayHaveRun Reason = "may_have_run"
	ReasonDelivered  Reason = "partly_delivered"
	ReasonAttempts   Reason = "attempts_used_up"
	ReasonDeadline   Reason = "deadline"
	ReasonBudget     Reason = "budget_used_up"
)

// Decision is the answer of Decide.
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

// Config sets up a Policy. Zero fields take the defaults.
type Config struct {
	// MaxAttempts bounds the attempts for one request, the first included.
	MaxAttempts int
	// Base and Cap bound the back-off: the n-th wait is drawn evenly from zero
	// to Base doubled n-1 times, or Cap if that is less.
	Base time.Duration
	Cap  time.Duration
	// MinUseful is the time that must be left after a wait for another
	// attempt to make sense.
	MinUseful time.Duration
}

// Policy decides on retries within a budget. Use NewPolicy.
type Policy struct {
	cfg    Config
	budget *Budget
	rand   *rand.Rand
}

// NewPolicy returns a policy that draws on the budget. The random source
// spreads the waits; callers that failed together must not return together.
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

// Decide says what to do after a failed attempt. A retry that it grants has
// been taken out of the budget.
func (p *Policy) Decide(now time.Time, a Attempt) Decision {
	if reason, no := forbidden(&a); no {
		return giveUp(&a, reason)
	}
	if a.Number >= p.cfg.MaxAttempts {
		return giveUp(&a, ReasonAttempts)
	}
	d := p.next(&a)
	if d.Delay+p.cfg.MinUseful > a.Remaining {
		return giveUp(&a, ReasonDeadline)
	}
	// A resume adds no work at the engine, and a stream that is not resumed
	// leaves a caller with half an answer; it does not draw on the budget.
	if d.Action != Resume && !p.budget.Spend(now) {
		return giveUp(&a, ReasonBudget)
	}
	return d
}

// forbidden reports whether safety alone rules out another attempt.
func forbidden(a *Attempt) (Reason, bool) {
	k := a.strongest()
	if k == FirstByteDelivered {
		// A second answer would differ from the part that was delivered.
		return ReasonDelivered, !a.Resumable
	}
	if k == SentNoReply && !a.Idempotent {
		// The receipt may have been issued already.
		return ReasonMayHaveRun, true
	}
	return "", false
}

// next chooses the action and its delay.
func (p *Policy) next(a *Attempt) Decision {
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

// resumeDelay lets the first resume go at once: a person is watching.
func (p *Policy) resumeDelay(a *Attempt) time.Duration {
	if a.Number <= 1 {
		return 0
	}
	return p.backoff(a.Number)
}

// backoff draws the n-th wait, with full jitter.
func (p *Policy) backoff(n int) time.Duration {
	ceiling := p.cfg.Base
	for i := 1; i < n && ceiling < p.cfg.Cap; i++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, p.cfg.Cap)
	return time.Duration(p.rand.Int64N(int64(ceiling) + 1))
}

func giveUp(a *Attempt, reason Reason) Decision {
	return Decision{Action: GiveUp, Ran: a.strongest().Ran(), Reason: reason}
}
