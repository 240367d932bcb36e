package membership

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

func testMember(id uint64, name string) Member {
	addr := fmt.Sprintf("10.0.0.%d:7400", id)
	return Member{Name: name, ID: id, Address: addr, HTTP: addr, Site: "ankara-1", Incarnation: 1}
}

// newDetector returns a detector for router 1 that already knows the given others.
func newDetector(others ...Member) *Detector {
	d := New(testMember(1, "self"), Options{}, rand.New(rand.NewSource(1)))
	d.Tick(0)
	for _, m := range others {
		d.apply(m)
	}
	d.Events()
	return d
}

func stateOf(d *Detector, id uint64) State {
	m, ok := d.Lookup(id)
	if !ok {
		return stateCount
	}
	return m.State
}

// runUnanswered ticks without any answer from the others.
func runUnanswered(d *Detector, span time.Duration) []Outgoing {
	var out []Outgoing
	for end := d.now + span; d.now < end; {
		out = append(out, d.Tick(d.now+50*time.Millisecond)...)
	}
	return out
}

// runAnswered ticks while the others answer their pings.
func runAnswered(d *Detector, span time.Duration) []Outgoing {
	var out []Outgoing
	for end := d.now + span; d.now < end; {
		step := runUnanswered(d, 50*time.Millisecond)
		for _, o := range step {
			if ping, ok := o.Message.Body.(Ping); ok {
				d.Handle(d.now, o.To, Message{From: o.Message.To, To: 1, Body: Ack(ping)})
			}
		}
		out = append(out, step...)
	}
	return out
}

// Updates of several incarnations can arrive in any order. An update of the same incarnation
// must not make a leaving router take work again or revive a dead one.
func TestUpdateDoesNotUndoLaterState(t *testing.T) {
	for _, c := range []struct {
		name     string
		have     State
		update   State
		newer    bool
		want     State
		reported State
	}{
		{"alive does not undo leaving", StateLeaving, StateAlive, false, StateLeaving, StateLeaving},
		{"suspicion does not hide leaving", StateLeaving, StateSuspect, false, StateLeaving, StateLeaving},
		{"leaving overrides suspicion", StateSuspect, StateLeaving, false, StateLeaving, StateLeaving},
		{"leaving router can be suspected", StateLeaving, StateLeavingSuspect, false, StateLeavingSuspect, StateLeaving},
		{"alive does not undo suspicion", StateSuspect, StateAlive, false, StateSuspect, StateSuspect},
		{"alive does not undo death", StateDead, StateAlive, false, StateDead, StateDead},
		{"new incarnation refutes suspicion", StateSuspect, StateAlive, true, StateAlive, StateAlive},
		{"new incarnation refutes death", StateDead, StateAlive, true, StateAlive, StateAlive},
		{"new incarnation is not leaving", StateLeaving, StateAlive, true, StateAlive, StateAlive},
	} {
		t.Run(c.name, func(t *testing.T) {
			have := testMember(2, "other")
			have.Incarnation, have.State = 5, c.have
			d := newDetector(testMember(2, "other"), have)
			update := testMember(2, "other")
			update.Incarnation, update.State = 5, c.update
			if c.newer {
				update.Incarnation++
			}
			d.apply(update)
			require.Equal(t, c.want, stateOf(d, 2))
			require.Equal(t, c.reported, d.Snapshot()[0].State)
		})
	}
}

// Routers receive the same updates repeatedly and in different orders. If merging were not
// commutative and idempotent, their tables would differ permanently.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		update := rapid.Custom(func(t *rapid.T) Member {
			m := testMember(rapid.Uint64Range(2, 4).Draw(t, "id"), "other")
			m.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			m.State = State(rapid.Uint8Range(0, uint8(stateCount)-1).Draw(t, "state"))
			return m
		})
		updates := rapid.SliceOfN(update, 1, 12).Draw(t, "updates")
		a, b := newDetector(), newDetector()
		for _, u := range updates {
			a.apply(u)
		}
		for _, u := range rapid.Permutation(append(updates, updates...)).Draw(t, "order") {
			b.apply(u)
		}
		for id := uint64(2); id <= 4; id++ {
			x, _ := a.Lookup(id)
			y, _ := b.Lookup(id)
			require.Equal(t, [2]uint64{x.Incarnation, uint64(x.State)}, [2]uint64{y.Incarnation, uint64(y.State)})
		}
		require.Equal(t, a.digest(), b.digest())
	})
}

