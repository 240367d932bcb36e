package engine

import (
	"maps"
	"slices"
	"time"
)

// Stats are the engine's own counters, over all its incarnations.
type Stats struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Runs counts executions by request id, Finished those that completed.
	Runs     map[string]int `json:"runs"`
	Finished map[string]int `json:"finished"`
	// Refused counts requests refused before execution, Canceled those canceled
	// by the router, Lost those that a crash ended.
	Refused  int `json:"refused"`
	Canceled int `json:"canceled"`
	Lost     int `json:"lost"`
	// PromptTokens and CachedTokens are sums over all executions.
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// Load is the unfinished work over time. Times without load are omitted.
	Load []LoadBucket `json:"load"`
}

// LoadBucket is the load during one time bucket.
type LoadBucket struct {
	// Index is the time since the Unix epoch divided by Options.Bucket, so that
	// the buckets of several engines are aligned.
	Index int64 `json:"index"`
	// MaxRequests and MaxWeight are the maximum values in the bucket.
	MaxRequests int   `json:"max_requests"`
	MaxWeight   int64 `json:"max_weight"`
	// RequestSeconds and WeightSeconds are integrals over time.
	RequestSeconds float64 `json:"request_seconds"`
	WeightSeconds  float64 `json:"weight_seconds"`
}

// Skew returns, for each bucket in which the engines' total load is at least
// minWeightSeconds, the load of the busiest engine divided by the mean: 1 is an
// even distribution, len(stats) means that one engine has all load. An engine
// without load in a bucket counts as idle.
func Skew(minWeightSeconds float64, stats ...Stats) []float64 {
	sums := map[int64]float64{}
	peaks := map[int64]float64{}
	for _, s := range stats {
		for _, l := range s.Load {
			sums[l.Index] += l.WeightSeconds
			peaks[l.Index] = max(peaks[l.Index], l.WeightSeconds)
		}
	}
	var skews []float64
	for _, i := range slices.Sorted(maps.Keys(sums)) {
		if sums[i] > 0 && sums[i] >= minWeightSeconds {
			skews = append(skews, peaks[i]*float64(len(stats))/sums[i])
		}
	}
	return skews
}

// recorder maintains the stats. The engine's lock guards it.
type recorder struct {
	stats    Stats
	bucket   time.Duration
	requests int
	weight   int64
	since    time.Time
}

func newRecorder(o Options) *recorder {
	return &recorder{
		stats:  Stats{Name: o.Name, Runs: map[string]int{}, Finished: map[string]int{}},
		bucket: o.Bucket,
		since:  time.Now(),
	}
}

// adjust records the load up to now and then changes it.
func (r *recorder) adjust(requests int, weight int64) {
	r.accumulate(time.Now())
	r.requests += requests
	r.weight += weight
	if r.requests > 0 {
		r.updateMax(r.bucketAt(r.index(r.since)))
	}
}

// accumulate adds the current load to the buckets between since and now.
func (r *recorder) accumulate(now time.Time) {
	for r.requests > 0 && r.since.Before(now) {
		i := r.index(r.since)
		end := time.Unix(0, (i+1)*int64(r.bucket))
		if end.After(now) {
			end = now
		}
		span := end.Sub(r.since).Seconds()
		b := r.bucketAt(i)
		b.RequestSeconds += span * float64(r.requests)
		b.WeightSeconds += span * float64(r.weight)
		r.updateMax(b)
		r.since = end
	}
	r.since = now
}

func (r *recorder) index(t time.Time) int64 { return t.UnixNano() / int64(r.bucket) }

func (r *recorder) updateMax(b *LoadBucket) {
	b.MaxRequests = max(b.MaxRequests, r.requests)
	b.MaxWeight = max(b.MaxWeight, r.weight)
}

// bucketAt returns the bucket with index i, which is the last one or a new one.
func (r *recorder) bucketAt(i int64) *LoadBucket {
	n := len(r.stats.Load)
	if n == 0 || r.stats.Load[n-1].Index != i {
		r.stats.Load = append(r.stats.Load, LoadBucket{Index: i})
		n++
	}
	return &r.stats.Load[n-1]
}

// copy returns the current stats. Later changes do not affect them.
func (r *recorder) copy() Stats {
	r.accumulate(time.Now())
	s := r.stats
	s.Runs = maps.Clone(s.Runs)
	s.Finished = maps.Clone(s.Finished)
	s.Load = slices.Clone(s.Load)
	return s
}
