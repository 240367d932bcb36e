package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runThrottle offers perSecond requests per second for the given duration to a service that grants
// capacity per second. It returns how many requested a slot and how many were granted one in the
// second half.
func runThrottle(t *Throttle, perSecond, capacity int, duration time.Duration, from time.Duration) (requested, granted int) {
	rng := rand.New(rand.NewPCG(1, 2))
	gap := time.Second / time.Duration(perSecond)
	available := 0.0
	for now := from; now < from+duration; now += gap {
		available = min(available+float64(capacity)*gap.Seconds(), 3)
		grant := false
		if !t.ShouldRefuse(now, rng.Float64()) {
			if grant = available >= 1; grant {
				available--
			}
			if now > from+duration/2 {
				requested++
				if grant {
					granted++
				}
			}
		}
		t.Note(now, grant)
	}
	return requested, granted
}

// Guards against slot requests that grow with the load: at two to twenty times the capacity, about
// twice as many slots are requested as are granted, and the whole capacity is used.
func TestThrottleBoundsRequestsUnderOverload(t *testing.T) {
	for _, load := range []int{200, 1000, 2000} {
		var throttle Throttle
		requested, granted := runThrottle(&throttle, load, 100, 20*time.Second, 0)
		require.InDelta(t, 1000, granted, 50, "at %d requests per second", load)
		require.Less(t, requested, 2300, "at %d requests per second", load)
	}
}

// Guards against refusals while slots are free, and against a router that keeps refusing two
// seconds after slots have become free again.
func TestThrottlePassesAllWithinCapacity(t *testing.T) {
	var throttle Throttle
	requested, granted := runThrottle(&throttle, 90, 100, 10*time.Second, 0)
	require.InDelta(t, requested, granted, 5)
	require.InDelta(t, 450, requested, 5)
	runThrottle(&throttle, 1000, 100, 10*time.Second, 10*time.Second)
	requested, _ = runThrottle(&throttle, 90, 1000, 4*time.Second, 20*time.Second)
	require.InDelta(t, 180, requested, 5)
}