// A router that receives a suspicion about itself must refute it by raising its incarnation, or
// it is declared dead while running. A report that it is leaving must be adopted instead, or it
// goes on accepting work while the others route around it.
func TestSelfUpdateRefutedOrAdopted(t *testing.T) {
	for _, c := range []struct {
		name        string
		state       State
		incarnation uint64
		want        State
		raised      uint64
	}{
		{"suspect", StateSuspect, 1, StateAlive, 2},
		{"dead", StateDead, 4, StateAlive, 5},
		{"leaving", StateLeaving, 1, StateLeaving, 1},
		{"leaving and suspect", StateLeavingSuspect, 1, StateLeaving, 2},
		{"old suspicion", StateSuspect, 0, StateAlive, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(testMember(2, "other"))
			d.apply(Member{ID: 1, Incarnation: c.incarnation, State: c.state})
			require.Equal(t, c.want, d.Self().State)
			require.Equal(t, c.raised, d.Self().Incarnation)
		})
	}
}

// A verifier that lost every copy of a refutation keeps pinging with the old suspicion. If the
// acks no longer carried the refutation because its send limit was reached, a router that
// answers every ping would be declared dead. Seen with a probe period of 500 ms at 10 % loss.
func TestAckRepeatsRefutation(t *testing.T) {
	d := newDetector(testMember(2, "other"))
	suspicion := Member{ID: 1, Incarnation: 1, State: StateSuspect}
	for seq := range uint32(50) {
		ping := Message{From: 2, To: 1, Body: Ping{Seq: seq}, Updates: []Member{suspicion}}
		out := d.Handle(d.now, testMember(2, "").Address, ping)
		require.Len(t, out, 1)
		require.Contains(t, out[0].Message.Updates, d.Self(), "ack %d", seq)
		require.EqualValues(t, 2, d.Self().Incarnation)
	}
}

// A packet for an instance that is no longer at an address must be answered with NotMe, or a
// replacement VM would be taken for the old instance. NotMe counts only from the address of the
// old instance, or a live router would be declared dead.
func TestNotMeFromOtherAddressIgnored(t *testing.T) {
	d := newDetector(testMember(2, "old"), testMember(3, "other"))
	msg := Message{From: 9, To: 1, Body: NotMe{Wanted: 2}}
	d.Handle(d.now, testMember(3, "").Address, msg)
	require.Equal(t, StateAlive, stateOf(d, 2), "from another address")
	d.Handle(d.now, testMember(2, "").Address, msg)
	require.Equal(t, StateDead, stateOf(d, 2))

	out := d.Handle(d.now, "10.0.0.7:1", Message{From: 3, To: 77, Body: Ping{Seq: 1}})
	require.Equal(t, []Outgoing{{To: "10.0.0.7:1", Message: Message{From: 1, To: 3, Body: NotMe{Wanted: 77}}}}, out)
	require.Empty(t, d.Handle(d.now, "10.0.0.7:1", Message{From: 3, To: 77, Body: NotMe{Wanted: 1}}), "NotMe is not answered by NotMe")
}

func TestAckFromOtherInstanceIgnored(t *testing.T) {
	d := newDetector(testMember(2, "old"))
	for d.probe == nil {
		runUnanswered(d, 50*time.Millisecond)
	}
	d.Handle(d.now, testMember(2, "").Address, Message{From: 9, To: 1, Body: Ack{Seq: d.probe.seq}})
	require.NotNil(t, d.probe)
	d.Handle(d.now, testMember(2, "").Address, Message{From: 2, To: 1, Body: Ack{Seq: d.probe.seq}})
	require.Nil(t, d.probe)
}

