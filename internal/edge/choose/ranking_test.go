package choose

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"github.com/stretchr/testify/require"
)

// This file simulates engines that prefill prompts in order of arrival, decode all running requests
// concurrently, and cache prompt segments up to a size limit with least recently used eviction. It
// compares what placement policies cost for the same requests.

const (
	modelEngines  = 9
	modelSlots    = 64
	modelCache    = 396_000 // tokens
	modelPrefill  = 50_700  // tokens per second
	modelAnswer   = 0.25    // seconds
	modelSeconds  = 45.0
	modelArrivals = 40.0 // requests per second
)

// prompt consists of a first segment shared by many prompts, a segment shared by some, and its own
// segment.
type prompt struct {
	first, shared             string
	firstTokens, sharedTokens int
	ownTokens                 int
}

// class is a kind of prompt: its share of the requests, and the number and sizes of its first and
// shared segments.
type class struct {
	weight                    float64
	firstCount, sharedCount   int
	firstTokens, sharedTokens int
}

var classes = []class{{0.45, 4, 57, 2520, 6100}, {0.3, 40, 26, 341, 1700}, {0.25, 20, 34, 103, 500}}

func randomPrompt(rng *rand.Rand) prompt {
	at := rng.Float64()
	kind := 0
	for at > classes[kind].weight && kind < len(classes)-1 {
		at -= classes[kind].weight
		kind++
	}
	c := classes[kind]
	// The exponent makes some shared segments more frequent than others.
	shared := int(math.Pow(rng.Float64(), 1.4) * float64(c.sharedCount))
	return prompt{
		first: fmt.Sprint(kind, "-first-", shared%c.firstCount), firstTokens: c.firstTokens,
		shared: fmt.Sprint(kind, "-shared-", shared), sharedTokens: c.sharedTokens, ownTokens: 500,
	}
}

// modelEngine is a simulated engine.
type modelEngine struct {
	cached map[string]int
	used   map[string]float64
	total  int
	freeAt float64
}

// prefill reads the segments that are not cached and returns the number of tokens read and the time
// when it is done.
func (e *modelEngine) prefill(p prompt, now float64) (tokens int, done float64) {
	tokens = p.ownTokens
	for _, segment := range []struct {
		id     string
		tokens int
	}{{p.first, p.firstTokens}, {p.shared, p.sharedTokens}} {
		if _, ok := e.cached[segment.id]; !ok {
			tokens += segment.tokens
			e.cached[segment.id] = segment.tokens
			e.total += segment.tokens
		}
		e.used[segment.id] = now
	}
	e.evict()
	e.freeAt = max(e.freeAt, now) + float64(tokens)/modelPrefill
	return tokens, e.freeAt
}

func (e *modelEngine) evict() {
	for e.total > modelCache {
		oldest, at := "", math.Inf(1)
		for id := range e.cached {
			if e.used[id] < at {
				oldest, at = id, e.used[id]
			}
		}
		e.total -= e.cached[oldest]
		delete(e.cached, oldest)
	}
}

// completion is the end of a request at an engine.
type completion struct {
	at     float64
	engine int
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// cost is the cost of a placement policy.
type cost struct {
	// tokensRead is the mean number of tokens prefilled per request, wait the mean time to the
	// first token in seconds, and late the fraction of requests with a time to the first token of
	// more than 0.5 seconds.
	tokensRead, wait, late float64
}

// simulate runs the requests of a seed with a placement policy. Halfway through, it replaces an
// engine by a new one.
func simulate(seed uint64, pick func(engines []Engine, p prompt, rng *rand.Rand) int) cost {
	arrivals, choices := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	engines := testEngines(modelEngines)
	models := make([]*modelEngine, len(engines))
	for i := range models {
		models[i] = &modelEngine{cached: map[string]int{}, used: map[string]float64{}}
	}
	var out cost
	var running completionHeap
	n := 0.0
	for now := 0.0; now < modelSeconds; now += arrivals.ExpFloat64() / modelArrivals {
		if now > modelSeconds/2 && engines[0].ID == "e0" {
			engines[0].ID, engines[0].Key = "new", rendezvous.ID("new")
			models[0] = &modelEngine{cached: map[string]int{}, used: map[string]float64{}}
		}
		for len(running) > 0 && running[0].at <= now {
			done := heap.Pop(&running).(completion)
			engines[done.engine].InFlight--
		}
		p := randomPrompt(arrivals)
		i := pick(engines, p, choices)
		tokens, first := models[i].prefill(p, now)
		engines[i].InFlight++
		heap.Push(&running, completion{first + modelAnswer, i})
		n++
		out.tokensRead += float64(tokens)
		out.wait += first - now
		if first-now > 0.5 {
			out.late++
		}
	}
	return cost{out.tokensRead / n, out.wait / n, out.late / n}
}

var placements = map[string]func(engines []Engine, p prompt, rng *rand.Rand) int{
	"longest shared prefix": func(e []Engine, p prompt, rng *rand.Rand) int {
		return PlacePrompt(e, rendezvous.ID(p.shared), rng).Engine
	},
	"first segment": func(e []Engine, p prompt, rng *rand.Rand) int {
		return PlacePrompt(e, rendezvous.ID(p.first), rng).Engine
	},
	"first segment, no bound": func(e []Engine, p prompt, _ *rand.Rand) int {
		return ranked(e, rendezvous.ID(p.first))[0]
	},
	"least loaded": func(e []Engine, _ prompt, rng *rand.Rand) int {
		return leastLoaded(e, usableEngines(e), rng)
	},
	"better of two": func(e []Engine, _ prompt, rng *rand.Rand) int { return PickPlain(e, rng) },
}

// Checks that hashing the longest shared prefix costs less than each other policy: hashing the
// first segment prefills about as few tokens but loads engines less evenly, and policies that
// ignore the prompt prefill more than twice as many tokens. Trials with the model of the real
// engines gave the same order. The simulation does not cover the load bound, which has no effect at
// this load, or fetching from other engines' caches.
func TestLongestSharedPrefixCostsLeast(t *testing.T) {
	got := make(map[string]cost)
	for name, pick := range placements {
		got[name] = simulate(1, pick)
	}
	byPrefix := got["longest shared prefix"]
	for name, other := range got {
		if name != "longest shared prefix" {
			require.Less(t, byPrefix.wait, other.wait, name)
			require.LessOrEqual(t, byPrefix.late, other.late, name)
		}
	}
	for _, policy := range []string{"least loaded", "better of two"} {
		require.Greater(t, got[policy].tokensRead, 2*byPrefix.tokensRead, policy)
	}
}

// BenchmarkPlacements reports the cost of each placement policy. Run it with
//
//	go test ./internal/edge/choose -bench Placements -benchtime 5x
func BenchmarkPlacements(b *testing.B) {
	for name, pick := range placements {
		b.Run(name, func(b *testing.B) {
			var sum cost
			for i := range b.N {
				c := simulate(uint64(i+1), pick)
				sum = cost{sum.tokensRead + c.tokensRead, sum.wait + c.wait, sum.late + c.late}
			}
			n := float64(b.N)
			b.ReportMetric(sum.tokensRead/n, "tokens-read/request")
			b.ReportMetric(1000*sum.wait/n, "ms-to-first-token")
			b.ReportMetric(100*sum.late/n, "%late")
		})
	}
}
