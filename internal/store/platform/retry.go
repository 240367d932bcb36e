package platform

import "context"

// DefaultReadAttempts is how often WithRetry tries a read.
const DefaultReadAttempts = 3

// RetryOptions configures WithRetry. Zero fields take the defaults.
type RetryOptions struct {
	// Attempts bounds the tries of one read, the first included.
	Attempts int
	Backoff  Backoff
}

// retrying is the Table of WithRetry.
type retrying struct {
	next Table
	opts RetryOptions
}

// WithRetry returns a Table that repeats a read of next that was unavailable,
// while the context lasts. Commits pass through once: only a caller that knows
// its own token may repeat a write, see CommitOnce.
//
// An open breaker and a spent budget are not retried: both exist to keep calls
// away from the store, and repeating would work round them.
func WithRetry(next Table, opts RetryOptions) Table {
	if opts.Attempts == 0 {
		opts.Attempts = DefaultReadAttempts
	}
	opts.Backoff = opts.Backoff.withDefaults()
	return &retrying{next: next, opts: opts}
}

// Commit implements Table.
func (r *retrying) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	return r.next.Commit(ctx, use, writes...)
}

// Get implements Table.
func (r *retrying) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	return retry(ctx, r.opts, func() (Row, error) {
		return r.next.Get(ctx, use, table, key)
	})
}

// Scan implements Table.
func (r *retrying) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	return retry(ctx, r.opts, func() ([]Row, error) {
		return r.next.Scan(ctx, use, table, from, to, limit)
	})
}

// retry calls f until it succeeds, fails for good, or the tries are used up.
func retry[T any](ctx context.Context, opts RetryOptions, f func() (T, error)) (T, error) {
	for n := 0; ; n++ {
		v, err := f()
		if !ErrUnavailable.Has(err) || ErrBreakerOpen.Has(err) {
			return v, err
		}
		if n+1 >= opts.Attempts || !opts.Backoff.wait(ctx, n) {
			return v, err
		}
	}
}
