package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// Sizes of the trial. Half of the requests are short checks without a chat,
// the others are turns of chats whose prompts reach a dossier's length. A
// request stays for its prefill and a fixed time of decoding, so that an engine
// runs about half a batch.
const (
	trialEngines  = 12
	trialChats    = 3_000
	trialCache    = 400    // chats that an engine's cache holds
	trialPrefill  = 100    // tokens prefilled between two arrivals
	trialDecode   = 280    // arrivals during the decoding of one answer
	trialRequests = 30_000 // arrivals
	trialChurn    = 2_000  // arrivals between two replacements of an engine
	trialLost     = 0.2    // share of turns without evidence
	trialHolders  = 2      // engines remembered as evidence of a chat
)

// trialEngine is the engine's own truth: what it runs and what it has cached.
type trialEngine struct {
	running []trialWork
	cached  []uint64
}

type trialWork struct{ weight, until int }

type trial struct {
	pool                              *Pool
	engines                           [trialEngines]trialEngine
	holders                           map[uint64][]Evidence
	rng                               *rand.Rand
	now, gone, earlier, reused, lumps int
	skews                             []float64
}

func newTrial(bound float64) *trial {
	pool := newPool(make([]int64, trialEngines)...)
	pool.Bound = bound
	return &trial{pool: pool, holders: map[uint64][]Evidence{}, rng: newRand()}
}

func (t *trial) request() *Request {
	if t.rng.IntN(2) == 0 {
		return &Request{PromptTokens: 100, OutputTokens: 20}
	}
	chat := t.rng.Uint64N(trialChats) + 1
	earlier := 500 + int(chat%50)*int(chat%50)*4
	r := &Request{Chat: chat, PromptTokens: earlier + 200, OutputTokens: 100, EarlierTokens: earlier}
	if t.rng.Float64() >= trialLost {
		r.Evidence = t.holders[chat]
	}
	return r
}

// serve books the request with its true weight and notes what was reused.
func (t *trial) serve(r *Request, d Decision) {
	e, te := &t.pool.Engines[d.Index], &t.engines[d.Index]
	missing := r.PromptTokens
	if r.Chat != 0 {
		missing -= t.reuse(r, te)
		others := slices.DeleteFunc(t.holders[r.Chat], func(ev Evidence) bool { return ev.Engine == e.ID })
		all := slices.Insert(others, 0, Evidence{e.ID, e.Incarnation, r.EarlierTokens, 0.9})
		t.holders[r.Chat] = all[:min(len(all), trialHolders)]
	}
	w := trialWork{missing + r.OutputTokens, t.now + missing/trialPrefill + trialDecode}
	te.running = append(te.running, w)
	e.Load += int64(w.weight)
	e.Running++
	if d.Lump {
		t.lumps++
	}
}

// reuse returns the tokens found in the cache, and caches the chat as newest.
func (t *trial) reuse(r *Request, te *trialEngine) (found int) {
	if at := slices.Index(te.cached, r.Chat); at >= 0 {
		found = r.EarlierTokens
		te.cached = slices.Delete(te.cached, at, at+1)
	}
	te.cached = append(te.cached[max(len(te.cached)-trialCache+1, 0):], r.Chat)
	t.earlier += r.EarlierTokens
	t.reused += found
	return found
}

func (t *trial) finish(i int) {
	e, te := &t.pool.Engines[i], &t.engines[i]
	te.running = slices.DeleteFunc(te.running, func(w trialWork) bool {
		if w.until <= t.now {
			e.Load -= int64(w.weight)
			e.Running--
		}
		return w.until <= t.now
	})
}

func (t *trial) skew() float64 {
	c, most := TakeCensus(t.pool.Engines), int64(0)
	for i := range t.pool.Engines {
		if !t.pool.Engines[i].Leaving {
			most = max(most, t.pool.Engines[i].Load)
		}
	}
	return float64(most) * float64(c.N) / float64(max(c.Total, 1))
}

func (t *trial) run(s Strategy) {
	for t.now = range trialRequests {
		for i := range t.engines {
			t.finish(i)
		}
		r := t.request()
		if d, err := s.Pick(t.pool, r); err == nil {
			t.serve(r, d)
		}
		t.skews = append(t.skews, t.skew())
		if t.now%trialChurn == 0 {
			t.churn()
		}
	}
}

// churn lets one engine leave and the one that left before come back empty.
func (t *trial) churn() {
	t.pool.Engines[t.gone].Leaving = false
	t.gone = t.rng.IntN(trialEngines)
	e := &t.pool.Engines[t.gone]
	e.Leaving = true
	e.Incarnation++
	t.engines[t.gone].cached = nil
}

// BenchmarkTrial reports, for each strategy, the share of earlier tokens found
// in the cache, the median and the 99th percentile of the largest load over
// the mean, by the engines' own count, and the share of lumps.
func BenchmarkTrial(b *testing.B) {
	for _, bound := range []float64{1.25, 1.5, 2} {
		picker := func() Strategy { return newTestPicker() }
		b.Run(fmt.Sprint("picker/", bound), func(b *testing.B) { runTrial(b, bound, picker) })
	}
	for name := range NewBaselines(DefaultPolicy(), nil) {
		baseline := func() Strategy { return NewBaselines(DefaultPolicy(), newRand())[name] }
		b.Run(name, func(b *testing.B) { runTrial(b, testBound, baseline) })
	}
}

func runTrial(b *testing.B, bound float64, strategy func() Strategy) {
	var t *trial
	for b.Loop() {
		t = newTrial(bound)
		t.run(strategy())
	}
	slices.Sort(t.skews)
	b.ReportMetric(float64(t.reused)/float64(t.earlier), "reuse")
	b.ReportMetric(t.skews[len(t.skews)/2], "skew-p50")
	b.ReportMetric(t.skews[len(t.skews)*99/100], "skew-p99")
	b.ReportMetric(float64(t.lumps)/trialRequests, "lumps")
}
