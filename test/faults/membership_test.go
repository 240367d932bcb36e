package faults

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip/simnet"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/stretchr/testify/require"
)

// fleet is six routers on a simulated network under virtual time. One of them joins,
// leaves or is lost while a fault lasts. In the end the others must agree on the
// members and on the owner of each engine.
type fleet struct {
	t     *testing.T
	net   *simnet.Network
	nodes []*simnet.Node
	rng   *rand.Rand
}

const (
	fleetSize = 6
	// engineCount is the number of engines whose owners are compared.
	engineCount = 40
	// faultDuration is how long the fault lasts, and convergenceTime the time allowed
	// to agree after its end, both in virtual time.
	faultDuration   = 20 * time.Second
	convergenceTime = 2 * time.Minute
	// leavePropagationTime bounds how long a draining router may still count as an
	// owner.
	leavePropagationTime = 5 * time.Second
)

var (
	fleetNetwork = simnet.Conditions{MinDelay: 200 * time.Microsecond, MaxDelay: 2 * time.Millisecond}
	fleetKeys    = gossip.Keys{Active: gossip.Key{ID: 1, Secret: []byte("0123456789abcdef")}}
)

func nodeAddress(i int) string { return fmt.Sprintf("10.9.0.%d:7400", i+1) }

func newFleet(t *testing.T, seed int64) *fleet {
	f := &fleet{t: t, net: simnet.New(seed, fleetNetwork), rng: rand.New(rand.NewSource(seed))}
	for i := range fleetSize {
		f.nodes = append(f.nodes, f.start(fmt.Sprint("router-", i), nodeAddress(i), 1))
	}
	require.True(t, f.runUntil(convergenceTime, f.ownersAgree), "the fleet converges after the start")
	return f
}

func (f *fleet) start(name, address string, generation uint64) *simnet.Node {
	self := membership.Member{
		Name: name, ID: f.rng.Uint64() | 1, Address: address, HTTP: address, Site: site, Generation: generation,
	}
	opts := membership.Options{Seeds: []string{nodeAddress(0), nodeAddress(1)}}
	e, err := gossip.NewEndpoint(self, opts, fleetKeys, rand.New(rand.NewSource(f.rng.Int63())), nil)
	require.NoError(f.t, err)
	return f.net.Add(address, e)
}

func (f *fleet) runUntil(d time.Duration, done func() bool) bool {
	return f.net.RunUntil(f.net.Now()+d, done)
}

func self(n *simnet.Node) membership.Member { return n.Endpoint.Detector().Self() }

// owners returns the name of the owner of each engine, as one router sees it.
func owners(n *simnet.Node) [engineCount]string {
	var names []string
	var ids []uint64
	for _, m := range n.Endpoint.Detector().Snapshot() {
		if m.State != membership.StateAlive && m.State != membership.StateSuspect {
			continue
		}
		names = append(names, m.Name)
		ids = append(ids, rendezvous.ID(m.Name))
	}
	var out [engineCount]string
	for i := range out {
		if o := rendezvous.Owner(rendezvous.ID(fmt.Sprint("engine-", i)), ids); o >= 0 {
			out[i] = names[o]
		}
	}
	return out
}

// ownersAgree reports whether all present routers see the same owners, and no owner
// that is absent.
func (f *fleet) ownersAgree() bool {
	want := owners(f.nodes[0])
	present := make(map[string]bool)
	for _, n := range f.nodes {
		present[self(n).Name] = true
		if owners(n) != want {
			return false
		}
	}
	for _, name := range want {
		if !present[name] {
			return false
		}
	}
	return true
}

// ownsAny reports whether any other router considers name an owner.
func (f *fleet) ownsAny(name string) bool {
	for _, n := range f.nodes {
		if self(n).Name == name {
			continue
		}
		for _, o := range owners(n) {
			if o == name {
				return true
			}
		}
	}
	return false
}

// removeLast removes the last router without notice, as when its VM is lost.
func (f *fleet) removeLast() *simnet.Node {
	last := f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	f.net.Remove(last.Address)
	return last
}

func (f *fleet) last() *simnet.Node { return f.nodes[len(f.nodes)-1] }

