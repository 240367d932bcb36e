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

// node is one router's admission with its RPC server.
type node struct {
	name string
	adm  *Admission
	brd  *board.Board
	srv  *peer.Server
	ln   net.Listener
}

// newNodes starts routers that know each other and the engines.
func newNodes(t *testing.T, routers, engines []string) map[string]*node {
	nodes := make(map[string]*node)
	views := make(map[string]board.Router)
	for _, name := range routers {
		n := startNode(t, name)
		nodes[name] = n
		views[name] = board.Router{Name: name, ID: rendezvous.ID(name), Instance: 1, Control: n.ln.Addr().String()}
	}
	doc := &config.Document{Sites: []config.Site{{Name: "s", Region: "r"}}, Pools: []config.Pool{*pool}}
	eff, err := config.NewEffective(doc, nil, "s")
	require.NoError(t, err)
	for _, n := range nodes {
		n.brd.UpdateWait(func(s *board.State) {
			s.Config = eff
			s.Routers = views
			for _, e := range engines {
				s.Engines[e] = board.Engine{Name: e, ID: rendezvous.ID(e), Pool: pool.Name, Region: "r", Site: "s"}
			}
		})
		n.adm.Sync(n.brd.Snapshot())
	}
	for _, n := range nodes {
		n.reportAll(engines)
	}
	return nodes
}

