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

// gossipFleet is a fleet of routers on a simulated network under virtual time.
type gossipFleet struct {
	b     *testing.B
	net   *simnet.Network
	nodes []*simnet.Node
}

// lan is the network between the sites of one region.
var lan = simnet.Conditions{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}

func gossipAddress(n int) string { return fmt.Sprintf("10.%d.%d.%d:7400", n%6, n/200, n%200+1) }

// newGossipFleet starts n routers and waits until they have discovered each other.
func newGossipFleet(b *testing.B, n int, seed int64) *gossipFleet {
	g := &gossipFleet{b: b, net: simnet.New(seed, lan)}
	for i := range n {
		g.nodes = append(g.nodes, g.start(i))
	}
	deadline := 2 * time.Minute
	for g.net.Now() < deadline && !g.converged(n) {
		g.net.RunFor(time.Second)
	}
	require.True(b, g.converged(n), "the routers must discover each other")
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

// converged reports whether each router knows n live routers.
func (g *gossipFleet) converged(n int) bool {
	for _, node := range g.nodes {
		if len(node.Endpoint.Detector().Members()) != n {
			return false
		}
	}
	return true
}

// bytes returns the total bytes that all routers received and sent.
func (g *gossipFleet) bytes() (in, out float64) {
	for _, node := range g.nodes {
		c := node.Endpoint.Counters()
		in += float64(gossip.Total(c.In).Bytes)
		out += float64(gossip.Total(c.Out).Bytes)
	}
	return in, out
}

// changes returns the sum of the revisions of all routers' member tables.
func (g *gossipFleet) changes() uint64 {
	var sum uint64
	for _, node := range g.nodes {
		sum += node.Endpoint.Detector().Revision()
	}
	return sum
}

// runUntil runs virtual time in small steps until done and returns the time it took.
func (g *gossipFleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	const step = 50 * time.Millisecond
	start := g.net.Now()
	for !done() && g.net.Now()-start < limit {
		g.net.RunFor(step)
	}
	require.True(g.b, done(), "the condition must hold within the limit")
	return g.net.Now() - start
}

// allExcept reports whether every router except number skip satisfies f.
func (g *gossipFleet) allExcept(skip int, f func(*membership.Detector) bool) bool {
	for i, node := range g.nodes {
		if i != skip && !f(node.Endpoint.Detector()) {
			return false
		}
	}
	return true
}

var gossipSizes = []int{9, 18, 36, 72, 144, 380}

// settleTime is the time in which the member list of a newly started fleet propagates.
const settleTime = 5 * time.Minute

// BenchmarkMembership starts a fleet, waits for settleTime and measures, per
// router, the traffic and the processor time while idle, the propagation of a
// new head of the configuration, the changes of the member table that the new
// head causes, and the loss of one router. The processor time includes the
// simulated network.
func BenchmarkMembership(b *testing.B) {
	for _, n := range gossipSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				g := newGossipFleet(b, n, int64(n))
				g.net.RunFor(settleTime)
				idle := g.measureIdle()
				g.measureHead(idle)
				g.measureLoss()
			}
		})
	}
}

// measureIdle returns the bytes per second and router, received and sent, while idle.
func (g *gossipFleet) measureIdle() (idle float64) {
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

// measureHead measures the time until half and all of the routers have received
// a new head, and the bytes per router beyond the idle traffic. Then each router
// reports that the version is active, and measureHead counts the resulting
// changes of member tables.
func (g *gossipFleet) measureHead(idle float64) {
	const span = 10 * time.Second
	n := float64(len(g.nodes))
	start := g.net.Now()
	in0, out0 := g.bytes()
	half, all := g.spreadHead()
	g.net.RunFor(start + span - g.net.Now())
	in1, out1 := g.bytes()
	g.b.ReportMetric(half.Seconds(), "s-head-half")
	g.b.ReportMetric(all.Seconds(), "s-head-all")
	g.b.ReportMetric((in1-in0+out1-out0)/n-idle*span.Seconds(), "B/head")

	before := g.changes()
	for _, node := range g.nodes {
		node.Endpoint.Detector().SetConfigVersion(2)
	}
	g.net.RunFor(settleTime)
	g.b.ReportMetric(float64(g.changes()-before)/n, "table-changes/head")
}

// spreadHead broadcasts a new head from one router and returns the times until
// half and all of the routers have received it.
func (g *gossipFleet) spreadHead() (half, all time.Duration) {
	item := membership.Item{Kind: controller.ItemConfigHead, Key: "head", Version: 2, Value: make([]byte, 32)}
	require.NoError(g.b, g.nodes[0].Endpoint.Detector().Broadcast(item))
	half = g.runUntil(time.Minute, func() bool { return g.receivers() >= len(g.nodes)/2 })
	all = half + g.runUntil(time.Minute, func() bool { return g.receivers() == len(g.nodes) })
	return half, all
}

func (g *gossipFleet) receivers() (count int) {
	for _, node := range g.nodes {
		if len(node.Endpoint.Detector().Items()) > 0 {
			count++
		}
	}
	return count
}

// measureLoss removes one router and waits until the first and the last of the
// others consider it dead.
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
	dead := func(d *membership.Detector) bool {
		m, ok := d.Lookup(id)
		return !ok || m.State == membership.StateDead
	}
	g.net.Remove(g.nodes[lost].Address)
	first = g.runUntil(time.Minute, func() bool {
		return !g.allExcept(lost, func(d *membership.Detector) bool { return !dead(d) })
	})
	last = first + g.runUntil(time.Minute, func() bool { return g.allExcept(lost, dead) })
	return first, last
}

