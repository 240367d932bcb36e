package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"
)

func TestStreamReadsCompleteResponse(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		e, c, l := newEngine(t, engine.Defaults("e1", "m"))
		req := chatRequest(30, "hello", "again")
		for i := range 3 {
			s, err := c.Stream(t.Context(), chatCall(fmt.Sprint("r", i), req))
			require.NoError(t, err)
			contents, err := readAll(s)
			require.NoError(t, err)
			require.Equal(t, engine.Answer(req), contents)
			s.Close()
		}
		require.Equal(t, map[string]int{"r0": 1, "r1": 1, "r2": 1}, e.Stats().Runs)
		require.EqualValues(t, 1, l.dials.Load(), "completed streams return their connection to the pool")
	})
}

// An engine truncates a stream, or sends missing, repeated or foreign chunks. The
// caller must not receive an incomplete response as complete, nor a chunk of
// another response.
func TestInvalidStreamRejected(t *testing.T) {
	c0, c1 := chunk("r", 0), chunk("r", 1)
	longData := strings.Repeat("x", upstream.DefaultMaxEvent)
	cases := []struct {
		name string
		body string
		want *errs.Class
	}{
		{"no end marker", c0 + c1, &upstream.ErrIncomplete},
		{"empty body", "", &upstream.ErrIncomplete},
		{"end marker without a blank line", c0 + "data: [DONE]\n", &upstream.ErrIncomplete},
		{"truncated within an event", c0 + c1[:len(c1)-2], &upstream.ErrIncomplete},
		{"gap", c0 + chunk("r", 2) + endMarker, &upstream.ErrOffset},
		{"first chunk missing", c1 + endMarker, &upstream.ErrOffset},
		{"repeated chunk", c0 + c0 + endMarker, &upstream.ErrOffset},
		{"chunk of another request", c0 + chunk("q", 1) + endMarker, &upstream.ErrMismatch},
		{"chunk of a request whose id starts with this one", c0 + chunk("r2", 1) + endMarker, &upstream.ErrMismatch},
		{"chunk without id", "id: 0\ndata: {}\n\n" + endMarker, &upstream.ErrMismatch},
		{"chunk is not JSON", "id: 0\ndata: oops\n\n" + endMarker, &upstream.ErrMalformed},
		{"event without offset", "data: {\"id\":\"r\"}\n\n" + endMarker, &upstream.ErrMalformed},
		{"negative offset", "id: -1\ndata: {\"id\":\"r\"}\n\n" + endMarker, &upstream.ErrMalformed},
		{"line too long", "data: " + longData + "\n\n" + endMarker, &upstream.ErrTooLarge},
		{"event too long", strings.Repeat("data: "+longData[:1<<14]+"\n", 5) + "\n", &upstream.ErrTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newClient(t, listen(t, sseHandler(tc.body)), upstream.Options{})
				s, err := c.Stream(t.Context(), upstream.Call{Address: address, RequestID: "r"})
				require.NoError(t, err)
				_, err = readAll(s)
				f := requireFailure(t, err, upstream.SentNoReply)
				require.True(t, tc.want.Has(f), "%v", f)
				_, secondErr := s.Next()
				require.Equal(t, err, secondErr, "a failed stream stays failed")
			})
		})
	}
}

func TestStreamAcceptsSSEVariants(t *testing.T) {
	cases := map[string]string{
		"carriage returns":   strings.ReplaceAll(chunk("r", 0)+endMarker, "\n", "\r\n"),
		"comments":           ": hello\n\n" + chunk("r", 0) + ":\n" + endMarker,
		"other field order":  "data: {\"offset\":0,\"id\":\"r\"}\nid: 0\n\n" + endMarker,
		"unknown fields":     "event: x\nretry: 5\n" + chunk("r", 0) + endMarker,
		"no space":           "id:0\ndata:{\"id\":\"r\"}\n\n" + endMarker,
		"data in two lines":  "id: 0\ndata: {\"id\":\ndata: \"r\"}\n\n" + endMarker,
		"bytes after marker": chunk("r", 0) + endMarker + strings.Repeat("x", 1<<12),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newClient(t, listen(t, sseHandler(body)), upstream.Options{})
				s, err := c.Stream(t.Context(), upstream.Call{Address: address, RequestID: "r"})
				require.NoError(t, err)
				event, err := s.Next()
				require.NoError(t, err)
				require.JSONEq(t, `{"id":"r"}`, strings.Replace(strings.Replace(string(event.Data), `"offset":0,`, "", 1), `,"offset":0`, "", 1))
				event, err = s.Next()
				require.NoError(t, err)
				require.True(t, event.Done)
				s.Close()
			})
		})
	}
}

