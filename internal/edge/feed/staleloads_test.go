package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against loads of routers that are gone: a router that gets no reports any more, because its
// parent has ended and it has no children, must not count them for ever.
func TestLoadsOfLostParentExpire(t *testing.T) {
	loads := NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{} })
	now := time.Minute
	require.True(t, loads.FromParent(LoadReport{Engines: map[string]EngineLoad{"e1": {InFlight: 5}}}, now))
	require.Equal(t, 5, loads.Others()["e1"].InFlight)
	loads.Expire(now + loadLifetime)
	require.Equal(t, 5, loads.Others()["e1"].InFlight)
	loads.Expire(now + loadLifetime + 1)
	require.Empty(t, loads.Others())
}

// Guards against loads of a former parent that are kept when a router has no parent any more, and
// against engines that seem to have nothing to do until the next parent reports.
func TestLoadsOfFormerParentExpire(t *testing.T) {
	loads := NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{} })
	now := time.Minute
	loads.FromParent(LoadReport{Engines: map[string]EngineLoad{"e1": {InFlight: 5}}}, now)
	loads.ClearParent()
	loads.Expire(now + loadLifetime)
	require.Equal(t, 5, loads.Others()["e1"].InFlight)
	loads.Expire(now + loadLifetime + 1)
	require.Empty(t, loads.Others())
}

// Guards against a fleet whose last router counts the requests of all others after these have ended.
func TestLastRouterForgetsLoadsOfOthers(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		last := f.live[len(f.live)-1].Name
		n := f.nodes[last]
		require.Positive(t, n.loads.Others()["e1"].InFlight)
		for _, p := range f.live[:len(f.live)-1] {
			f.stop(p.Name)
		}
		time.Sleep(5 * time.Second)
		require.Empty(t, n.loads.Others())
	})
}
