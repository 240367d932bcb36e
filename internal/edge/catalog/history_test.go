package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against keeping a removed engine: a set built from a full update does not list earlier
// removals, and its changes must still remove the engine from an older set.
func TestSinceAfterFullUpdateCoversEarlierRemovals(t *testing.T) {
	kept, removed := engine("keep", 5), engine("gone", 6)
	older, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 9, Present: []Engine{kept, removed}}, 0)
	newer, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{kept}}, 0)

	older, _ = older.Apply(newer.Since(older.Upto), 0)
	require.EqualValues(t, 10, older.Upto)
	require.NotContains(t, older.ByID, "gone")
	require.Contains(t, older.ByID, "keep")
}
