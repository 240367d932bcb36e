package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
)

// Defaults of Backoff.
const (
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = 1 * time.Second
)

// Backoff is an exponential backoff with full jitter: the n-th delay is random
// between 0 and Base·2ⁿ, at most Max. Without jitter, all routers that lost the
// store at the same moment would retry at the same moment. Zero fields take
// the defaults.
type Backoff struct {
	Base, Max time.Duration
	// Rand returns a number in [0,1). Nil means rand.Float64.
	Rand func() float64
}

func (b Backoff) withDefaults() Backoff {
	if b.Base == 0 {
		b.Base = DefaultBackoffBase
	}
	if b.Max == 0 {
		b.Max = DefaultBackoffMax
	}
	if b.Rand == nil {
		b.Rand = rand.Float64
	}
	return b
}

// delay returns the delay after the n-th attempt, counted from 0.
func (b Backoff) delay(n int) time.Duration {
	limit := b.Base
	for ; n > 0 && limit < b.Max; n-- {
		limit *= 2
	}
	return time.Duration(b.Rand() * float64(min(limit, b.Max)))
}

// wait sleeps after the n-th attempt and reports whether ctx allows another.
func (b Backoff) wait(ctx context.Context, n int) bool {
	return pause.For(ctx, b.delay(n)) && ctx.Err() == nil
}
