package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const maxBatch = 4

var (
	pool    = &config.Pool{Name: "language", Sites: []string{"s"}, Model: "m", Version: "1", LoadBound: 1.5, MaxBatch: maxBatch, QueueLimit: 10}
	account = &config.Account{Name: "a", Weight: 1}
)

func keys() []peer.FleetKey { return []peer.FleetKey{{ID: 1, Secret: []byte("secret")}} }

// node is the admission of one router with its RPC server.
type node struct {
	name      string
	admission *Admission
	board     *board.Board
	server    *peer.Server
	listener  net.Listener
}

// newNodes starts routers whose boards list each other and the engines.
func newNodes(t *testing.T, routers, engines []string) map[string]*node {
	nodes := make(map[string]*node)
	views := make(map[string]board.Router)
	for _, name := range routers {
		n := startNode(t, name)
		nodes[name] = n
		views[name] = board.Router{Name: name, ID: rendezvous.ID(name), Instance: 1, Control: n.listener.Addr().String()}
	}
	doc := &config.Document{Sites: []config.Site{{Name: "s", Region: "r"}}, Pools: []config.Pool{*pool}}
	effective, err := config.NewEffective(doc, nil, "s")
	require.NoError(t, err)
	for _, n := range nodes {
		n.board.UpdateWait(func(s *board.State) {
			s.Config = effective
			s.Routers = views
			for _, e := range engines {
				s.Engines[e] = board.Engine{Name: e, ID: rendezvous.ID(e), Pool: pool.Name, Region: "r", Site: "s"}
			}
		})
		n.admission.Sync(n.board.Snapshot())
	}
	for _, n := range nodes {
		n.reportAll(engines)
	}
	return nodes
}

func startNode(t *testing.T, name string) *node {
	n := &node{name: name, board: board.New(name)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.board.Run(ctx)
	var err error
	n.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counters := new(peer.Counters)
	caller := peer.NewCaller(name, keys, counters)
	t.Cleanup(caller.Close)
	n.admission = New(Options{Board: n.board, Caller: caller, Self: name, Instance: 1, Rand: rand.New(rand.NewPCG(1, 2))})
	t.Cleanup(n.admission.Close)
	n.serve(t, n.listener)
	return n
}

func (n *node) serve(t *testing.T, listener net.Listener) {
	n.server = peer.NewServer(n.name, keys, new(peer.Counters))
	require.NoError(t, n.server.Register(ServiceName, n.admission.Service()))
	server := n.server
	go server.Serve(listener)
	t.Cleanup(func() { _ = listener.Close(); server.Close() })
}

// reportAll delivers a report of each engine to this router.
func (n *node) reportAll(engines []string) {
	snap := n.board.Snapshot()
	for _, name := range engines {
		e := snap.Engines[name]
		n.admission.schedulerFor(snap, pool)
		n.admission.EngineReport(&e, wire.EngineStatus{Name: name, Incarnation: 1, Model: "m", Version: "1", MaxBatch: maxBatch})
	}
}

func ownerOf(nodes map[string]*node, engine string) (owner, other *node) {
	for _, n := range nodes {
		if n.admission.ledgers.find(rendezvous.ID(engine)) != nil {
			owner = n
		} else {
			other = n
		}
	}
	return owner, other
}

func request(class queue.Class) *Request {
	return &Request{ID: uuid.NewString(), Account: account, Class: class, Pools: []*config.Pool{pool},
		Place: placement.Request{PromptTokens: 10, OutputTokens: 10}}
}

func (n *node) permitCount(engine string) int {
	load, _ := n.admission.ledgers.load(time.Now(), rendezvous.ID(engine))
	return load.Count
}

// waitFor waits up to 30 seconds for a condition that another goroutine
// fulfills.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.FailNow(t, "condition not met in time", what)
}

func TestRemotePermitCountedAndReleased(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	owner, other := ownerOf(nodes, "e1")
	g, err := other.admission.Admit(context.Background(), request(queue.Normal))
	require.NoError(t, err)
	require.Equal(t, uint64(1), g.Incarnation)
	require.Equal(t, 1, owner.permitCount("e1"))
	g.Release()
	g.Release()
	waitFor(t, "release at the owner", func() bool { return owner.permitCount("e1") == 0 })
}

