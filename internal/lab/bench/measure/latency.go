package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	microsPerMS       = 1000.0
)

// Latency collects latency samples by label. It is safe for concurrent use.
type Latency struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// NewLatency returns an empty collection.
func NewLatency() *Latency {
	return &Latency{byLabel: make(map[string]*hdrhistogram.Histogram)}
}

// Add records samples under a label. Samples beyond ten minutes count as ten minutes.
func (l *Latency) Add(label string, times ...time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byLabel[label]
	if h == nil {
		h = hdrhistogram.New(1, maxMicros, significantDigits)
		l.byLabel[label] = h
	}
	for _, t := range times {
		_ = h.RecordValue(min(t.Microseconds(), maxMicros))
	}
}

// Percentiles are the percentiles of a set of samples, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Percentiles returns the percentiles of each label.
func (l *Latency) Percentiles() map[string]Percentiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Percentiles, len(l.byLabel))
	for label, h := range l.byLabel {
		out[label] = Percentiles{
			Count: h.TotalCount(),
			P50:   float64(h.ValueAtPercentile(50)) / microsPerMS,
			P95:   float64(h.ValueAtPercentile(95)) / microsPerMS,
			P99:   float64(h.ValueAtPercentile(99)) / microsPerMS,
			Max:   float64(h.Max()) / microsPerMS,
		}
	}
	return out
}