// A stream fails after five chunks while the engine continues to execute the
// request. Each failure must be detected as its own class, and the remaining chunks
// must arrive over a new connection.
func TestStreamResumesAfterFaults(t *testing.T) {
	cases := []struct {
		fault engine.FaultKind
		want  *errs.Class
	}{
		{engine.FaultHang, &upstream.ErrIdle},
		{engine.FaultCut, &upstream.ErrIncomplete},
		{engine.FaultNoEnd, &upstream.ErrIncomplete},
		{engine.FaultStaleChunk, &upstream.ErrMismatch},
	}
	for _, tc := range cases {
		t.Run(string(tc.fault), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				e, c, l := newEngine(t, engine.Defaults("e1", "m"))
				e.Inject(engine.Fault{Kind: tc.fault, After: 5, Count: 1})
				req := chatRequest(40, "dossier")
				s, err := c.Stream(t.Context(), chatCall("r", req))
				require.NoError(t, err)
				head, err := readAll(s)
				f := requireFailure(t, err, upstream.SentNoReply)
				require.True(t, tc.want.Has(f), "%v", f)
				require.Equal(t, 5, s.Offset())
				s, err = s.Resume(t.Context())
				require.NoError(t, err)
				rest, err := readAll(s)
				require.NoError(t, err)
				require.Equal(t, engine.Answer(req), append(head, rest...))
				require.Equal(t, 1, e.Stats().Runs["r"])
				require.EqualValues(t, 2, l.dials.Load())
				s.Close()
			})
		})
	}
}

// A caller takes longer to process a chunk than the idle gap. The stream must
// not time out, since the engine has not stalled.
func TestSlowReaderDoesNotCauseIdleTimeout(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		_, c, _ := newEngine(t, engine.Defaults("e1", "m"))
		s, err := c.Stream(t.Context(), chatCall("r", chatRequest(4, "x")))
		require.NoError(t, err)
		for event := (upstream.Event{}); !event.Done; {
			time.Sleep(10 * upstream.DefaultIdleGap)
			event, err = s.Next()
			require.NoError(t, err)
		}
		s.Close()
	})
}

// Request "a" times out and its response arrives later. Request "b" must not read
// it, as it would if the timed-out connection returned to the pool.
func TestDelayedResponseNotReadByNextRequest(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		l := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(wire.HeaderRequestID)
			if id == "a" {
				time.Sleep(time.Second)
			}
			w.Header().Set(wire.HeaderRequestID, id)
			_, _ = fmt.Fprintf(w, `{"id":%q}`, id)
		}))
		c := newClient(t, l, upstream.Options{})
		_, err := c.Complete(t.Context(), upstream.Call{Address: address, RequestID: "warm"})
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err = c.Complete(ctx, upstream.Call{Address: address, RequestID: "a"})
		require.True(t, upstream.ErrTimeout.Has(requireFailure(t, err, upstream.SentNoReply)))
		time.Sleep(time.Second)
		res, err := c.Complete(t.Context(), upstream.Call{Address: address, RequestID: "b"})
		require.NoError(t, err)
		require.JSONEq(t, `{"id":"b"}`, string(res.Body))
		require.EqualValues(t, 2, l.dials.Load())
	})
}

// An upstream sends the response of another request. It must be rejected by the
// request id in its header or body.
func TestResponseOfAnotherRequestRejected(t *testing.T) {
	cases := map[string]struct{ header, body string }{
		"header":    {"b", `{"id":"a"}`},
		"body":      {"a", `{"id":"b"}`},
		"no header": {"", `{"id":"a"}`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				l := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(wire.HeaderRequestID, tc.header)
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, tc.body)
				}))
				c := newClient(t, l, upstream.Options{})
				call := upstream.Call{Address: address, RequestID: "a"}
				_, err := c.Complete(t.Context(), call)
				require.True(t, upstream.ErrMismatch.Has(requireFailure(t, err, upstream.SentNoReply)))
				if tc.header == "a" {
					return
				}
				_, err = c.Stream(t.Context(), call)
				require.True(t, upstream.ErrMismatch.Has(requireFailure(t, err, upstream.SentNoReply)))
			})
		})
	}
}
