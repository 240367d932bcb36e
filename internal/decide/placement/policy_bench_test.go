package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Parameters of the simulation. Half of the requests are short and belong to no chat; the others
// are turns of chats whose prompts grow to the length of long documents. A request runs for
// its prefill and a fixed time of decoding, so that an engine runs about half a batch.
const (
	simEngines        = 12
	simChats          = 3_000
	simCacheChats     = 400 // chats that fit into the cache of an engine
	simPrefillTokens  = 100 // tokens prefilled between two arrivals
	simDecodeArrivals = 280 // arrivals during the decoding of one response
	simArrivals       = 30_000
	simChurnArrivals  = 2_000 // arrivals between two replacements of an engine
	simNoEvidence     = 0.2   // share of turns without evidence
	simEvidence       = 2     // engines listed as evidence of a chat
)

// simEngine is the actual state of an engine: the requests that it runs and the chats that it has
// cached, oldest first.
type simEngine struct {
	running []runningRequest
	cached  []uint64
}

type runningRequest struct{ weight, until int }

type simulation struct {
	pool                                      *Pool
	engines                                   [simEngines]simEngine
	holders                                   map[uint64][]Evidence
	rng                                       *rand.Rand
	now, draining, earlier, reused, overBound int
	skews                                     []float64
}

func newSimulation(bound float64) *simulation {
	pool := newPool(make([]int64, simEngines)...)
	pool.Bound = bound
	return &simulation{pool: pool, holders: map[uint64][]Evidence{}, rng: newRand()}
}

func (sim *simulation) request() *Request {
	if sim.rng.IntN(2) == 0 {
		return &Request{PromptTokens: 100, OutputTokens: 20}
	}
	chat := sim.rng.Uint64N(simChats) + 1
	earlier := 500 + int(chat%50)*int(chat%50)*4
	r := &Request{Chat: chat, PromptTokens: earlier + 200, OutputTokens: 100, EarlierTokens: earlier}
	if sim.rng.Float64() >= simNoEvidence {
		r.Evidence = sim.holders[chat]
	}
	return r
}

// serve adds the request to the engine with its actual weight and records the evidence of its chat.
func (sim *simulation) serve(r *Request, d Decision) {
	e, se := &sim.pool.Engines[d.Index], &sim.engines[d.Index]
	uncached := r.PromptTokens
	if r.Chat != 0 {
		uncached -= sim.reuse(r, se)
		others := slices.DeleteFunc(sim.holders[r.Chat], func(ev Evidence) bool { return ev.Engine == e.ID })
		all := slices.Insert(others, 0, Evidence{e.ID, e.Incarnation, r.EarlierTokens, 0.9})
		sim.holders[r.Chat] = all[:min(len(all), simEvidence)]
	}
	req := runningRequest{uncached + r.OutputTokens, sim.now + uncached/simPrefillTokens + simDecodeArrivals}
	se.running = append(se.running, req)
	e.Load += int64(req.weight)
	e.Running++
	if d.OverBound {
		sim.overBound++
	}
}

// reuse returns the number of tokens found in the cache, and caches the chat as the newest one.
func (sim *simulation) reuse(r *Request, se *simEngine) (found int) {
	if i := slices.Index(se.cached, r.Chat); i >= 0 {
		found = r.EarlierTokens
		se.cached = slices.Delete(se.cached, i, i+1)
	}
	se.cached = append(se.cached[max(len(se.cached)-simCacheChats+1, 0):], r.Chat)
	sim.earlier += r.EarlierTokens
	sim.reused += found
	return found
}

func (sim *simulation) finish(i int) {
	e, se := &sim.pool.Engines[i], &sim.engines[i]
	se.running = slices.DeleteFunc(se.running, func(req runningRequest) bool {
		if req.until <= sim.now {
			e.Load -= int64(req.weight)
			e.Running--
		}
		return req.until <= sim.now
	})
}

func (sim *simulation) skew() float64 {
	load, highest := SumLoad(sim.pool.Engines), int64(0)
	for i := range sim.pool.Engines {
		if !sim.pool.Engines[i].Leaving {
			highest = max(highest, sim.pool.Engines[i].Load)
		}
	}
	return float64(highest) * float64(load.N) / float64(max(load.Total, 1))
}

func (sim *simulation) run(s Strategy) {
	for sim.now = range simArrivals {
		for i := range sim.engines {
			sim.finish(i)
		}
		r := sim.request()
		if d, err := s.Pick(sim.pool, r); err == nil {
			sim.serve(r, d)
		}
		sim.skews = append(sim.skews, sim.skew())
		if sim.now%simChurnArrivals == 0 {
			sim.churn()
		}
	}
}

// churn drains one engine and returns the previously drained one with an empty cache.
func (sim *simulation) churn() {
	sim.pool.Engines[sim.draining].Leaving = false
	sim.draining = sim.rng.IntN(simEngines)
	e := &sim.pool.Engines[sim.draining]
	e.Leaving = true
	e.Incarnation++
	sim.engines[sim.draining].cached = nil
}

// BenchmarkStrategies reports, for each strategy, the share of earlier tokens found in the cache
// (reuse), the median and the 99th percentile of the ratio of the largest load to the mean, by the
// engines' own count (skew), and the share of requests admitted beyond the bound (lumps).
func BenchmarkStrategies(b *testing.B) {
	for _, bound := range []float64{1.25, 1.5, 2} {
		picker := func() Strategy { return newTestPicker() }
		b.Run(fmt.Sprint("picker/", bound), func(b *testing.B) { runSimulation(b, bound, picker) })
	}
	for name := range NewBaselines(DefaultPolicy(), nil) {
		baseline := func() Strategy { return NewBaselines(DefaultPolicy(), newRand())[name] }
		b.Run(name, func(b *testing.B) { runSimulation(b, testBound, baseline) })
	}
}

func runSimulation(b *testing.B, bound float64, strategy func() Strategy) {
	var sim *simulation
	for b.Loop() {
		sim = newSimulation(bound)
		sim.run(strategy())
	}
	slices.Sort(sim.skews)
	b.ReportMetric(float64(sim.reused)/float64(sim.earlier), "reuse")
	b.ReportMetric(sim.skews[len(sim.skews)/2], "skew-p50")
	b.ReportMetric(sim.skews[len(sim.skews)*99/100], "skew-p99")
	b.ReportMetric(float64(sim.overBound)/simArrivals, "lumps")
}
