package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip/simnet"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

const (
	alive   = membership.StateAlive
	leaving = membership.StateLeaving
	dead    = membership.StateDead
)

// drainEvents removes the events of all routers and returns the number of type t.
func (f *fleet) drainEvents(t membership.EventType) int {
	n := 0
	for _, node := range f.nodes {
		for _, e := range node.Endpoint.Detector().Events() {
			if e.Type == t {
				n++
			}
		}
	}
	return n
}

// A VM disappears without a clean exit, and the VM list lags. Probes must detect it in time, or
// callers are still sent to that router.
func TestVanishedRouterDetectedInTime(t *testing.T) {
	_, all := detectionTimes(t, 9, 50)
	t.Logf("9 routers, 50 runs: declared dead by all after p50 %.2f s, p95 %.2f s, max %.2f s",
		quantile(all, 0.5), quantile(all, 0.95), quantile(all, 1))
	require.LessOrEqual(t, quantile(all, 0.5), 3.0)
}

// With 10 % packet loss, a lost ack looks like a dead router. Indirect probes, the suspicion
// and the repeated probes during it must keep live routers from being declared dead, which
// would move their duties back and forth.
func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	suspicions := 0
	for seed := range int64(20) {
		c := lan
		c.Loss = 0.1
		f := newFleet(t, 9, seed, c)
		f.drainEvents(0)
		f.net.RunFor(10 * time.Minute)
		for _, node := range f.nodes {
			for _, e := range node.Endpoint.Detector().Events() {
				require.NotEqual(t, membership.EventDead, e.Type, "seed %d: %s", seed, e.Member.Name)
				if e.Type == membership.EventSuspected {
					suspicions++
				}
			}
		}
	}
	t.Logf("20 runs of 10 minutes, 9 routers, 10 %% loss: %d suspicions, none dead", suspicions)
	require.NotZero(t, suspicions, "the runs must cause suspicions")
}

func TestControlTrafficWithinLimit(t *testing.T) {
	const limit = 2048
	for _, flap := range []bool{false, true} {
		f := newFleet(t, 9, 9, lan)
		f.net.RunFor(settleTime)
		in, out := f.rates(5, flap)
		t.Logf("9 routers, flap %v: %.0f B/s in, %.0f B/s out per router", flap, in, out)
		require.LessOrEqual(t, in+out, float64(limit))
	}
}

// When packets are lost on one path in one direction, pings stay unanswered only on that path.
// Indirect probes must keep a router that most others can reach from being declared dead.
func TestOneWayCutCausesNoFalseDeath(t *testing.T) {
	f := newFleet(t, 9, 1, lan)
	f.drainEvents(0)
	f.net.Cut(f.nodes[0].Address, f.nodes[1].Address)
	f.net.Cut(f.nodes[3].Address, f.nodes[2].Address)
	f.net.RunFor(5 * time.Minute)
	require.Zero(t, f.drainEvents(membership.EventDead))
}

// A router restarts repeatedly, faster than a failure is detected, with the same name and address.
// Only the instance ID distinguishes the new instance from the old one. If the others ignored it,
// they would take the new instance for the old one, or for dead.
func TestFlappingRouterReplacedEverywhere(t *testing.T) {
	f := newFleet(t, 9, 1, lan)
	for range 5 {
		old := f.kill()
		f.net.RunFor(500 * time.Millisecond)
		f.nodes = append(f.nodes, f.start(self(old).Name, old.Address))
		fresh := f.nodes[8]
		ok := f.within(3*time.Second, func() bool {
			return f.allSee(self(old).ID, dead) && f.allSee(self(fresh).ID, alive)
		})
		require.True(t, ok, "the old instance must be replaced everywhere within 3 s")
	}
	ok := f.within(3*time.Second, func() bool { return f.allAlive(9) })
	require.True(t, ok, "the last instance must know the others as well")
}

// A VM is replaced by one with the same IP address and another name. The new router must answer
// packets for the old instance with NotMe, so that the old one is declared dead and gets no
// more work.
func TestReusedAddressDeclaresOldInstanceDead(t *testing.T) {
	f := newFleet(t, 9, 1, lan)
	old := f.kill()
	f.nodes = append(f.nodes, f.start("replacement", old.Address))
	start := f.net.Now()
	ok := f.within(10*time.Second, func() bool { return f.allSee(self(old).ID, dead) })
	require.True(t, ok)
	t.Logf("declared dead by all after %v", f.net.Now()-start)
	var notMe uint64
	for _, node := range f.nodes {
		notMe += node.Endpoint.Counters().Out[membership.KindNotMe].Packets
	}
	require.NotZero(t, notMe)
	require.True(t, f.within(5*time.Second, func() bool { return f.allAlive(9) }))
}