// isolate cuts the links between a node and all others: towards it, from it, or both.
func (f *fleet) isolate(n *simnet.Node, towards, from bool, cut func(from, to string)) {
	for _, o := range f.nodes {
		if o == n {
			continue
		}
		if towards {
			cut(o.Address, n.Address)
		}
		if from {
			cut(n.Address, o.Address)
		}
	}
}

// setVMList installs a VM list with the given nodes at all routers.
func (f *fleet) setVMList(state platform.VMState, nodes ...*simnet.Node) {
	var vms []platform.VM
	for _, n := range nodes {
		m := self(n)
		vms = append(vms, platform.VM{
			Name: m.Name, Address: m.HTTP, ControlAddress: m.Address, Kind: platform.KindRouter,
			Site: site, State: state, Generation: m.Generation,
		})
	}
	for _, n := range f.nodes {
		n.Endpoint.Detector().ObserveVMs(vms)
	}
}

// networkFault is a fault of the network or of a router, with a begin and an end.
type networkFault struct {
	begin, end func(f *fleet)
}

func withConditions(c simnet.Conditions) networkFault {
	return networkFault{
		begin: func(f *fleet) { f.net.Conditions = c },
		end:   func(f *fleet) { f.net.Conditions = fleetNetwork },
	}
}

// isolateSecond isolates the second router. It is a seed, and not the router that
// joins, leaves or is lost.
func isolateSecond(towards, from bool) networkFault {
	return networkFault{
		begin: func(f *fleet) { f.isolate(f.nodes[1], towards, from, f.net.Cut) },
		end:   func(f *fleet) { f.isolate(f.nodes[1], towards, from, f.net.Heal) },
	}
}

var (
	duplicating = simnet.Conditions{Duplicate: 0.5, MinDelay: fleetNetwork.MinDelay, MaxDelay: fleetNetwork.MaxDelay}
	losing      = simnet.Conditions{Loss: 0.3, MinDelay: fleetNetwork.MinDelay, MaxDelay: fleetNetwork.MaxDelay}
	delaying    = simnet.Conditions{MinDelay: 100 * time.Millisecond, MaxDelay: 250 * time.Millisecond}
	reordering  = simnet.Conditions{MinDelay: 0, MaxDelay: 200 * time.Millisecond}
	killSecond  = networkFault{begin: func(f *fleet) {
		f.net.Remove(f.nodes[1].Address)
		f.nodes = append(f.nodes[:1:1], f.nodes[2:]...)
	}}
	freezeSecond = networkFault{
		begin: func(f *fleet) { f.net.Freeze(f.nodes[1].Address) },
		end:   func(f *fleet) { f.net.Thaw(f.nodes[1].Address) },
	}
	// staleVMs installs a VM list that names only a dead router, as live.
	staleVMs = networkFault{begin: func(f *fleet) {
		dead := f.start("ghost", nodeAddress(20), 1)
		f.net.Remove(dead.Address)
		f.setVMList(platform.VMLive, dead)
	}}
	// splitViews partitions the fleet into halves.
	splitViews = networkFault{
		begin: func(f *fleet) { f.split(f.net.Cut) },
		end:   func(f *fleet) { f.split(f.net.Heal) },
	}
	flapping = networkFault{begin: func(f *fleet) {
		for range 3 {
			f.net.Remove(f.nodes[1].Address)
			f.net.RunFor(2 * time.Second)
			f.nodes[1] = f.start(self(f.nodes[1]).Name, f.nodes[1].Address, 1)
			f.net.RunFor(3 * time.Second)
		}
	}}
	// reusedAddress starts a router with another name at the second router's address.
	reusedAddress = networkFault{begin: func(f *fleet) {
		f.nodes[1] = f.start("replacement", f.nodes[1].Address, 2)
	}}
	joinSurge = networkFault{begin: func(f *fleet) {
		for i := range 4 {
			f.nodes = append(f.nodes[:1:1], append([]*simnet.Node{f.start(fmt.Sprint("extra-", i), nodeAddress(30+i), 1)}, f.nodes[1:]...)...)
		}
	}}
)

func (f *fleet) split(change func(from, to string)) {
	half := len(f.nodes) / 2
	for _, x := range f.nodes[:half] {
		for _, y := range f.nodes[half:] {
			change(x.Address, y.Address)
			change(y.Address, x.Address)
		}
	}
}