// The VM list lags behind and can disagree with the probes in either direction. It may only
// mark a router as leaving and provide addresses to contact. Otherwise a router would be
// drained, kept or removed wrongly for as long as the list lags.
func TestVMListDoesNotOverrideProbes(t *testing.T) {
	vm := func(s platform.VMState, generation uint64) platform.VM {
		return platform.VM{
			Name: "other", State: s, Generation: generation,
			Kind: platform.KindRouter, ControlAddress: testMember(2, "").Address,
		}
	}
	other := testMember(2, "other")

	t.Run("leaving", func(t *testing.T) {
		d := newDetector(other)
		d.ObserveVMs([]platform.VM{vm(platform.VMDraining, 5)})
		require.Equal(t, StateLeaving, stateOf(d, 2))
		d.ObserveVMs([]platform.VM{vm(platform.VMLive, 5)})
		require.Equal(t, StateLeaving, stateOf(d, 2), "sticks")
		refuted := other
		refuted.Incarnation = 2
		d.apply(refuted)
		d.ObserveVMs([]platform.VM{vm(platform.VMDraining, 5)})
		require.Equal(t, StateLeaving, stateOf(d, 2), "applied to the next incarnation as well")
	})
	t.Run("leaving and suspect", func(t *testing.T) {
		suspect := other
		suspect.State = StateSuspect
		d := newDetector(suspect)
		d.ObserveVMs([]platform.VM{vm(platform.VMDraining, 5)})
		require.Equal(t, StateLeavingSuspect, stateOf(d, 2))
		runUnanswered(d, 5*time.Second)
		require.Equal(t, StateDead, stateOf(d, 2), "the suspicion continues")
	})
	t.Run("leaving entry of the previous VM with the same name", func(t *testing.T) {
		d := newDetector(other)
		d.ObserveVMs([]platform.VM{vm(platform.VMDraining, 5)})
		d.apply(testMember(3, "other"))
		d.ObserveVMs([]platform.VM{vm(platform.VMDraining, 5)})
		require.Equal(t, StateAlive, stateOf(d, 3))
		d.ObserveVMs([]platform.VM{vm(platform.VMDraining, 6)})
		require.Equal(t, StateLeaving, stateOf(d, 3))
	})
	t.Run("leaving entry of another generation", func(t *testing.T) {
		fresh := other
		fresh.Generation = 6
		d := newDetector(fresh)
		d.ObserveVMs([]platform.VM{vm(platform.VMDraining, 5)})
		require.Equal(t, StateAlive, stateOf(d, 2))
	})
	t.Run("live member missing from the list", func(t *testing.T) {
		d := newDetector(other)
		d.ObserveVMs(nil)
		require.Equal(t, StateAlive, stateOf(d, 2))
	})
	t.Run("listed as live while probes fail", func(t *testing.T) {
		d := newDetector(other)
		for range 10 {
			d.ObserveVMs([]platform.VM{vm(platform.VMLive, 5)})
			runUnanswered(d, time.Second)
		}
		require.Equal(t, StateDead, stateOf(d, 2))
	})
	t.Run("unknown router is contacted", func(t *testing.T) {
		d := newDetector()
		engine := vm(platform.VMLive, 5)
		engine.Kind, engine.ControlAddress = platform.KindEngine, "10.0.0.9:1"
		d.ObserveVMs([]platform.VM{engine, vm(platform.VMLive, 5)})
		out := runUnanswered(d, 3*time.Second)
		require.NotEmpty(t, out)
		for _, o := range out {
			require.Equal(t, other.Address, o.To)
			require.Equal(t, KindDigest, o.Message.Body.Kind())
		}
	})
	t.Run("leaving entry of this router", func(t *testing.T) {
		d := newDetector()
		own := vm(platform.VMDraining, 5)
		own.Name = "self"
		d.ObserveVMs([]platform.VM{own})
		require.Equal(t, StateLeaving, d.Self().State)
	})
}

