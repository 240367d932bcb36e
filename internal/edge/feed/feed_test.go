package feed

import (
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/health"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

func discardLogger() *log.Logger { return log.New(io.Discard) }

func peersIn(sites ...string) []Peer {
	var out []Peer
	for i, site := range sites {
		out = append(out, Peer{Name: string(rune('a' + i)), Site: site})
	}
	return out
}

// Guards against late changes and requests rejected for lack of a confirmed configuration, which
// occurred when a VM with a slow link distributed thousands of routes. The reader and the first
// router of each site must have the fastest links.
func TestRoutersWithBestLinksAreParents(t *testing.T) {
	live := peersIn("x", "x", "x", "y", "y", "y")
	live[1].Link, live[2].Link = 200, 10
	live[4].Link, live[5].Link = 1000, 10
	for _, self := range live {
		parent, ok := ParentOf(self, live, nil, 0)
		switch self.Name {
		case live[4].Name:
			require.False(t, ok, "reads the store")
		case live[1].Name:
			require.Equal(t, live[4].Name, parent.Name)
		default:
			require.Contains(t, []string{live[1].Name, live[4].Name}, parent.Name)
			require.Equal(t, self.Site, parent.Site)
		}
	}
}

// Guards against zero or several readers: as computed by each router, exactly one router reads the
// store, and every chain of parents ends there.
func TestOneRouterReadsStoreAndAllChainsEndThere(t *testing.T) {
	live := peersIn("x", "x", "y", "y", "z", "x", "z")
	readers := 0
	for _, self := range live {
		at := self
		for hops := 0; ; hops++ {
			require.Less(t, hops, 3)
			parent, ok := ParentOf(at, live, nil, 0)
			if !ok {
				break
			}
			at = parent
		}
		if _, ok := ParentOf(self, live, nil, 0); !ok {
			readers++
		}
	}
	require.Equal(t, 1, readers)
}

func TestDistrustedParentIsSkippedUntilDistrustEnds(t *testing.T) {
	live := peersIn("x", "x", "x")
	var child Peer
	var parent Peer
	for _, p := range live {
		if got, ok := ParentOf(p, live, nil, 0); ok {
			child, parent = p, got
		}
	}
	d := make(Distrust)
	d.Add(parent.Name, time.Second)
	other, _ := ParentOf(child, live, d, time.Second)
	require.NotEqual(t, parent, other)
	back, _ := ParentOf(child, live, d, time.Second+minDistrust)
	require.Equal(t, parent, back)
	d.Add(parent.Name, time.Second+minDistrust)
	require.False(t, d.trusted(parent.Name, time.Second+minDistrust+2*minDistrust-1))
	require.True(t, d.trusted(parent.Name, time.Second+minDistrust+2*minDistrust))
}

// Guards against store calls by every router during an outage that affects all of them. After
// maxFailedReaders routers in turn have failed to reach the store, it is considered down, and
// parents are selected as if all routers were trusted.
func TestStoreOutageForAllRestoresDefaultOrder(t *testing.T) {
	live := peersIn("x", "x", "x", "x", "x", "x", "x", "x", "x")
	self := live[0]
	want, _ := ParentOf(self, live, nil, 0)
	d := make(Distrust)
	n := 0
	for _, p := range live {
		if n < maxFailedReaders {
			d.AddStoreLost(p.Name, 0)
			n++
		}
	}
	got, _ := ParentOf(self, live, d, time.Millisecond)
	require.Equal(t, want, got)
}

// testTiming applies the current default bounds on drains and configuration.
var testTiming = TimingFor(2 * time.Second)

func TestChangeReachesAllRoutersWithFewStoreCalls(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		f.requireVersion(t, 1)
		before := s.calls.Load()
		time.Sleep(10 * time.Second)
		require.Less(t, s.calls.Load()-before, int64(40))
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 7}) })
		time.Sleep(time.Second)
		f.requireVersion(t, 7)
		for name, n := range f.nodes {
			require.Less(t, n.board.Snapshot().ConfigAge(f.clock()), testTiming.StaleAfter, name)
		}
	})
}

