package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readEvents returns the events of r as strings, and the final error.
func readEvents(r io.Reader, limit int) ([]string, error) {
	s := newSSEReader(r, limit)
	events := []string{}
	for {
		ev, err := s.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(ev.id)+"|"+string(ev.data))
	}
}

// FuzzSSE checks that events don't depend on how the bytes arrive, stay within
// their bound, and that a cut body yields a prefix of the whole one's events.
func FuzzSSE(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {}\n\ndata: [DONE]\n\n"), uint16(5))
	f.Add([]byte(": c\r\nid:1\r\ndata: a\r\ndata: b\r\n\r\n"), uint16(20))
	f.Add([]byte("data\n\n\n\nid\ndata:\n\n"), uint16(0))
	f.Add([]byte("data: "+strings.Repeat("x", 5000)+"\n\n"), uint16(4999))
	f.Fuzz(func(t *testing.T, body []byte, cut uint16) {
		const limit = 4500
		whole, err := readEvents(bytes.NewReader(body), limit)
		require.True(t, errors.Is(err, io.EOF) || ErrTooLarge.Has(err), "%v", err)
		for _, ev := range whole {
			require.LessOrEqual(t, len(ev), 2*limit+1)
		}
		bytewise, _ := readEvents(iotest.OneByteReader(bytes.NewReader(body)), limit)
		require.Equal(t, whole, bytewise)
		part, _ := readEvents(bytes.NewReader(body[:min(int(cut), len(body))]), limit)
		require.LessOrEqual(t, len(part), len(whole))
		require.Equal(t, part, whole[:len(part):len(part)])
	})
}

// Symptom: "did not run" for a request that is written a moment later.
// Sequence: the deadline passes between the connection and the first write.
// Cause: the transport writes in a goroutine of its own.
func TestSealDecidesTheRace(t *testing.T) {
	peer := func() (*countedConn, func()) {
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		return &countedConn{Conn: a}, func() { _ = a.Close() }
	}
	t.Run("sealed first: the write fails", func(t *testing.T) {
		c, stop := peer()
		defer stop()
		require.True(t, c.sealUnless(c.count()))
		_, err := c.Write([]byte("x"))
		require.ErrorIs(t, err, net.ErrClosed)
	})
	t.Run("written first: no seal", func(t *testing.T) {
		c, stop := peer()
		defer stop()
		before := c.count()
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		require.False(t, c.sealUnless(before))
		_, err = c.Write([]byte("y"))
		require.NoError(t, err)
	})
}
