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

// happened counts events of a type at all routers and drains them.
func (f *fleet) happened(t membership.EventType) int {
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

// Symptom: callers are still sent to a router whose VM vanished.
// Sequence: the VM goes without a goodbye.
// Cause: only probes tell, as the VM list lags.
func TestDetectionTime(t *testing.T) {
	_, all := detection(t, 9, 50)
	t.Logf("9 routers, 50 runs: dead at all after p50 %.2f s, p95 %.2f s, max %.2f s",
		quantile(all, 0.5), quantile(all, 0.95), quantile(all, 1))
	require.LessOrEqual(t, quantile(all, 0.5), 3.0)
}

// Symptom: live routers are declared dead, duties move to and fro.
// Sequence: the network loses one packet in ten for a long time.
// Cause: a lost ack looks like a dead router. Indirect probes, the suspicion
// and the repeated probes during it must make up for it.
func TestLossRemovesNobody(t *testing.T) {
	suspicions := 0
	for seed := range int64(20) {
		c := lan
		c.Loss = 0.1
		f := newFleet(t, 9, seed, c)
		f.happened(0)
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
	require.NotZero(t, suspicions, "the runs do provoke the failure")
}

func TestControlBytesAtNineRouters(t *testing.T) {
	const limit = 2048
	for _, flap := range []bool{false, true} {
		f := newFleet(t, 9, 9, lan)
		f.net.RunFor(settle)
		in, out := f.rates(5, flap)
		t.Logf("9 routers, flap %v: %.0f B/s in, %.0f B/s out per router", flap, in, out)
		require.LessOrEqual(t, in+out, float64(limit))
	}
}

// Symptom: a router that is reachable by most others is declared dead.
// Sequence: packets from one router to another are lost, the other direction
// and all other paths work.
// Cause: pings are unanswered on that path only; others must ask.
func TestOneWayCut(t *testing.T) {
	f := newFleet(t, 9, 1, lan)
	f.happened(0)
	f.net.Cut(f.nodes[0].Address, f.nodes[1].Address)
	f.net.Cut(f.nodes[3].Address, f.nodes[2].Address)
	f.net.RunFor(5 * time.Minute)
	require.Zero(t, f.happened(membership.EventDead))
}

// Symptom: a router that crashed and came back is thought to be the old one,
// or dead.
// Sequence: it restarts again and again, faster than it is detected.
// Cause: the name and the address are the same; only the instance differs.
func TestFlap(t *testing.T) {
	f := newFleet(t, 9, 1, lan)
	for range 5 {
		old := f.kill()
		f.net.RunFor(500 * time.Millisecond)
		f.nodes = append(f.nodes, f.start(self(old).Name, old.Address))
		fresh := f.nodes[8]
		ok := f.within(3*time.Second, func() bool {
			return f.all(self(old).ID, dead) && f.all(self(fresh).ID, alive)
		})
		require.True(t, ok, "the old instance is replaced everywhere within 3 s")
	}
	ok := f.within(3*time.Second, func() bool { return f.agree(9) })
	require.True(t, ok, "the last one has learned the others too")
}

// Symptom: work is sent to a router that does not exist any more.
// Sequence: a VM is replaced; the new one gets the same IP and another name.
// Cause: the new one answers at the address of the old one. It has to answer
// that it is another, and the old one has to be dead.
func TestAddressUsedAgain(t *testing.T) {
	f := newFleet(t, 9, 1, lan)
	old := f.kill()
	f.nodes = append(f.nodes, f.start("replacement", old.Address))
	before := f.net.Now()
	ok := f.within(10*time.Second, func() bool { return f.all(self(old).ID, dead) })
	require.True(t, ok)
	t.Logf("buried at all after %v", f.net.Now()-before)
	var notMe uint64
	for _, node := range f.nodes {
		notMe += node.Endpoint.Counters().Out[membership.KindNotMe].Packets
	}
	require.NotZero(t, notMe)
	require.True(t, f.within(5*time.Second, func() bool { return f.agree(9) }))
}

// Symptom: a router comes back from a pause and declares all others dead, or
// stays dead to them though it runs.
// Sequence: the process is frozen for longer than the suspicion, and thawed.
// Cause: all its timers have expired at once; and the others buried it.
func TestFrozenAndThawed(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 30 * time.Second, 20 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			f := newFleet(t, 9, 1, lan)
			frozen := f.nodes[4]
			was := self(frozen)
			f.net.Freeze(frozen.Address)
			f.net.RunFor(pause)
			if pause > 10*time.Second {
				require.True(t, f.all(was.ID, dead))
			}
			f.happened(0)
			f.net.Thaw(frozen.Address)
			ok := f.within(20*time.Second, func() bool { return f.agree(9) })
			require.True(t, ok, "all see all alive")
			require.Equal(t, was.ID, self(frozen).ID)
			if pause == 30*time.Second {
				require.Greater(t, self(frozen).Incarnation, was.Incarnation)
			}
			for _, e := range frozen.Endpoint.Detector().Events() {
				require.NotEqual(t, membership.EventDead, e.Type)
			}
		})
	}
}

