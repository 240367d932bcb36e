package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against removed, doubtful or draining engines that are not reported, or are reported again
// without a further change.
func TestChangesToReportsRemovedDoubtfulAndDraining(t *testing.T) {
	gone, doubtful, draining, stays := engine("gone", 1), engine("doubtful", 2), engine("draining", 3), engine("stays", 4)
	s, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 4, Present: []Engine{gone, doubtful, draining, stays}}, 0)
	require.Zero(t, s.ChangesTo(s))

	nowDraining := draining
	nowDraining.Draining, nowDraining.Revision = true, 6
	next, _ := s.Apply(EngineUpdate{Since: 4, Upto: 6, Present: []Engine{nowDraining}, Removed: []Removal{{"gone", 5}}}, 0)
	require.Equal(t, EngineChanges{Removed: []Removal{{"gone", 5}}, Draining: []Engine{nowDraining}}, s.ChangesTo(next))

	missing, _ := next.Apply(EngineUpdate{Since: 6, Upto: 7, Removed: []Removal{{"doubtful", 7}}}, time.Minute)
	require.Equal(t, EngineChanges{Doubtful: []Removal{{"doubtful", 7}}}, next.ChangesTo(missing))
	require.Zero(t, missing.ChangesTo(missing))

	expired, _ := missing.Expire(time.Minute)
	require.Equal(t, EngineChanges{Removed: []Removal{{"doubtful", 7}}}, missing.ChangesTo(expired))
}
