package feed

import (
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// requireEngines requires that the catalog of each router contains exactly these engines.
func (f *fakeFleet) requireEngines(t *testing.T, want ...string) {
	t.Helper()
	for name, n := range f.nodes {
		var have []string
		for id := range n.board.Snapshot().Engines.ByID {
			have = append(have, id)
		}
		require.ElementsMatch(t, want, have, "router %s", name)
	}
}

// siteParent returns a router that is the parent of others of its site and does not read the store,
// and one of its children.
func (f *fakeFleet) siteParent(t *testing.T) (parent, child Peer) {
	t.Helper()
	for _, p := range f.live {
		parent, ok := ParentOf(p, f.live, nil, 0)
		if ok && parent.Site == p.Site && parent.Name != f.firstRouter() {
			return parent, p
		}
	}
	require.Fail(t, "no site whose parent does not read the store")
	return Peer{}, Peer{}
}

// storeReader returns the router that reads the store, and one of its children in the same site.
func (f *fakeFleet) storeReader(t *testing.T) (reader, child Peer) {
	t.Helper()
	for _, p := range f.live {
		parent, ok := ParentOf(p, f.live, nil, 0)
		if ok && parent.Site == p.Site && parent.Name == f.firstRouter() {
			return parent, p
		}
	}
	require.Fail(t, "the router that reads the store has no children in its site")
	return Peer{}, Peer{}
}

// Guards against requests to a removed engine: a router that missed the removal switches to a
// parent that has just restarted and received a full engine list without the engine.
func TestRemovalReachesRouterWhoseParentRestarted(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		parent, child := f.siteParent(t)
		s.update(func(s *fakeStore) {
			s.engines = append(s.engines, catalog.Engine{ID: "e2", Service: "llm", Revision: s.version + 1})
		})
		time.Sleep(time.Second)
		f.requireEngines(t, "e1", "e2")
		f.restartAfterMissedChange(parent, child, s, func() {
			s.update(func(s *fakeStore) { s.engines = s.engines[:1] })
		})
		f.requireEngines(t, "e1")
	})
}

// restartAfterMissedChange stops parent, applies a change that child misses, restarts parent, and
// gives child time to pull from it.
func (f *fakeFleet) restartAfterMissedChange(parent, child Peer, s *fakeStore, change func()) {
	f.stop(parent.Name)
	time.Sleep(2 * time.Second)
	f.cut.Store(child.Name, true)
	// A pull sent before the cut still gets a reply.
	time.Sleep(2 * pullWait)
	change()
	time.Sleep(100 * time.Millisecond)
	f.restart(parent, s)
	time.Sleep(200 * time.Millisecond)
	f.cut.Delete(child.Name)
	time.Sleep(2 * time.Second)
}

// Guards against a site that stays evacuated on a router: the router missed the end and switches to
// a parent that has just restarted and read the store after the end.
func TestEndOfEvacuationReachesRouterWhoseParentRestarted(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		parent, child := f.storeReader(t)
		s.setEvacuated("y", true)
		time.Sleep(time.Second)
		f.requireEvacuated(t, "y")
		f.restartAfterMissedChange(parent, child, s, func() { s.setEvacuated("y", false) })
		f.requireEvacuated(t)
	})
}

// requireEvacuated requires that exactly these sites are evacuated on each router.
func (f *fakeFleet) requireEvacuated(t *testing.T, want ...string) {
	t.Helper()
	for name, n := range f.nodes {
		require.ElementsMatch(t, want, n.board.Snapshot().Evacuations.Sites(), "router %s", name)
	}
}