type fleetCell struct {
	fault       faultkit.Fault
	disturbance networkFault
	description string
}

// fleetCells are run at each of the three steps.
var fleetCells = []fleetCell{
	{faultkit.Kill, killSecond, "a seed killed at the same time"},
	{faultkit.Freeze, freezeSecond, "a seed frozen and thawed later"},
	{faultkit.CutBoth, isolateSecond(true, true), "a seed cut off both ways"},
	{faultkit.CutOneWay, isolateSecond(true, false), "a seed that receives nothing and still sends"},
	{faultkit.ReplyLost, withConditions(losing), "three in ten packets lost"},
	{faultkit.ReplyLate, withConditions(delaying), "packets later than the timeout of a direct probe"},
	{faultkit.Duplicate, withConditions(duplicating), "half of the packets delivered twice"},
	{faultkit.Reorder, withConditions(reordering), "packets out of order"},
	{faultkit.StaleVMList, staleVMs, "VM list names only a dead router"},
	{faultkit.ViewsDiffer, splitViews, "fleet partitioned into halves that see only themselves"},
	{faultkit.Flap, flapping, "a seed that restarts three times"},
	{faultkit.Surge, joinSurge, "four more routers join at once"},
	{faultkit.AddressReused, reusedAddress, "a router with another name at a seed's address"},
}

var fleetSeeds = []int64{1, 2, 3}

func membershipTests() cellTests {
	tests := cellTests{}
	for _, c := range fleetCells {
		tests.add(c.fault, faultkit.Join, fleetTest("join", c, runJoin))
		tests.add(c.fault, faultkit.Leave, fleetTest("leave", c, runLeave))
		tests.add(c.fault, faultkit.TakeOver, fleetTest("take over", c, runLoss))
	}
	return tests
}

func fleetTest(verb string, c fleetCell, run func(t *testing.T, f *fleet, c fleetCell)) cellTest {
	return cellTest{
		guarantees:  []faultkit.Guarantee{faultkit.LoadBound, faultkit.NoWorkWhenDraining},
		description: verb + ": " + c.description,
		run: func(t *testing.T) {
			for _, seed := range fleetSeeds {
				run(t, newFleet(t, seed), c)
			}
		},
	}
}

func (cl networkFault) inject(f *fleet) {
	cl.begin(f)
	f.net.RunFor(faultDuration)
	if cl.end != nil {
		cl.end(f)
	}
}

// runJoin guards against views that differ and never converge: a router that joined owns nothing,
// or two routers own one engine permanently and each grants permits up to the load bound.
func runJoin(t *testing.T, f *fleet, c fleetCell) {
	f.nodes = append(f.nodes, f.start("newcomer", nodeAddress(10), 1))
	c.disturbance.inject(f)
	require.True(t, f.runUntil(convergenceTime, f.ownersAgree), "the fleet agrees on the owners")
	require.True(t, f.ownsAny("newcomer"))
}

// runLeave guards against older reports that override a leave. The draining router would
// still own engines, or be considered live again, and get permit requests after it has
// stopped. A stale VM list names it as live all the time.
func runLeave(t *testing.T, f *fleet, c fleetCell) {
	leaver := f.last()
	name := self(leaver).Name
	f.setVMList(platform.VMLive, leaver)
	leaver.Endpoint.Detector().Leave()
	c.disturbance.inject(f)
	f.net.RunFor(leavePropagationTime)
	require.False(t, f.ownsAny(name), "a draining router owns no engine")
	f.setVMList(platform.VMLive, leaver)
	f.net.RunFor(faultDuration)
	require.False(t, f.ownsAny(name), "an older VM list does not override a leave")
	f.net.Send(leaver.Address, leaver.Endpoint.Depart())
	f.removeLast()
	require.True(t, f.runUntil(convergenceTime, f.ownersAgree), "the fleet agrees on the owners")
}

// runLoss guards against a loss that is not detected, or not by all routers: engines of
// the lost router would have no owner, or two.
func runLoss(t *testing.T, f *fleet, c fleetCell) {
	lost := f.removeLast()
	c.disturbance.inject(f)
	require.True(t, f.runUntil(convergenceTime, f.ownersAgree), "the fleet agrees on the owners")
	require.False(t, f.ownsAny(self(lost).Name))
}
