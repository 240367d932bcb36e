package feed

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"github.com/stretchr/testify/require"
)

// fakeRoster holds the members known to one router, without gossip packets.
type fakeRoster struct {
	mu       sync.Mutex
	detector *membership.Detector
	links    map[string]*membership.RosterLink
	// peers holds the members as of revision.
	peers    []Peer
	revision uint64
}

func newFakeRoster(self Peer) *fakeRoster {
	m := membership.Member{Name: self.Name, ID: rand.Uint64() | 1, Address: self.Name, HTTP: self.Name, Site: self.Site, Link: self.Link}
	return &fakeRoster{
		detector: membership.New(m, membership.DefaultOptions(), rand.New(rand.NewSource(1))),
		links:    make(map[string]*membership.RosterLink),
	}
}

func (r *fakeRoster) live() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision == r.detector.Revision() && r.peers != nil {
		return r.peers
	}
	r.peers, r.revision = nil, r.detector.Revision()
	for _, m := range r.detector.Members() {
		r.peers = append(r.peers, Peer{Name: m.Name, Site: m.Site, Address: m.Address, Link: m.Link})
	}
	return r.peers
}

func (r *fakeRoster) RosterRequest(address string) membership.RosterRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[address] == nil {
		r.links[address] = &membership.RosterLink{}
	}
	return r.detector.RosterRequest(r.links[address])
}

func (r *fakeRoster) HandleRosterReply(address string, reply membership.RosterReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[address] != nil {
		r.detector.HandleRosterReply(r.links[address], reply)
	}
}

func (r *fakeRoster) RosterRequestFailed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, address)
}

func (r *fakeRoster) HandleRosterRequest(request membership.RosterRequest) membership.RosterReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.HandleRosterRequest(request)
}

func (f *fakeFleet) newStart(self Peer) *Start {
	out := StartOptions{FirstOfAll: f.firstOfAll}
	for _, seed := range f.seeds {
		if seed == self.Name {
			out.Seed = true
			continue
		}
		out.Seeds = append(out.Seeds, seed)
	}
	return NewStart(out, f.clock())
}

// manyPeers returns n routers in five sites, some of them with faster links.
func manyPeers(n int) []Peer {
	var out []Peer
	for i := range n {
		name := fmt.Sprintf("router-%03d", i)
		p := Peer{Name: name, Address: name, Site: fmt.Sprintf("site-%d", i%5), Link: 20}
		if i%20 < 5 && i%3 == 0 {
			p.Link = 200
		}
		out = append(out, p)
	}
	return out
}

// startingFleet is a fleet whose routers are started one by one, on a fake clock.
type startingFleet struct {
	*fakeFleet
	ctx   context.Context
	store *fakeStore
	// cancels stops the running routers.
	cancels []context.CancelFunc
}

// runStartingFleet runs a test with n routers that have not started, three of which are seeds.
func runStartingFleet(t *testing.T, n int, test func(f *startingFleet, live []Peer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		live := manyPeers(n)
		f := &startingFleet{ctx: ctx, store: newFakeStore(), fakeFleet: &fakeFleet{
			live: live, nodes: make(map[string]*fakeNode), origin: time.Now(),
			seeds: []string{live[0].Name, live[n/3].Name, live[2*n/3].Name},
		}}
		f.store.update(func(s *fakeStore) {
			s.config = catalog.NewConfig(catalog.Config{Version: 1})
			s.engines = []catalog.Engine{{ID: "e1", Service: "llm", Revision: 2}}
		})
		defer func() {
			cancel()
			// Give the calls in progress time to return.
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		test(f, live)
	})
}

// start starts a router.
func (f *startingFleet) start(p Peer) {
	ctx, cancel := context.WithCancel(f.ctx)
	n := f.newNode(ctx, p, f.store)
	f.mu.Lock()
	f.nodes[p.Name] = n
	f.mu.Unlock()
	f.cancels = append(f.cancels, cancel)
	n.run(ctx)
}

// stopAll stops all routers at once.
func (f *startingFleet) stopAll() {
	for _, stop := range f.cancels {
		stop()
	}
	f.cancels = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.nodes)
}

// startAll starts the routers in random order, spread over a time span.
func (f *startingFleet) startAll(peers []Peer, span time.Duration) {
	order := rand.New(rand.NewSource(1)).Perm(len(peers))
	for _, i := range order {
		f.start(peers[i])
		time.Sleep(span / time.Duration(len(peers)))
	}
}