// Guards against engines with more requests than their batch limit. Two routers
// request permits at the same moment while both see free capacity; the owner's
// count must decide, not the routers' views.
func TestConcurrentRoutersDoNotExceedMaxBatch(t *testing.T) {
	engines := []string{"e1", "e2", "e3"}
	nodes := newNodes(t, []string{"r1", "r2"}, engines)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	perEngine := make(map[string]int)
	var wg sync.WaitGroup
	for _, n := range nodes {
		for range 3 * maxBatch {
			wg.Add(1)
			go func() {
				defer wg.Done()
				g, err := n.admission.Admit(ctx, request(queue.Normal))
				if err != nil {
					return
				}
				mu.Lock()
				perEngine[g.Engine.Name]++
				mu.Unlock()
			}()
		}
	}
	granted := func() int {
		mu.Lock()
		defer mu.Unlock()
		return perEngine["e1"] + perEngine["e2"] + perEngine["e3"]
	}
	waitFor(t, "a full pool", func() bool { return granted() == 3*maxBatch })
	cancel()
	wg.Wait()
	for _, e := range engines {
		require.LessOrEqual(t, perEngine[e], maxBatch)
	}
}

// Guards against permits that are never released. A router releases a permit
// while the engine's owner is unreachable; a release sent only once would be
// lost.
func TestReleaseRetriedWhileOwnerUnreachable(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	owner, other := ownerOf(nodes, "e1")
	g, err := other.admission.Admit(context.Background(), request(queue.Normal))
	require.NoError(t, err)
	address := owner.listener.Addr().String()
	require.NoError(t, owner.listener.Close())
	owner.server.Close()
	g.Release()
	waitFor(t, "a failed release", func() bool { return other.admission.Metrics.ReleaseRetries.Load() > 0 })
	require.Equal(t, 1, owner.permitCount("e1"))
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	owner.serve(t, listener)
	waitFor(t, "release at the owner", func() bool { return owner.permitCount("e1") == 0 })
}

// Guards against stopping a stream that its caller has resumed at another
// router. The first router loses the connection of the caller and keeps the
// stream for the grace period; at the end of that period it must not end the
// permit, which the second router holds by then.
func TestStreamResumedElsewhereIsNotAborted(t *testing.T) {
	for _, first := range []bool{true, false} {
		nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
		owner, other := ownerOf(nodes, "e1")
		from, to := owner, other
		if first {
			from, to = other, owner
		}
		g, err := from.admission.Admit(context.Background(), request(queue.Normal))
		require.NoError(t, err)
		resumed, err := to.admission.Adopt(context.Background(), g.ID, "e1", g.Incarnation)
		require.NoError(t, err)
		require.False(t, g.Abort(context.Background()))
		require.Equal(t, 1, owner.permitCount("e1"))
		resumed.Release()
		waitFor(t, "release at the owner", func() bool { return owner.permitCount("e1") == 0 })
	}
}

func TestAbortReleasesPermitOfUnresumedStream(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	owner, other := ownerOf(nodes, "e1")
	g, err := other.admission.Admit(context.Background(), request(queue.Normal))
	require.NoError(t, err)
	require.True(t, g.Abort(context.Background()))
	require.Zero(t, owner.permitCount("e1"))
}

func fill(t *testing.T, n *node, engines int) []*Grant {
	var grants []*Grant
	for range engines * maxBatch {
		g, err := n.admission.Admit(context.Background(), request(queue.Normal))
		require.NoError(t, err)
		grants = append(grants, g)
	}
	return grants
}

// Guards against urgent requests waiting behind batch requests.
func TestWaitingRequestsServedByClass(t *testing.T) {
	n := newNodes(t, []string{"r1"}, []string{"e1"})["r1"]
	grants := fill(t, n, 1)
	order := make(chan queue.Class, 3)
	s := n.admission.scheduler(groupKey{pool.Name, "r"})
	for i, class := range []queue.Class{queue.Batch, queue.Normal, queue.Urgent} {
		go func() {
			g, err := n.admission.Admit(context.Background(), request(class))
			if err == nil {
				order <- class
				g.Release()
			}
		}()
		waitFor(t, "a waiting request", func() bool { return waiting(s) == i+1 })
	}
	grants[0].Release()
	got := []queue.Class{<-order, <-order, <-order}
	// The first request may already have been taken from the queue for an
	// attempt.
	require.Contains(t, got[:2], queue.Urgent)
	require.NotEqual(t, queue.Batch, got[1])
}

func waiting(s *scheduler) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting()
}

