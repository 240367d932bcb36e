package gossip_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip/simnet"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// lan is the network between the data centres of the brief.
var lan = simnet.Conditions{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}

var fleetKeys = gossip.Keys{Active: gossip.Key{ID: 1, Secret: []byte("0123456789abcdef")}}

// fleet is a number of routers on a simulated network.
type fleet struct {
	tb    testing.TB
	net   *simnet.Network
	nodes []*simnet.Node
	// stoppedIn and stoppedOut are the bytes of routers no longer in nodes.
	stoppedIn, stoppedOut uint64
}

func address(n int) string { return fmt.Sprintf("10.%d.%d.%d:7400", n%6, n/200, n%200+1) }

// newFleet starts n routers that know one seed and lets them find each other.
func newFleet(tb testing.TB, n int, seed int64, c simnet.Conditions) *fleet {
	f := &fleet{tb: tb, net: simnet.New(seed, lan)}
	for i := range n {
		f.nodes = append(f.nodes, f.start(fmt.Sprintf("entry-%03d", i), address(i)))
	}
	for tries := 0; !f.agree(n); tries++ {
		require.Less(tb, tries, 60, "the fleet finds itself within a minute")
		f.net.RunFor(time.Second)
	}
	f.net.Conditions = c
	return f
}

func (f *fleet) start(name, addr string) *simnet.Node {
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

// bytes sums what all routers sent and received, stopped ones included.
func (f *fleet) bytes() (in, out uint64) {
	in, out = f.stoppedIn, f.stoppedOut
	for _, node := range f.nodes {
		c := node.Endpoint.Counters()
		in += gossip.Total(c.In).Bytes
		out += gossip.Total(c.Out).Bytes
	}
	return in, out
}

// rates returns the bytes a second in and out per router over some minutes;
// with flap, one router a minute is restarted.
func (f *fleet) rates(minutes int, flap bool) (in, out float64) {
	in0, out0 := f.bytes()
	for range minutes {
		if flap {
			f.flap()
			f.net.RunFor(50 * time.Second)
			continue
		}
		f.net.RunFor(time.Minute)
	}
	in1, out1 := f.bytes()
	per := float64(minutes) * 60 * float64(len(f.nodes))
	return float64(in1-in0) / per, float64(out1-out0) / per
}

// flap kills the last router and starts it again 10 s later.
func (f *fleet) flap() {
	old := f.kill()
	f.net.RunFor(10 * time.Second)
	f.nodes = append(f.nodes, f.start(self(old).Name, old.Address))
}

// kill takes the last router away without a goodbye.
func (f *fleet) kill() *simnet.Node {
	last := len(f.nodes) - 1
	old := f.nodes[last]
	f.nodes = f.nodes[:last]
	f.net.Remove(old.Address)
	c := old.Endpoint.Counters()
	f.stoppedIn += gossip.Total(c.In).Bytes
	f.stoppedOut += gossip.Total(c.Out).Bytes
	return old
}

// peak returns the most that any router spent, in and out, in one of the next
// n seconds.
func (f *fleet) peak(n int) uint64 {
	var most uint64
	last := make(map[*simnet.Node]uint64)
	for second := range n + 1 {
		for _, node := range f.nodes {
			c := node.Endpoint.Counters()
			sum := gossip.Total(c.In).Bytes + gossip.Total(c.Out).Bytes
			if second > 0 {
				most = max(most, sum-last[node])
			}
			last[node] = sum
		}
		f.net.RunFor(time.Second)
	}
	return most
}

// settle is the time after which the announcements of a mass start have been
// sent often enough and the rates are those of the steady state.
const settle = 10 * time.Minute

func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{3, 9, 18, 36, 72, 380} {
		for _, flap := range []bool{false, true} {
			b.Run(fmt.Sprintf("n=%d/flap=%v", n, flap), func(b *testing.B) {
				for range b.N {
					f := newFleet(b, n, int64(n), lan)
					f.net.RunFor(settle)
					in, out := f.rates(5, flap)
					b.ReportMetric(in, "B/s-in")
					b.ReportMetric(out, "B/s-out")
					b.ReportMetric(in+out, "B/s-total")
				}
			})
		}
	}
}

// BenchmarkPeakBytes reports the worst second of any router when a sixth of
// the fleet, a data centre, is lost at once, and when it comes back.
func BenchmarkPeakBytes(b *testing.B) {
	for _, n := range []int{9, 36, 72, 180} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, n, int64(n), lan)
				f.net.RunFor(settle)
				var lost []*simnet.Node
				for range n / 6 {
					lost = append(lost, f.kill())
				}
				b.ReportMetric(float64(f.peak(30)), "B/s-loss")
				for _, old := range lost {
					f.nodes = append(f.nodes, f.start(self(old).Name, old.Address))
				}
				b.ReportMetric(float64(f.peak(30)), "B/s-return")
			}
		})
	}
}

// BenchmarkDetection reports how long it takes until a router that vanished is
// dead at the first and at all of the others.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{3, 9, 36, 72} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				first, all := detection(b, n, 60)
				b.ReportMetric(quantile(first, 0.5), "s-first-p50")
				b.ReportMetric(quantile(all, 0.5), "s-all-p50")
				b.ReportMetric(quantile(all, 0.95), "s-all-p95")
				b.ReportMetric(quantile(all, 1), "s-all-max")
			}
		})
	}
}

// detection kills one router in each of some seeded runs, and returns the
// sorted seconds until the first and until all others hold it dead.
func detection(tb testing.TB, n, runs int) (first, all []float64) {
	for seed := range runs {
		f := newFleet(tb, n, int64(seed), lan)
		f.net.RunFor(time.Duration(f.net.Rand().Int63n(int64(5 * time.Second))))
		id, at := self(f.kill()).ID, f.net.Now()
		anyDead := func() bool {
			return slices.ContainsFunc(f.nodes, func(node *simnet.Node) bool {
				return sees(node, id) == membership.StateDead
			})
		}
		require.True(tb, f.within(time.Minute, anyDead))
		first = append(first, (f.net.Now() - at).Seconds())
		require.True(tb, f.within(time.Minute, func() bool { return f.all(id, membership.StateDead) }))
		all = append(all, (f.net.Now() - at).Seconds())
	}
	slices.Sort(first)
	slices.Sort(all)
	return first, all
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1))]
}
