package capacity_test

import (
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip/simnet"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/serve/controller"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// gossipFleet is routers on a simulated network under virtual time.
type gossipFleet struct {
	b     *testing.B
	net   *simnet.Network
	nodes []*simnet.Node
}

// lan is the network between the data centres of one region.
var lan = simnet.Conditions{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}

func gossipAddress(n int) string { return fmt.Sprintf("10.%d.%d.%d:7400", n%6, n/200, n%200+1) }

// newGossipFleet starts n routers and lets them find each other.
func newGossipFleet(b *testing.B, n int, seed int64) *gossipFleet {
	g := &gossipFleet{b: b, net: simnet.New(seed, lan)}
	for i := range n {
		g.nodes = append(g.nodes, g.start(i))
	}
	deadline := 2 * time.Minute
	for g.net.Now() < deadline && !g.agree(n) {
		g.net.RunFor(time.Second)
	}
	require.True(b, g.agree(n), "the fleet finds itself")
	return g
}

func (g *gossipFleet) start(i int) *simnet.Node {
	addr := gossipAddress(i)
	self := membership.Member{
		Name: capacity.RouterName(i), ID: g.net.Rand().Uint64() | 1, Address: addr, HTTP: addr, Site: "site-0",
	}
	opts := membership.Options{Seeds: []string{gossipAddress(0), gossipAddress(1), gossipAddress(2)}}
	keys := gossip.Keys{Active: gossip.Key{ID: 1, Secret: []byte("0123456789abcdef")}}
	e, err := gossip.NewEndpoint(self, opts, keys, rand.New(rand.NewSource(g.net.Rand().Int63())), nil)
	require.NoError(g.b, err)
	return g.net.Add(addr, e)
}

// agree reports whether all routers know of n live ones.
func (g *gossipFleet) agree(n int) bool {
	for _, node := range g.nodes {
		if len(node.Endpoint.Detector().Members()) != n {
			return false
		}
	}
	return true
}

// bytes sums what all routers sent and received.
func (g *gossipFleet) bytes() (in, out float64) {
	for _, node := range g.nodes {
		c := node.Endpoint.Counters()
		in += float64(gossip.Total(c.In).Bytes)
		out += float64(gossip.Total(c.Out).Bytes)
	}
	return in, out
}

// changes sums the revisions of all routers' tables of members.
func (g *gossipFleet) changes() uint64 {
	var sum uint64
	for _, node := range g.nodes {
		sum += node.Endpoint.Detector().Revision()
	}
	return sum
}

// until runs virtual time in small steps and returns how long it took.
func (g *gossipFleet) until(limit time.Duration, done func() bool) time.Duration {
	const step = 50 * time.Millisecond
	start := g.net.Now()
	for !done() && g.net.Now()-start < limit {
		g.net.RunFor(step)
	}
	require.True(g.b, done(), "not within the limit")
	return g.net.Now() - start
}

// all reports whether every router but one satisfies f.
func (g *gossipFleet) all(but int, f func(*membership.Detector) bool) bool {
	for i, node := range g.nodes {
		if i != but && !f(node.Endpoint.Detector()) {
			return false
		}
	}
	return true
}

var gossipSizes = []int{9, 18, 36, 72, 144, 380}

// settle is how long a fleet that has just started spreads its members.
const settle = 5 * time.Minute

// BenchmarkMembership starts a fleet, lets it settle and measures, per router:
// the traffic and the processor time at rest, the spread of a new head of the
// configuration, the changes of the table of members that follow from it, and
// the loss of one router. Processor time includes the simulated network's.
func BenchmarkMembership(b *testing.B) {
	for _, n := range gossipSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				g := newGossipFleet(b, n, int64(n))
				g.net.RunFor(settle)
				rest := g.measureRest()
				g.measureHead(rest)
				g.measureLoss()
			}
		})
	}
}

// measureRest returns the bytes a second and router, in and out together.
func (g *gossipFleet) measureRest() (rest float64) {
	const span = 60 * time.Second
	in0, out0 := g.bytes()
	cpu := processorTime(g.b)
	g.net.RunFor(span)
	cpu = processorTime(g.b) - cpu
	in1, out1 := g.bytes()
	per := span.Seconds() * float64(len(g.nodes))
	g.b.ReportMetric((in1-in0)/per, "B/s-in")
	g.b.ReportMetric((out1-out0)/per, "B/s-out")
	g.b.ReportMetric(float64(cpu.Microseconds())/per, "cpu-us/s")
	return (in1 - in0 + out1 - out0) / per
}

