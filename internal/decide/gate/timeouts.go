package gate

import (
	"slices"
	"time"
)

const (
	// timeoutSamples is the number of most recent timeouts that are retained.
	timeoutSamples = 256
	// minTimeoutSamples is the number of timeouts that must be recorded before the baseline is
	// first computed, and between two updates of it. It is small, since each of three hundred
	// routers may get only one request of a kind per second.
	minTimeoutSamples = 8
	// baselineQuantile is the share of timeouts that may be below the baseline. It is not zero,
	// since callers also retry, with short timeouts, after an engine fails in quiet times.
	baselineQuantile = 0.05
	// lateMarginShare is the share of the objective by which a timeout must be below the baseline
	// to mark a retry, since slow connection setup shortens the timeout of a first attempt too.
	lateMarginShare = 0.3
)

// TimeoutBaseline tracks the timeouts that callers of a route usually set. A caller that retries
// after a refusal sets only the time that is left of its timeout. A timeout shorter than usual thus
// shows that the caller has already waited and that its response will be late in any case. The zero
// value has no samples.
type TimeoutBaseline struct {
	samples  [timeoutSamples]time.Duration
	count    int
	baseline time.Duration
}

// Note adds the timeout of a request that arrived while no request was refused.
func (t *TimeoutBaseline) Note(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	t.samples[t.count%timeoutSamples] = timeout
	t.count++
	if t.count%minTimeoutSamples == 0 {
		t.baseline = t.computeBaseline()
	}
}

// computeBaseline returns the timeout that all but a few samples reach.
func (t *TimeoutBaseline) computeBaseline() time.Duration {
	sorted := slices.Clone(t.samples[:min(t.count, timeoutSamples)])
	slices.Sort(sorted)
	return sorted[int(baselineQuantile*float64(len(sorted)))]
}

// Late reports whether a request with this timeout is a retry of a caller that has waited too long
// to get its response on time. Timeouts differ between callers; only one below the baseline is
// certain to be the rest of a longer one.
func (t *TimeoutBaseline) Late(timeout, objective time.Duration) bool {
	if t.baseline == 0 || timeout <= 0 {
		return false
	}
	return timeout < t.baseline-time.Duration(lateMarginShare*float64(objective))
}