// A process is suspended for longer than the suspicion timeout. When it resumes, all its timers
// have expired and the others have declared it dead. It must neither declare the others dead
// nor stay dead to them.
func TestSuspendedRouterRejoinsWithoutFalseDeath(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 30 * time.Second, 20 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			f := newFleet(t, 9, 1, lan)
			frozen := f.nodes[4]
			before := self(frozen)
			f.net.Freeze(frozen.Address)
			f.net.RunFor(pause)
			if pause > 10*time.Second {
				require.True(t, f.allSee(before.ID, dead))
			}
			f.drainEvents(0)
			f.net.Thaw(frozen.Address)
			ok := f.within(20*time.Second, func() bool { return f.allAlive(9) })
			require.True(t, ok, "every router must see all others as alive")
			require.Equal(t, before.ID, self(frozen).ID)
			if pause == 30*time.Second {
				require.Greater(t, self(frozen).Incarnation, before.Incarnation)
			}
			for _, e := range frozen.Endpoint.Detector().Events() {
				require.NotEqual(t, membership.EventDead, e.Type)
			}
		})
	}
}

// While a router is leaving, late, duplicated and reordered messages of the same incarnation
// still say that it is alive, and it is suspected as well. It must stay leaving, or it gets new
// work while it drains.
func TestLeavingStateNotReverted(t *testing.T) {
	c := lan
	c.MaxDelay, c.Duplicate, c.Loss = 400*time.Millisecond, 0.3, 0.1
	f := newFleet(t, 9, 1, c)
	node := f.nodes[2]
	node.Endpoint.Detector().Leave()
	id := self(node).ID
	require.True(t, f.within(10*time.Second, func() bool { return f.allSee(id, leaving) }))
	f.net.RunUntil(f.net.Now()+5*time.Minute, func() bool {
		for _, other := range f.nodes {
			s := stateAt(other, id)
			require.True(t, s == leaving || s == membership.StateLeavingSuspect, "seen as %v", s)
		}
		return false
	})
}

// After a partition that lasted longer than dead members are remembered, neither half has the
// other in its table. The halves must find each other through the seeds.
func TestLongPartitionHeals(t *testing.T) {
	f := newFleet(t, 9, 1, lan)
	part := func(change func(from, to string)) {
		for _, a := range f.nodes[:4] {
			for _, b := range f.nodes[4:] {
				change(a.Address, b.Address)
				change(b.Address, a.Address)
			}
		}
	}
	part(f.net.Cut)
	f.net.RunFor(time.Hour)
	require.Equal(t, 4, count(f.nodes[0], alive))
	require.Equal(t, 5, count(f.nodes[8], alive))
	part(f.net.Heal)
	require.True(t, f.within(30*time.Second, func() bool { return f.allAlive(9) }))
}

func TestNewRouterLearnsFleet(t *testing.T) {
	f := newFleet(t, 72, 1, lan)
	item := membership.Item{Kind: 1, Key: "head", Version: 8, Value: []byte("digest")}
	require.NoError(t, f.nodes[5].Endpoint.Detector().Broadcast(item))
	f.nodes[5].Endpoint.Detector().SetConfigVersion(8)
	at := f.net.Now()
	known := func() bool {
		for _, node := range f.nodes {
			if len(node.Endpoint.Detector().Items()) == 0 {
				return false
			}
		}
		return true
	}
	require.True(t, f.within(5*time.Second, known), "an item must reach all routers within 5 s")
	t.Logf("72 routers: an item reached all after %v", f.net.Now()-at)
	f.net.RunFor(settleTime)

	fresh := f.start("fresh", address(100))
	f.nodes = append(f.nodes, fresh)
	at = f.net.Now()
	require.True(t, f.within(10*time.Second, func() bool { return f.allAlive(73) && known() }))
	t.Logf("72 routers: a new router and all others know each other after %v", f.net.Now()-at)
	require.Equal(t, []membership.Item{item}, fresh.Endpoint.Detector().Items())
}

// Every packet of a fleet is recorded and sent again to all routers, every other one with
// changed bits. As in TestInvalidPacketsRejected, this must have no effect on the fleet.
func TestReplayedAndForgedTrafficIgnored(t *testing.T) {
	f := newFleet(t, 5, 1, lan)
	var recorded [][]byte
	f.net.Tap = func(_, _ string, data []byte) { recorded = append(recorded, data) }
	f.net.RunFor(time.Minute)
	f.net.Tap = nil
	f.drainEvents(0)
	for n, data := range recorded {
		for _, node := range f.nodes {
			packet := append([]byte(nil), data...)
			packet[len(packet)-1] ^= byte(n % 2)
			f.net.Inject(address(0), node.Address, packet)
		}
	}
	f.net.RunFor(time.Minute)
	require.True(t, f.allAlive(5))
	require.Zero(t, f.drainEvents(membership.EventDead))
	c := f.nodes[0].Endpoint.Counters()
	require.NotZero(t, c.Refused[gossip.ReasonForged].Packets)
	require.NotZero(t, c.Refused[gossip.ReasonReplayed].Packets)
}

// Packets are delayed by up to 250 ms, duplicated, reordered and lost while routers come and
// go. Every handler must accept any order and number of copies, or the tables diverge.
func TestTablesConvergeDespiteReordering(t *testing.T) {
	for seed := range int64(5) {
		c := simnet.Conditions{MaxDelay: 250 * time.Millisecond, Duplicate: 0.5, Loss: 0.02}
		f := newFleet(t, 9, seed, c)
		for range 3 {
			f.flap()
		}
		ok := f.within(time.Minute, func() bool { return f.allAlive(9) })
		require.True(t, ok, "seed %d", seed)
	}
}
