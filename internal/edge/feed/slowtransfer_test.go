package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// slowTransfer is longer than any call to the store may last, and slowChange the time in which a
	// change is in force nevertheless: one call may be under way when it is made.
	slowTransfer = maxCallTimeout + 500*time.Millisecond
	slowChange   = 2*slowTransfer + time.Second
	// slowChanges is how many changes are made, each of which may be lost.
	slowChanges = 16
)

// runSlowTransfers runs a test with one router and a store whose responses with content take longer
// than the calls for them may last.
func runSlowTransfers(t *testing.T, test func(*testing.T, *fakeNode, *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeStore()
		s.update(func(s *fakeStore) {
			s.config = catalog.NewConfig(catalog.Config{Version: 1})
			s.engines = []catalog.Engine{{ID: "e1", Service: "llm", Revision: 2}}
			s.transfer = slowTransfer
		})
		live := peersIn("x")
		f := startFleet(ctx, live, sameStore(live, s))
		defer func() {
			cancel()
			// Give the calls in progress time to return.
			time.Sleep(2 * slowTransfer)
		}()
		time.Sleep(slowChange)
		test(t, f.nodes["a"], s)
	})
}

// Guards against a configuration that is skipped, and the former one confirmed as the newest, because
// its transfer outlasts the call that reads it.
func TestConfigWhoseTransferOutlastsItsCallIsApplied(t *testing.T) {
	runSlowTransfers(t, func(t *testing.T, n *fakeNode, s *fakeStore) {
		for version := range uint64(slowChanges) {
			s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: version + 2}) })
			time.Sleep(slowChange)
			c := n.board.Snapshot().Config
			require.NotNil(t, c)
			require.Equal(t, version+2, c.Version)
		}
	})
}

// Guards against an order to evacuate a site that is skipped because the transfer of what is read with
// it outlasts the call.
func TestEvacuationWhoseTransferOutlastsItsCallIsApplied(t *testing.T) {
	runSlowTransfers(t, func(t *testing.T, n *fakeNode, s *fakeStore) {
		for i := range slowChanges {
			s.setEvacuated("z", i%2 == 0)
			time.Sleep(slowChange)
			require.Equal(t, i%2 == 0, n.board.Snapshot().Evacuations.Active("z"))
		}
	})
}

// Guards against a router that has no configuration until the next change because the transfer of its
// first one outlasts the call.
func TestFirstConfigWhoseTransferOutlastsItsCallIsApplied(t *testing.T) {
	for range slowChanges {
		runSlowTransfers(t, func(t *testing.T, n *fakeNode, _ *fakeStore) {
			require.NotNil(t, n.board.Snapshot().Config)
			require.Contains(t, n.board.Snapshot().Engines.ByID, "e1")
		})
	}
}

// Guards against a change of an engine that is read again and again because its transfer outlasts the
// call.
func TestEngineWhoseTransferOutlastsItsCallIsReadOnce(t *testing.T) {
	runSlowTransfers(t, func(t *testing.T, n *fakeNode, s *fakeStore) {
		for i := range slowChanges {
			s.put(started("e", int64(i+1)))
			time.Sleep(slowTransfer + testTiming.Watch + enginesWatchPause)
			require.Equal(t, int64(i+1), n.board.Snapshot().Engines.ByID["e"].Born)
		}
	})
}

// Guards against a complete read that counts as done although its engines were not taken over: the
// store's version may meanwhile have passed the one of the last watch.
func TestEnginesAreReadWhollyUntilTheyAreInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.update(func(s *fakeStore) { s.engines = []catalog.Engine{{ID: "e1", Service: "llm", Revision: 2}} })
		f := &fakeFleet{ctx: t.Context(), live: peersIn("x"), nodes: make(map[string]*fakeNode), origin: time.Now()}
		r := f.newNode(t.Context(), f.live[0], s).reader
		r.readAll = [2]bool{true, true}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		// No goroutine applies updates.
		call := storeCall{hold: probeWait, timeout: probeTimeout}
		require.Error(t, r.watchEngines(ctx, call))
		require.Error(t, r.watchConfig(ctx, call))
		require.Equal(t, [2]bool{true, true}, r.readAll)
		require.Zero(t, r.configCursor)
	})
}

// Guards against good keys that are refused after each change of a large configuration: it was old when it
// arrived and confirmed late, so that other routers found it too old and read all of it over their own slow
// links.
func TestLargeConfigIsConfirmedBeforeKeysAreRefused(t *testing.T) {
	const transfer = 1100 * time.Millisecond
	// keyLease is the age from which on routers refuse keys, 0.7 of 5 s.
	const keyLease = 3500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newFakeStore()
		s.update(func(s *fakeStore) {
			s.config, s.transfer = catalog.NewConfig(catalog.Config{Version: 1}), transfer
			s.engines = []catalog.Engine{{ID: "e1", Service: "llm", Revision: 2}}
		})
		live := peersIn("x", "y", "z")
		f := startTimedFleet(ctx, live, sameStore(live, s), TimingFor(3*time.Second))
		defer func() {
			cancel()
			time.Sleep(2 * slowTransfer)
		}()
		time.Sleep(2 * slowChange)
		oldest := time.Duration(0)
		for version := range uint64(slowChanges) {
			s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: version + 2}) })
			for range 600 {
				time.Sleep(10 * time.Millisecond)
				for _, n := range f.nodes {
					oldest = max(oldest, n.board.Snapshot().ConfigAge(f.clock()))
				}
			}
			f.requireVersion(t, version+2)
		}
		assert.Less(t, oldest, keyLease)
	})
}
