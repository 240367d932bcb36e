package feed

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/health"
	"github.com/stretchr/testify/require"
)

// leavingKnownWithin is the time within which all routers must know an announcement: a half of the
// shortest time after which an engine must get no requests.
const leavingKnownWithin = time.Second

// announce records at a router that engine e1 announced in a response that it will stop.
func (n *fakeNode) announce(f *fakeFleet) {
	n.leaving.Record(f.ctx, []catalog.LeavingStart{{ID: "e1"}}, "request", "r")
}

// takeRequests returns the names of the routers that would send requests to engine e1.
func (f *fakeFleet) takeRequests() []string {
	var out []string
	for name, n := range f.nodes {
		if s := n.board.Snapshot(); s.TakesRequests(s.Engines.ByID["e1"]) {
			out = append(out, name)
		}
	}
	return out
}

// Guards against routers that learn only by their own requests that an engine leaves, while the store
// is unavailable.
func TestLeavingReachesAllRoutersWithoutStore(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(5 * time.Second)
		require.Len(t, f.takeRequests(), len(f.nodes))
		for _, n := range f.nodes {
			n.announce(f)
			break
		}
		time.Sleep(leavingKnownWithin)
		require.Empty(t, f.takeRequests())
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(5 * time.Second)
		require.Empty(t, f.takeRequests(), "the entry does not state it")
	})
}

// Guards against a router that has started anew and sends requests to an engine whose leaving all
// others know.
func TestLeavingReachesRestartedRouter(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		f.nodes[f.firstRouter()].announce(f)
		time.Sleep(leavingKnownWithin)
		for _, p := range f.live[:3] {
			f.stop(p.Name)
			time.Sleep(time.Second)
			f.restart(p, s)
		}
		time.Sleep(3 * time.Second)
		require.Empty(t, f.takeRequests())
	})
}

// earlierEngineLoad is EngineLoad in releases without announcements.
type earlierEngineLoad struct {
	InFlight, Leased int
	Evidence         health.Evidence
}

// Routers of earlier releases understand load reports with announcements, and such reports cost
// nothing while no engine leaves.
func TestLoadsWithAnnouncementsAreUnderstoodByEarlierReleases(t *testing.T) {
	encode := func(v any) []byte {
		var first, second bytes.Buffer
		e := gob.NewEncoder(&first)
		require.NoError(t, e.Encode(v))
		size := first.Len()
		require.NoError(t, e.Encode(v))
		second.Write(first.Bytes()[size:])
		return second.Bytes()
	}
	load := EngineLoad{InFlight: 3, Evidence: health.Evidence{Good: 2}}
	require.Len(t, encode(load), len(encode(earlierEngineLoad{InFlight: 3, Evidence: health.Evidence{Good: 2}})))
	load.Leaving, load.LeavingBorn = true, 1_790_000_000_000
	t.Logf("an announcement adds %d bytes to the load of its engine", len(encode(load))-len(encode(EngineLoad{InFlight: 3, Evidence: health.Evidence{Good: 2}})))
	var buf bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buf).Encode(load))
	var earlier earlierEngineLoad
	require.NoError(t, gob.NewDecoder(&buf).Decode(&earlier))
	require.Equal(t, earlierEngineLoad{InFlight: 3, Evidence: health.Evidence{Good: 2}}, earlier)
}

// Guards against an announcement that waits for the next regular report, which large fleets send
// seldom, and against further reports once it was sent.
func TestAnnouncementIsReportedAtOnce(t *testing.T) {
	const engines = 850
	var r reporter
	current := func() LoadReport { return LoadReport{Engines: map[string]EngineLoad{}} }
	now := time.Minute
	first := r.report("parent", 0, engines, 0, now, current)
	require.NotNil(t, first)
	now += pullWait
	require.Nil(t, r.report("parent", first.Seq, engines, 0, now, current))
	announcedAt := now
	now += pullWait
	require.NotNil(t, r.report("parent", first.Seq, engines, announcedAt, now, current))
	now += pullWait
	require.Nil(t, r.report("parent", first.Seq+1, engines, announcedAt, now, current))
}

// Of two starts of an engine, sums of loads keep the announcement of the later one.
func TestLoadsKeepLatestAnnouncement(t *testing.T) {
	first, second := EngineLoad{Leaving: true, LeavingBorn: 1}, EngineLoad{InFlight: 2, Leaving: true, LeavingBorn: 5}
	require.Equal(t, EngineLoad{InFlight: 2, Leaving: true, LeavingBorn: 5}, first.add(second))
	require.Equal(t, EngineLoad{InFlight: 2, Leaving: true, LeavingBorn: 5}, second.add(first))
	require.Equal(t, EngineLoad{InFlight: 1, Leaving: true, LeavingBorn: 1}, first.add(EngineLoad{InFlight: 1}))
	require.True(t, first.needsReport(EngineLoad{}))
}

// Guards against reports of what engines accept while none rejects anything, and against an engine
// that seems to reject everything because only routers that it rejected report what it accepts.
func TestAcceptedRequestsAreReportedOnlyBesideRejections(t *testing.T) {
	now := time.Minute
	own := map[string]EngineLoad{}
	loads := NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{"e1": own["e1"], "e2": own["e2"]} })
	own["e1"], own["e2"] = EngineLoad{Accepted: 5}, EngineLoad{InFlight: 1, Accepted: 5}
	require.Equal(t, map[string]EngineLoad{"e2": {InFlight: 1}}, loads.Subtree(now).Engines)
	loads.FromParent(LoadReport{Engines: map[string]EngineLoad{"e1": {Rejected: 2}}}, now)
	require.Equal(t, map[string]EngineLoad{"e1": {Accepted: 5}, "e2": {InFlight: 1}}, loads.Subtree(now).Engines)
	own["e2"] = EngineLoad{Accepted: 5, Rejected: 1}
	require.Equal(t, EngineLoad{Accepted: 5, Rejected: 1}, loads.Subtree(now).Engines["e2"])
}
