package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"
	"github.com/zeebo/errs"
)

// ErrBreakerOpen is wrapped by the ErrUnavailable of a call that the circuit
// breaker rejected without sending it to the store.
var ErrBreakerOpen = errs.Class("platform: breaker open")

// Defaults of BreakerOptions.
const (
	DefaultBreakerFailures = 5
	DefaultOpenFor         = 500 * time.Millisecond
	DefaultMaxOpenFor      = 8 * time.Second
)

// The row that a probe of the store reads. It need not exist.
const (
	probeTable = "probe"
	probeKey   = "probe"
)

// BreakerOptions configures a Breaker. Zero fields take the defaults.
type BreakerOptions struct {
	// Failures is the number of consecutive failed calls that opens the breaker.
	Failures uint32
	// OpenFor is the minimum time from opening to the first probe.
	OpenFor time.Duration
	// MaxOpenFor limits the random time that is added to OpenFor. The upper
	// bound of that time starts at OpenFor and doubles with each failed probe.
	MaxOpenFor time.Duration
	// Rand returns a number in [0,1). Nil means rand.Float64.
	Rand func() float64
}

func (o BreakerOptions) withDefaults() BreakerOptions {
	if o.Failures == 0 {
		o.Failures = DefaultBreakerFailures
	}
	if o.OpenFor == 0 {
		o.OpenFor = DefaultOpenFor
	}
	if o.MaxOpenFor == 0 {
		o.MaxOpenFor = DefaultMaxOpenFor
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	return o
}

// Breaker is a circuit breaker in front of a Table. While it is open, calls
// fail immediately without any effect, and a recovering store doesn't receive
// the calls of all callers at once. It is safe for concurrent use.
type Breaker struct {
	next    Table
	breaker *gobreaker.TwoStepCircuitBreaker[struct{}]
	backoff Backoff
	openFor time.Duration

	mu sync.Mutex
	// probeAt is the earliest time of the next probe: gobreaker's fixed
	// timeout plus a random time.
	probeAt time.Time
	// failedProbes is the number of failed probes since the breaker opened.
	failedProbes int
}

var _ Table = (*Breaker)(nil)

// NewBreaker returns a Breaker that passes calls on to next.
func NewBreaker(next Table, opts BreakerOptions) *Breaker {
	opts = opts.withDefaults()
	b := &Breaker{
		next:    next,
		openFor: opts.OpenFor,
		backoff: Backoff{Base: opts.OpenFor, Max: opts.MaxOpenFor, Rand: opts.Rand},
	}
	b.breaker = gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Timeout: opts.OpenFor,
		ReadyToTrip: func(c gobreaker.Counts) bool {
			return c.ConsecutiveFailures >= opts.Failures
		},
		IsSuccessful:  func(err error) bool { return err == nil },
		IsExcluded:    func(err error) bool { return errors.Is(err, errExcluded) },
		OnStateChange: b.onStateChange,
	})
	return b
}

// onStateChange sets the time of the next probe. gobreaker calls it with its
// lock held.
func (b *Breaker) onStateChange(_ string, from, to gobreaker.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case to == gobreaker.StateClosed:
		b.failedProbes = 0
	case to == gobreaker.StateOpen:
		if from == gobreaker.StateHalfOpen {
			b.failedProbes++
		}
		b.probeAt = time.Now().Add(b.openFor + b.backoff.delay(b.failedProbes))
	}
}

// Commit implements Table.
func (b *Breaker) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	if err := b.probeBeforeWrite(ctx, use); err != nil {
		return nil, err
	}
	return execute(ctx, b, func() ([]Row, error) {
		return b.next.Commit(ctx, use, writes...)
	})
}

// probeBeforeWrite reads from the store before the first write after an
// outage. If the write itself were the probe, a store that still hangs would
// leave its outcome unknown; after a failed read the write is rejected as not
// executed.
func (b *Breaker) probeBeforeWrite(ctx context.Context, use Use) error {
	if b.breaker.State() != gobreaker.StateHalfOpen {
		return nil
	}
	_, err := b.Get(ctx, use, probeTable, probeKey)
	if ErrNotFound.Has(err) {
		return nil
	}
	return err
}

// Get implements Table.
func (b *Breaker) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	return execute(ctx, b, func() (Row, error) {
		return b.next.Get(ctx, use, table, key)
	})
}

// Scan implements Table.
func (b *Breaker) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	return execute(ctx, b, func() ([]Row, error) {
		return b.next.Scan(ctx, use, table, from, to, limit)
	})
}

// execute makes a call if the breaker allows it, and reports its result to the
// breaker.
func execute[T any](ctx context.Context, b *Breaker, call func() (T, error)) (T, error) {
	var v T
	done, err := b.allow()
	if err != nil {
		return v, err
	}
	// A panic in the call must be reported too: a probe without a result would
	// leave the breaker half-open, rejecting all calls, forever.
	var result error = errFailed
	defer func() { done(result) }()
	v, err = call()
	result = classify(ctx, err)
	return v, err
}

// allow admits one call and returns the function to call with its result, or
// returns ErrUnavailable.
func (b *Breaker) allow() (func(error), error) {
	b.mu.Lock()
	early := time.Now().Before(b.probeAt)
	b.mu.Unlock()
	if early {
		return nil, ErrUnavailable.Wrap(ErrBreakerOpen.New("waiting to probe"))
	}
	done, err := b.breaker.Allow()
	if err != nil {
		return nil, ErrUnavailable.Wrap(ErrBreakerOpen.Wrap(err))
	}
	return done, nil
}

// callResult is the result that the breaker receives for a call that did not
// succeed.
type callResult string

// Error implements error.
func (r callResult) Error() string { return "platform: " + string(r) }

const (
	errFailed   callResult = "call failed"
	errExcluded callResult = "call excluded from the failure count"
)

// classify returns nil for a call that shows a healthy store, errFailed for one
// that shows a failing store, and errExcluded for one that shows neither.
func classify(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller canceled; many cancellations at once must not block the
		// other callers.
		return errExcluded
	case ErrBudget.Has(err), ErrInvalid.Has(err):
		return errExcluded
	case ErrUnavailable.Has(err), ErrOutcomeUnknown.Has(err):
		return errFailed
	default:
		// A conflict and a missing row are replies of a healthy store, too.
		return nil
	}
}
