package engine

import (
	"maps"
	"slices"
	"time"
)

// Books are what the engine itself saw, over all its incarnations.
type Books struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Runs counts, by request id, how often execution began; Finished how
	// often it came to its end.
	Runs     map[string]int `json:"runs"`
	Finished map[string]int `json:"finished"`
	// Refused counts requests refused before executing, Canceled those given
	// up by order of the router, Lost those that a crash ended.
	Refused  int `json:"refused"`
	Canceled int `json:"canceled"`
	Lost     int `json:"lost"`
	// PromptTokens and CachedTokens are summed over all runs.
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// Load is the unfinished work over time; times without load are left out.
	Load []LoadBucket `json:"load"`
}

// LoadBucket is the load during one span of time.
type LoadBucket struct {
	// Index is the time since the Unix epoch divided by Options.Bucket, so
	// that the buckets of several engines line up.
	Index int64 `json:"index"`
	// MaxRequests and MaxWeight are the highest values within the span.
	MaxRequests int   `json:"max_requests"`
	MaxWeight   int64 `json:"max_weight"`
	// RequestSeconds and WeightSeconds are sums over time.
	RequestSeconds float64 `json:"request_seconds"`
	WeightSeconds  float64 `json:"weight_seconds"`
}

// Skew returns, for each span in which the engines' loads sum up to at least
// minWeightSeconds, how far the busiest engine is above their mean: 1 is an even
// spread, len(books) is all load on one engine. An engine without load in a
// span counts as idle.
func Skew(minWeightSeconds float64, books ...Books) []float64 {
	sums := map[int64]float64{}
	peaks := map[int64]float64{}
	for _, b := range books {
		for _, l := range b.Load {
			sums[l.Index] += l.WeightSeconds
			peaks[l.Index] = max(peaks[l.Index], l.WeightSeconds)
		}
	}
	var skews []float64
	for _, i := range slices.Sorted(maps.Keys(sums)) {
		if sums[i] > 0 && sums[i] >= minWeightSeconds {
			skews = append(skews, peaks[i]*float64(len(books))/sums[i])
		}
	}
	return skews
}

// ledger keeps the books. The engine's lock guards it.
type ledger struct {
	books    Books
	bucket   time.Duration
	requests int
	weight   int64
	since    time.Time
}

func newLedger(o Options) *ledger {
	return &ledger{
		books:  Books{Name: o.Name, Runs: map[string]int{}, Finished: map[string]int{}},
		bucket: o.Bucket,
		since:  time.Now(),
	}
}

// change settles the load up to now and then alters it.
func (l *ledger) change(requests int, weight int64) {
	l.settle(time.Now())
	l.requests += requests
	l.weight += weight
	if l.requests > 0 {
		l.raise(l.at(l.index(l.since)))
	}
}

// settle spreads the present load over the buckets between since and now.
func (l *ledger) settle(now time.Time) {
	for l.requests > 0 && l.since.Before(now) {
		i := l.index(l.since)
		end := time.Unix(0, (i+1)*int64(l.bucket))
		if end.After(now) {
			end = now
		}
		span := end.Sub(l.since).Seconds()
		b := l.at(i)
		b.RequestSeconds += span * float64(l.requests)
		b.WeightSeconds += span * float64(l.weight)
		l.raise(b)
		l.since = end
	}
	l.since = now
}

func (l *ledger) index(t time.Time) int64 { return t.UnixNano() / int64(l.bucket) }

func (l *ledger) raise(b *LoadBucket) {
	b.MaxRequests = max(b.MaxRequests, l.requests)
	b.MaxWeight = max(b.MaxWeight, l.weight)
}

// at returns bucket i, which is the last one or a new one.
func (l *ledger) at(i int64) *LoadBucket {
	n := len(l.books.Load)
	if n == 0 || l.books.Load[n-1].Index != i {
		l.books.Load = append(l.books.Load, LoadBucket{Index: i})
		n++
	}
	return &l.books.Load[n-1]
}

// copy returns books that later work doesn't change.
func (l *ledger) copy() Books {
	l.settle(time.Now())
	b := l.books
	b.Runs = maps.Clone(b.Runs)
	b.Finished = maps.Clone(b.Finished)
	b.Load = slices.Clone(b.Load)
	return b
}
