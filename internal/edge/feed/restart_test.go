package feed

import (
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// requireEngines checks that all routers know just these engines.
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

// siteHead returns a router that is not the reader of the store and that others of its site ask,
// and one of those.
func (f *fakeFleet) siteHead(t *testing.T) (head, other Peer) {
	t.Helper()
	for _, p := range f.live {
		parent, ok := ParentOf(p, f.live, nil, 0)
		if ok && parent.Site == p.Site && parent.Name != f.first() {
			return parent, p
		}
	}
	require.Fail(t, "no site with a head of its own")
	return Peer{}, Peer{}
}

// Guards against requests to an engine that has left: a router changes to a source that has just
// started, and that has read the engines after the removal that the router has not heard of.
func TestRemovalReachesRouterWhoseSourceRestarted(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		head, behind := f.siteHead(t)
		s.update(func(s *fakeStore) {
			s.engines = append(s.engines, catalog.Engine{ID: "e2", Service: "llm", Revision: s.version + 1})
		})
		time.Sleep(time.Second)
		f.requireEngines(t, "e1", "e2")
		f.stop(head.Name)
		time.Sleep(2 * time.Second)

		f.cut.Store(behind.Name, true)
		// A pull that is under way is answered.
		time.Sleep(2 * pullWait)
		s.update(func(s *fakeStore) { s.engines = s.engines[:1] })
		time.Sleep(100 * time.Millisecond)
		f.startAgain(head, s)
		time.Sleep(200 * time.Millisecond)
		f.cut.Delete(behind.Name)

		time.Sleep(2 * time.Second)
		f.requireEngines(t, "e1")
	})
}