// When hundreds of rows and items are pending, piggybacked bytes must stay limited per packet
// and over time. Otherwise packets are fragmented or the traffic budget is exceeded.
func TestPiggybackIsBounded(t *testing.T) {
	d := newDetector()
	for id := range uint64(380) {
		d.apply(testMember(id+2, fmt.Sprintf("entry-%03d", id)))
	}
	for n := range MaxItems {
		item := Item{Kind: 1, Key: fmt.Sprint(n), Version: 1, Value: make([]byte, MaxItemValue)}
		require.NoError(t, d.Broadcast(item))
	}
	require.True(t, ErrItem.Has(d.Broadcast(Item{Kind: 2, Key: "one too many", Version: 1})))
	total := 0
	for _, o := range runAnswered(d, 10*time.Second) {
		size := 0
		for _, u := range o.Message.Updates {
			size += u.encodedSize()
		}
		for _, i := range o.Message.Items {
			size += i.encodedSize()
		}
		require.LessOrEqual(t, size, maxPiggyback+2*testMember(1, "entry-000").encodedSize())
		total += size
	}
	require.LessOrEqual(t, total, 10*piggybackRate+piggybackBurst)
}

func TestOlderItemVersionIgnored(t *testing.T) {
	d := newDetector(testMember(2, "other"))
	put := func(version uint64) {
		items := []Item{{Kind: 1, Key: "head", Version: version}}
		d.Handle(d.now, "10.0.0.2:7400", Message{From: 2, To: 1, Body: Gossip{}, Items: items})
	}
	for _, version := range []uint64{3, 5, 4, 5} {
		put(version)
	}
	require.Equal(t, []Item{{Kind: 1, Key: "head", Version: 5}}, d.Items())
	require.Len(t, d.UpdatedItems(), 2)
	require.True(t, ErrItem.Has(d.Broadcast(Item{Key: "head"})), "version 0")
}

func TestDeadMemberForgottenAfterRetention(t *testing.T) {
	dead := testMember(2, "other")
	dead.State = StateDead
	d := newDetector(testMember(2, "other"), dead)
	late := testMember(2, "other")
	runUnanswered(d, time.Minute)
	d.apply(late)
	require.Equal(t, StateDead, stateOf(d, 2), "a late alive message is ignored")
	runUnanswered(d, 5*time.Minute)
	_, known := d.Lookup(2)
	require.False(t, known)
	require.Len(t, d.Snapshot(), 1)
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	d := newDetector(testMember(2, "other"))
	before := d.Snapshot()
	for _, version := range []uint64{7, 6} {
		d.Handle(d.now, "10.0.0.2:7400", Message{From: 2, To: 1, ConfigVersion: version, Body: Gossip{}})
	}
	require.EqualValues(t, 7, d.Snapshot()[0].ConfigVersion)
	require.Zero(t, before[0].ConfigVersion, "an older snapshot is not modified")
	d.SetConfigVersion(9)
	d.SetConfigVersion(8)
	require.EqualValues(t, 9, d.Self().ConfigVersion)
}

func TestNoPacketsAfterDepart(t *testing.T) {
	d := newDetector(testMember(2, "other"))
	out := d.Depart()
	require.Len(t, out, 1)
	require.Equal(t, Member{ID: 1, Incarnation: 1, State: StateDead}, out[0].Message.Updates[0])
	require.Empty(t, runUnanswered(d, 5*time.Second))
}

func TestInvalidMemberRejected(t *testing.T) {
	long := string(make([]byte, 65))
	for name, change := range map[string]func(*Member){
		"no id":        func(m *Member) { m.ID = 0 },
		"state":        func(m *Member) { m.State = stateCount },
		"name":         func(m *Member) { m.Name = long },
		"address":      func(m *Member) { m.Address = long },
		"HTTP address": func(m *Member) { m.HTTP = long },
		"site":         func(m *Member) { m.Site = long },
	} {
		t.Run(name, func(t *testing.T) {
			m := testMember(2, "other")
			require.NoError(t, m.Validate())
			change(&m)
			require.True(t, ErrMember.Has(m.Validate()))
		})
	}
}