// serving returns the number of started routers that hold the configuration and the engines.
func (f *startingFleet) serving() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := 0
	for _, n := range f.nodes {
		if s := n.board.Snapshot(); s.Config != nil && len(s.Engines.ByID) > 0 {
			out++
		}
	}
	return out
}

func (f *startingFleet) requireAllKnown(t *testing.T, live []Peer) {
	t.Helper()
	for name, n := range f.nodes {
		require.Len(t, n.roster.live(), len(live), name)
	}
}

// Guards against a fleet start in which each router reads the store: 295 routers starting within
// 0.3 s made 4,000 calls and knew each other only after 25 s. The number of calls must grow with
// the number of seeds and of the few routers that briefly consider themselves the reader, not with
// the size of the fleet.
func TestFleetStartCausesFewStoreCalls(t *testing.T) {
	for _, n := range []int{8, 89, 295} {
		runStartingFleet(t, n, func(f *startingFleet, live []Peer) {
			f.firstOfAll = true
			f.startAll(live, 300*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			require.Equal(t, n, f.serving(), "half a second after the first start")
			time.Sleep(700 * time.Millisecond)
			f.requireAllKnown(t, live)
			time.Sleep(time.Second)
			atStart := f.store.calls.Load()
			require.Less(t, atStart, int64(60), "%d routers", n)
			time.Sleep(10 * time.Second)
			require.Less(t, f.store.calls.Load()-atStart, int64(45), "calls of a single reader in a steady state")
			f.requireVersion(t, 1)
		})
	}
}

// Guards against a restart that costs as many store calls as a first start: a restarted router gets
// everything from a router that serves.
func TestRestartedRouterJoinsViaServingRouter(t *testing.T) {
	runStartingFleet(t, 30, func(f *startingFleet, live []Peer) {
		f.startAll(live[:29], 300*time.Millisecond)
		time.Sleep(5 * time.Second)
		before := f.store.calls.Load()
		f.start(live[29])
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 30, f.serving())
		time.Sleep(time.Second)
		require.Less(t, f.store.calls.Load()-before, int64(6), "calls in a steady state")
		f.requireAllKnown(t, live)
	})
}

// Guards against requests delayed by a third of a second, or 2,000 store calls at once, after a
// power loss of all routers when the seeds return 0.3 s after the others. The list of contacts in
// the store names routers that are up. Each router reads it, and only the contacts read everything.
func TestFleetRestartsBeforeSeeds(t *testing.T) {
	for _, n := range []int{8, 89, 295} {
		runStartingFleet(t, n, func(f *startingFleet, live []Peer) {
			f.firstOfAll = true
			f.startAll(live, 300*time.Millisecond)
			time.Sleep(15 * time.Second)
			f.stopAll()
			time.Sleep(500 * time.Millisecond)
			f.firstOfAll = false
			before := f.store.calls.Load()
			var seeds, others []Peer
			for _, p := range live {
				if slices.Contains(f.seeds, p.Name) {
					seeds = append(seeds, p)
				} else {
					others = append(others, p)
				}
			}
			f.startAll(others, 100*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, len(others), f.serving(), "%d routers", n)
			time.Sleep(100 * time.Millisecond)
			f.startAll(seeds, 10*time.Millisecond)
			time.Sleep(2 * time.Second)
			f.requireAllKnown(t, live)
			// Each router reads the list. Contacts and seeds read configuration and engines, and so
			// does the reader from then on.
			require.Less(t, f.store.calls.Load()-before, int64(n+2*(maxContacts+3)+20), "%d routers", n)
		})
	}
}

// Guards against a router that never finds the others because all VMs named as seeds in its
// settings were replaced. The list of contacts in the store names other routers.
func TestRouterJoinsWhenSeedsWereReplaced(t *testing.T) {
	runStartingFleet(t, 30, func(f *startingFleet, live []Peer) {
		f.startAll(live[:29], 300*time.Millisecond)
		time.Sleep(15 * time.Second)
		f.seeds = []string{"gone-1", "gone-2"}
		f.start(live[29])
		time.Sleep(time.Second)
		require.Equal(t, 30, f.serving())
		require.Len(t, f.nodes[live[29].Name].roster.live(), 30)
	})
}

