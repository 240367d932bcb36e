package gossip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

func sampleMessages() []membership.Message {
	full := membership.Member{
		Name: "entry-1", ID: 1 << 63, Address: "10.0.0.1:7400", HTTP: "10.0.0.1:80", Site: "ankara-1",
		Generation: 3, Incarnation: 2, State: membership.StateLeaving, ConfigVersion: 900,
	}
	dead := membership.Member{ID: 7, Incarnation: 1, State: membership.StateDead}
	item := membership.Item{Kind: 1, Key: "config", Version: 5, Value: []byte("head")}
	bodies := []membership.Body{
		membership.Ping{Seq: 1}, membership.Ack{Seq: 1 << 31},
		membership.PingRequest{Seq: 2, Target: 9, Address: "10.0.0.1:1"},
		membership.RelayAck{Seq: 2, Target: 9}, membership.NotMe{Wanted: 4}, membership.Gossip{},
		membership.Digest{Members: [16]uint32{1, 2}, Items: 3, Reply: true}, membership.Page{},
		membership.Datagram{Channel: 2, Payload: []byte("load")},
	}
	var list []membership.Message
	for _, b := range bodies {
		list = append(list, membership.Message{
			To: 12, ConfigVersion: 34, Body: b,
			Updates: []membership.Member{full, dead}, Items: []membership.Item{item},
		})
	}
	return list
}

func encode(t testing.TB, m membership.Message) []byte {
	var buf bytes.Buffer
	require.NoError(t, encodeMessage(&buf, m))
	return buf.Bytes()
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		t.Run(m.Body.Kind().String(), func(t *testing.T) {
			data := encode(t, m)
			got, err := decodeMessage(data)
			require.NoError(t, err)
			require.Equal(t, m, got)
			for n := range data {
				_, err := decodeMessage(data[:n])
				require.Error(t, err, "truncated after %d of %d bytes", n, len(data))
			}
			_, err = decodeMessage(append(data, 0))
			require.Error(t, err, "one trailing byte")
		})
	}
}

// FuzzDecode checks that no input makes the decoder panic, and that a decoded message survives
// a round trip unchanged.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		f.Add(encode(f, m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		again, err := decodeMessage(encode(t, m))
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}

func TestReplayWindow(t *testing.T) {
	for _, c := range []struct {
		name string
		seqs []uint64
		want []bool
	}{
		{"in order", []uint64{1, 2, 3}, []bool{true, true, true}},
		{"repeated", []uint64{5, 5}, []bool{true, false}},
		{"reordered", []uint64{9, 2, 9, 2}, []bool{true, true, false, false}},
		{"number 0", []uint64{0}, []bool{false}},
		{"behind the window", []uint64{windowSize + 1, 1}, []bool{true, false}},
		{"last number in the window", []uint64{windowSize + 1, 2, 2}, []bool{true, true, false}},
		{"bit position reused", []uint64{3, windowSize + 3, windowSize + 2}, []bool{true, true, true}},
		{"far jump", []uint64{1, 1 << 40, 1<<40 - 1, 1}, []bool{true, true, true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newReplayGuard()
			for n, seq := range c.seqs {
				require.Equal(t, c.want[n], g.accept(42, seq), "packet %d", n)
			}
			require.True(t, g.accept(43, c.seqs[0]+1), "sequence numbers are separate per sender")
		})
	}
}

func TestReplayGuardIsBounded(t *testing.T) {
	g := newReplayGuard()
	for id := range uint64(maxSenders + 10) {
		g.accept(id+1, 1)
	}
	require.Len(t, g.senders, maxSenders)
	require.False(t, g.accept(maxSenders+10, 1), "the newest senders are kept")
}
