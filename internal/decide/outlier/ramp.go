package outlier

import "time"

// Ramp raises the load of a returning engine in equal steps. The zero value is an engine that takes
// its full load.
//
// An engine that took its full share at once, with an empty cache, would fail again under the
// prefill, and flap.
type Ramp struct {
	// Start is when the first step begins.
	Start time.Time
	// Duration is how long the ramp lasts, in Steps equal steps.
	Duration time.Duration
	Steps    int
}

// At returns the share of its normal load, from 0 to 1, that the engine may take at now: 0 before
// Start, the first step from Start on, and 1 at the end.
func (r Ramp) At(now time.Time) float64 {
	elapsed := now.Sub(r.Start)
	switch {
	case elapsed < 0:
		return 0
	case r.Steps <= 1 || elapsed >= r.Duration:
		return 1
	}
	step := int(elapsed*time.Duration(r.Steps)/r.Duration) + 1
	return float64(step) / float64(r.Steps)
}

// backoff returns base, doubled for each repetition after the first, but at most limit.
func backoff(base, limit time.Duration, repetitions int) time.Duration {
	d := base
	for i := 1; i < repetitions && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}
