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

func quiet() *log.Logger { return log.New(io.Discard) }

func peers(sites ...string) []Peer {
	var out []Peer
	for i, site := range sites {
		out = append(out, Peer{Name: string(rune('a' + i)), Site: site})
	}
	return out
}

// Symptom: changes are late, and routers refuse what they can't confirm. Sequence: a
// configuration of thousands of routes goes out from a VM with a small link. Cause: the
// router that reads, or the first of a site, was any of them.
func TestBestLinksReadAndPassOn(t *testing.T) {
	live := peers("x", "x", "x", "y", "y", "y")
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

// Whoever computes it, exactly one router reads the store, and every chain of
// parents ends there.
func TestOneRouterReadsAndAllChainsEndThere(t *testing.T) {
	live := peers("x", "x", "y", "y", "z", "x", "z")
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

func TestDistrustedParentIsPassedOverAndComesBack(t *testing.T) {
	live := peers("x", "x", "x")
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

// Symptom: while the store is away for all, every router calls it. Sequence: the
// readers fail one after the other. Cause handled: after some of them the store
// counts as away, and the usual order holds again.
func TestStoreAwayForAllRestoresTheOrder(t *testing.T) {
	live := peers("x", "x", "x", "x", "x", "x", "x", "x", "x")
	self := live[0]
	want, _ := ParentOf(self, live, nil, 0)
	d := make(Distrust)
	n := 0
	for _, p := range live {
		if n < maxReaders {
			d.AddLost(p.Name, 0)
			n++
		}
	}
	got, _ := ParentOf(self, live, d, time.Millisecond)
	require.Equal(t, want, got)
}

// testTiming is for the users' present bounds on drains and configuration.
var testTiming = TimingFor(2 * time.Second)

func TestChangeReachesAllRoutersAndFewCallTheStore(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
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

// Symptom: a large configuration fills the links of small routers twice. Sequence: a
// router takes over what its source sent, and asks again before its own board has
// it. Cause handled: handing over waits for the board.
func TestChangeIsSentOnceToEachRouter(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
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

// Symptom: a version is in force too late. Sequence: the store turns the reading
// router away (or falls silent towards it) and serves the others; a change
// follows. Cause handled: the reader says so, and the next one reads.
func TestStoreTurnsTheReaderAway(t *testing.T) {
	for _, silent := range []bool{false, true} {
		var bad *fakeStore
		var reader string
		split := func(live []Peer, good *fakeStore) map[string]*fakeStore {
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
		inFleet(t, split, func(f *fakeFleet, s *fakeStore) {
			bad.update(func(b *fakeStore) { b.down, b.silent = !silent, silent })
			s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 7}) })
			time.Sleep(3 * time.Second)
			f.requireVersion(t, 7)
			require.Contains(t, f.nodes, reader)
		})
	}
}

// Symptom: a request reaches an engine 3.2 s after it left, and requests with keys are
// refused. Sequence: the router that reads the store is cut off from it, and so are the
// next two in the order. Cause: each hung for the whole time of a watch before the next
// one tried. Handled: the first call of a new reader is answered at once, or not at all.
func TestThreeReadersInARowAreCutOff(t *testing.T) {
	var bad *fakeStore
	split := func(live []Peer, good *fakeStore) map[string]*fakeStore {
		bad = newFakeStore()
		bad.update(func(b *fakeStore) { b.config, b.engines = good.config, good.engines })
		out := sameStore(live, good)
		ordered := slices.Clone(live)
		slices.SortFunc(ordered, func(a, b Peer) int {
			if before(a, b) {
				return -1
			}
			return 1
		})
		for _, p := range ordered[:3] {
			out[p.Name] = bad
		}
		return out
	}
	inFleet(t, split, func(f *fakeFleet, s *fakeStore) {
		bad.update(func(b *fakeStore) { b.silent = true })
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 7}) })
		time.Sleep(2800 * time.Millisecond)
		f.requireVersion(t, 7)
	})
}

