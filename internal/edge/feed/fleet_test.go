package feed

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/stretchr/testify/require"
)

// ownInFlight is how many requests each router has in progress at engine e1.
const ownInFlight = 4

// errUnreachable is returned by a call to an unreachable router.
var errUnreachable = errors.New("unreachable")

// fakeFleet is a fleet of routers that call one another in memory.
type fakeFleet struct {
	// ctx is canceled at the end of the test.
	ctx  context.Context
	live []Peer
	cut  sync.Map
	// gone holds the routers that all others know to have left.
	gone   sync.Map
	nodes  map[string]*fakeNode
	origin time.Time
	// sent counts the configurations sent to each router, calls the calls between routers.
	sent  sync.Map
	calls atomic.Int64
	// seeds holds the names of the seeds, or is nil if all routers know each other.
	seeds []string
	// firstOfAll means that the fleet starts for the first time.
	firstOfAll bool
	// earlier holds the routers whose calls and replies tell no eras, as those of an earlier release.
	earlier sync.Map
	// bytes counts the bytes of catalogs in replies; nil counts none.
	bytes *byteCounter
	// timing is that of all routers; the zero value is testTiming.
	timing Timing
	mu     sync.Mutex
}

// oneWay is the latency of a call between routers in each direction.
const oneWay = 500 * time.Microsecond

type fakeNode struct {
	// settings is the digest of the settings of the router.
	settings atomic.Value
	statuses *Statuses
	roster   *fakeRoster
	keeper   *ContactsUpdater
	board    *Board
	reader   *Reader
	follower *Follower
	relay    *Relay
	loads    *Loads
	leaving  *LeavingRecorder
	suspects *suspects.Set
	store    *fakeStore
	cancel   context.CancelFunc
}

// stop stops a router and marks it as having left for all others.
func (f *fakeFleet) stop(name string) {
	f.gone.Store(name, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].cancel()
	delete(f.nodes, name)
}

// restart starts a stopped router again, without its previous state.
func (f *fakeFleet) restart(p Peer, store *fakeStore) {
	n := f.newNode(f.ctx, p, store)
	f.mu.Lock()
	f.nodes[p.Name] = n
	f.mu.Unlock()
	f.gone.Delete(p.Name)
	n.run(f.ctx)
}

func (f *fakeFleet) clock() time.Duration { return time.Hour + time.Since(f.origin) }

// startFleet starts a router for each peer. The stores may differ, for example if the store rejects
// some routers.
func startFleet(ctx context.Context, live []Peer, stores map[string]*fakeStore) *fakeFleet {
	return startTimedFleet(ctx, live, stores, testTiming)
}

func startTimedFleet(ctx context.Context, live []Peer, stores map[string]*fakeStore, timing Timing) *fakeFleet {
	f := &fakeFleet{ctx: ctx, live: live, nodes: make(map[string]*fakeNode), origin: time.Now(), timing: timing}
	for _, p := range live {
		f.nodes[p.Name] = f.newNode(ctx, p, stores[p.Name])
	}
	for _, n := range f.nodes {
		n.run(ctx)
	}
	return f
}

func (n *fakeNode) run(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	go n.board.Run(ctx)
	go n.reader.Run(ctx)
	go n.follower.Run(ctx)
	go n.keeper.Run(ctx)
	go n.suspects.Run(ctx)
}

func (f *fakeFleet) newNode(ctx context.Context, self Peer, store *fakeStore) *fakeNode {
	n := &fakeNode{store: store, board: NewBoard(f.clock, 1200*time.Millisecond), roster: newFakeRoster(self)}
	n.settings.Store("a")
	n.statuses = NewStatuses(func() Status {
		s := n.board.Snapshot()
		out := Status{Router: self.Name, Site: self.Site, State: StateServing, Settings: n.settings.Load().(string), Boot: 1}
		if s.Config != nil {
			out.Config, out.ConfigAge = s.Config.Version, s.ConfigAge(f.clock())
		}
		return out
	}, f.clock)
	live := f.notGone
	start := NewStart(StartOptions{}, f.clock())
	if f.seeds != nil {
		live = n.roster.live
		start = f.newStart(self)
	}
	loads := NewLoads(func() map[string]EngineLoad {
		return n.leaving.AddTo(map[string]EngineLoad{"e1": {InFlight: ownInFlight}})
	})
	n.loads = loads
	n.leaving = &LeavingRecorder{Board: n.board, Loads: loads, Clock: f.clock, Log: discardLogger()}
	loads.OnLeaving = func(starts []catalog.LeavingStart, from string) { n.leaving.Record(ctx, starts, "from", from) }
	n.suspects = suspects.NewSet(quarantine.DefaultLimits(), f.clock, discardLogger())
	n.reader = &Reader{Board: n.board, Store: store, Clock: f.clock, Timing: func() Timing { return cmp.Or(f.timing, testTiming) }, Start: start, Log: discardLogger(),
		Reads: func() bool { return n.follower.Reads() }, OthersLost: func() bool { return n.follower.ReportedStoreLost() },
		LostAgo: func() time.Duration { return n.follower.LostAgo() }}
	n.follower = &Follower{Self: self, Board: n.board, Loads: loads, Clock: f.clock, Timing: func() Timing { return cmp.Or(f.timing, testTiming) }, Log: discardLogger(),
		Start: start, Roster: n.roster, Contacts: Contacts{Table: store}, Statuses: n.statuses, Suspects: n.suspects, Live: live, StoreLost: n.reader.StoreLost, Call: f.caller(self)}
	n.keeper = &ContactsUpdater{Contacts: Contacts{Table: store}, Reads: n.follower.Reads, Live: live, Era: n.board.NewestEra, Clock: f.clock, Log: discardLogger()}
	n.relay = &Relay{OnNewerConfig: n.follower.RecordNewerConfig, Board: n.board, Loads: loads, Roster: n.roster, Statuses: n.statuses, Suspects: n.suspects, Clock: f.clock, Done: ctx.Done(), Log: discardLogger(),
		StoreLost: n.reader.StoreLost, LostAgo: n.follower.LostAgo, Failures: n.follower.Failures, Chain: n.follower.Chain}
	return n
}

