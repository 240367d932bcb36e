package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readEvents returns the events of r as strings, and the final error.
func readEvents(r io.Reader, limit int) ([]string, error) {
	s := NewReader(r, limit)
	events := []string{}
	for {
		ev, err := s.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(ev.ID)+"|"+string(ev.Data))
	}
}

// FuzzReader checks that events don't depend on how the bytes arrive, stay within
// their bound, and that a cut body yields a prefix of the whole one's events.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {}\n\ndata: [DONE]\n\n"), uint16(5))
	f.Add([]byte(": c\r\nid:1\r\ndata: a\r\ndata: b\r\n\r\n"), uint16(20))
	f.Add([]byte("data\n\n\n\nid\ndata:\n\n"), uint16(0))
	f.Add([]byte("data: "+strings.Repeat("x", 5000)+"\n\n"), uint16(4999))
	f.Fuzz(func(t *testing.T, body []byte, cut uint16) {
		const limit = 4500
		whole, err := readEvents(bytes.NewReader(body), limit)
		require.True(t, errors.Is(err, io.EOF) || ErrTooLong.Has(err), "%v", err)
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

// Symptom: a caller waits for an answer on a connection that is dead.
// Sequence: the router sends heartbeats between two events; the caller's timer
// for silence is reset by them, and only by them, until the next event.
// Cause: a reader that skips comments without a word hides the heartbeats; one
// that takes other lines for them hides the silence.
func TestReaderReportsHeartbeatsOnly(t *testing.T) {
	r := NewReader(strings.NewReader("\nretry: 1\nother\n"+Heartbeat+Heartbeat+"data: x\n\n"), 0)
	heard := 0
	r.OnComment = func() { heard++ }
	ev, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "x", string(ev.Data))
	require.Equal(t, 2, heard)
}

func TestReaderReadsWhatAppendEventWrote(t *testing.T) {
	stream := AppendEvent(AppendEvent(nil, 12, []byte("a")), NoID, []byte("b"))
	r := NewReader(bytes.NewReader(stream), 0)
	ev, err := r.Next()
	require.NoError(t, err)
	id, ok := ParseID(ev.ID)
	require.True(t, ok)
	require.Equal(t, 12, id)
	require.Equal(t, "a", string(ev.Data))
	ev, err = r.Next()
	require.NoError(t, err)
	require.Empty(t, ev.ID)
	require.Equal(t, "b", string(ev.Data))
	_, err = r.Next()
	require.ErrorIs(t, err, io.EOF)
}

func TestParseIDRefuses(t *testing.T) {
	for _, id := range []string{"", "-1", "+1", "1a", " 1", "1234567890"} {
		_, ok := ParseID([]byte(id))
		require.False(t, ok, "%q", id)
	}
}

// BenchmarkOpen reads a stream of one event, to show what a stream costs.
func BenchmarkOpen(b *testing.B) {
	stream := AppendEvent(nil, 0, []byte("{}"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewReader(bytes.NewReader(stream), 0).Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// Symptom: a caller's event is cut, and its stream fails.
// Sequence: an engine sends an event in several data lines; the reader joins
// them with line breaks, and the writer writes them raw.
func TestDataWithLineBreaksRoundTrips(t *testing.T) {
	for _, data := range []string{"one", "one\ntwo", "one\n\nthree", "ends\n"} {
		r := NewReader(bytes.NewReader(AppendEvent(nil, 7, []byte(data))), 0)
		ev, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, data, string(ev.Data))
	}
}