// Guards against granted permits that no request uses. A caller disconnects
// while its request waits, or just as it is granted.
func TestPermitReleasedWhenCallerDisconnects(t *testing.T) {
	n := newNodes(t, []string{"r1"}, []string{"e1"})["r1"]
	grants := fill(t, n, 1)
	s := n.admission.scheduler(groupKey{pool.Name, "r"})
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := n.admission.Admit(ctx, request(queue.Normal))
		result <- err
	}()
	waitFor(t, "a waiting request", func() bool { return waiting(s) == 1 })
	cancel()
	require.Error(t, <-result)
	for _, g := range grants {
		g.Release()
	}
	waitFor(t, "an empty engine", func() bool { return n.permitCount("e1") == 0 && n.admission.held.Len() == 0 })
}

// Guards against a request waiting until its deadline when the queue is full;
// it must be refused immediately.
func TestFullQueueRefusesImmediately(t *testing.T) {
	n := newNodes(t, []string{"r1"}, []string{"e1"})["r1"]
	fill(t, n, 1)
	result := make(chan error, 1)
	for range pool.QueueLimit {
		go func() { _, _ = n.admission.Admit(context.Background(), request(queue.Normal)) }()
	}
	s := n.admission.scheduler(groupKey{pool.Name, "r"})
	waitFor(t, "a full queue", func() bool { return waiting(s) == pool.QueueLimit })
	go func() {
		_, err := n.admission.Admit(context.Background(), request(queue.Normal))
		result <- err
	}()
	var refused *apierr.Error
	require.True(t, errors.As(<-result, &refused))
	require.Equal(t, apierr.CodeQueueFull, refused.Code)
	require.Equal(t, apierr.RanNo, refused.Ran)
	require.Positive(t, refused.RetryAfter)
}

// Guards against placing requests by outdated loads. Digests arrive late, twice
// or through other routers, and owners die or change; the last load to arrive
// need not be the newest.
func TestOutdatedLoadReportsIgnored(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	_, other := ownerOf(nodes, "e1")
	s := other.admission.scheduler(groupKey{pool.Name, "r"})
	start := time.Now()
	report := func(seq uint32, weight int64) EngineLoad {
		return EngineLoad{Engine: rendezvous.ID("e1"), Incarnation: 1, Weight: weight, Flags: flagModel, Owner: 1, Seq: seq}
	}
	fromOther := report(9, 900)
	fromOther.Owner = 2
	for i, c := range []struct {
		what   string
		load   EngineLoad
		direct bool
		weight int64
		at     int
	}{
		{"first", report(5, 50), false, 50, 0},
		{"late", report(4, 40), false, 50, 0},
		{"forwarded again", report(5, 50), false, 50, 0},
		{"the owner's direct reply in the same round", report(5, 55), true, 55, 3},
		{"newer", report(6, 60), false, 60, 4},
		{"from a router that isn't the owner", fromOther, false, 60, 4},
	} {
		s.receiveLoads(start.Add(time.Duration(i)*time.Second), []EngineLoad{c.load}, c.direct)
		k := s.loads[c.load.Engine]
		require.Equal(t, c.weight, k.Weight, c.what)
		require.Equal(t, start.Add(time.Duration(c.at)*time.Second), k.updatedAt, c.what)
	}
}

func TestDigestRoundTrip(t *testing.T) {
	in := []EngineLoad{
		{Engine: 1, Incarnation: 9, Weight: 60_000, Count: 3, MaxBatch: 50, Flags: flagModel},
		{Engine: ^uint64(0), Incarnation: ^uint64(0), Weight: -1, Flags: flagDraining},
	}
	out, err := decodeDigest(appendDigest(nil, in))
	require.NoError(t, err)
	require.Equal(t, in, out)
}

// BenchmarkSpreadDigest reports the payload size of one digest in a large
// group.
func BenchmarkSpreadDigest(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	loads := make([]EngineLoad, maxForwardLoads)
	for i := range loads {
		loads[i] = EngineLoad{Engine: rng.Uint64(), Incarnation: rng.Uint64(), Weight: 60_000, Count: 40, MaxBatch: 100,
			Flags: flagModel | flagAdapters, Owner: rng.Uint32(), Seq: 100_000}
	}
	var p []byte
	for b.Loop() {
		p = appendDigest(p[:0], loads)
	}
	b.ReportMetric(float64(len(p)), "B/datagram")
}

func FuzzDecodeDigest(f *testing.F) {
	f.Add(appendDigest(nil, []EngineLoad{{Engine: 7, Weight: 3}}))
	f.Add([]byte{digestVersion, 255})
	f.Fuzz(func(t *testing.T, p []byte) {
		loads, err := decodeDigest(p)
		if err != nil {
			return
		}
		again, err := decodeDigest(appendDigest(nil, loads))
		require.NoError(t, err)
		require.Equal(t, loads, again)
	})
}
