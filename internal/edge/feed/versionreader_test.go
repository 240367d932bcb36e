package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// countedEngines is a store with a list of engines that counts its reads.
type countedEngines struct {
	engines []catalog.Engine
	reads   int
}

func (c *countedEngines) ReadEngines(context.Context) (catalog.EngineUpdate, error) {
	c.reads++
	return catalog.EngineUpdate{Full: true, Upto: 9, Present: c.engines}, nil
}

// Guards against streams that can't be resumed since the list of engines came from a router of an earlier
// release, and against a store that is read all the time for an engine that states no version.
func TestVersionsThatARouterOfAnEarlierReleaseDropsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		board := NewBoard(func() time.Duration { return time.Hour + time.Since(start) }, time.Second)
		go board.Run(t.Context())
		without := []catalog.Engine{{ID: "a", Service: "s", Revision: 3}, {ID: "b", Service: "s", Revision: 4}}
		board.PutEngines(t.Context(), catalog.EngineUpdate{Full: true, Upto: 5, Present: without}, time.Hour, time.Hour)
		store := &countedEngines{engines: []catalog.Engine{{ID: "a", Service: "s", Revision: 3, Version: "v1"}, {ID: "b", Service: "s", Revision: 4}}}
		go (&VersionReader{Board: board, Store: store, Log: discardLogger()}).Run(t.Context())
		time.Sleep(time.Minute)
		require.Equal(t, 1, store.reads)
		require.Equal(t, "v1", board.Snapshot().Engines.ByID["a"].Version)
		board.PutEngines(t.Context(), catalog.EngineUpdate{Since: 5, Upto: 6, Present: []catalog.Engine{{ID: "a", Service: "s", Revision: 6}}}, time.Hour, time.Hour)
		store.engines[0].Revision, store.engines[0].Version = 6, "v2"
		time.Sleep(time.Minute)
		require.Equal(t, 2, store.reads)
		require.Equal(t, "v2", board.Snapshot().Engines.ForService("s")[0].Version)
	})
}
