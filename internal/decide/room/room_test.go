package room

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var begin = time.Unix(0, 0)

// newMemory returns a memory whose requests take a second for 100 tokens of output.
func newMemory(tokens int) *Memory {
	m := &Memory{}
	m.SetTokens(tokens)
	m.Start(begin, "first", Need{Own: 100, Output: 100})
	m.End(begin.Add(time.Second), "first", true)
	return m
}

// Guards against a request that is refused for memory that others have freed by the time it needs it, and
// against one that is granted what running requests grow by.
func TestGrowthIsFollowedToTheEnds(t *testing.T) {
	m := newMemory(1000)
	m.Start(begin, "a", Need{Own: 300, Output: 100})
	m.Start(begin, "b", Need{Own: 300, Output: 100})
	// All three end together: 3 × 100 more than the prompts.
	require.True(t, m.Fits(begin, Need{Own: 100, Output: 100}, 1))
	require.False(t, m.Fits(begin, Need{Own: 101, Output: 100}, 1))
	// After 0.9 s, the two are about to end: they hold 780, and the next one will grow only once they are gone.
	later := begin.Add(900 * time.Millisecond)
	require.True(t, m.Fits(later, Need{Own: 100, Output: 100}, 1))
	require.True(t, m.Fits(later, Need{Own: 100, Output: 500}, 1))
	require.False(t, m.Fits(later, Need{Own: 230, Output: 100}, 1))
	m.End(later, "a", true)
	require.True(t, m.Fits(later, Need{Own: 230, Output: 100}, 1))
}

// Guards against parts of prompts that are counted once for each request, and against ones that are
// counted as held although the requests that shared them have ended.
func TestSharedPartsAreHeldOnce(t *testing.T) {
	m := newMemory(1000)
	shared := Need{Own: 50, Parts: []Part{{ID: 1, Tokens: 700}}}
	m.Start(begin, "a", shared)
	require.True(t, m.Fits(begin, shared, 1))
	require.False(t, m.Fits(begin, Need{Own: 50, Parts: []Part{{ID: 2, Tokens: 700}}}, 1))
	m.Start(begin, "b", shared)
	m.End(begin, "a", true)
	require.False(t, m.Fits(begin, Need{Own: 50, Parts: []Part{{ID: 2, Tokens: 700}}}, 1))
	m.End(begin, "b", true)
	require.True(t, m.Fits(begin, Need{Own: 50, Parts: []Part{{ID: 2, Tokens: 700}}}, 1))
}

// Guards against a request that waits for ever because it is larger than a share of the memory, and against
// an engine of unknown size that gets none.
func TestEmptyMemoryTakesAnyRequest(t *testing.T) {
	m := newMemory(1000)
	require.True(t, m.Fits(begin, Need{Own: 5000}, 0.5))
	var unbounded Memory
	unbounded.Start(begin, "a", Need{Own: 5000})
	unbounded.SetOthers(1000)
	require.True(t, unbounded.Fits(begin, Need{Own: 5000}, 0.5))
}

// Guards against requests of which nothing is known, as those sent without a permit, that count as nothing.
func TestUnknownRequestsCountAsTheMean(t *testing.T) {
	m := newMemory(1000)
	m.SetOthers(5)
	require.True(t, m.Fits(begin, Need{Own: 100}, 1))
	m.SetOthers(7)
	require.False(t, m.Fits(begin, Need{Own: 100}, 1))
	m.SetOthers(0)
	for i := range 7 {
		m.Start(begin, fmt.Sprint(i), Need{})
	}
	require.False(t, m.Fits(begin, Need{Own: 100}, 1))
}

