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

// newPacedRequest returns a request for a slot at a cold engine.
func newPacedRequest(id string, now, maxWait time.Duration, pace Pace) Request {
	req := newRequest(id, now, maxWait)
	req.Pace = pace
	return req
}

// acquireAndRelease requests a slot without waiting, releases it at once, and returns the number of
// grants, 0 or 1.
func (g *Gate) acquireAndRelease(now time.Duration, pace Pace) int {
	req := newPacedRequest("a", now, 0, pace)
	v, _ := g.Acquire(at(now), req)
	g.Release(at(now), req.ID)
	g.Withdraw(at(now), req.ID)
	if v.Granted {
		return 1
	}
	return 0
}

// maxPerSecond returns the largest number of times within any second.
func maxPerSecond(times []time.Duration) int {
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

// Guards against a cold engine that gets more requests per second than it can serve, whatever the
// load, whichever of two concurrent owners of its gate gets the requests, and however long the
// grants take to arrive.
func TestColdEngineRateIsBoundedAcrossOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxPerWindow, slack = 21.5, 5.0
		pace := PaceFor(maxPerWindow, slack, time.Minute)
		owners := []*Gate{newGate(64), newGate(64)}
		var arrivals []time.Duration
		now := time.Duration(0)
		recordArrivals := func(decisions ...Decision) {
			for _, v := range decisions {
				if v.Granted {
					delay := time.Duration(rapid.IntRange(0, 200).Draw(t, "way")) * time.Millisecond
					arrivals = append(arrivals, now+delay)
				}
			}
		}
		for i := range rapid.IntRange(50, 300).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond
			owner := owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			maxWait := time.Duration(rapid.IntRange(0, 300).Draw(t, "patience")) * time.Millisecond
			v, queued := owner.Acquire(at(now), newPacedRequest(fmt.Sprint(i), now, maxWait, pace))
			if !queued {
				recordArrivals(v)
			}
			for _, g := range owners {
				recordArrivals(g.Settle(at(now))...)
			}
		}
		require.LessOrEqual(t, float64(maxPerSecond(arrivals)), maxPerWindow)
	})
}

// Guards against a pace that leaves a cold engine idle: under load the engine must get as many
// requests as the pace allows.
func TestColdEngineIsNotLeftIdle(t *testing.T) {
	g := newGate(64)
	pace := PaceFor(21.5, 5, time.Minute)
	granted := 0
	for ms := range 10_000 {
		granted += g.acquireAndRelease(time.Duration(ms)*time.Millisecond, pace)
	}
	require.InDelta(t, 10*pace.PerSecond, granted, 3)
}

// Guards against requests that wait for an engine that was removed or evacuated: each is refused at
// once and can be sent to another engine.
func TestRefuseAllLeavesNoRequestQueued(t *testing.T) {
	g := newGate(1)
	g.Acquire(at(0), newRequest("running", 0, time.Second))
	for i := range 3 {
		_, queued := g.Acquire(at(0), newRequest(fmt.Sprint(i), 0, time.Minute))
		require.True(t, queued)
	}
	decisions := g.RefuseAll(at(0))
	require.Len(t, decisions, 3)
	for _, v := range decisions {
		require.False(t, v.Granted)
	}
	require.Zero(t, g.Waiting())
	require.Equal(t, 1, g.Held(), "running requests keep their leases")
}

// Guards against a pace that is still applied after its duration has passed.
func TestPaceExpires(t *testing.T) {
	g := newGate(64)
	pace := PaceFor(21.5, 5, time.Second)
	grants := func(now time.Duration, p Pace) int {
		n := 0
		for range 30 {
			n += g.acquireAndRelease(now, p)
		}
		return n
	}
	require.Equal(t, pace.Burst, grants(0, pace))
	require.Equal(t, 30, grants(time.Second, Pace{}))
}

// Guards against a cold engine that can serve only few requests a second and gets any number: a pace
// without a rate means no bound.
func TestSmallColdRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxPerWindow := rapid.Float64Range(2, 12).Draw(t, "bound")
		pace := PaceFor(maxPerWindow, rapid.Float64Range(0, 12).Draw(t, "slack"), time.Minute)
		owners := []*Gate{newGate(64), newGate(64)}
		var arrivals []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(30, 200).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond
			if owners[rapid.IntRange(0, 1).Draw(t, "owner")].acquireAndRelease(now, pace) == 1 {
				arrivals = append(arrivals, now+time.Duration(rapid.IntRange(0, 200).Draw(t, "way"))*time.Millisecond)
			}
		}
		require.LessOrEqual(t, float64(maxPerSecond(arrivals)), maxPerWindow)
		require.NotEmpty(t, arrivals)
	})
}

// A bound of less than one request a window and owner is kept on average.
func TestPaceBelowOneRequestPerWindow(t *testing.T) {
	g, pace, granted := newGate(64), PaceFor(0.5, 0, time.Hour), 0
	for now := time.Duration(0); now < 100*time.Second; now += 50 * time.Millisecond {
		granted += g.acquireAndRelease(now, pace)
	}
	require.Positive(t, granted)
	require.LessOrEqual(t, granted, 25)
}
