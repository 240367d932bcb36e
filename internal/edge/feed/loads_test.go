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
