package gate

import "time"

const (
	// overloadGap is how long after its last refusal an overload has ended.
	overloadGap = 2 * time.Second
	// retryJitter is the share by which retry delays vary in both directions, so that refused
	// callers don't retry all at once.
	retryJitter = 0.3
	// maxRetryShare bounds the retry delay to this share of the time that the caller has left.
	maxRetryShare = 1.0 / 3
)

// Overload tracks since when a service has been refusing requests. The zero value has refused none.
type Overload struct{ firstRefusal, lastRefusal time.Duration }

// Over reports whether no request was refused for a while.
func (o *Overload) Over(now time.Duration) bool {
	return o.lastRefusal == 0 || now-o.lastRefusal > overloadGap
}

// RetryAfter records a refusal at now and returns after how long the caller should retry. The
// duration of an overload is not known; the best estimate is that it lasts for as long again as it
// has lasted, and at least for the route's objective. With shorter delays many callers would retry
// while all slots are still occupied, and callers that retry soon can't be distinguished from new
// ones; see TimeoutBaseline. The caller stops retrying after remaining; random is a number from 0
// to 1.
func (o *Overload) RetryAfter(objective, remaining, now time.Duration, random float64) time.Duration {
	if o.Over(now) {
		o.firstRefusal = now
	}
	o.lastRefusal = now
	wait := max(now-o.firstRefusal, objectiveOrDefault(objective))
	wait = min(wait, time.Duration(maxRetryShare*float64(remaining)))
	return time.Duration((1 - retryJitter + 2*retryJitter*random) * float64(wait))
}