// Symptom: nobody reads the store for seconds. Sequence: two routers are turned
// away; one passes itself over and asks the other, which still asks the first.
// Cause handled: the answer names its chain, and whoever finds itself in it goes
// on alone.
func TestTwoRoutersThatAreTurnedAwayDoNotAskOneAnother(t *testing.T) {
	var bad *fakeStore
	split := func(live []Peer, good *fakeStore) map[string]*fakeStore {
		bad = newFakeStore()
		out := sameStore(live, good)
		sorted := slices.Clone(live)
		slices.SortFunc(sorted, func(a, b Peer) int {
			if before(a, b) {
				return -1
			}
			return 1
		})
		out[sorted[0].Name], out[sorted[1].Name] = bad, bad
		return out
	}
	inFleet(t, split, func(f *fakeFleet, s *fakeStore) {
		bad.update(func(b *fakeStore) { b.down = true })
		time.Sleep(3 * time.Second)
		s.update(func(s *fakeStore) { s.config = catalog.NewConfig(catalog.Config{Version: 9}) })
		time.Sleep(2 * time.Second)
		f.requireVersion(t, 9)
	})
}

// Symptom: an outage of the store becomes a storm of calls. Sequence: the store
// refuses all for ten seconds. Cause handled: few try, and its return is noticed
// within a second or two.
func TestOutageOfTheStoreIsNotAStorm(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
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

// Symptom: an engine that left while history was dropped still gets requests.
// Sequence: the watch is told that its history is gone. Cause handled: all is
// read, and what is missing is gone.
func TestHistoryLostInTheMiddleOfALeave(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
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

// Symptom: a router that other routers can't reach serves an old version.
// Sequence: it is cut off from them, and reaches the store. Cause handled: it
// reads for itself.
func TestRouterCutOffFromOthersReadsForItself(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
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

// Symptom: a router that reaches the store handles requests by a configuration that was
// replaced more than two seconds ago. Sequence: the reader loses the store and says so;
// a moment later it and the first router of each site are cut off; the configuration
// changes. Cause: what was last heard of the store, that it is lost, kept routers from
// reading it themselves while they asked one dead router after the other.
func TestOldWordOfALostStoreKeepsNobodyFromReading(t *testing.T) {
	var bad *fakeStore
	var cut []string
	split := func(live []Peer, good *fakeStore) map[string]*fakeStore {
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
	inFleet(t, split, func(f *fakeFleet, s *fakeStore) {
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

// Symptom: revoked keys are accepted too long. Sequence: a pull is held, the
// parent's confirmation is old. Cause handled: the age counts from the sending of
// the pull less what it was held, never from the arrival of the answer.
func TestAgeOfRelayedConfirmationIsNeverTooYoung(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		s.update(func(s *fakeStore) { s.down = true })
		down := f.clock()
		time.Sleep(8 * time.Second)
		for name, n := range f.nodes {
			require.LessOrEqual(t, n.board.Snapshot().ConfigAsOf, down, name)
		}
	})
}

func TestLoadsAddUpAndFadeOut(t *testing.T) {
	l := NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{"e": {InFlight: 1}} })
	l.Heard("b", LoadReport{Engines: map[string]EngineLoad{"e": {InFlight: 5, Evidence: health.Evidence{Bad: 4}}}}, 0)
	l.FromParent(LoadReport{Engines: map[string]EngineLoad{"e": {InFlight: 7}}}, 0)
	require.Equal(t, 12, l.Others()["e"].InFlight)
	require.Equal(t, 8, l.Without("b", 0).Engines["e"].InFlight)
	require.Equal(t, 6, l.Below(0).Engines["e"].InFlight)
	require.InDelta(t, 2, l.Below(1500 * time.Millisecond).Engines["e"].Evidence.Bad, 1e-9)
	require.Equal(t, 1, l.Below(2 * time.Second).Engines["e"].InFlight)
}
