package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests to an engine that has left: a router that read all engines after the
// removal never knew the engine, and must not hide the removal from routers that did.
func TestRouterThatReadAllEnginesPassesOnEarlierRemovals(t *testing.T) {
	keep, gone := engine("keep", 5), engine("gone", 6)
	behind, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 9, Present: []Engine{keep, gone}}, 0)
	restarted, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{keep}}, 0)

	behind, _ = behind.Apply(restarted.Since(behind.Upto), 0)
	require.EqualValues(t, 10, behind.Upto)
	require.NotContains(t, behind.ByID, "gone")
	require.Contains(t, behind.ByID, "keep")
}
