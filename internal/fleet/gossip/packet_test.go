package gossip_test

import (
	"bytes"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

func endpoint(t *testing.T, id uint64, keys gossip.Keys, log gossip.Logger) *gossip.Endpoint {
	t.Helper()
	m := membership.Member{Name: "entry", ID: id, Address: address(int(id)), HTTP: address(int(id))}
	opts := membership.Options{Seeds: []string{address(1), address(2)}}
	e, err := gossip.NewEndpoint(m, opts, keys, rand.New(rand.NewSource(int64(id))), log)
	require.NoError(t, err)
	return e
}

// firstPacket returns the join packet of an endpoint.
func firstPacket(t *testing.T, e *gossip.Endpoint) []byte {
	t.Helper()
	packets := e.Tick(0)
	require.NotEmpty(t, packets)
	return packets[0].Data
}

func refusals(e *gossip.Endpoint, reason gossip.Reason) uint64 {
	return e.Counters().Refused[reason].Packets
}

// Symptom: a router acts on packets that no router of its fleet sent.
// Sequence: someone on the network sends made-up, damaged, truncated, inflated
// or recorded packets, or a router of another fleet is configured with our
// address.
// Cause: UDP accepts anything from anyone. Each of these must be counted under
// its own reason and change nothing.
func TestRefusedPackets(t *testing.T) {
	flip := func(at int) func([]byte) []byte {
		return func(p []byte) []byte {
			p = bytes.Clone(p)
			p[(at+len(p))%len(p)] ^= 1
			return p
		}
	}
	other := gossip.Keys{Active: gossip.Key{ID: 1, Secret: []byte("another fleet's key")}}
	newKey := gossip.Keys{Active: gossip.Key{ID: 9, Secret: []byte("another fleet's key")}}
	for _, c := range []struct {
		name   string
		keys   gossip.Keys
		change func([]byte) []byte
		want   gossip.Reason
	}{
		{"forged body", fleetKeys, flip(30), gossip.ReasonForged},
		{"forged sender", fleetKeys, flip(2), gossip.ReasonForged},
		{"forged sequence", fleetKeys, flip(17), gossip.ReasonForged},
		{"forged code", fleetKeys, flip(-1), gossip.ReasonForged},
		{"cut off", fleetKeys, func(p []byte) []byte { return p[:len(p)-1] }, gossip.ReasonForged},
		{"cut off in the header", fleetKeys, func(p []byte) []byte { return p[:20] }, gossip.ReasonShort},
		{"empty", fleetKeys, func([]byte) []byte { return nil }, gossip.ReasonShort},
		{"oversized", fleetKeys, func([]byte) []byte { return make([]byte, gossip.MaxPacket+1) }, gossip.ReasonOversized},
		{"other version", fleetKeys, flip(0), gossip.ReasonVersion},
		{"wrong fleet key", other, bytes.Clone, gossip.ReasonForged},
		{"unknown key id", newKey, bytes.Clone, gossip.ReasonUnknownKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			receiver := endpoint(t, 2, fleetKeys, nil)
			packet := c.change(firstPacket(t, endpoint(t, 1, c.keys, nil)))
			require.Empty(t, receiver.Receive(0, address(1), packet))
			require.EqualValues(t, 1, refusals(receiver, c.want))
			require.Len(t, receiver.Detector().Members(), 1)
			require.Zero(t, gossip.Total(receiver.Counters().In))
		})
	}
}

// Symptom: a dead router comes back to life for a while, again and again.
// Sequence: a packet in which it announces itself is recorded and sent later.
// Cause: the code of a replayed packet is right. Only its number tells.
func TestReplayedPacket(t *testing.T) {
	var lines int
	receiver := endpoint(t, 2, fleetKeys, func(string, ...any) { lines++ })
	packet := firstPacket(t, endpoint(t, 1, fleetKeys, nil))
	require.NotEmpty(t, receiver.Receive(0, address(1), packet))
	for range 100 {
		require.Empty(t, receiver.Receive(time.Second, address(1), packet))
	}
	require.EqualValues(t, 100, refusals(receiver, gossip.ReasonReplayed))
	require.Equal(t, 1, lines, "one log line, however many packets")
}

