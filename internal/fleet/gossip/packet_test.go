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

func newEndpoint(t *testing.T, id uint64, keys gossip.Keys, log gossip.Logger) *gossip.Endpoint {
	t.Helper()
	m := membership.Member{Name: "entry", ID: id, Address: address(int(id)), HTTP: address(int(id))}
	opts := membership.Options{Seeds: []string{address(1), address(2)}}
	e, err := gossip.NewEndpoint(m, opts, keys, rand.New(rand.NewSource(int64(id))), log)
	require.NoError(t, err)
	return e
}

// firstPacket returns the first packet of an endpoint, which is its join digest.
func firstPacket(t *testing.T, e *gossip.Endpoint) []byte {
	t.Helper()
	packets := e.Tick(0)
	require.NotEmpty(t, packets)
	return packets[0].Data
}

func rejections(e *gossip.Endpoint, reason gossip.Reason) uint64 {
	return e.Counters().Refused[reason].Packets
}

// UDP accepts packets from anyone: made up, damaged, truncated, too long or recorded ones, or
// those of a router from another fleet configured with this address. Each must be counted under
// its own reason and change nothing, or routers act on packets from outside their fleet.
func TestInvalidPacketsRejected(t *testing.T) {
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
		{"forged authentication code", fleetKeys, flip(-1), gossip.ReasonForged},
		{"truncated by one byte", fleetKeys, func(p []byte) []byte { return p[:len(p)-1] }, gossip.ReasonForged},
		{"truncated in the header", fleetKeys, func(p []byte) []byte { return p[:20] }, gossip.ReasonShort},
		{"empty", fleetKeys, func([]byte) []byte { return nil }, gossip.ReasonShort},
		{"oversized", fleetKeys, func([]byte) []byte { return make([]byte, gossip.MaxPacket+1) }, gossip.ReasonOversized},
		{"other version", fleetKeys, flip(0), gossip.ReasonVersion},
		{"wrong fleet key", other, bytes.Clone, gossip.ReasonForged},
		{"unknown key id", newKey, bytes.Clone, gossip.ReasonUnknownKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			receiver := newEndpoint(t, 2, fleetKeys, nil)
			packet := c.change(firstPacket(t, newEndpoint(t, 1, c.keys, nil)))
			require.Empty(t, receiver.Receive(0, address(1), packet))
			require.EqualValues(t, 1, rejections(receiver, c.want))
			require.Len(t, receiver.Detector().Members(), 1)
			require.Zero(t, gossip.Total(receiver.Counters().In))
		})
	}
}

// A recorded announcement that is sent again later has a valid authentication code, and only its
// sequence number reveals it. If it were accepted, a dead router would reappear again and again.
func TestReplayedPacketRejected(t *testing.T) {
	var lines int
	receiver := newEndpoint(t, 2, fleetKeys, func(string, ...any) { lines++ })
	packet := firstPacket(t, newEndpoint(t, 1, fleetKeys, nil))
	require.NotEmpty(t, receiver.Receive(0, address(1), packet))
	for range 100 {
		require.Empty(t, receiver.Receive(time.Second, address(1), packet))
	}
	require.EqualValues(t, 100, rejections(receiver, gossip.ReasonReplayed))
	require.Equal(t, 1, lines, "one log line regardless of the number of packets")
}

// A new key reaches routers seconds apart. During a rotation both keys must be accepted, or
// routers lose each other. Afterwards the old key must be rejected.
func TestKeyRotationLosesNoPackets(t *testing.T) {
	old := fleetKeys.Active
	fresh := gossip.Key{ID: 2, Secret: []byte("fedcba9876543210")}
	steps := []gossip.Keys{
		{Active: old}, {Active: old, Other: &fresh}, {Active: fresh, Other: &old}, {Active: fresh},
	}
	for n := range len(steps) - 1 {
		a, b := newEndpoint(t, 1, steps[n], nil), newEndpoint(t, 2, steps[n+1], nil)
		b.Receive(0, address(1), firstPacket(t, a))
		require.EqualValues(t, 1, gossip.Total(b.Counters().In).Packets, "step %d, forward", n)
		a.Receive(0, address(2), firstPacket(t, b))
		require.EqualValues(t, 1, gossip.Total(a.Counters().In).Packets, "step %d, back", n)
	}
	last := newEndpoint(t, 2, steps[3], nil)
	require.Empty(t, last.Receive(0, address(1), firstPacket(t, newEndpoint(t, 1, steps[1], nil))))
	require.EqualValues(t, 1, rejections(last, gossip.ReasonUnknownKey))
	require.Error(t, last.SetKeys(gossip.Keys{Active: old, Other: &old}))
	require.Error(t, last.SetKeys(gossip.Keys{Active: gossip.Key{ID: 3, Secret: []byte("short")}}))
}

func TestDatagramDeliveredOnce(t *testing.T) {
	a, b := newEndpoint(t, 1, fleetKeys, nil), newEndpoint(t, 2, fleetKeys, nil)
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

	other := newEndpoint(t, 3, fleetKeys, nil)
	other.OnDatagram(7, func(uint64, []byte) { t.Error("datagram for another instance delivered") })
	require.NotEmpty(t, other.Receive(0, address(1), packets[0].Data), "answered with NotMe")

	_, err = a.Datagram(2, 7, make([]byte, gossip.MaxDatagram+1))
	require.True(t, gossip.ErrTooLarge.Has(err))
	_, err = a.Datagram(99, 7, nil)
	require.True(t, gossip.ErrUnknownMember.Has(err))
}

// The driver on real sockets: two routers find each other, a datagram and an item arrive, and a
// clean exit is detected. The test waits for callbacks rather than for time.
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
