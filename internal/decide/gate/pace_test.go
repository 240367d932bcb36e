package gate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// pacedAsk is an ask for a place at a cold engine.
func pacedAsk(id string, now, patience time.Duration, pace Pace) Ask {
	a := ask(id, now, patience)
	a.Pace = pace
	return a
}

// offer asks for a place for a request that does not wait, releases it at once, and returns how many
// were granted.
func (g *Gate) offer(now time.Duration, pace Pace) int {
	a := pacedAsk("a", now, 0, pace)
	v, _ := g.Ask(at(now), a)
	g.Release(at(now), a.ID)
	g.Withdraw(at(now), a.ID)
	if v.Granted {
		return 1
	}
	return 0
}

// mostIn returns the largest number of times in any span of a second.
func mostIn(times []time.Duration) int {
	slices.Sort(times)
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at-from < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a cold engine that gets more requests in one second than it bears: whatever comes,
// whoever of two routers that both own the gate is asked, and however long grants are on the way.
func TestColdEngineGetsWhatItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, slack = 21.5, 5.0
		pace := PaceFor(most, slack, time.Minute)
		owners := []*Gate{newGate(64), newGate(64)}
		var arrivals []time.Duration
		now := time.Duration(0)
		arrive := func(verdicts ...Verdict) {
			for _, v := range verdicts {
				if v.Granted {
					way := time.Duration(rapid.IntRange(0, 200).Draw(t, "way")) * time.Millisecond
					arrivals = append(arrivals, now+way)
				}
			}
		}
		for i := range rapid.IntRange(50, 300).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond
			owner := owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			patience := time.Duration(rapid.IntRange(0, 300).Draw(t, "patience")) * time.Millisecond
			v, waits := owner.Ask(at(now), pacedAsk(fmt.Sprint(i), now, patience, pace))
			if !waits {
				arrive(v)
			}
			for _, g := range owners {
				arrive(g.Settle(at(now))...)
			}
		}
		require.LessOrEqual(t, float64(mostIn(arrivals)), most)
	})
}

// Guards against a cold engine that stays empty: it gets most of what it bears.
func TestColdEngineIsUsed(t *testing.T) {
	g := newGate(64)
	pace := PaceFor(21.5, 5, time.Minute)
	granted := 0
	for ms := range 10_000 {
		granted += g.offer(time.Duration(ms)*time.Millisecond, pace)
	}
	require.InDelta(t, 10*pace.PerSecond, granted, 3)
}

// Guards against requests that wait for an engine which is gone or evacuated: each of them has a
// verdict at once, and goes elsewhere.
func TestRefuseAllLeavesNobodyWaiting(t *testing.T) {
	g := newGate(1)
	g.Ask(at(0), ask("running", 0, time.Second))
	for i := range 3 {
		_, waits := g.Ask(at(0), ask(fmt.Sprint(i), 0, time.Minute))
		require.True(t, waits)
	}
	verdicts := g.RefuseAll(at(0))
	require.Len(t, verdicts, 3)
	for _, v := range verdicts {
		require.False(t, v.Granted)
	}
	require.Zero(t, g.Waiting())
	require.Equal(t, 1, g.Held(), "what runs there ends by itself")
}

// Guards against a pace that outlives its time.
func TestPaceEnds(t *testing.T) {
	g := newGate(64)
	pace := PaceFor(21.5, 5, time.Second)
	grants := func(now time.Duration, p Pace) int {
		n := 0
		for range 30 {
			n += g.offer(now, p)
		}
		return n
	}
	require.Equal(t, pace.Burst, grants(0, pace))
	require.Equal(t, 30, grants(time.Second, Pace{}))
}
