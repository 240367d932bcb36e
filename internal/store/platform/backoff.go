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

// Backoff spaces retries: the n-th pause is random between nothing and
// Base·2ⁿ, at most Max. Without the randomness all routers that lost the store
// at one moment would come back to it at one moment. Zero fields take the
// defaults.
type Backoff struct {
	Base, Max time.Duration
	// Rand returns a number in [0,1); rand.Float64 where nil.
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

// pause returns the pause after the n-th try, counted from 0.
func (b Backoff) pause(n int) time.Duration {
	limit := b.Base
	for ; n > 0 && limit < b.Max; n-- {
		limit *= 2
	}
	return time.Duration(b.Rand() * float64(min(limit, b.Max)))
}

// wait pauses after the n-th try and reports whether ctx allows another.
func (b Backoff) wait(ctx context.Context, n int) bool {
	return pause.For(ctx, b.pause(n)) && ctx.Err() == nil
}
