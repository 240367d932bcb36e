package gate

import "time"

const (
	// overloadGap is the time without a refusal after which an overload counts as ended.
	overloadGap = 2 * time.Second
	// retryJitter is the share by which retry delays vary in both directions, so that refused
	// callers don't retry all at once.
	retryJitter = 0.3
	// maxRetryShare bounds the retry delay to this share of the time that the caller has left.
	maxRetryShare = 1.0 / 3
)

// Overload tracks since when a service has been refusing requests. The zero value describes a
// service that has refused none.
type Overload struct{ firstRefusal, lastRefusal time.Duration }

// Over reports whether no request was refused within the last overloadGap.
func (o *Overload) Over(now time.Duration) bool {
	return o.lastRefusal == 0 || now-o.lastRefusal > overloadGap
}

// Note records a refusal.
func (o *Overload) Note(now time.Duration) {
	if o.Over(now) {
		o.firstRefusal = now
	}
	o.lastRefusal = now
}

// RetryAfter records a refusal at now and returns after how long the caller should retry. The
// remaining duration of an overload is not known; the best estimate is that it equals the duration
// so far, and is at least the route's objective. With shorter delays many callers would retry while
// all slots are still occupied, and callers that retry soon can't be distinguished from new ones;
// see TimeoutBaseline. remaining is the time for which the caller goes on retrying; random is a
// number from 0 to 1.
func (o *Overload) RetryAfter(objective, remaining, now time.Duration, random float64) time.Duration {
	o.Note(now)
	wait := max(now-o.firstRefusal, objectiveOrDefault(objective))
	wait = min(wait, time.Duration(maxRetryShare*float64(remaining)))
	return time.Duration((1 - retryJitter + 2*retryJitter*random) * float64(wait))
}