func (f *fakeFleet) caller(from Peer) Call {
	return func(ctx context.Context, to Peer, _ string, args, reply any) error {
		name := to.Name
		if name == "" {
			name = to.Address
		}
		if f.isCut(from.Name) || f.isCut(name) {
			<-ctx.Done()
			return errUnreachable
		}
		f.mu.Lock()
		node := f.nodes[name]
		f.mu.Unlock()
		if node == nil {
			return errUnreachable
		}
		f.calls.Add(1)
		time.Sleep(oneWay)
		defer time.Sleep(oneWay)
		switch args := args.(type) {
		case LoadArgs:
			return node.relay.Exchange(args, reply.(*LoadReply))
		case suspects.Args:
			return node.relay.ExchangeSuspects(args, reply.(*suspects.Reply))
		case FleetArgs:
			return node.relay.Fleet(args, reply.(*FleetReply))
		case membership.RosterRequest:
			return node.relay.Meet(args, reply.(*membership.RosterReply))
		}
		got := reply.(*PullReply)
		err := node.relay.Pull(f.sentBy(from.Name, args.(PullArgs)), got)
		f.strip(name, got)
		if f.bytes != nil {
			f.bytes.count(*got)
		}
		if got.Config != nil {
			n, _ := f.sent.LoadOrStore(from.Name, new(atomic.Int64))
			n.(*atomic.Int64).Add(1)
		}
		return err
	}
}

// sentBy returns the arguments as the named router sends them.
func (f *fakeFleet) sentBy(name string, args PullArgs) PullArgs {
	if _, earlier := f.earlier.Load(name); earlier {
		args.TellsEra, args.EnginesEra, args.EvacuationsEra, args.NewestEra = false, catalog.Era{}, catalog.Era{}, catalog.Era{}
	}
	return args
}

// strip removes what the named router does not send from its reply.
func (f *fakeFleet) strip(name string, reply *PullReply) {
	if _, earlier := f.earlier.Load(name); earlier {
		reply.TellsEra, reply.ConfigReadAge = false, 0
		reply.Engines.Era, reply.Evacuations.Era = catalog.Era{}, catalog.Era{}
	}
}

// notGone returns the routers that are not marked as having left.
func (f *fakeFleet) notGone() []Peer {
	return slices.DeleteFunc(slices.Clone(f.live), func(p Peer) bool {
		_, gone := f.gone.Load(p.Name)
		return gone
	})
}

// firstRouter returns the name of the first router of the fleet, which reads the store.
func (f *fakeFleet) firstRouter() (name string) {
	for _, p := range f.live {
		if _, ok := ParentOf(p, f.live, nil, 0); !ok {
			name = p.Name
		}
	}
	return name
}

func (f *fakeFleet) isCut(name string) bool {
	_, cut := f.cut.Load(name)
	return cut
}

func sameStore(live []Peer, s *fakeStore) map[string]*fakeStore {
	out := make(map[string]*fakeStore)
	for _, p := range live {
		out[p.Name] = s
	}
	return out
}

func (f *fakeFleet) requireVersion(t *testing.T, version uint64) {
	t.Helper()
	for name, n := range f.nodes {
		c := n.board.Snapshot().Config
		require.NotNil(t, c, name)
		require.Equal(t, version, c.Version, name)
	}
}

// runFleet runs a test with a fleet of nine routers in three sites, on a fake clock.
func runFleet(t *testing.T, stores func([]Peer, *fakeStore) map[string]*fakeStore, test func(*fakeFleet, *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		live := peersIn("x", "x", "x", "y", "y", "y", "z", "z", "z")
		s := newFakeStore()
		s.update(func(s *fakeStore) {
			s.config = catalog.NewConfig(catalog.Config{Version: 1})
			s.engines = []catalog.Engine{{ID: "e1", Service: "llm", Revision: 2}}
		})
		f := startFleet(ctx, live, stores(live, s))
		time.Sleep(3 * time.Second)
		defer func() {
			cancel()
			// Give the calls in progress time to return.
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		test(f, s)
	})
}