// Symptom: a draining router gets new work again.
// Sequence: it announces that it leaves while an older alive message of the
// same incarnation is still under way, and it is suspected meanwhile.
// Cause: messages are late, doubled and out of order.
func TestLeavingSticks(t *testing.T) {
	c := lan
	c.MaxDelay, c.Duplicate, c.Loss = 400*time.Millisecond, 0.3, 0.1
	f := newFleet(t, 9, 1, c)
	node := f.nodes[2]
	node.Endpoint.Detector().Leave()
	id := self(node).ID
	require.True(t, f.within(10*time.Second, func() bool { return f.all(id, leaving) }))
	f.net.RunUntil(f.net.Now()+5*time.Minute, func() bool {
		for _, other := range f.nodes {
			s := sees(other, id)
			require.True(t, s == leaving || s == membership.StateLeavingSuspect, "seen as %v", s)
		}
		return false
	})
}

// Symptom: two halves of the fleet never see each other again.
// Sequence: a partition lasts longer than the dead are remembered, then heals.
// Cause: neither half has the other in its table. Only the seeds tell.
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
	require.True(t, f.within(30*time.Second, func() bool { return f.agree(9) }))
}

func TestFreshRouterLearnsFleet(t *testing.T) {
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
	require.True(t, f.within(5*time.Second, known), "an item reaches all within 5 s")
	t.Logf("72 routers: an item is everywhere after %v", f.net.Now()-at)
	f.net.RunFor(settle)

	fresh := f.start("fresh", address(100))
	f.nodes = append(f.nodes, fresh)
	at = f.net.Now()
	require.True(t, f.within(10*time.Second, func() bool { return f.agree(73) && known() }))
	t.Logf("72 routers: a fresh one knows all, and all know it, after %v", f.net.Now()-at)
	require.Equal(t, []membership.Item{item}, fresh.Endpoint.Detector().Items())
}

// Symptom: replays and forgeries disturb a running fleet.
// Sequence: every packet is recorded and sent again to all, later, some bits
// changed in every other one.
// Cause: see TestRefusedPackets; here nothing may happen in a whole fleet.
func TestRecordedTrafficIsHarmless(t *testing.T) {
	f := newFleet(t, 5, 1, lan)
	var recorded [][]byte
	f.net.Tap = func(_, _ string, data []byte) { recorded = append(recorded, data) }
	f.net.RunFor(time.Minute)
	f.net.Tap = nil
	f.happened(0)
	for n, data := range recorded {
		for _, node := range f.nodes {
			packet := append([]byte(nil), data...)
			packet[len(packet)-1] ^= byte(n % 2)
			f.net.Inject(address(0), node.Address, packet)
		}
	}
	f.net.RunFor(time.Minute)
	require.True(t, f.agree(5))
	require.Zero(t, f.happened(membership.EventDead))
	c := f.nodes[0].Endpoint.Counters()
	require.NotZero(t, c.Refused[gossip.ReasonForged].Packets)
	require.NotZero(t, c.Refused[gossip.ReasonReplayed].Packets)
}

// Symptom: under load the tables of the routers drift apart.
// Sequence: packets are delayed by up to a second, doubled and overtaken, and
// routers come and go.
// Cause: every handler must bear any order and any number of copies.
func TestDuplicatesAndReorder(t *testing.T) {
	for seed := range int64(5) {
		c := simnet.Conditions{MaxDelay: 250 * time.Millisecond, Duplicate: 0.5, Loss: 0.02}
		f := newFleet(t, 9, seed, c)
		for range 3 {
			f.flap()
		}
		ok := f.within(time.Minute, func() bool { return f.agree(9) })
		require.True(t, ok, "seed %d", seed)
	}
}
