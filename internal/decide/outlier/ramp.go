package outlier

import "time"

// Ramp is the return of an engine in equal steps. The zero value is an engine
// in full service.
//
// An engine that returned at once would get its whole share with an empty
// cache, fail again under the prefill, and flap.
type Ramp struct {
	// Start is when the first step begins.
	Start time.Time
	// Time is how long the ramp lasts, in Steps equal steps.
	Time  time.Duration
	Steps int
}

// At returns the share of its normal load, from 0 to 1, that the engine may
// take: 0 before Start, the first step at once, 1 at the end.
func (r Ramp) At(now time.Time) float64 {
	elapsed := now.Sub(r.Start)
	switch {
	case elapsed < 0:
		return 0
	case r.Steps <= 1 || elapsed >= r.Time:
		return 1
	}
	step := int(elapsed*time.Duration(r.Steps)/r.Time) + 1
	return float64(step) / float64(r.Steps)
}

// doubled returns base doubled for each repetition after the first, up to limit.
func doubled(base, limit time.Duration, repeat int) time.Duration {
	d := base
	for i := 1; i < repeat && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}
