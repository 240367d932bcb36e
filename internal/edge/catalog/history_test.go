package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an older set keeping an engine that was removed before the newer set was created.
func TestSinceAfterFullUpdateCoversEarlierRemovals(t *testing.T) {
	kept, removed := engine("keep", 5), engine("gone", 6)
	older, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 9, Present: []Engine{kept, removed}}, 0)
	newer, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{kept}}, 0)

	older, _ = older.Apply(newer.Since(older.Upto), 0)
	require.EqualValues(t, 10, older.Upto)
	require.NotContains(t, older.ByID, "gone")
	require.Contains(t, older.ByID, "keep")
}

// Guards against keeping an engine whose addition and removal a full update skipped, when the older
// set updates through an intermediate set instead of from the one that applied the full update.
func TestChangesReceivedAcrossAFullUpdateCoverRemovals(t *testing.T) {
	reader, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 1}, 0)
	intermediate, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 1}, 0)
	older, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 2, Present: []Engine{engine("brief", 2)}}, 0)

	reader, _ = reader.Apply(EngineUpdate{Full: true, Upto: 3}, 0)
	intermediate, _ = intermediate.Apply(reader.Since(intermediate.Upto), 0)
	older, _ = older.Apply(intermediate.Since(older.Upto), 0)
	require.EqualValues(t, 3, older.Upto)
	require.Empty(t, older.ByID)
}