// Guards against an engine that is short of memory again and again because all growth was underestimated,
// and against memory that stays unused for good after that.
func TestReserveFollowsWhatTheEngineStates(t *testing.T) {
	m := newMemory(1000)
	m.Start(begin, "a", Need{Own: 800})
	need := Need{Own: 195}
	require.True(t, m.Fits(begin, need, 1))
	m.Observe(begin, 10, 0, 16)
	spare := newMemory(1000)
	spare.Start(begin, "a", Need{Own: 700})
	spare.Observe(begin, 10, 2, 16)
	require.True(t, spare.Fits(begin, Need{Own: 299}, 1), "memory is free; requests wait for their prompts to be read")
	m.Observe(begin, 12, 5, 16)
	require.True(t, m.Fits(begin, need, 1), "nothing waits, or no slot is free")
	m.Observe(begin, 10, 2, 16)
	require.False(t, m.Fits(begin, need, 1))
	for range 100 {
		m.Observe(begin, 10, 2, 16)
	}
	m.End(begin, "a", true)
	m.Start(begin, "b", Need{Own: 100, Output: 10, Most: 10})
	require.True(t, m.Fits(begin, Need{Own: 500}, 1), "the reserve is bounded")
	require.True(t, m.Fits(begin.Add(time.Minute), Need{Own: 880}, 1))
}

// Guards against more being granted than the memory holds at any time, whatever the mixture of requests, if
// outputs are as long as expected.
func TestGrantedRequestsNeverExceedTheMemory(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		m := newMemory(10_000)
		type run struct {
			need Need
			from time.Time
		}
		running := make(map[string]run)
		for step := range 2000 {
			now := begin.Add(time.Duration(step) * 10 * time.Millisecond)
			held, parts := 0, make(map[uint64]int)
			for id, r := range running {
				generated := int(now.Sub(r.from).Seconds() * 100)
				if generated >= r.need.Output {
					delete(running, id)
					// Times are not learned, so that the pace stays as it is.
					m.End(now, id, false)
					continue
				}
				held += r.need.Own + generated
				for _, p := range r.need.Parts {
					parts[p.ID] = p.Tokens
				}
			}
			for _, tokens := range parts {
				held += tokens
			}
			require.LessOrEqual(t, held, 10_000+len(running))
			need := Need{Own: 1 + rng.IntN(900), Output: 100, Parts: []Part{{ID: rng.Uint64N(8), Tokens: 600}}}
			if id := fmt.Sprint(step); m.Fits(now, need, 1) {
				m.Start(now, id, need)
				running[id] = run{need, now}
			}
		}
	}
}

// Guards against outputs that are taken to be as long as hints say, which are often far off, or as long as
// the most that callers allow.
func TestOutputsAreLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, spread := range []float64{0.1, 0.8, 1.4} {
		var o Outputs
		require.Equal(t, 130, o.Expect(100, 1000))
		require.Equal(t, 1000, o.Expect(0, 1000))
		draw := func() (hint, output int) {
			output = max(7, int(200*math.Exp(0.5*rng.NormFloat64())))
			return max(1, int(float64(output)*math.Exp(spread*rng.NormFloat64()))), output
		}
		for range 2000 {
			hint, output := draw()
			o.Observe(hint, output/7)
		}
		expected, actual := 0, 0
		for range 2000 {
			hint, output := draw()
			expected += o.Expect(hint, 0)
			actual += output
		}
		require.InEpsilon(t, actual, expected, 0.15, "spread %.1f", spread)
		require.InEpsilon(t, 200*math.Exp(0.125), o.Expect(0, 0), 0.15)
		require.Equal(t, 50, o.Expect(200, 50))
	}
}

// Guards against statements of callers that make the estimate infinite or negative.
func TestOutputsOfOddHints(t *testing.T) {
	var o Outputs
	for range 100 {
		o.Observe(-1, 3)
		o.Observe(math.MaxInt64, 1)
		o.Observe(1, math.MaxInt64)
		o.Observe(5, 5)
	}
	for _, hint := range []int{-1, 0, 1, math.MaxInt64} {
		got := o.Expect(hint, 4096)
		require.GreaterOrEqual(t, got, 0)
		require.LessOrEqual(t, got, 4096)
	}
}

// BenchmarkFits measures the decision for a full engine of 64 slots.
func BenchmarkFits(b *testing.B) {
	m := newMemory(300_000)
	for i := range 64 {
		m.Start(begin, fmt.Sprint(i), Need{Own: 2000, Output: 100 + i, Parts: []Part{{ID: uint64(i % 20), Tokens: 2000}, {ID: uint64(i % 3), Tokens: 500}}})
	}
	for b.Loop() {
		m.Fits(begin.Add(time.Second/2), Need{Own: 2000, Output: 300, Parts: []Part{{ID: 77, Tokens: 3000}}}, 1)
	}
}
