package signalmodel

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes are fleets of the sizes that run today.
var sizes = []Options{
	{Routers: 6, Engines: 12, Rate: 76},
	{Routers: 67, Engines: 60, Rate: 494},
	{Routers: 295, Engines: 256, Rate: 1563},
}

// seeds is the number of runs of which the means are compared.
var seeds = flag.Uint64("signals.seeds", 2, "number of runs of which the means are compared")

func (o Options) String() string {
	return fmt.Sprintf("%d routers, %d engines, %.0f/s", o.Routers, o.Engines, o.Rate)
}

var sharingNames = map[Sharing]string{Ignored: "ignored", StoreEntry: "store", OwnResponses: "own responses", LoadReports: "load reports"}

var pausingNames = map[Pausing]string{
	Retry: "none", ReturnAtOnce: "return at once", ReturnGradually: "return gradually", PauseAll: "shared by all", ShareRejections: "shared rejections",
}

// leavingMeans is the mean of runs with an engine that leaves; last is in seconds.
type leavingMeans struct{ late, arrivals, last float64 }

func meanLeaving(o Options, sharing Sharing) (m leavingMeans) {
	for o.Seed = 1; o.Seed <= *seeds; o.Seed++ {
		r := Leaving(o, sharing)
		m.late += float64(r.Late) / float64(*seeds)
		m.arrivals += float64(r.Arrivals) / float64(*seeds)
		m.last += r.Last.Seconds() / float64(*seeds)
	}
	return m
}

// pauseMeans is the mean of runs with engines that reject requests; inPause is the maximum.
type pauseMeans struct {
	rejected, refused, idle, peak float64
	inPause                       int
}

func meanPauses(o Options, overload Overload, pausing Pausing) (m pauseMeans) {
	for o.Seed = 1; o.Seed <= *seeds; o.Seed++ {
		r := Pauses(o, overload, pausing)
		m.rejected += float64(r.Rejected) / float64(*seeds)
		m.refused += float64(r.Refused) / float64(*seeds)
		m.idle += r.Idle / float64(*seeds)
		m.peak += r.Peak / float64(*seeds)
		m.inPause = max(m.inPause, r.InPause)
	}
	return m
}

// comparePauses logs and returns the means of all ways of pausing.
func comparePauses(t *testing.T, o Options, overload Overload) map[Pausing]pauseMeans {
	got := make(map[Pausing]pauseMeans)
	for _, pausing := range []Pausing{Retry, ReturnAtOnce, ReturnGradually, PauseAll, ShareRejections} {
		m := meanPauses(o, overload, pausing)
		t.Logf("%v, %s: rejected %.0f, refused %.1f, most in a pause %d, idle %.2f, peak %.1f", o, pausingNames[pausing], m.rejected, m.refused, m.inPause, m.idle, m.peak)
		got[pausing] = m
	}
	return got
}

// While the store is unavailable, only announcements in responses tell that an engine leaves, and a
// router that shares them spares the others a request to that engine each.
func TestSharedAnnouncementsEndArrivalsSoonest(t *testing.T) {
	for _, o := range sizes {
		got := make(map[Sharing]leavingMeans)
		for _, sharing := range []Sharing{Ignored, StoreEntry, OwnResponses, LoadReports} {
			got[sharing] = meanLeaving(o, sharing)
			t.Logf("%v, %s: late %.1f, arrivals %.1f, last after %.1f s", o, sharingNames[sharing], got[sharing].late, got[sharing].arrivals, got[sharing].last)
		}
		require.Positive(t, got[StoreEntry].late)
		require.Zero(t, got[OwnResponses].late)
		require.Zero(t, got[LoadReports].late)
		require.Less(t, got[LoadReports].arrivals, got[OwnResponses].arrivals)
		require.Less(t, got[LoadReports].last, drainBound.Seconds())
	}
}

// A third of the engines rejects everything for six seconds: routers that share what engines reject
// refuse few callers while other engines are open, and none keeps an engine busy that it was told to
// leave alone.
func TestSharedRejectionsSaveCallersFromRefusals(t *testing.T) {
	for _, o := range sizes {
		got := comparePauses(t, o, Overload{Engines: o.Engines / 3, End: 7 * time.Second, Share: 1})
		require.Less(t, got[ShareRejections].rejected, got[Retry].rejected/2)
		require.Less(t, got[ShareRejections].refused, got[Retry].refused/10)
		require.LessOrEqual(t, got[ShareRejections].inPause, 2)
	}
}

// Engines that reject a part of their requests still want the others: a pause that all routers take
// over leaves them more idle than sharing what they reject.
func TestPauseOfAllRoutersLeavesLimitedEnginesIdle(t *testing.T) {
	for _, o := range sizes[1:] {
		got := comparePauses(t, o, Overload{Engines: o.Engines / 3, End: 7 * time.Second, Share: 0.3})
		require.Greater(t, got[PauseAll].idle, got[ShareRejections].idle)
	}
}
