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

// lan models the network between the data centres.
var lan = simnet.Conditions{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}

var fleetKeys = gossip.Keys{Active: gossip.Key{ID: 1, Secret: []byte("0123456789abcdef")}}

// fleet is a set of routers on a simulated network.
type fleet struct {
	tb    testing.TB
	net   *simnet.Network
	nodes []*simnet.Node
	// stoppedIn and stoppedOut are the bytes of routers that are no longer in nodes.
	stoppedIn, stoppedOut uint64
}

func address(n int) string { return fmt.Sprintf("10.%d.%d.%d:7400", n%6, n/200, n%200+1) }

// newFleet starts n routers with the same seeds and waits until each knows all others.
// Conditions c apply from then on.
func newFleet(tb testing.TB, n int, seed int64, c simnet.Conditions) *fleet {
	f := &fleet{tb: tb, net: simnet.New(seed, lan)}
	for i := range n {
		f.nodes = append(f.nodes, f.start(fmt.Sprintf("entry-%03d", i), address(i)))
	}
	for tries := 0; !f.allAlive(n); tries++ {
		require.Less(tb, tries, 60, "all routers find each other within a minute")
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

// allAlive reports whether each router regards n members as alive.
func (f *fleet) allAlive(n int) bool {
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

// stateAt returns the state of an instance as seen by a router, StateDead if unknown.
func stateAt(node *simnet.Node, id uint64) membership.State {
	m, ok := node.Endpoint.Detector().Lookup(id)
	if !ok {
		return membership.StateDead
	}
	return m.State
}

// allSee reports whether all routers except the instance itself and those in except see it in
// the given state.
func (f *fleet) allSee(id uint64, s membership.State, except ...*simnet.Node) bool {
	for _, node := range f.nodes {
		skip := self(node).ID == id
		for _, e := range except {
			skip = skip || e == node
		}
		if !skip && stateAt(node, id) != s {
			return false
		}
	}
	return true
}

// bytes returns the sum of bytes received and sent by all routers, including stopped ones.
func (f *fleet) bytes() (in, out uint64) {
	in, out = f.stoppedIn, f.stoppedOut
	for _, node := range f.nodes {
		c := node.Endpoint.Counters()
		in += gossip.Total(c.In).Bytes
		out += gossip.Total(c.Out).Bytes
	}
	return in, out
}

// rates returns the bytes per second received and sent per router over the given minutes. With
// flap, one router per minute is restarted.
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

// kill removes the last router without a clean exit.
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

// peakRate returns the highest number of bytes that any router received and sent in one of the
// next n seconds.
func (f *fleet) peakRate(n int) uint64 {
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

// settleTime is how long a fleet needs after a mass start until each announcement has reached
// its send limit and the traffic rates are those of the steady state.
const settleTime = 10 * time.Minute

func BenchmarkControlBytes(b *testing.B) {
	for _, n := range []int{3, 9, 18, 36, 72, 380} {
		for _, flap := range []bool{false, true} {
			b.Run(fmt.Sprintf("n=%d/flap=%v", n, flap), func(b *testing.B) {
				for range b.N {
					f := newFleet(b, n, int64(n), lan)
					f.net.RunFor(settleTime)
					in, out := f.rates(5, flap)
					b.ReportMetric(in, "B/s-in")
					b.ReportMetric(out, "B/s-out")
					b.ReportMetric(in+out, "B/s-total")
				}
			})
		}
	}
}

// BenchmarkPeakBytes reports the highest number of bytes of any router in one second, when a
// sixth of the fleet, one data centre, is lost at once and when it returns.
func BenchmarkPeakBytes(b *testing.B) {
	for _, n := range []int{9, 36, 72, 180} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, n, int64(n), lan)
				f.net.RunFor(settleTime)
				var lost []*simnet.Node
				for range n / 6 {
					lost = append(lost, f.kill())
				}
				b.ReportMetric(float64(f.peakRate(30)), "B/s-loss")
				for _, old := range lost {
					f.nodes = append(f.nodes, f.start(self(old).Name, old.Address))
				}
				b.ReportMetric(float64(f.peakRate(30)), "B/s-return")
			}
		})
	}
}

// BenchmarkDetection reports the time until a vanished router is declared dead by the first and
// by all of the others.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{3, 9, 36, 72} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				first, all := detectionTimes(b, n, 60)
				b.ReportMetric(quantile(first, 0.5), "s-first-p50")
				b.ReportMetric(quantile(all, 0.5), "s-all-p50")
				b.ReportMetric(quantile(all, 0.95), "s-all-p95")
				b.ReportMetric(quantile(all, 1), "s-all-max")
			}
		})
	}
}

// detectionTimes kills one router in each of several seeded runs, and returns the sorted
// seconds until the first and until all others declare it dead.
func detectionTimes(tb testing.TB, n, runs int) (first, all []float64) {
	for seed := range runs {
		f := newFleet(tb, n, int64(seed), lan)
		f.net.RunFor(time.Duration(f.net.Rand().Int63n(int64(5 * time.Second))))
		id, at := self(f.kill()).ID, f.net.Now()
		anyDead := func() bool {
			return slices.ContainsFunc(f.nodes, func(node *simnet.Node) bool {
				return stateAt(node, id) == membership.StateDead
			})
		}
		require.True(tb, f.within(time.Minute, anyDead))
		first = append(first, (f.net.Now() - at).Seconds())
		require.True(tb, f.within(time.Minute, func() bool { return f.allSee(id, membership.StateDead) }))
		all = append(all, (f.net.Now() - at).Seconds())
	}
	slices.Sort(first)
	slices.Sort(all)
	return first, all
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1))]
}