// Guards against sending a large configuration twice over slow links: a router that pulled again
// before its board held the first reply got the same update twice. A router must apply a reply and
// wait until its board holds it before it pulls again.
func TestConfigIsSentOnceToEachRouter(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		f.sent.Clear()
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 7}) })
		time.Sleep(time.Second)
		f.requireVersion(t, 7)
		f.sent.Range(func(name, n any) bool {
			require.EqualValues(t, 1, n.(*atomic.Int64).Load(), name)
			return true
		})
	})
}

// Guards against a late configuration when the store rejects only the reader, or does not reply to
// the reader, while it serves the other routers. The reader reports that it cannot reach the store,
// and the next router reads.
func TestReaderRejectedByStoreIsReplaced(t *testing.T) {
	for _, silent := range []bool{false, true} {
		var bad *fakeStore
		var reader string
		stores := func(live []Peer, good *fakeStore) map[string]*fakeStore {
			bad = newFakeStore()
			out := sameStore(live, good)
			for _, p := range live {
				if _, ok := ParentOf(p, live, nil, 0); !ok {
					reader = p.Name
					out[p.Name] = bad
				}
			}
			return out
		}
		runFleet(t, stores, func(f *fakeFleet, s *fakeStore) {
			bad.update(func(b *fakeStore) { b.down, b.silent = !silent, silent })
			s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 7}) })
			time.Sleep(3 * time.Second)
			f.requireVersion(t, 7)
			require.Contains(t, f.nodes, reader)
		})
	}
}

// Guards against late engine updates when the store is unreachable for three successive readers.
// Each of them hung for a whole watch before the next one tried, and a request reached an engine
// 3.2 s after the engine had left. The first call of a new reader must succeed or fail quickly.
func TestThreeReadersInARowCutOffFromStore(t *testing.T) {
	var bad *fakeStore
	stores := func(live []Peer, good *fakeStore) map[string]*fakeStore {
		bad = newFakeStore()
		bad.update(func(b *fakeStore) { b.config, b.engines = good.config, good.engines })
		out := sameStore(live, good)
		ordered := slices.Clone(live)
		slices.SortFunc(ordered, func(a, b Peer) int {
			if precedes(a, b) {
				return -1
			}
			return 1
		})
		for _, p := range ordered[:3] {
			out[p.Name] = bad
		}
		return out
	}
	runFleet(t, stores, func(f *fakeFleet, s *fakeStore) {
		bad.update(func(b *fakeStore) { b.silent = true })
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 7}) })
		time.Sleep(2800 * time.Millisecond)
		f.requireVersion(t, 7)
	})
}

// Guards against several seconds in which no router reads the store: the store rejects two routers,
// and one of them distrusts itself and pulls from the other, which still pulls from the first. The
// chain in the reply shows this cycle. A router that finds its own name in the chain and still
// trusts itself distrusts the other one and becomes the reader.
func TestTwoRejectedReadersDoNotPullFromEachOther(t *testing.T) {
	var bad *fakeStore
	stores := func(live []Peer, good *fakeStore) map[string]*fakeStore {
		bad = newFakeStore()
		out := sameStore(live, good)
		sorted := slices.Clone(live)
		slices.SortFunc(sorted, func(a, b Peer) int {
			if precedes(a, b) {
				return -1
			}
			return 1
		})
		out[sorted[0].Name], out[sorted[1].Name] = bad, bad
		return out
	}
	runFleet(t, stores, func(f *fakeFleet, s *fakeStore) {
		bad.update(func(b *fakeStore) { b.down = true })
		time.Sleep(3 * time.Second)
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 9}) })
		time.Sleep(2 * time.Second)
		f.requireVersion(t, 9)
	})
}

// Guards against a call storm when the store rejects all routers for ten seconds. Few routers try,
// and they notice the recovery within two seconds.
func TestStoreOutageCausesNoCallStorm(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		s.update(func(s *fakeStore) { s.down = true })
		before := s.calls.Load()
		time.Sleep(10 * time.Second)
		require.Less(t, s.calls.Load()-before, int64(200))
		s.update(func(s *fakeStore) {
			s.down = false
			s.config = catalog.NewConfig(catalog.Config{Version: 3})
		})
		time.Sleep(3 * time.Second)
		f.requireVersion(t, 3)
	})
}