// Symptom: routers lose each other while the fleet key is replaced.
// Sequence: the new key reaches one router seconds before another.
// Cause: a packet under the one key meets a router that has only the other.
// Both must be valid at once, and the old one must be refused afterwards.
func TestKeyRotation(t *testing.T) {
	old := fleetKeys.Active
	fresh := gossip.Key{ID: 2, Secret: []byte("fedcba9876543210")}
	steps := []gossip.Keys{
		{Active: old}, {Active: old, Other: &fresh}, {Active: fresh, Other: &old}, {Active: fresh},
	}
	for n := range len(steps) - 1 {
		a, b := endpoint(t, 1, steps[n], nil), endpoint(t, 2, steps[n+1], nil)
		b.Receive(0, address(1), firstPacket(t, a))
		require.EqualValues(t, 1, gossip.Total(b.Counters().In).Packets, "step %d, forward", n)
		a.Receive(0, address(2), firstPacket(t, b))
		require.EqualValues(t, 1, gossip.Total(a.Counters().In).Packets, "step %d, back", n)
	}
	last := endpoint(t, 2, steps[3], nil)
	require.Empty(t, last.Receive(0, address(1), firstPacket(t, endpoint(t, 1, steps[1], nil))))
	require.EqualValues(t, 1, refusals(last, gossip.ReasonUnknownKey))
	require.Error(t, last.SetKeys(gossip.Keys{Active: old, Other: &old}))
	require.Error(t, last.SetKeys(gossip.Keys{Active: gossip.Key{ID: 3, Secret: []byte("short")}}))
}

func TestDatagram(t *testing.T) {
	a, b := endpoint(t, 1, fleetKeys, nil), endpoint(t, 2, fleetKeys, nil)
	a.Receive(0, address(2), firstPacket(t, b))
	var got [][]byte
	b.OnDatagram(7, func(from uint64, payload []byte) {
		require.EqualValues(t, 1, from)
		got = append(got, payload)
	})
	payload := bytes.Repeat([]byte{0xff}, gossip.MaxDatagram)
	packets, err := a.Datagram(2, 7, payload)
	require.NoError(t, err)
	require.LessOrEqual(t, len(packets[0].Data), gossip.MaxPacket)
	b.Receive(0, address(1), packets[0].Data)
	b.Receive(0, address(1), packets[0].Data)
	require.Equal(t, [][]byte{payload}, got, "delivered once")

	other := endpoint(t, 3, fleetKeys, nil)
	other.OnDatagram(7, func(uint64, []byte) { t.Error("meant for another instance") })
	require.NotEmpty(t, other.Receive(0, address(1), packets[0].Data), "answered with not-me")

	_, err = a.Datagram(2, 7, make([]byte, gossip.MaxDatagram+1))
	require.True(t, gossip.ErrTooLarge.Has(err))
	_, err = a.Datagram(99, 7, nil)
	require.True(t, gossip.ErrUnknownMember.Has(err))
}

// The driver on real sockets: two routers find each other, a payload and an
// item arrive, and a clean exit is seen. It waits for callbacks, not for time.
func TestDriver(t *testing.T) {
	start := func(name string, seeds ...string) *gossip.Driver {
		d, err := gossip.Listen(gossip.Config{
			Listen:  "127.0.0.1:0",
			Self:    membership.Member{Name: name, HTTP: "127.0.0.1:1"},
			Options: membership.Options{Seeds: seeds},
			Keys:    fleetKeys,
		})
		require.NoError(t, err)
		t.Cleanup(d.Close)
		return d
	}
	a := start("a")
	b := start("b", a.Self().Address)

	seen := make(chan membership.State, 64)
	require.NoError(t, a.OnChange(func(list []membership.Member) {
		for _, m := range list {
			if m.ID == b.Self().ID {
				seen <- m.State
			}
		}
	}))
	for <-seen != membership.StateAlive {
	}

	payloads := make(chan string, 1)
	b.OnDatagram(1, func(_ uint64, p []byte) { payloads <- string(p) })
	items := make(chan membership.Item, 1)
	require.NoError(t, b.OnItem(func(i membership.Item) { items <- i }))
	require.NoError(t, a.SendTo(b.Self().ID, 1, []byte("load")))
	require.Equal(t, "load", <-payloads)
	item := membership.Item{Kind: 1, Key: "config", Version: 4, Value: []byte("head")}
	require.NoError(t, a.Broadcast(item))
	require.Equal(t, item, <-items)
	require.True(t, membership.ErrItem.Has(a.Broadcast(membership.Item{Kind: 1, Key: "config"})))

	require.NoError(t, b.Leave())
	for <-seen != membership.StateLeaving {
	}
	b.Close()
	for <-seen != membership.StateDead {
	}
	require.True(t, gossip.ErrUnknownMember.Has(a.SendTo(b.Self().ID, 1, nil)))
}
