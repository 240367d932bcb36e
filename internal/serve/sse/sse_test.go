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

// readEvents returns the events of r as strings, and the error that ended the
// stream.
func readEvents(r io.Reader, limit int) ([]string, error) {
	reader := NewReader(r, limit)
	events := []string{}
	for {
		ev, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(ev.ID)+"|"+string(ev.Data))
	}
}

// FuzzReader checks that events don't depend on how the bytes arrive, stay
// within the limit, and that a truncated body yields a prefix of the events of
// the full one.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {}\n\ndata: [DONE]\n\n"), uint16(5))
	f.Add([]byte(": c\r\nid:1\r\ndata: a\r\ndata: b\r\n\r\n"), uint16(20))
	f.Add([]byte("data\n\n\n\nid\ndata:\n\n"), uint16(0))
	f.Add([]byte("data: "+strings.Repeat("x", 5000)+"\n\n"), uint16(4999))
	f.Fuzz(func(t *testing.T, body []byte, length uint16) {
		const limit = 4500
		full, err := readEvents(bytes.NewReader(body), limit)
		require.True(t, errors.Is(err, io.EOF) || ErrTooLong.Has(err), "%v", err)
		for _, ev := range full {
			require.LessOrEqual(t, len(ev), 2*limit+1)
		}
		byByte, _ := readEvents(iotest.OneByteReader(bytes.NewReader(body)), limit)
		require.Equal(t, full, byByte)
		truncated, _ := readEvents(bytes.NewReader(body[:min(int(length), len(body))]), limit)
		require.LessOrEqual(t, len(truncated), len(full))
		require.Equal(t, truncated, full[:len(truncated):len(truncated)])
	})
}

// A caller's idle timeout is reset by heartbeats between events, but must not
// be reset by other lines. A reader that hides comments makes a live connection
// look dead; one that reports other lines as comments makes a dead one look
// alive.
func TestReaderReportsOnlyComments(t *testing.T) {
	r := NewReader(strings.NewReader("\nretry: 1\nother\n"+Heartbeat+Heartbeat+"data: x\n\n"), 0)
	comments := 0
	r.OnComment = func() { comments++ }
	ev, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "x", string(ev.Data))
	require.Equal(t, 2, comments)
}

func TestAppendedEventsAreReadBack(t *testing.T) {
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

func TestParseIDRejectsMalformedIDs(t *testing.T) {
	for _, id := range []string{"", "-1", "+1", "1a", " 1", "1234567890"} {
		_, ok := ParseID([]byte(id))
		require.False(t, ok, "%q", id)
	}
}

// BenchmarkOpen reads a stream of one event, to measure the cost of a stream.
func BenchmarkOpen(b *testing.B) {
	stream := AppendEvent(nil, 0, []byte("{}"))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewReader(bytes.NewReader(stream), 0).Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// An engine may send an event in several data lines, which the reader joins
// with newlines. Written raw, the newlines would truncate the event and fail
// the caller's stream.
func TestDataWithNewlinesRoundTrips(t *testing.T) {
	for _, data := range []string{"one", "one\ntwo", "one\n\nthree", "ends\n"} {
		r := NewReader(bytes.NewReader(AppendEvent(nil, 7, []byte(data))), 0)
		ev, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, data, string(ev.Data))
	}
}