// measureHead is the time until half and all of the routers have heard of a
// new head, and the bytes that each spends on it beyond those at rest. Then
// each router says that it has the version in force.
func (g *gossipFleet) measureHead(rest float64) {
	const span = 10 * time.Second
	n := float64(len(g.nodes))
	start := g.net.Now()
	in0, out0 := g.bytes()
	half, all := g.spreadHead()
	g.net.RunFor(start + span - g.net.Now())
	in1, out1 := g.bytes()
	g.b.ReportMetric(half.Seconds(), "s-head-half")
	g.b.ReportMetric(all.Seconds(), "s-head-all")
	g.b.ReportMetric((in1-in0+out1-out0)/n-rest*span.Seconds(), "B/head")

	before := g.changes()
	for _, node := range g.nodes {
		node.Endpoint.Detector().SetConfigVersion(2)
	}
	g.net.RunFor(settle)
	g.b.ReportMetric(float64(g.changes()-before)/n, "table-changes/head")
}

// spreadHead announces a new head at one router and returns when half and all
// of the routers have heard of it.
func (g *gossipFleet) spreadHead() (half, all time.Duration) {
	item := membership.Item{Kind: controller.ItemConfigHead, Key: "head", Version: 2, Value: make([]byte, 32)}
	require.NoError(g.b, g.nodes[0].Endpoint.Detector().Broadcast(item))
	half = g.until(time.Minute, func() bool { return g.heard() >= len(g.nodes)/2 })
	all = half + g.until(time.Minute, func() bool { return g.heard() == len(g.nodes) })
	return half, all
}

func (g *gossipFleet) heard() (count int) {
	for _, node := range g.nodes {
		if len(node.Endpoint.Detector().Items()) > 0 {
			count++
		}
	}
	return count
}

// measureLoss removes one router and waits until the first and the last of the
// others hold it to be dead.
func (g *gossipFleet) measureLoss() {
	in0, out0 := g.bytes()
	first, last := g.loseOne()
	in1, out1 := g.bytes()
	g.b.ReportMetric(first.Seconds(), "s-dead-first")
	g.b.ReportMetric(last.Seconds(), "s-dead-all")
	g.b.ReportMetric((in1-in0+out1-out0)/float64(len(g.nodes))/last.Seconds(), "B/s-meanwhile")
}

func (g *gossipFleet) loseOne() (first, last time.Duration) {
	lost := len(g.nodes) - 1
	id := g.nodes[lost].Endpoint.Detector().Self().ID
	gone := func(d *membership.Detector) bool {
		m, ok := d.Lookup(id)
		return !ok || m.State == membership.StateDead
	}
	g.net.Remove(g.nodes[lost].Address)
	first = g.until(time.Minute, func() bool {
		return !g.all(lost, func(d *membership.Detector) bool { return !gone(d) })
	})
	last = first + g.until(time.Minute, func() bool { return g.all(lost, gone) })
	return first, last
}

// BenchmarkMembershipMemory is the heap of one router's endpoint.
func BenchmarkMembershipMemory(b *testing.B) {
	for _, n := range gossipSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				bytes := heapOf(func() any { return newGossipFleet(b, n, int64(n)) })
				b.ReportMetric(bytes/float64(n), "heap-B")
			}
		})
	}
}

// BenchmarkMassLoss removes a share of the routers at once, as when a data
// centre or a region goes, and waits until all that remain agree.
func BenchmarkMassLoss(b *testing.B) {
	for _, parts := range []int{20, 6, 2} {
		b.Run(fmt.Sprintf("routers=380/lost=one-in-%d", parts), func(b *testing.B) {
			for b.Loop() {
				g := newGossipFleet(b, 380, 1)
				g.net.RunFor(settle)
				lost := len(g.nodes) / parts
				for _, node := range g.nodes[:lost] {
					g.net.Remove(node.Address)
				}
				g.nodes = g.nodes[lost:]
				in0, out0 := g.bytes()
				took := g.until(3*time.Minute, func() bool { return g.agree(len(g.nodes)) })
				in1, out1 := g.bytes()
				b.ReportMetric(took.Seconds(), "s-all-agree")
				b.ReportMetric((in1-in0+out1-out0)/float64(len(g.nodes))/took.Seconds(), "B/s-meanwhile")
			}
		})
	}
}