func startNode(t *testing.T, name string) *node {
	n := &node{name: name, brd: board.New(name)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.brd.Run(ctx)
	var err error
	n.ln, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cnt := new(peer.Counters)
	caller := peer.NewCaller(name, keys, cnt)
	t.Cleanup(caller.Close)
	n.adm = New(Options{Board: n.brd, Caller: caller, Self: name, Instance: 1, Rand: rand.New(rand.NewPCG(1, 2))})
	t.Cleanup(n.adm.Close)
	n.serve(t, n.ln)
	return n
}

func (n *node) serve(t *testing.T, ln net.Listener) {
	n.srv = peer.NewServer(n.name, keys, new(peer.Counters))
	require.NoError(t, n.srv.Register(ServiceName, n.adm.Service()))
	srv := n.srv
	go srv.Serve(ln)
	t.Cleanup(func() { _ = ln.Close(); srv.Close() })
}

// reportAll plays the engines' reports to their owner.
func (n *node) reportAll(engines []string) {
	snap := n.brd.Snapshot()
	for _, name := range engines {
		e := snap.Engines[name]
		n.adm.laneFor(snap, pool)
		n.adm.EngineReport(&e, wire.EngineStatus{Name: name, Incarnation: 1, Model: "m", Version: "1", MaxBatch: maxBatch})
	}
}

func ownerOf(nodes map[string]*node, engine string) (owner, other *node) {
	for _, n := range nodes {
		if n.adm.keeper.entry(rendezvous.ID(engine)) != nil {
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

func (n *node) counted(engine string) int {
	load, _ := n.adm.keeper.load(time.Now(), rendezvous.ID(engine))
	return load.Count
}

// until waits for a condition that another goroutine brings about.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 6000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.FailNow(t, "never happened", what)
}

func TestRemotePermitIsCountedAndReleased(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	owner, other := ownerOf(nodes, "e1")
	g, err := other.adm.Admit(context.Background(), request(queue.Normal))
	require.NoError(t, err)
	require.Equal(t, uint64(1), g.Incarnation)
	require.Equal(t, 1, owner.counted("e1"))
	g.Release()
	g.Release()
	until(t, "release at the owner", func() bool { return owner.counted("e1") == 0 })
}

// Symptom: an engine runs more than its batch, or more than its share.
// Sequence: two routers ask for permits at the same moment, each with a view
// in which there is room.
// Cause: each decides by its own view instead of the owner's count.
func TestOwnerKeepsTheLimit(t *testing.T) {
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
				g, err := n.adm.Admit(ctx, request(queue.Normal))
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
	until(t, "a full pool", func() bool { return granted() == 3*maxBatch })
	cancel()
	wg.Wait()
	for _, e := range engines {
		require.LessOrEqual(t, perEngine[e], maxBatch)
	}
}

// Symptom: an engine looks busy for ever, and gets less work with every fault.
// Sequence: a router gives a permit back while the engine's owner can't be reached.
// Cause: the release is sent once and lost.
func TestReleaseIsRepeatedUntilTheOwnerHasIt(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	owner, other := ownerOf(nodes, "e1")
	g, err := other.adm.Admit(context.Background(), request(queue.Normal))
	require.NoError(t, err)
	address := owner.ln.Addr().String()
	require.NoError(t, owner.ln.Close())
	owner.srv.Close()
	g.Release()
	until(t, "a failed release", func() bool { return other.adm.Metrics.ReleaseRetries.Load() > 0 })
	require.Equal(t, 1, owner.counted("e1"))
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	owner.serve(t, ln)
	until(t, "release at the owner", func() bool { return owner.counted("e1") == 0 })
}

// Symptom: a stream that a caller took up at another router is stopped under it.
// Sequence: the first router loses the caller and keeps the stream for the
// grace; the caller resumes at the second; the grace of the first one ends.
// Cause: the first router ends a permit that is no longer its own.
func TestStreamTakenUpElsewhereIsNotGivenUp(t *testing.T) {
	for _, first := range []bool{true, false} {
		nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
		owner, other := ownerOf(nodes, "e1")
		from, to := owner, other
		if first {
			from, to = other, owner
		}
		g, err := from.adm.Admit(context.Background(), request(queue.Normal))
		require.NoError(t, err)
		taken, err := to.adm.Adopt(context.Background(), g.ID, "e1", g.Incarnation)
		require.NoError(t, err)
		require.False(t, g.GiveUp(context.Background()))
		require.Equal(t, 1, owner.counted("e1"))
		taken.Release()
		until(t, "release at the owner", func() bool { return owner.counted("e1") == 0 })
	}
}

func TestGiveUpOfAnUnclaimedStream(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	owner, other := ownerOf(nodes, "e1")
	g, err := other.adm.Admit(context.Background(), request(queue.Normal))
	require.NoError(t, err)
	require.True(t, g.GiveUp(context.Background()))
	require.Zero(t, owner.counted("e1"))
}

func fill(t *testing.T, n *node, engines int) []*Grant {
	var grants []*Grant
	for range engines * maxBatch {
		g, err := n.adm.Admit(context.Background(), request(queue.Normal))
		require.NoError(t, err)
		grants = append(grants, g)
	}
	return grants
}

// Symptom: an urgent check waits behind a batch of dossiers.
func TestWaitingRequestsGoByClass(t *testing.T) {
	n := newNodes(t, []string{"r1"}, []string{"e1"})["r1"]
	grants := fill(t, n, 1)
	order := make(chan queue.Class, 3)
	l := n.adm.lane(laneKey{pool.Name, "r"})
	for i, class := range []queue.Class{queue.Batch, queue.Normal, queue.Urgent} {
		go func() {
			g, err := n.adm.Admit(context.Background(), request(class))
			if err == nil {
				order <- class
				g.Release()
			}
		}()
		until(t, "a waiting request", func() bool { return waiting(l) == i+1 })
	}
	grants[0].Release()
	got := []queue.Class{<-order, <-order, <-order}
	// The first one may have been taken out of the queue already, to be tried.
	require.Contains(t, got[:2], queue.Urgent)
	require.NotEqual(t, queue.Batch, got[1])
}

func waiting(l *lane) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting()
}

// Symptom: room that nobody uses.
// Sequence: a caller leaves while its request waits, or just as it is granted.
func TestCallerGoneWhileWaiting(t *testing.T) {
	n := newNodes(t, []string{"r1"}, []string{"e1"})["r1"]
	grants := fill(t, n, 1)
	l := n.adm.lane(laneKey{pool.Name, "r"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := n.adm.Admit(ctx, request(queue.Normal))
		ended <- err
	}()
	until(t, "a waiting request", func() bool { return waiting(l) == 1 })
	cancel()
	require.Error(t, <-ended)
	for _, g := range grants {
		g.Release()
	}
	until(t, "an empty engine", func() bool { return n.counted("e1") == 0 && n.adm.held.Len() == 0 })
}

// Symptom: a caller whose deadline can't be met is kept waiting until it is over.
func TestQueueRefusesAtOnce(t *testing.T) {
	n := newNodes(t, []string{"r1"}, []string{"e1"})["r1"]
	fill(t, n, 1)
	full := make(chan error, 1)
	for range pool.QueueLimit {
		go func() { _, _ = n.adm.Admit(context.Background(), request(queue.Normal)) }()
	}
	l := n.adm.lane(laneKey{pool.Name, "r"})
	until(t, "a full queue", func() bool { return waiting(l) == pool.QueueLimit })
	go func() {
		_, err := n.adm.Admit(context.Background(), request(queue.Normal))
		full <- err
	}()
	var refused *apierr.Error
	require.True(t, errors.As(<-full, &refused))
	require.Equal(t, apierr.CodeQueueFull, refused.Code)
	require.Equal(t, apierr.RanNo, refused.Ran)
	require.Positive(t, refused.RetryAfter)
}

// Symptom: a router places by a load that was true long ago.
// Sequence: digests arrive late, twice, or by way of other routers; an owner
// is lost, or another one takes over.
// Cause: what arrives last is taken for what is newest.
func TestOnlyNewerWordsOfTheOwnerCount(t *testing.T) {
	nodes := newNodes(t, []string{"r1", "r2"}, []string{"e1"})
	_, other := ownerOf(nodes, "e1")
	l := other.adm.lane(laneKey{pool.Name, "r"})
	start := time.Now()
	word := func(seq uint32, weight int64) EngineLoad {
		return EngineLoad{Engine: rendezvous.ID("e1"), Incarnation: 1, Weight: weight, Flags: flagModel, Owner: 1, Seq: seq}
	}
	stranger := word(9, 900)
	stranger.Owner = 2
	for i, c := range []struct {
		what   string
		load   EngineLoad
		direct bool
		weight int64
		at     int
	}{
		{"first", word(5, 50), false, 50, 0},
		{"late", word(4, 40), false, 50, 0},
		{"passed on again", word(5, 50), false, 50, 0},
		{"the owner's own answer within the round", word(5, 55), true, 55, 3},
		{"newer", word(6, 60), false, 60, 4},
		{"not the owner", stranger, false, 60, 4},
	} {
		l.learn(start.Add(time.Duration(i)*time.Second), []EngineLoad{c.load}, c.direct)
		k := l.loads[c.load.Engine]
		require.Equal(t, c.weight, k.Weight, c.what)
		require.Equal(t, start.Add(time.Duration(c.at)*time.Second), k.at, c.what)
	}
}

func TestDigestRoundTrip(t *testing.T) {
	in := []EngineLoad{
		{Engine: 1, Incarnation: 9, Weight: 60_000, Count: 3, MaxBatch: 50, Flags: flagModel},
		{Engine: ^uint64(0), Incarnation: ^uint64(0), Weight: -1, Flags: flagLeaving},
	}
	out, err := decodeDigest(appendDigest(nil, in))
	require.NoError(t, err)
	require.Equal(t, in, out)
}

// BenchmarkSpreadDigest is the payload of one digest in a large group.
func BenchmarkSpreadDigest(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	loads := make([]EngineLoad, spreadLoads)
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
