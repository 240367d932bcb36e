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

// fleet is a scenario: six routers on a network under virtual time; one joins,
// leaves or is lost while the fault strikes. In the end the others must agree
// on who is there and on who owns each engine.
type fleet struct {
	t     *testing.T
	net   *simnet.Network
	nodes []*simnet.Node
	rng   *rand.Rand
}

const (
	fleetSize = 6
	// engineCount is how many engines' owners are compared.
	engineCount = 40
	// soon is how long the fault lasts, agreed how long it may take after the
	// fault has ended, both in virtual time.
	soon   = 20 * time.Second
	agreed = 2 * time.Minute
	// leaveSettle bounds how long a leaving router still counts as an owner.
	leaveSettle = 5 * time.Second
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
	require.True(t, f.within(agreed, f.agree), "the fleet finds itself")
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

func (f *fleet) within(d time.Duration, done func() bool) bool {
	return f.net.RunUntil(f.net.Now()+d, done)
}

func self(n *simnet.Node) membership.Member { return n.Endpoint.Detector().Self() }

// owners names the owner of each engine, as one router sees it.
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

// agree reports whether all routers that are there see the same owners, and
// no owner that is gone.
func (f *fleet) agree() bool {
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

// ownsAnything reports whether any other router takes name for an owner.
func (f *fleet) ownsAnything(name string) bool {
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

// lose removes the last router, as a VM that vanishes.
func (f *fleet) lose() *simnet.Node {
	last := f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	f.net.Remove(last.Address)
	return last
}

func (f *fleet) last() *simnet.Node { return f.nodes[len(f.nodes)-1] }

// cutOff cuts a node from all others: towards it, from it, or both.
func (f *fleet) cutOff(n *simnet.Node, towards, from bool, cut func(from, to string)) {
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

// tellVMs gives all routers a VM list.
func (f *fleet) tellVMs(state platform.VMState, nodes ...*simnet.Node) {
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

// weather is a fault of the network or of a router that begins and ends.
type weather struct {
	begin, end func(f *fleet)
}

func networkIs(c simnet.Conditions) weather {
	return weather{
		begin: func(f *fleet) { f.net.Conditions = c },
		end:   func(f *fleet) { f.net.Conditions = fleetNetwork },
	}
}

// cutSecond cuts the second router off, which is a seed and no subject.
func cutSecond(towards, from bool) weather {
	return weather{
		begin: func(f *fleet) { f.cutOff(f.nodes[1], towards, from, f.net.Cut) },
		end:   func(f *fleet) { f.cutOff(f.nodes[1], towards, from, f.net.Heal) },
	}
}

var (
	duplicated = simnet.Conditions{Duplicate: 0.5, MinDelay: fleetNetwork.MinDelay, MaxDelay: fleetNetwork.MaxDelay}
	lossy      = simnet.Conditions{Loss: 0.3, MinDelay: fleetNetwork.MinDelay, MaxDelay: fleetNetwork.MaxDelay}
	tardy      = simnet.Conditions{MinDelay: 100 * time.Millisecond, MaxDelay: 250 * time.Millisecond}
	shuffled   = simnet.Conditions{MinDelay: 0, MaxDelay: 200 * time.Millisecond}
	killSecond = weather{begin: func(f *fleet) {
		f.net.Remove(f.nodes[1].Address)
		f.nodes = append(f.nodes[:1:1], f.nodes[2:]...)
	}}
	freezeSecond = weather{
		begin: func(f *fleet) { f.net.Freeze(f.nodes[1].Address) },
		end:   func(f *fleet) { f.net.Thaw(f.nodes[1].Address) },
	}
	// staleVMs names a router that is gone as live and none of the others.
	staleVMs = weather{begin: func(f *fleet) {
		ghost := f.start("ghost", nodeAddress(20), 1)
		f.net.Remove(ghost.Address)
		f.tellVMs(platform.VMLive, ghost)
	}}
	// splitViews cuts the fleet in halves.
	splitViews = weather{
		begin: func(f *fleet) { f.split(f.net.Cut) },
		end:   func(f *fleet) { f.split(f.net.Heal) },
	}
	flapping = weather{begin: func(f *fleet) {
		for range 3 {
			f.net.Remove(f.nodes[1].Address)
			f.net.RunFor(2 * time.Second)
			f.nodes[1] = f.start(self(f.nodes[1]).Name, f.nodes[1].Address, 1)
			f.net.RunFor(3 * time.Second)
		}
	}}
	// reusedAddress puts a router of another name at the second's address.
	reusedAddress = weather{begin: func(f *fleet) {
		f.nodes[1] = f.start("replacement", f.nodes[1].Address, 2)
	}}
	storms = weather{begin: func(f *fleet) {
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
	fault   faultkit.Fault
	weather weather
	does    string
}

// fleetCells strike at each of the three steps.
var fleetCells = []fleetCell{
	{faultkit.Kill, killSecond, "a seed killed at the same time"},
	{faultkit.Freeze, freezeSecond, "a seed frozen and thawed later"},
	{faultkit.CutBoth, cutSecond(true, true), "a seed cut off both ways"},
	{faultkit.CutOneWay, cutSecond(true, false), "a seed that is not reached and still sends"},
	{faultkit.ReplyLost, networkIs(lossy), "three packets in ten lost"},
	{faultkit.ReplyLate, networkIs(tardy), "packets later than a direct probe waits"},
	{faultkit.Duplicate, networkIs(duplicated), "every second packet delivered twice"},
	{faultkit.Reorder, networkIs(shuffled), "packets out of their order"},
	{faultkit.VMsStale, staleVMs, "VM list names only a router that is gone"},
	{faultkit.ViewsDiff, splitViews, "fleet cut in halves that see themselves alone"},
	{faultkit.Flap, flapping, "a seed that restarts three times"},
	{faultkit.Surge, storms, "four more routers join at once"},
	{faultkit.IPReused, reusedAddress, "a router of another name at a seed's address"},
}

var fleetSeeds = []int64{1, 2, 3}

func membershipProofs() proofs {
	p := proofs{}
	for _, c := range fleetCells {
		p.add(c.fault, faultkit.Join, fleetProof("join", c, fleetJoins))
		p.add(c.fault, faultkit.Leave, fleetProof("leave", c, fleetLeaves))
		p.add(c.fault, faultkit.TakeOver, fleetProof("take over", c, fleetLoses))
	}
	return p
}

func fleetProof(verb string, c fleetCell, run func(t *testing.T, f *fleet, c fleetCell)) proof {
	return proof{
		promises: []faultkit.Promise{faultkit.LoadBound, faultkit.LeavingRests},
		does:     verb + ": " + c.does,
		run: func(t *testing.T) {
			for _, seed := range fleetSeeds {
				run(t, newFleet(t, seed), c)
			}
		},
	}
}

func (w weather) strike(f *fleet) {
	w.begin(f)
	f.net.RunFor(soon)
	if w.end != nil {
		w.end(f)
	}
}

// Symptom: a router that joined owns nothing, or two routers own one engine for
// good, and each grants it up to the load bound.
// Sequence: a router starts while the fault strikes; the fault ends.
// Cause: views that differ and never come together.
func fleetJoins(t *testing.T, f *fleet, c fleetCell) {
	f.nodes = append(f.nodes, f.start("newcomer", nodeAddress(10), 1))
	c.weather.strike(f)
	require.True(t, f.within(agreed, f.agree), "the fleet agrees")
	require.True(t, f.ownsAnything("newcomer"))
}

// Symptom: a router that leaves still owns engines, or comes back as live by a
// late word of somebody else, and is asked for permits when it is gone.
// Sequence: a router leaves while the fault strikes, and a stale VM list names
// it as live all the time; the fault ends; the router stops.
// Cause: the leaving does not outweigh older words.
func fleetLeaves(t *testing.T, f *fleet, c fleetCell) {
	leaver := f.last()
	name := self(leaver).Name
	f.tellVMs(platform.VMLive, leaver)
	leaver.Endpoint.Detector().Leave()
	c.weather.strike(f)
	f.net.RunFor(leaveSettle)
	require.False(t, f.ownsAnything(name), "a leaving router owns nothing")
	f.tellVMs(platform.VMLive, leaver)
	f.net.RunFor(soon)
	require.False(t, f.ownsAnything(name), "leaving holds against an older word")
	f.net.Send(leaver.Address, leaver.Endpoint.Depart())
	f.lose()
	require.True(t, f.within(agreed, f.agree), "the fleet agrees")
}

// Symptom: engines of a lost router have no owner, or two.
// Sequence: a router vanishes while the fault strikes; the fault ends.
// Cause: its loss is not found, or not believed by all.
func fleetLoses(t *testing.T, f *fleet, c fleetCell) {
	lost := f.lose()
	c.weather.strike(f)
	require.True(t, f.within(agreed, f.agree), "the fleet agrees")
	require.False(t, f.ownsAnything(self(lost).Name))
}
