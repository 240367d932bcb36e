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

// ErrBreakerOpen marks, within an ErrUnavailable, a call that the breaker kept
// from the store.
var ErrBreakerOpen = errs.Class("platform: breaker open")

// Defaults of BreakerOptions.
const (
	DefaultBreakerFailures = 5
	DefaultOpenFor         = 500 * time.Millisecond
	DefaultMaxOpenFor      = 8 * time.Second
)

// The row that is read to probe the store. It need not exist.
const (
	probeTable = "probe"
	probeKey   = "probe"
)

// BreakerOptions configures a Breaker. Zero fields take the defaults.
type BreakerOptions struct {
	// Failures is how many calls in a row must fail to open the breaker.
	Failures uint32
	// OpenFor is the shortest time from opening to the first probe.
	OpenFor time.Duration
	// MaxOpenFor bounds the random time that is added to OpenFor. The bound
	// starts at OpenFor and doubles with every probe that fails.
	MaxOpenFor time.Duration
	// Rand returns a number in [0,1); rand.Float64 where nil.
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

// Breaker keeps calls away from a Table that fails, so that callers hear at
// once that nothing was done, and a store that recovers isn't met by all of
// them together.
type Breaker struct {
	next    Table
	breaker *gobreaker.TwoStepCircuitBreaker[struct{}]
	backoff Backoff
	openFor time.Duration

	mu sync.Mutex
	// probeAt is when the first probe may go out, later than gobreaker's own
	// fixed timeout by a random time.
	probeAt time.Time
	// failedProbes counts the probes that failed since the breaker opened.
	failedProbes int
}

var _ Table = (*Breaker)(nil)

// NewBreaker returns a Breaker before next.
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
		IsExcluded:    func(err error) bool { return errors.Is(err, errNeutral) },
		OnStateChange: b.changed,
	})
	return b
}

// changed sets the time of the next probe. gobreaker calls it under its lock.
func (b *Breaker) changed(_ string, from, to gobreaker.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case to == gobreaker.StateClosed:
		b.failedProbes = 0
	case to == gobreaker.StateOpen:
		if from == gobreaker.StateHalfOpen {
			b.failedProbes++
		}
		b.probeAt = time.Now().Add(b.openFor + b.backoff.pause(b.failedProbes))
	}
}

// Commit implements Table.
func (b *Breaker) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	if err := b.probeFirst(ctx, use); err != nil {
		return nil, err
	}
	return guarded(ctx, b, func() ([]Row, error) {
		return b.next.Commit(ctx, use, writes...)
	})
}

// probeFirst reads before the first write after an outage. Were the write
// itself the probe, a store that still hangs would leave its outcome unknown;
// a read that fails lets the write be refused as not executed.
func (b *Breaker) probeFirst(ctx context.Context, use Use) error {
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
	return guarded(ctx, b, func() (Row, error) {
		return b.next.Get(ctx, use, table, key)
	})
}

// Scan implements Table.
func (b *Breaker) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	return guarded(ctx, b, func() ([]Row, error) {
		return b.next.Scan(ctx, use, table, from, to, limit)
	})
}

// guarded makes a call if the breaker lets it, and tells the breaker how it went.
func guarded[T any](ctx context.Context, b *Breaker, call func() (T, error)) (T, error) {
	var v T
	done, err := b.allow()
	if err != nil {
		return v, err
	}
	// A panic in the call must reach the breaker too: a probe that never
	// reports would keep it half-open, refusing everything, for good.
	var judged error = errFailed
	defer func() { done(judged) }()
	v, err = call()
	judged = judge(ctx, err)
	return v, err
}

// allow asks the breaker for one call.
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

// verdict is what the breaker is told of a call that did not succeed.
type verdict string

// Error implements error.
func (v verdict) Error() string { return "platform: " + string(v) }

const (
	errFailed  verdict = "failed call"
	errNeutral verdict = "call says nothing of the store"
)

// judge sorts the result of a call into success, failure, or neither.
func judge(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller gave up; a wave of impatient callers must not cut off
		// the others.
		return errNeutral
	case ErrBudget.Has(err), ErrInvalid.Has(err):
		return errNeutral
	case ErrUnavailable.Has(err), ErrOutcomeUnknown.Has(err):
		return errFailed
	default:
		// A conflict or a missing row is a healthy store's answer.
		return nil
	}
}
