package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: routers refuse requests because all engines seem full, while most are idle; a
// fleet of eight with three requests at an engine believes in hundreds.
// Sequence: the store is away for all. Routers that can't read it are passed over one
// after the other, so that whoever is asked changes, and for a while two routers ask one
// another, directly or through others.
// Cause: each adds what the other said of the fleet, its own requests among it, and says
// the sum again.
func TestLoadsDoNotEchoWhileSourcesChange(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
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
		require.Equal(t, total-ownInFlight, highest, "as long as all is well")
		s.update(func(s *fakeStore) { s.down = true })
		watch(10 * time.Second)
		s.update(func(s *fakeStore) { s.down = false })
		watch(5 * time.Second)
		require.Equal(t, total-ownInFlight, highest)
	})
}

// overcounted is by how much loads that routers know may exceed the true ones: reports are
// rounded.
const overcounted = 1.1

// requireNotOvercounted watches the loads that routers know for a while.
func (f *fakeFleet) requireNotOvercounted(t *testing.T, span time.Duration) {
	t.Helper()
	for range span / (20 * time.Millisecond) {
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
		truth := ownInFlight * (len(f.nodes) - 1)
		for name, n := range f.nodes {
			known := n.loads.Others()["e1"].InFlight
			require.LessOrEqual(t, float64(known), overcounted*float64(truth), "%s at %v", name, f.clock())
		}
		f.mu.Unlock()
	}
}

// Symptom: for two seconds after a fleet has started, engines seem to have seven times the
// requests that they have, and requests are refused with most places free. Sequence: routers
// learn of one another while they start, and change the one with which they exchange loads;
// the one before still counts what they told it, and tells it to the one above. Cause handled:
// routers that start wait until they know the others, and say so when they change.
func TestLoadsAreNotCountedTwiceWhileAFleetStarts(t *testing.T) {
	for _, n := range []int{8, 89, 295} {
		inStart(t, n, func(f *startingFleet, live []Peer) {
			f.startAll(live, 300*time.Millisecond)
			f.requireNotOvercounted(t, 3*time.Second)
			for name, node := range f.nodes {
				known := node.loads.Others()["e1"].InFlight
				require.InDelta(t, ownInFlight*(n-1), known, 0.1*ownInFlight*float64(n), name)
			}
		})
	}
}

// Symptom: the same after the first router of the fleet was lost, or came back. Sequence: the
// next one takes its place; it holds what the first one told of the rest of the fleet, and gets
// it from the others as well. Cause handled: what the one above told ends with it.
func TestLoadsAreNotCountedTwiceWhenTheFirstRouterGoes(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		first := f.first()
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
