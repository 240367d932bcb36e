// Package measure turns what engines and callers saw into the figures that a
// placement is judged by. It is pure: it looks at records after a run.
package measure

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
)

// EngineLoad is what one engine's own books say, and when the engine was
// meant to take work.
type EngineLoad struct {
	Books []engine.LoadBucket
	// Bucket is the length of one of the books' buckets.
	Bucket time.Duration
	// InService are the times, in pairs of begin and end.
	InService [][2]time.Time
}

// Window is the load of the pool during one span of time.
type Window struct {
	// At is the time since the beginning of the run, in seconds.
	At float64 `json:"at"`
	// Skew is the busiest engine's load divided by the mean.
	Skew float64 `json:"skew"`
	// Mean is the mean load of an engine, in weight units or requests.
	Mean float64 `json:"mean"`
	// Engines is how many were in service during the whole window.
	Engines int `json:"engines"`
}

// Skew sums up windows.
type Skew struct {
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
	// Windows is how many carried enough load to be counted, of Total.
	Windows int `json:"windows"`
	Total   int `json:"total"`
}

// SkewOptions say which windows count.
type SkewOptions struct {
	From, To time.Time
	// Window is the span over which load is averaged.
	Window time.Duration
	// LeastMean is the mean load of an engine below which a window isn't
	// counted: where one request is more than the mean, any placement is skewed.
	LeastMean float64
	// Requests takes the number of unfinished requests for the load, instead
	// of their weight.
	Requests bool
}

// Windows returns the windows that count. Load on engines that are not in
// service during the whole window counts neither for the mean nor for the
// peak: what a leaving engine finishes is no choice of the placement.
func Windows(o SkewOptions, engines []EngineLoad) []Window {
	var out []Window
	for from := o.From; !from.Add(o.Window).After(o.To); from = from.Add(o.Window) {
		w := o.window(from, from.Add(o.Window), engines)
		if w.Engines == 0 || w.Mean < o.LeastMean {
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

// loadSeconds sums up the buckets that begin in the window.
func (e *EngineLoad) loadSeconds(from, to time.Time, requests bool) float64 {
	first := from.UnixNano() / int64(e.Bucket)
	last := to.UnixNano() / int64(e.Bucket)
	i, _ := slices.BinarySearchFunc(e.Books, first, func(b engine.LoadBucket, at int64) int {
		return int(b.Index - at)
	})
	sum := 0.0
	for ; i < len(e.Books) && e.Books[i].Index < last; i++ {
		if requests {
			sum += e.Books[i].RequestSeconds
			continue
		}
		sum += e.Books[i].WeightSeconds
	}
	return sum
}

// Summarize sums up the windows that counted, of total.
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

// quantile takes the nearest rank of sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