// BenchmarkMembershipMemory measures the heap of one router's endpoint.
func BenchmarkMembershipMemory(b *testing.B) {
	for _, n := range gossipSizes {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				bytes := heapSize(func() any { return newGossipFleet(b, n, int64(n)) })
				b.ReportMetric(bytes/float64(n), "heap-B")
			}
		})
	}
}

// BenchmarkMassLoss removes a share of the routers at once, as in the loss of a
// site or a region, and waits until all remaining ones agree.
func BenchmarkMassLoss(b *testing.B) {
	for _, divisor := range []int{20, 6, 2} {
		b.Run(fmt.Sprintf("routers=380/lost=one-in-%d", divisor), func(b *testing.B) {
			for b.Loop() {
				g := newGossipFleet(b, 380, 1)
				g.net.RunFor(settleTime)
				lost := len(g.nodes) / divisor
				for _, node := range g.nodes[:lost] {
					g.net.Remove(node.Address)
				}
				g.nodes = g.nodes[lost:]
				in0, out0 := g.bytes()
				took := g.runUntil(3*time.Minute, func() bool { return g.converged(len(g.nodes)) })
				in1, out1 := g.bytes()
				b.ReportMetric(took.Seconds(), "s-all-agree")
				b.ReportMetric((in1-in0+out1-out0)/float64(len(g.nodes))/took.Seconds(), "B/s-meanwhile")
			}
		})
	}
}

// BenchmarkDatagram measures the processor time of one load digest at its sender
// and its receiver together, over real sockets. Digests are sent in bursts, as
// in a round of digests.
func BenchmarkDatagram(b *testing.B) {
	const (
		digestSize = 24
		burst      = 64
		pause      = 20 * time.Millisecond
	)
	var received atomic.Int64
	from, to := newDriver(b, 1), newDriver(b, 2, 1)
	to.OnDatagram(controller.ChannelLoads, func(uint64, []byte) { received.Add(1) })
	id := to.Self().ID
	payload := make([]byte, digestSize)
	require.Eventually(b, func() bool {
		return from.SendTo(id, controller.ChannelLoads, payload) == nil && received.Load() > 0
	}, time.Minute, 10*time.Millisecond)
	sent, receivedBefore := 0, received.Load()
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
	b.ReportMetric(float64(received.Load()-receivedBefore)/float64(max(sent, 1)), "share-received")
}

// newDriver runs the membership of one router on a separate loopback address.
func newDriver(b *testing.B, n int, seeds ...int) *gossip.Driver {
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

// activeWithin is the time within which all routers must receive a change: the
// time until it must be active, less the time to notice, fetch and compile it.
const activeWithin = config.MaxActivationDelay - 2*time.Second

// BenchmarkHeadWorst measures, over fleets with different seeds, the time until
// all routers have received a new head, and until all have received it or know
// of a router where it is active. The metrics late-head and late-known are the
// shares of the fleets in which these times exceed activeWithin.
func BenchmarkHeadWorst(b *testing.B) {
	for n, seeds := range map[int]int{3: 300, 6: 300, 9: 300, 18: 100, 36: 30} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			for b.Loop() {
				var head, known delays
				for seed := range int64(seeds) {
					g := newGossipFleet(b, n, 1000+seed)
					g.net.RunFor(settleTime)
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

// delays collects the propagation delays of several fleets.
type delays struct {
	worst       time.Duration
	late, count int
}

func (l *delays) add(d time.Duration) {
	l.worst = max(l.worst, d)
	l.count++
	if d > activeWithin {
		l.late++
	}
}

func (l *delays) share() float64 { return float64(l.late) / float64(l.count) }

// spreadVersion broadcasts a new head. Each router that has received it reports
// that the version is active.
func (g *gossipFleet) spreadVersion() (byHead, byVersion time.Duration) {
	const version = 2
	item := membership.Item{Kind: controller.ItemConfigHead, Key: "head", Version: version, Value: make([]byte, 32)}
	require.NoError(g.b, g.nodes[0].Endpoint.Detector().Broadcast(item))
	start := g.net.Now()
	allReceived := func() bool {
		for _, node := range g.nodes {
			if d := node.Endpoint.Detector(); len(d.Items()) > 0 {
				d.SetConfigVersion(version)
			}
		}
		if byVersion == 0 && g.allExcept(-1, func(d *membership.Detector) bool { return knowsVersion(d, version) }) {
			byVersion = g.net.Now() - start
		}
		return g.receivers() == len(g.nodes)
	}
	byHead = g.runUntil(time.Minute, allReceived)
	return byHead, byVersion
}

// knowsVersion reports whether the version is known to be active at any router.
func knowsVersion(d *membership.Detector, version uint64) bool {
	for _, m := range d.Members() {
		if m.ConfigVersion >= version {
			return true
		}
	}
	return false
}
