package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func fleet(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		id := fmt.Sprintf("e%d", i)
		out[i] = Engine{ID: id, Key: rendezvous.ID(id), Slots: 64, Share: 1}
	}
	return out
}

func TestPromptStaysAtItsEngine(t *testing.T) {
	engines := fleet(9)
	first := Prompted(engines, 42, testRand())
	for range 20 {
		require.Equal(t, first, Prompted(engines, 42, testRand()))
	}
	require.False(t, first.Moved)
	require.NotEqual(t, first.Engine, first.Holder)
}

// Symptom: a hot prompt overloads its engine, or its overflow is read by many.
// Sequence: the engine reaches the bound. Cause handled: the overflow goes to one
// next engine, which can fetch from the first.
func TestOverflowGoesToOneNextEngineAndNamesTheHolder(t *testing.T) {
	engines := fleet(9)
	home := Prompted(engines, 42, testRand()).Engine
	engines[home].InFlight = 40
	spilled := Prompted(engines, 42, testRand())
	require.NotEqual(t, home, spilled.Engine)
	require.Equal(t, home, spilled.Holder)
	require.True(t, spilled.Moved)
	for range 20 {
		require.Equal(t, spilled, Prompted(engines, 42, testRand()))
	}
}

// Symptom: what a leaving engine held is read again. Cause handled: it gets no
// request and is still named as the holder.
func TestLeavingEngineIsHolderOnly(t *testing.T) {
	engines := fleet(9)
	home := Prompted(engines, 42, testRand()).Engine
	engines[home].Leaving = true
	p := Prompted(engines, 42, testRand())
	require.NotEqual(t, home, p.Engine)
	require.Equal(t, home, p.Holder)
}

func TestEjectedEngineIsNeitherChosenNorHolder(t *testing.T) {
	engines := fleet(9)
	home := Prompted(engines, 42, testRand()).Engine
	engines[home].Share = 0
	p := Prompted(engines, 42, testRand())
	require.NotEqual(t, home, p.Engine)
	require.NotEqual(t, home, p.Holder)
}

// Symptom: nothing is served although engines run. Sequence: all are ejected.
// Cause handled: then the fault is elsewhere, and all are used.
func TestAllEjectedMeansNoneIs(t *testing.T) {
	engines := fleet(3)
	for i := range engines {
		engines[i].Share = 0
	}
	require.NotEqual(t, None, Prompted(engines, 42, testRand()).Engine)
	require.NotEqual(t, None, Plain(engines, testRand()))
}

func TestNoEngine(t *testing.T) {
	require.Equal(t, None, Plain(nil, testRand()))
	require.Equal(t, None, Prompted(nil, 1, testRand()).Engine)
	leaving := fleet(1)
	leaving[0].Leaving = true
	require.Equal(t, None, Prompted(leaving, 1, testRand()).Engine)
}

// Whatever the loads, a prompt goes to an engine within the bound if there is
// one, and never to one that leaves.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := fleet(rapid.IntRange(1, 12).Draw(t, "n"))
		total, in := 0, 0
		for i := range engines {
			engines[i].InFlight = rapid.IntRange(0, 60).Draw(t, "load")
			engines[i].Leaving = rapid.Bool().Draw(t, "leaving")
			if !engines[i].Leaving {
				total += engines[i].InFlight
				in++
			}
		}
		p := Prompted(engines, rapid.Uint64().Draw(t, "key"), testRand())
		if in == 0 {
			require.Equal(t, None, p.Engine)
			return
		}
		require.False(t, engines[p.Engine].Leaving)
		mean := float64(total+1) / float64(in)
		require.LessOrEqual(t, float64(engines[p.Engine].InFlight)+1, loadFactor*mean+loadSlack)
	})
}

// Symptom: all routers send to the engine that was best half a second ago.
// Cause handled: each compares two at random, so that even a clear best one does
// not get everything.
func TestPlainRequestsSpread(t *testing.T) {
	engines := fleet(4)
	for i := range engines {
		engines[i].Slots = 6
		engines[i].InFlight = 3
	}
	engines[2].InFlight = 0
	rng := testRand()
	counts := make([]int, len(engines))
	for range 4000 {
		counts[Plain(engines, rng)]++
	}
	require.Greater(t, counts[2], 1500)
	require.Less(t, counts[2], 2500)
	for _, n := range counts {
		require.Positive(t, n)
	}
}

// Guards against a third of the engines that leave at once making the others take more than twice
// the mean of their service.
func TestBoundHoldsWhileManyEnginesLeave(t *testing.T) {
	engines := fleet(60)
	for i := range 20 {
		engines[i].Leaving = true
	}
	rng := testRand()
	for key := range uint64(400) {
		at := Prompted(engines, key%23, rng)
		engines[at.Engine].InFlight++
	}
	mean := 400.0 / 60
	for _, e := range engines {
		require.LessOrEqual(t, float64(e.InFlight), 2*mean+3, e.ID)
	}
}

// Guards against prompts that are read again when a site's engines come back together: the next
// one in order came back with the chosen one and is as empty, the one that served meanwhile is not.
func TestEnginesThatComeTogetherDoNotFetchFromOneAnother(t *testing.T) {
	engines := fleet(9)
	order := ranked(engines, 42)
	home, next, served := order[0], order[1], order[2]
	for _, i := range []int{home, next} {
		engines[i].Fresh, engines[i].Came = true, time.Minute
	}
	require.Equal(t, Placement{Engine: home, Holder: served, Moved: true}, Prompted(engines, 42, testRand()))
	engines[home].Came = time.Minute + together
	require.Equal(t, next, Prompted(engines, 42, testRand()).Holder, "it came before, and has served since")
}

// Guards against a small service that gives a third of its places while all of its engines but one
// leave: the last one may hold what it executes.
func TestLastEngineOfAServiceHasItsPlaces(t *testing.T) {
	engines := fleet(3)
	for i := range engines {
		engines[i].Slots, engines[i].Leaving = 6, i > 0
	}
	for engines[0].InFlight < Places(engines, 0) {
		engines[0].InFlight++
	}
	require.GreaterOrEqual(t, engines[0].InFlight, engines[0].Slots)
	require.LessOrEqual(t, float64(engines[0].InFlight), 2*float64(engines[0].InFlight)/3+3)
}

// Guards against questions to gates where all engines of a service are ejected, and none is cold.
func TestOnlyColdMeansCold(t *testing.T) {
	engines := fleet(3)
	require.False(t, OnlyCold(engines))
	for i := range engines {
		engines[i].Share = 0
	}
	require.False(t, OnlyCold(engines))
	engines[0].Share, engines[0].Cold = 1, true
	require.True(t, OnlyCold(engines))
	engines[1].Share = 1
	require.False(t, OnlyCold(engines))
}
