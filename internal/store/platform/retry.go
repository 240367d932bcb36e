package platform

import "context"

// DefaultReadAttempts is the default of RetryOptions.Attempts.
const DefaultReadAttempts = 3

// RetryOptions configures WithRetry. Zero fields take the defaults.
type RetryOptions struct {
	// Attempts is the maximum number of attempts of one read, including the
	// first.
	Attempts int
	Backoff  Backoff
}

// retryTable is the Table that WithRetry returns.
type retryTable struct {
	next Table
	opts RetryOptions
}

// WithRetry returns a Table that retries reads of next that fail with
// ErrUnavailable, until the context ends. Commits are not retried: only a caller
// that recognises its own token may repeat a write, see CommitOnce.
//
// Reads that an open circuit breaker or an exhausted budget rejected are not
// retried, because both protect the store from calls and retries would defeat
// them.
func WithRetry(next Table, opts RetryOptions) Table {
	if opts.Attempts == 0 {
		opts.Attempts = DefaultReadAttempts
	}
	opts.Backoff = opts.Backoff.withDefaults()
	return &retryTable{next: next, opts: opts}
}

// Commit implements Table.
func (r *retryTable) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	return r.next.Commit(ctx, use, writes...)
}

// Get implements Table.
func (r *retryTable) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	return retry(ctx, r.opts, func() (Row, error) {
		return r.next.Get(ctx, use, table, key)
	})
}

// Scan implements Table.
func (r *retryTable) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	return retry(ctx, r.opts, func() ([]Row, error) {
		return r.next.Scan(ctx, use, table, from, to, limit)
	})
}

// retry calls f until it succeeds, fails with an error that is not retried, or
// the attempts are used up.
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