// Guards against requests to an engine that was removed while the store dropped its history. The
// watch fails with ErrHistoryLost, and the complete read must remove the engine.
func TestEngineRemovedWhileHistoryIsLost(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		s.update(func(s *fakeStore) {
			s.historyLost = true
			s.engines = nil
			s.config = catalog.NewConfig(catalog.Config{Version: 5})
		})
		time.Sleep(2 * time.Second)
		f.requireVersion(t, 5)
		for name, n := range f.nodes {
			require.Empty(t, n.board.Snapshot().Engines.ByID, name)
		}
	})
}

// Guards against an old configuration on a router that is cut off from the others but reaches the
// store. It must read for itself.
func TestRouterCutOffFromOthersReadsStoreItself(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		var leaf string
		for _, p := range f.live {
			if parent, ok := ParentOf(p, f.live, nil, 0); ok && parent.Site == p.Site {
				leaf = p.Name
			}
		}
		f.cut.Store(leaf, true)
		time.Sleep(3 * time.Second)
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 8}) })
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, uint64(8), f.nodes[leaf].board.Snapshot().Config.Version)
	})
}

// Guards against routers that reach the store and still use a configuration more than two seconds
// after it was replaced. The reader reports the store as lost; then it and the first router of each
// site are cut off and the configuration changes. The outdated report prevented the others from
// reading while they called one unreachable router after the other.
func TestOutdatedStoreLostReportDoesNotBlockReading(t *testing.T) {
	var bad *fakeStore
	var cut []string
	stores := func(live []Peer, good *fakeStore) map[string]*fakeStore {
		bad = newFakeStore()
		bad.update(func(b *fakeStore) { b.config, b.engines = good.config, good.engines })
		out := sameStore(live, good)
		for _, p := range live {
			parent, ok := ParentOf(p, live, nil, 0)
			if !ok {
				out[p.Name] = bad
			}
			if !ok || parent.Site != p.Site {
				cut = append(cut, p.Name)
			}
		}
		return out
	}
	runFleet(t, stores, func(f *fakeFleet, s *fakeStore) {
		require.Len(t, cut, 3)
		bad.update(func(b *fakeStore) { b.down = true })
		time.Sleep(250 * time.Millisecond)
		for _, name := range cut {
			f.cut.Store(name, true)
		}
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 9}) })
		time.Sleep(1900 * time.Millisecond)
		for name, n := range f.nodes {
			if !f.isCut(name) {
				require.Equal(t, uint64(9), n.board.Snapshot().Config.Version, name)
			}
		}
	})
}

// Guards against accepting revoked keys for too long: the age of a relayed confirmation counts from
// the sending of the pull plus the time it was held, not from the arrival of the reply.
func TestRelayedAgeIsNeverUnderstated(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		s.update(func(s *fakeStore) { s.down = true })
		down := f.clock()
		time.Sleep(8 * time.Second)
		for name, n := range f.nodes {
			require.LessOrEqual(t, n.board.Snapshot().ConfigAsOf, down, name)
		}
	})
}

func TestLoadsAddUpAndExpire(t *testing.T) {
	l := NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{"e": {InFlight: 1}} })
	l.FromChild("b", LoadReport{Engines: map[string]EngineLoad{"e": {InFlight: 5, Evidence: health.Evidence{Bad: 4}}}}, 0)
	l.FromParent(LoadReport{Engines: map[string]EngineLoad{"e": {InFlight: 7}}}, 0)
	require.Equal(t, 12, l.Others()["e"].InFlight)
	require.Equal(t, 8, l.WithoutChild("b", 0).Engines["e"].InFlight)
	require.Equal(t, 6, l.Subtree(0).Engines["e"].InFlight)
	require.InDelta(t, 2, l.Subtree(1500 * time.Millisecond).Engines["e"].Evidence.Bad, 1e-9)
	require.Equal(t, 1, l.Subtree(2 * time.Second).Engines["e"].InFlight)
}
