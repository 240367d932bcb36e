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

func TestStreamWholeAnswer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		e, c, l := newEngine(t, engine.Defaults("e1", "m"))
		req := chatRequest(30, "hello", "again")
		for i := range 3 {
			s, err := c.Stream(t.Context(), chatCall(fmt.Sprint("r", i), req))
			require.NoError(t, err)
			words, err := readAll(s)
			require.NoError(t, err)
			require.Equal(t, engine.Answer(req), words)
			s.Close()
		}
		require.Equal(t, map[string]int{"r0": 1, "r1": 1, "r2": 1}, e.Stats().Runs)
		require.EqualValues(t, 1, l.dials.Load(), "whole streams give their connection back")
	})
}

// Symptom: a caller sees half an answer as whole, or a chunk of another answer.
// Sequence: the engine ends, cuts or mixes up a stream in the ways below.
// Cause: trusting the end of a body, or the order and owner of its events.
func TestStreamRefusesDoubtfulStreams(t *testing.T) {
	c0, c1 := chunk("r", 0), chunk("r", 1)
	long := strings.Repeat("x", upstream.DefaultMaxEvent)
	cases := []struct {
		name string
		body string
		want *errs.Class
	}{
		{"no end marker", c0 + c1, &upstream.ErrIncomplete},
		{"empty body", "", &upstream.ErrIncomplete},
		{"end marker without blank line", c0 + "data: [DONE]\n", &upstream.ErrIncomplete},
		{"cut within an event", c0 + c1[:len(c1)-2], &upstream.ErrIncomplete},
		{"gap", c0 + chunk("r", 2) + done, &upstream.ErrOffset},
		{"first chunk missing", c1 + done, &upstream.ErrOffset},
		{"chunk twice", c0 + c0 + done, &upstream.ErrOffset},
		{"chunk of another request", c0 + chunk("q", 1) + done, &upstream.ErrMismatch},
		{"chunk of a request with our id as prefix", c0 + chunk("r2", 1) + done, &upstream.ErrMismatch},
		{"chunk without id", "id: 0\ndata: {}\n\n" + done, &upstream.ErrMismatch},
		{"chunk that is no JSON", "id: 0\ndata: oops\n\n" + done, &upstream.ErrMalformed},
		{"event without offset", "data: {\"id\":\"r\"}\n\n" + done, &upstream.ErrMalformed},
		{"negative offset", "id: -1\ndata: {\"id\":\"r\"}\n\n" + done, &upstream.ErrMalformed},
		{"line too long", "data: " + long + "\n\n" + done, &upstream.ErrTooLarge},
		{"event too long", strings.Repeat("data: "+long[:1<<14]+"\n", 5) + "\n", &upstream.ErrTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := newClient(t, listen(t, sse(tc.body)), upstream.Options{})
				s, err := c.Stream(t.Context(), upstream.Call{Address: address, RequestID: "r"})
				require.NoError(t, err)
				_, err = readAll(s)
				f := requireFailure(t, err, upstream.SentNoReply)
				require.True(t, tc.want.Has(f), "%v", f)
				_, again := s.Next()
				require.Equal(t, err, again, "a failed stream stays failed")
			})
		})
	}
}

func TestStreamAcceptsOtherSpellings(t *testing.T) {
	cases := map[string]string{
		"carriage returns":   strings.ReplaceAll(chunk("r", 0)+done, "\n", "\r\n"),
		"comments":           ": hello\n\n" + chunk("r", 0) + ":\n" + done,
		"other field order":  "data: {\"offset\":0,\"id\":\"r\"}\nid: 0\n\n" + done,
		"unknown fields":     "event: x\nretry: 5\n" + chunk("r", 0) + done,
		"no space":           "id:0\ndata:{\"id\":\"r\"}\n\n" + done,
		"data in two lines":  "id: 0\ndata: {\"id\":\ndata: \"r\"}\n\n" + done,
		"bytes after marker": chunk("r", 0) + done + strings.Repeat("x", 1<<12),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := newClient(t, listen(t, sse(body)), upstream.Options{})
				s, err := c.Stream(t.Context(), upstream.Call{Address: address, RequestID: "r"})
				require.NoError(t, err)
				ev, err := s.Next()
				require.NoError(t, err)
				require.JSONEq(t, `{"id":"r"}`, strings.Replace(strings.Replace(string(ev.Data), `"offset":0,`, "", 1), `,"offset":0`, "", 1))
				ev, err = s.Next()
				require.NoError(t, err)
				require.True(t, ev.Done)
				s.Close()
			})
		})
	}
}

// Symptom: an answer stops in the middle, or shows a foreign line.
// Sequence: the engine's connection fails after five chunks in one of the ways
// below, while the engine itself works on; the stream is resumed.
// Cause: each must be noticed as what it is, and the rest must come over a new
// connection.
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
			bubble(t, func(t *testing.T) {
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

// Symptom: a stream to a slow caller is broken off as silent.
// Sequence: the caller takes longer for a chunk than the idle gap.
// Cause: the timer has to run only while the engine is waited for.
func TestStreamSlowReaderIsNotIdle(t *testing.T) {
	bubble(t, func(t *testing.T) {
		_, c, _ := newEngine(t, engine.Defaults("e1", "m"))
		s, err := c.Stream(t.Context(), chatCall("r", chatRequest(4, "x")))
		require.NoError(t, err)
		for ev := (upstream.Event{}); !ev.Done; {
			time.Sleep(10 * upstream.DefaultIdleGap)
			ev, err = s.Next()
			require.NoError(t, err)
		}
		s.Close()
	})
}

// Symptom: a caller receives the answer to an earlier request.
// Sequence: request "a" times out; its answer comes late; request "b" follows.
// Cause: a timed-out connection that goes back to the pool.
func TestLateAnswerReachesNobody(t *testing.T) {
	bubble(t, func(t *testing.T) {
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

// Symptom: as above, but the upstream itself mixes up its replies.
// Cause: replies have to be compared with the request they are for.
func TestRepliesOfAnotherRequestAreRefused(t *testing.T) {
	cases := map[string]struct{ header, body string }{
		"header":    {"b", `{"id":"a"}`},
		"body":      {"a", `{"id":"b"}`},
		"no header": {"", `{"id":"a"}`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
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
