// Package measure computes the metrics of a placement from the records of
// engines and callers after a run. It has no side effects.
package measure

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
)

// EngineLoad is the load that an engine recorded, with the times in which it
// was expected to accept requests.
type EngineLoad struct {
	Buckets []engine.LoadBucket
	// BucketLength is the length of one of Buckets.
	BucketLength time.Duration
	// InService are the times in service, as pairs of begin and end. A zero end
	// means that the engine is still in service.
	InService [][2]time.Time
}

// Window is the load of the pool during a time window.
type Window struct {
	// At is the start of the window, in seconds since the start of the run.
	At float64 `json:"at"`
	// Skew is the busiest engine's load divided by the mean.
	Skew float64 `json:"skew"`
	// Mean is the mean load of an engine, in weight units or requests.
	Mean float64 `json:"mean"`
	// Engines is the number of engines in service during the whole window.
	Engines int `json:"engines"`
}

// Skew summarizes the skew of a set of windows.
type Skew struct {
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
	// Windows is the number of windows of Total that had enough load to count.
	Windows int `json:"windows"`
	Total   int `json:"total"`
}

// SkewOptions selects the windows that count.
type SkewOptions struct {
	From, To time.Time
	// Window is the length of a window, over which load is averaged.
	Window time.Duration
	// MinMean is the mean load of an engine below which a window is not counted:
	// if one request exceeds the mean, every placement is skewed.
	MinMean float64
	// Requests measures load as the number of unfinished requests instead of
	// their weight.
	Requests bool
}

// Windows returns the windows that count. Load on engines that are not in
// service during the whole window counts neither for the mean nor for the peak:
// the placement does not determine the load of a draining engine.
func Windows(o SkewOptions, engines []EngineLoad) []Window {
	var out []Window
	for from := o.From; !from.Add(o.Window).After(o.To); from = from.Add(o.Window) {
		w := o.window(from, from.Add(o.Window), engines)
		if w.Engines == 0 || w.Mean < o.MinMean {
			continue
		}
		w.At = from.Sub(o.From).Seconds()
		out = append(out, w)
	}
	return out
}

func (o SkewOptions) window(from, to time.Time, engines []EngineLoad) Window {
	var w Window
	total, peak := 0.0, 0.0
	for i := range engines {
		e := &engines[i]
		if !e.inService(from, to) {
			continue
		}
		load := e.loadSeconds(from, to, o.Requests) / to.Sub(from).Seconds()
		total += load
		peak = max(peak, load)
		w.Engines++
	}
	w.Mean = ratio(total, float64(w.Engines))
	w.Skew = ratio(peak, w.Mean)
	return w
}

func (e *EngineLoad) inService(from, to time.Time) bool {
	for _, s := range e.InService {
		if !s[0].After(from) && (s[1].IsZero() || !s[1].Before(to)) {
			return true
		}
	}
	return false
}

// loadSeconds sums up the buckets of the window, whose limits are rounded down to
// limits of buckets.
func (e *EngineLoad) loadSeconds(from, to time.Time, requests bool) float64 {
	first := from.UnixNano() / int64(e.BucketLength)
	last := to.UnixNano() / int64(e.BucketLength)
	i, _ := slices.BinarySearchFunc(e.Buckets, first, func(b engine.LoadBucket, at int64) int {
		return int(b.Index - at)
	})
	sum := 0.0
	for ; i < len(e.Buckets) && e.Buckets[i].Index < last; i++ {
		if requests {
			sum += e.Buckets[i].RequestSeconds
			continue
		}
		sum += e.Buckets[i].WeightSeconds
	}
	return sum
}

// Summarize summarizes the windows that count. total is the number of all windows.
func Summarize(windows []Window, total int) Skew {
	s := Skew{Windows: len(windows), Total: total}
	if len(windows) == 0 {
		return s
	}
	skews := make([]float64, len(windows))
	sum := 0.0
	for i, w := range windows {
		skews[i] = w.Skew
		sum += w.Skew
	}
	slices.Sort(skews)
	s.Mean = sum / float64(len(skews))
	s.P50 = quantile(skews, 0.5)
	s.P99 = quantile(skews, 0.99)
	s.Worst = skews[len(skews)-1]
	return s
}

// quantile returns the value of the nearest rank in sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
