package capacity_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/capacity"
	"damaskrouter.example/damaskrouter/internal/controller"
	"damaskrouter.example/damaskrouter/internal/gossip"
	"damaskrouter.example/damaskrouter/internal/gossip/simnet"
	"damaskrouter.example/damaskrouter/internal/membership"
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

// BenchmarkMembership is the control traffic and the processor time of
// membership in a fleet in which nothing happens, per router. Processor time
// includes the simulated network's.
func BenchmarkMembership(b *testing.B) {
	const span = 60 * time.Second
	for _, n := range gossipSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				g := newGossipFleet(b, n, int64(n))
				in0, out0 := g.bytes()
				cpu := processorTime(b)
				g.net.RunFor(span)
				cpu = processorTime(b) - cpu
				in1, out1 := g.bytes()
				per := span.Seconds() * float64(n)
				b.ReportMetric((in1-in0)/per, "B/s-in")
				b.ReportMetric((out1-out0)/per, "B/s-out")
				b.ReportMetric(float64(cpu.Microseconds())/per, "cpu-us/s")
			}
		})
	}
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

// BenchmarkDetection removes one router and waits until the first and the last
// of the others hold it to be dead.
func BenchmarkDetection(b *testing.B) {
	for _, n := range gossipSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				g := newGossipFleet(b, n, int64(n))
				in0, out0 := g.bytes()
				first, last := g.loseOne()
				in1, out1 := g.bytes()
				b.ReportMetric(first.Seconds(), "s-first")
				b.ReportMetric(last.Seconds(), "s-last")
				b.ReportMetric((in1-in0+out1-out0)/float64(n)/last.Seconds(), "B/s-meanwhile")
			}
		})
	}
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

// BenchmarkMassLoss removes a share of the routers at once, as when a data
// centre or a region goes, and waits until all that remain agree.
func BenchmarkMassLoss(b *testing.B) {
	for _, parts := range []int{20, 6, 2} {
		b.Run(fmt.Sprintf("routers=380/lost=one-in-%d", parts), func(b *testing.B) {
			for b.Loop() {
				g := newGossipFleet(b, 380, 1)
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

// BenchmarkHeadPropagation is the time until half and all of the routers have
// heard of a new head of the configuration, and what it costs each in bytes
// beyond the traffic at rest. Then each router says that it has the version
// in force; changes is how often that changes the other routers' tables.
func BenchmarkHeadPropagation(b *testing.B) {
	for _, n := range gossipSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkHead(b, newGossipFleet(b, n, int64(n)))
			}
		})
	}
}

func benchmarkHead(b *testing.B, g *gossipFleet) {
	const settle = 10 * time.Second
	n := float64(len(g.nodes))
	in0, out0 := g.bytes()
	g.net.RunFor(settle)
	in1, out1 := g.bytes()
	rest := in1 - in0 + out1 - out0

	item := membership.Item{Kind: controller.ItemConfigHead, Key: "head", Version: 2, Value: make([]byte, 32)}
	require.NoError(b, g.nodes[0].Endpoint.Detector().Broadcast(item))
	has := func(d *membership.Detector) bool { return len(d.Items()) > 0 }
	heard := func() (count int) {
		for _, node := range g.nodes {
			if has(node.Endpoint.Detector()) {
				count++
			}
		}
		return count
	}
	half := g.until(time.Minute, func() bool { return heard() >= len(g.nodes)/2 })
	all := half + g.until(time.Minute, func() bool { return g.all(-1, has) })
	b.ReportMetric(half.Seconds(), "s-half")
	b.ReportMetric(all.Seconds(), "s-all")
	g.net.RunFor(settle - min(all, settle))
	in2, out2 := g.bytes()
	b.ReportMetric((in2-in1+out2-out1-rest)/n, "B/router")

	before := g.changes()
	for _, node := range g.nodes {
		node.Endpoint.Detector().SetConfigVersion(2)
	}
	g.net.RunFor(2 * time.Minute)
	b.ReportMetric(float64(g.changes()-before)/n, "table-changes/router")
}
