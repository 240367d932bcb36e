package signalmodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes are fleets of the sizes that run today and that are planned.
var sizes = []Options{
	{Routers: 6, Engines: 12, Rate: 76, Seed: 1},
	{Routers: 67, Engines: 60, Rate: 494, Seed: 1},
	{Routers: 295, Engines: 256, Rate: 1563, Seed: 1},
}

func (o Options) String() string {
	return fmt.Sprintf("%d routers, %d engines, %.0f/s", o.Routers, o.Engines, o.Rate)
}

// While the store is unavailable, only announcements in responses tell that an engine leaves, and a
// router that shares them spares the others a request to that engine each.
func TestSharedAnnouncementsEndArrivalsSoonest(t *testing.T) {
	for _, o := range sizes {
		got := make(map[Sharing]LeavingResult)
		for _, sharing := range []Sharing{Ignored, StoreEntry, OwnResponses, LoadReports} {
			got[sharing] = Leaving(o, sharing)
			t.Logf("%v, sharing %d: %+v", o, sharing, got[sharing])
		}
		require.Positive(t, got[Ignored].Late+got[StoreEntry].Late)
		require.Zero(t, got[OwnResponses].Late)
		require.Zero(t, got[LoadReports].Late)
		require.Less(t, got[LoadReports].Arrivals, got[OwnResponses].Arrivals)
		require.Less(t, got[LoadReports].Last, drainBound)
	}
}

// A third of the engines rejects everything for six seconds.
func TestPausesSaveRejectedSends(t *testing.T) {
	for _, o := range sizes {
		overload := Overload{Engines: o.Engines / 3, End: 7 * time.Second, Share: 1}
		got := make(map[Pausing]PauseResult)
		for _, pausing := range []Pausing{Retry, ReturnAtOnce, ReturnGradually, PauseAll, ShareRejections} {
			got[pausing] = Pauses(o, overload, pausing)
			t.Logf("%v, pausing %d: %+v", o, pausing, got[pausing])
		}
		require.Less(t, got[ReturnGradually].Rejected, got[Retry].Rejected)
		require.Less(t, got[ReturnGradually].Refused, got[Retry].Refused)
		require.LessOrEqual(t, got[ReturnGradually].InPause, 2)
	}
}

// Engines that reject a part of their requests still want the others: a pause that all routers take
// over leaves them idle.
func TestPauseOfAllRoutersLeavesLimitedEnginesIdle(t *testing.T) {
	o := sizes[1]
	overload := Overload{Engines: o.Engines / 3, End: 7 * time.Second, Share: 0.3}
	own, all, shared := Pauses(o, overload, ReturnGradually), Pauses(o, overload, PauseAll), Pauses(o, overload, ShareRejections)
	t.Logf("own %+v, all %+v, shared %+v", own, all, shared)
	require.Greater(t, all.Idle, own.Idle)
}