// Guards against a list of contacts that is outdated, concentrated in few sites, or rewritten
// needlessly. It is rewritten if more than a quarter of its routers have left.
func TestContactsAreRewrittenWhenManyAreGone(t *testing.T) {
	live := manyPeers(40)
	list, rewrite := SelectContacts(nil, live)
	require.True(t, rewrite)
	require.Len(t, list, maxContacts)
	sites := make(map[string]int)
	for _, c := range list {
		sites[c.Site]++
	}
	for site, n := range sites {
		require.InDelta(t, maxContacts/5, n, 1, site)
	}
	alive := slices.DeleteFunc(slices.Clone(live), func(p Peer) bool { return p.Name == list[0].Name || p.Name == list[1].Name })
	kept, rewrite := SelectContacts(list, alive)
	require.False(t, rewrite, "two of sixteen are gone")
	require.Len(t, kept, maxContacts)
	_, rewrite = SelectContacts(list, live[:3])
	require.True(t, rewrite)
	few, rewrite := SelectContacts(list, peersOf(list[:4]))
	require.False(t, rewrite, "all live routers are listed")
	require.Equal(t, list[:4], few)
}

func peersOf(list []Contact) []Peer {
	var out []Peer
	for _, c := range list {
		out = append(out, Peer{Name: c.Name, Site: c.Site, Address: c.Address})
	}
	return out
}

// Guards against a router that does not start because all VMs named as seeds in its settings were
// replaced and no other router runs. It reads the store itself after the deadline.
func TestRouterStartsWithoutSeeds(t *testing.T) {
	runStartingFleet(t, 30, func(f *startingFleet, live []Peer) {
		f.start(live[5])
		time.Sleep(joinDeadline + 100*time.Millisecond)
		require.Equal(t, 1, f.serving())
		require.Less(t, f.store.calls.Load(), int64(10))
	})
}

// Guards against a fleet that does not serve after a power loss because the seeds are unresponsive.
// Each router continues alone after the deadline, since none can send it the other members.
func TestFleetStartsWithUnresponsiveSeeds(t *testing.T) {
	runStartingFleet(t, 30, func(f *startingFleet, live []Peer) {
		for _, seed := range f.seeds {
			f.cut.Store(seed, true)
		}
		f.startAll(live, 300*time.Millisecond)
		time.Sleep(joinDeadline + joinCallTimeout)
		require.Equal(t, 30, f.serving())
	})
}

// Guards against a fleet that waits for seeds rejected by the store while the store serves the
// others. The seeds report this, and the next router in the order reads.
func TestFleetStartsWhenStoreRejectsSeeds(t *testing.T) {
	runStartingFleet(t, 89, func(f *startingFleet, live []Peer) {
		bad, good := newFakeStore(), f.store
		bad.update(func(s *fakeStore) { s.down = true })
		for i, p := range live {
			f.store = good
			for _, seed := range f.seeds {
				if p.Name == seed {
					f.store = bad
				}
			}
			f.start(live[i])
			time.Sleep(3 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, 89, f.serving())
		require.Less(t, good.calls.Load(), int64(60))
	})
}

// Guards against a configuration used long after its replacement: a router that joins while the
// store is down must count the age of the data that it receives from the store call that confirmed
// the data.
func TestStartingRouterGetsTrueAge(t *testing.T) {
	runStartingFleet(t, 20, func(f *startingFleet, live []Peer) {
		f.startAll(live[:19], 300*time.Millisecond)
		time.Sleep(5 * time.Second)
		f.store.update(func(s *fakeStore) { s.down = true })
		down := f.clock()
		time.Sleep(4 * time.Second)
		f.start(live[19])
		time.Sleep(2 * time.Second)
		s := f.nodes[live[19].Name].board.Snapshot()
		require.NotNil(t, s.Config)
		require.LessOrEqual(t, s.ConfigAsOf, down)
		require.LessOrEqual(t, s.EnginesAsOf, down)
	})
}

// Guards against a late first configuration when operators write it just after the routers have
// started. The reader must be watching for it.
func TestFirstConfigWrittenAfterStartArrives(t *testing.T) {
	runStartingFleet(t, 89, func(f *startingFleet, live []Peer) {
		f.firstOfAll = true
		f.store.update(func(s *fakeStore) { s.config, s.engines = nil, nil })
		f.startAll(live, 300*time.Millisecond)
		time.Sleep(700 * time.Millisecond)
		f.store.update(func(s *fakeStore) {
			s.config = catalog.NewConfig(catalog.Config{Version: 1})
			s.engines = []catalog.Engine{{ID: "e1", Service: "llm", Revision: s.version + 1}}
		})
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, 89, f.serving())
		require.Less(t, f.store.calls.Load(), int64(80))
	})
}
