package gossip_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/gossip"
	"damaskrouter.example/damaskrouter/internal/gossip/simnet"
	"damaskrouter.example/damaskrouter/internal/membership"
)

// lan is the network between the data centres of the brief.
var lan = simnet.Conditions{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}

var fleetKeys = gossip.Keys{Active: gossip.Key{ID: 1, Secret: []byte("0123456789abcdef")}}

// fleet is a number of routers on a simulated network.
type fleet struct {
	tb      testing.TB
	net     *simnet.Network
	nodes   []*simnet.Node
	started int
}

func address(n int) string { return fmt.Sprintf("10.%d.%d.%d:7400", n%6, n/200, n%200+1) }

// newFleet starts n routers that know one seed and lets them find each other.
func newFleet(tb testing.TB, n int, seed int64, c simnet.Conditions) *fleet {
	f := &fleet{tb: tb, net: simnet.New(seed, lan)}
	for i := range n {
		f.nodes = append(f.nodes, f.start(fmt.Sprintf("entry-%03d", i), address(i)))
	}
	require.True(tb, f.within(time.Minute, func() bool { return f.agree(n) }), "the fleet finds itself")
	f.net.Conditions = c
	return f
}

func (f *fleet) start(name, addr string) *simnet.Node {
	f.started++
	self := membership.Member{
		Name: name, ID: f.net.Rand().Uint64() | 1, Address: addr, HTTP: addr, Site: "ankara-1",
	}
	opts := membership.Options{Seeds: []string{address(0), address(1), address(2)}}
	rng := rand.New(rand.NewSource(f.net.Rand().Int63()))
	e, err := gossip.NewEndpoint(self, opts, fleetKeys, rng, nil)
	require.NoError(f.tb, err)
	return f.net.Add(addr, e)
}

func (f *fleet) within(d time.Duration, done func() bool) bool {
	return f.net.RunUntil(f.net.Now()+d, done)
}

// agree reports whether each router holds n members to be alive.
func (f *fleet) agree(n int) bool {
	for _, node := range f.nodes {
		if count(node, membership.StateAlive) != n {
			return false
		}
	}
	return true
}

func count(node *simnet.Node, s membership.State) int {
	found := 0
	for _, m := range node.Endpoint.Detector().Snapshot() {
		if m.State == s {
			found++
		}
	}
	return found
}

func self(node *simnet.Node) membership.Member { return node.Endpoint.Detector().Self() }

// sees returns the state that a router holds an instance in.
func sees(node *simnet.Node, id uint64) membership.State {
	m, ok := node.Endpoint.Detector().Lookup(id)
	if !ok {
		return membership.StateDead
	}
	return m.State
}

// all reports whether the routers other than except see the instance so.
func (f *fleet) all(id uint64, s membership.State, except ...*simnet.Node) bool {
	for _, node := range f.nodes {
		skip := self(node).ID == id
		for _, e := range except {
			skip = skip || e == node
		}
		if !skip && sees(node, id) != s {
			return false
		}
	}
	return true
}

// bytes sums what all routers sent and received.
func (f *fleet) bytes() (in, out uint64) {
	for _, node := range f.nodes {
		c := node.Endpoint.Counters()
		in += gossip.Total(c.In).Bytes
		out += gossip.Total(c.Out).Bytes
	}
	return in, out
}

// rates returns the bytes a second in and out per router over a span, and
// with flap restarts one router a minute.
func (f *fleet) rates(span time.Duration, flap bool) (in, out float64) {
	in0, out0 := f.bytes()
	for range int(span / time.Minute) {
		if flap {
			f.flap()
		}
		f.net.RunFor(time.Minute)
	}
	in1, out1 := f.bytes()
	per := span.Seconds() * float64(len(f.nodes))
	return float64(in1-in0) / per, float64(out1-out0) / per
}

// flap restarts the last router without a goodbye. The counters of the old
// process are kept on the books of the fleet by counting differences only of
// nodes that stay; the restarted one is left out of them by being replaced
// before the next reading.
func (f *fleet) flap() {
	last := len(f.nodes) - 1
	old := f.nodes[last]
	f.net.Remove(old.Address)
	f.net.RunFor(10 * time.Second)
	f.nodes[last] = f.start(self(old).Name, old.Address)
}

func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{3, 9, 18, 36, 72, 380} {
		for _, flap := range []bool{false, true} {
			b.Run(fmt.Sprintf("n=%d/flap=%v", n, flap), func(b *testing.B) {
				for range b.N {
					f := newFleet(b, n, int64(n), lan)
					in, out := f.rates(5*time.Minute, flap)
					b.ReportMetric(in, "B/s-in")
					b.ReportMetric(out, "B/s-out")
					b.ReportMetric(in+out, "B/s-total")
				}
			})
		}
	}
}
