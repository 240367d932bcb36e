package gate

import (
	"slices"
	"time"
)

const (
	// timeoutSamples is the number of most recent timeouts that are kept.
	timeoutSamples = 256
	// minTimeoutSamples is the number of timeouts that must be seen before shorter ones are judged,
	// and after which the baseline is computed anew. One router of three hundred may see only one
	// request of a kind per second.
	minTimeoutSamples = 8
	// baselineQuantile is the share of timeouts that may be below the baseline: callers also retry
	// after an engine's failure in quiet times.
	baselineQuantile = 0.05
	// lateMarginShare is the share of the objective by which a timeout must be below the baseline:
	// slow connection setup takes some of it too.
	lateMarginShare = 0.3
)

// Usual tracks the timeouts that callers of a route usually set. A refused caller that retries sets
// what is left of its timeout, and so reveals that it has waited before: its answer will be late in
// any case. The zero value has no samples.
type Usual struct {
	samples  [timeoutSamples]time.Duration
	count    int
	baseline time.Duration
}

// Note adds the timeout of a request that came while no request was refused.
func (u *Usual) Note(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	u.samples[u.count%timeoutSamples] = timeout
	u.count++
	if u.count%minTimeoutSamples == 0 {
		u.baseline = u.computeBaseline()
	}
}

// computeBaseline returns the timeout that all but a few samples reach.
func (u *Usual) computeBaseline() time.Duration {
	sorted := slices.Clone(u.samples[:min(u.count, timeoutSamples)])
	slices.Sort(sorted)
	return sorted[int(baselineQuantile*float64(len(sorted)))]
}

// Late reports whether a request with this timeout comes from a caller that has waited too long to
// be answered on time. Timeouts differ between callers; only one below those of quiet times is sure
// to be a remainder.
func (u *Usual) Late(timeout, objective time.Duration) bool {
	if u.baseline == 0 || timeout <= 0 {
		return false
	}
	return timeout < u.baseline-time.Duration(lateMarginShare*float64(objective))
}
