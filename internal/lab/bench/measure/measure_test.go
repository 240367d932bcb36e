package measure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

// turn returns a turn of half a second that adds ten tokens to the chat.
func turn(chat string, second, earlier int) measure.Access {
	return measure.Access{
		Chat: chat, Start: at(second), End: at(second).Add(time.Second / 2),
		Prompt: earlier + 5, Earlier: earlier, After: earlier + 10, Returning: earlier > 0,
	}
}

func TestReuseBoundKeepsNextUsedTokens(t *testing.T) {
	trace := []measure.Access{
		turn("a", 1, 0), turn("b", 2, 0), turn("b", 3, 10), turn("a", 4, 10), turn("c", 5, 0),
	}
	full := []measure.Capacity{{At: at(0), Tokens: 20}}
	require.InDelta(t, 20.0/30, measure.ReuseBound(trace, full), 1e-9)
	// The capacity holds one chat. Chat b, which is used again first, is cached completely, and
	// chat a not at all.
	half := []measure.Capacity{{At: at(0), Tokens: 10}}
	require.InDelta(t, 10.0/30, measure.ReuseBound(trace, half), 1e-9)
	// A chat that is cached in part counts with that part.
	partial := []measure.Capacity{{At: at(0), Tokens: 14}}
	require.InDelta(t, 14.0/30, measure.ReuseBound(trace, partial), 1e-9)
}

func TestReuseBoundFollowsCapacity(t *testing.T) {
	trace := []measure.Access{turn("a", 1, 0), turn("b", 2, 0), turn("a", 4, 10), turn("b", 5, 10)}
	capacity := measure.SumCapacity([]measure.Capacity{
		{At: at(3), Tokens: -10}, {At: at(0), Tokens: 10}, {At: at(0), Tokens: 10},
	})
	require.Equal(t, int64(10), capacity[2].Tokens)
	require.InDelta(t, 10.0/30, measure.ReuseBound(trace, capacity), 1e-9)
}

func TestReuseIgnoresIncompleteTurns(t *testing.T) {
	broken := turn("a", 3, 10)
	broken.Broken = true
	broken.Cached = 10
	trace := []measure.Access{turn("a", 1, 0), broken}
	require.Zero(t, measure.Reuse(trace))
	require.Zero(t, measure.ReuseBound(trace, []measure.Capacity{{At: at(0), Tokens: 100}}))
}

// TestReuseBoundLimitsEveryPlacement replays random traces against separate
// LRU caches of whole chats, with random placement and with one fixed engine
// for each chat.
func TestReuseBoundLimitsEveryPlacement(t *testing.T) {
	const engines, capacity, chats, turns = 3, 60, 12, 400
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		length := map[string]int{}
		var trace []measure.Access
		for s := range turns {
			chat := fmt.Sprint("chat-", rng.IntN(chats))
			trace = append(trace, turn(chat, s, length[chat]))
			length[chat] = (length[chat] + 10) % 50
		}
		bound := measure.ReuseBound(trace, []measure.Capacity{{At: at(-1), Tokens: engines * capacity}})
		for _, pickEngine := range []func(measure.Access) int{
			func(measure.Access) int { return rng.IntN(engines) },
			func(a measure.Access) int { return int(a.Chat[len(a.Chat)-1]) % engines },
		} {
			reuse := simulateLRU(trace, engines, capacity, pickEngine)
			require.Positive(t, reuse)
			require.LessOrEqual(t, reuse, bound+1e-9)
		}
	}
}

// simulateLRU returns the reuse of separate caches of whole chats with least
// recently used eviction.
func simulateLRU(trace []measure.Access, engines, capacity int, pickEngine func(measure.Access) int) float64 {
	caches := make([][]measure.Access, engines)
	done := make([]measure.Access, 0, len(trace))
	for _, a := range trace {
		i := pickEngine(a)
		cached := caches[i][:0:0]
		for _, c := range caches[i] {
			if c.Chat == a.Chat {
				a.Cached = min(c.After, a.Earlier)
				continue
			}
			cached = append(cached, c)
		}
		cached = append(cached, a)
		for totalTokens(cached) > capacity {
			cached = cached[1:]
		}
		caches[i] = cached
		done = append(done, a)
	}
	return measure.Reuse(done)
}

func totalTokens(list []measure.Access) int {
	sum := 0
	for _, a := range list {
		sum += a.After
	}
	return sum
}

func buckets(second int, weight float64) []engine.LoadBucket {
	return []engine.LoadBucket{{Index: at(second).UnixNano() / int64(time.Second), WeightSeconds: weight}}
}

func TestSkewIgnoresStoppedEnginesAndIdleWindows(t *testing.T) {
	service := [][2]time.Time{{at(0), {}}}
	engines := []measure.EngineLoad{
		{Buckets: append(buckets(0, 30), buckets(1, 1)...), BucketLength: time.Second, InService: service},
		{Buckets: append(buckets(0, 10), buckets(1, 2)...), BucketLength: time.Second, InService: service},
		// This engine stopped during the first window; its remaining load does not count.
		{Buckets: buckets(0, 500), BucketLength: time.Second, InService: [][2]time.Time{{at(-5), at(0).Add(time.Millisecond)}}},
	}
	o := measure.SkewOptions{From: at(0), To: at(2), Window: time.Second, MinMean: 5}
	windows := measure.Windows(o, engines)
	require.Len(t, windows, 1, "the second window has too little load")
	require.InDelta(t, 1.5, windows[0].Skew, 1e-9)
	require.Equal(t, 2, windows[0].Engines)
	s := measure.Summarize(windows, 2)
	require.Equal(t, measure.Skew{Mean: 1.5, P50: 1.5, P99: 1.5, Worst: 1.5, Windows: 1, Total: 2}, s)
}