// BenchmarkDatagram is the processor time of one load digest at its sender and
// its receiver together, over real sockets. As in a round of digests, they go
// out in bursts.
func BenchmarkDatagram(b *testing.B) {
	const (
		digestSize = 24
		burst      = 64
		pause      = 20 * time.Millisecond
	)
	var received atomic.Int64
	from, to := driverOf(b, 1), driverOf(b, 2, 1)
	to.OnDatagram(controller.ChannelLoads, func(uint64, []byte) { received.Add(1) })
	id := to.Self().ID
	payload := make([]byte, digestSize)
	require.Eventually(b, func() bool {
		return from.SendTo(id, controller.ChannelLoads, payload) == nil && received.Load() > 0
	}, time.Minute, 10*time.Millisecond)
	sent, got := 0, received.Load()
	cpu := processorTime(b)
	for b.Loop() {
		for range burst {
			if from.SendTo(id, controller.ChannelLoads, payload) == nil {
				sent++
			}
		}
		time.Sleep(pause)
	}
	cpu = processorTime(b) - cpu
	b.ReportMetric(float64(cpu.Microseconds())/float64(max(sent, 1)), "cpu-us/datagram")
	b.ReportMetric(float64(received.Load()-got)/float64(max(sent, 1)), "share-received")
}

// driverOf runs membership of one router on a loopback address of its own.
func driverOf(b *testing.B, n int, seeds ...int) *gossip.Driver {
	addr := func(i int) string { return fmt.Sprintf("127.0.0.%d:%d", 10+i, 24700) }
	opts := membership.Options{}
	for _, s := range seeds {
		opts.Seeds = append(opts.Seeds, addr(s))
	}
	d, err := gossip.Listen(gossip.Config{
		Listen:  addr(n),
		Self:    membership.Member{Name: capacity.RouterName(n), ID: uint64(n), Address: addr(n), HTTP: addr(n), Site: "site-0"},
		Options: opts,
		Keys:    gossip.Keys{Active: gossip.Key{ID: 1, Secret: []byte("0123456789abcdef")}},
	})
	require.NoError(b, err)
	b.Cleanup(d.Close)
	return d
}

// inForceWithin is how soon a change must hold everywhere, less what a router
// needs to notice, fetch and compile it.
const inForceWithin = config.InForceWithin - 2*time.Second

// BenchmarkHeadWorst is the time until all routers had heard of a new head,
// and until all had heard of it or of a router that has it in force, over
// fleets with different seeds. late is the share of the fleets that took too
// long.
func BenchmarkHeadWorst(b *testing.B) {
	for n, seeds := range map[int]int{3: 300, 6: 300, 9: 300, 18: 100, 36: 30} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				var head, known lateness
				for seed := range int64(seeds) {
					g := newGossipFleet(b, n, 1000+seed)
					g.net.RunFor(settle)
					byHead, byVersion := g.spreadVersion()
					head.add(byHead)
					known.add(byVersion)
				}
				b.ReportMetric(head.worst.Seconds(), "s-head-worst")
				b.ReportMetric(head.share(), "late-head")
				b.ReportMetric(known.worst.Seconds(), "s-known-worst")
				b.ReportMetric(known.share(), "late-known")
			}
		})
	}
}

// lateness collects times of fleets.
type lateness struct {
	worst       time.Duration
	late, count int
}

func (l *lateness) add(d time.Duration) {
	l.worst = max(l.worst, d)
	l.count++
	if d > inForceWithin {
		l.late++
	}
}

func (l *lateness) share() float64 { return float64(l.late) / float64(l.count) }

// spreadVersion announces a new head. Routers that have heard of it say that
// they have it in force.
func (g *gossipFleet) spreadVersion() (byHead, byVersion time.Duration) {
	const version = 2
	item := membership.Item{Kind: controller.ItemConfigHead, Key: "head", Version: version, Value: make([]byte, 32)}
	require.NoError(g.b, g.nodes[0].Endpoint.Detector().Broadcast(item))
	start := g.net.Now()
	allHeard := func() bool {
		for _, node := range g.nodes {
			if d := node.Endpoint.Detector(); len(d.Items()) > 0 {
				d.SetConfigVersion(version)
			}
		}
		if byVersion == 0 && g.all(-1, func(d *membership.Detector) bool { return knows(d, version) }) {
			byVersion = g.net.Now() - start
		}
		return g.heard() == len(g.nodes)
	}
	byHead = g.until(time.Minute, allHeard)
	return byHead, byVersion
}

// knows reports whether any router is known to have the version in force.
func knows(d *membership.Detector, version uint64) bool {
	for _, m := range d.Members() {
		if m.ConfigVersion >= version {
			return true
		}
	}
	return false
}
