package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against loads counted several times while the store is down for all. Routers that cannot
// reach the store are skipped in turn, parents change, and routers pull from each other in a cycle.
// Each router of such a cycle added the other's sum for the fleet, which included its own requests,
// so that all engines seemed full while most were idle.
func TestLoadsAreNotCountedTwiceDuringStoreOutage(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		total := ownInFlight * len(f.nodes)
		highest := 0
		watch := func(d time.Duration) {
			for range int(d / (50 * time.Millisecond)) {
				time.Sleep(50 * time.Millisecond)
				for _, n := range f.nodes {
					highest = max(highest, n.loads.Others()["e1"].InFlight)
				}
			}
		}
		watch(2 * time.Second)
		require.Equal(t, total-ownInFlight, highest, "before the outage")
		s.update(func(s *fakeStore) { s.down = true })
		watch(10 * time.Second)
		s.update(func(s *fakeStore) { s.down = false })
		watch(5 * time.Second)
		require.Equal(t, total-ownInFlight, highest)
	})
}

// maxOvercount is the allowed ratio of known to real loads. Reports are rounded.
const maxOvercount = 1.1

// requireNotOvercounted checks the loads known to the routers for a while.
func (f *fakeFleet) requireNotOvercounted(t *testing.T, span time.Duration) {
	t.Helper()
	for range span / (20 * time.Millisecond) {
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
		truth := ownInFlight * (len(f.nodes) - 1)
		for name, n := range f.nodes {
			known := n.loads.Others()["e1"].InFlight
			require.LessOrEqual(t, float64(known), maxOvercount*float64(truth), "%s at %v", name, f.clock())
		}
		f.mu.Unlock()
	}
}

// Guards against routers that count seven times the real load in the first two seconds of a fleet,
// and reject requests while most slots are free. Starting routers learned of each other and changed
// their parents, and the previous parent still counted and forwarded their reports. Routers must
// wait until they know the others, and notify a parent when they change to another.
func TestLoadsAreNotCountedTwiceDuringFleetStart(t *testing.T) {
	for _, n := range []int{8, 89, 295} {
		runStartingFleet(t, n, func(f *startingFleet, live []Peer) {
			f.startAll(live, 300*time.Millisecond)
			f.requireNotOvercounted(t, 3*time.Second)
			for name, node := range f.nodes {
				known := node.loads.Others()["e1"].InFlight
				require.InDelta(t, ownInFlight*(n-1), known, 0.1*ownInFlight*float64(n), name)
			}
		})
	}
}

// Guards against loads counted twice after the first router of the fleet fails or returns. Its
// successor held the first router's report on the rest of the fleet and got the same loads from the
// others. The report of a parent must be dropped with the parent.
func TestLoadsAreNotCountedTwiceWhenFirstRouterFails(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		first := f.firstRouter()
		f.cut.Store(first, true)
		time.Sleep(time.Second)
		f.gone.Store(first, true)
		f.requireNotOvercounted(t, 3*time.Second)
		f.cut.Delete(first)
		f.gone.Delete(first)
		f.requireNotOvercounted(t, 3*time.Second)
		for name, n := range f.nodes {
			require.Equal(t, ownInFlight*(len(f.live)-1), n.loads.Others()["e1"].InFlight, name)
		}
	})
}
