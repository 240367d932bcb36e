package upstream_test

import (
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"
)

// A caller's path, method, id or header must not turn its request into a control call that loads a
// model or reads another caller's stream: some upstreams don't check the sender of a control call.
func TestForgedControlCallsRejected(t *testing.T) {
	paths := []string{
		"/v1/orders", "/V1/Orders", "/v1/orders/", "//v1/orders", "/x/../v1/orders", "/v1/./orders",
		"", "/v1/kv/export", "/v1/status", "/v1/streams/other", "/v1/cache/events", "/standin/faults",
	}
	requireRejected := func(t *testing.T, err error) {
		require.True(t, upstream.ErrCall.Has(requireFailure(t, err, upstream.NotSent)))
	}
	c := upstream.New(upstream.Options{Dial: nil})
	for _, p := range paths {
		t.Run("path "+p, func(t *testing.T) {
			call := receiptCall("r")
			call.Path = p
			_, err := c.Do(t.Context(), call)
			requireRejected(t, err)
		})
	}
	for _, id := range []string{"", ".", "..", "../orders", "a/b", "a?b", "a%2fb", "a b", "a\nb", strings.Repeat("a", 129)} {
		t.Run("id "+id, func(t *testing.T) {
			call := upstream.Call{Address: address, RequestID: id}
			_, err := c.Resume(t.Context(), call, 0)
			requireRejected(t, err)
			_, err = c.Stream(t.Context(), call)
			requireRejected(t, err)
			requireRejected(t, c.Cancel(t.Context(), call))
		})
	}
	for name, modify := range map[string]func(*upstream.Call){
		"method":                 func(c *upstream.Call) { c.Method = "CONNECT" },
		"header":                 func(c *upstream.Call) { c.ContentType = "a\r\nX-Priority: urgent" },
		"address is a host name": func(c *upstream.Call) { c.Address = "localhost:1" },
	} {
		t.Run(name, func(t *testing.T) {
			call := receiptCall("r")
			modify(&call)
			_, err := c.Do(t.Context(), call)
			requireRejected(t, err)
		})
	}
}

// Only listed headers may pass: no internal header of the router may reach an upstream, and no
// header of an upstream may reach a caller.
func TestInternalHeadersNotForwarded(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		var got http.Header
		c := newClient(t, listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			got = r.Header.Clone()
			w.Header().Set("Content-Type", "text/plain")
			w.Header().Set("Set-Cookie", "a=b")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, "no such receipt")
		})), upstream.Options{})
		res, err := c.Do(t.Context(), receiptCall("r"))
		require.NoError(t, err)
		require.Equal(t, upstream.Response{
			Status: http.StatusNotFound, ContentType: "text/plain", Body: []byte("no such receipt"),
		}, res, "a 4xx of a service is its response")
		require.Equal(t, http.Header{
			"User-Agent":              {"damaskrouter"},
			"Connection":              {"close"},
			"Content-Length":          {"17"},
			"Content-Type":            {"application/json"},
			wire.HeaderRequestID:      {"r"},
			wire.HeaderIdempotencyKey: {"key-r"},
		}, got)
	})
}

// A truncated body must not be returned as complete, and an oversized one must not
// exhaust the memory.
func TestIncompleteOrOversizedBodyRejected(t *testing.T) {
	cases := map[string]func(w http.ResponseWriter){
		"cut":       func(w http.ResponseWriter) { w.Header().Set("Content-Length", "9") },
		"too large": func(w http.ResponseWriter) { _, _ = io.WriteString(w, strings.Repeat("x", 101)) },
		"without length": func(w http.ResponseWriter) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nhalf")
				_ = conn.Close()
			}
		},
	}
	for name, write := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newClient(t, listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					write(w)
				})), upstream.Options{MaxBody: 100})
				_, err := c.Do(t.Context(), receiptCall("r"))
				f := requireFailure(t, err, upstream.SentNoReply)
				require.True(t, upstream.ErrIncomplete.Has(f) || upstream.ErrTooLarge.Has(f), "%v", f)
			})
		})
	}
}

// A VM is replaced by one with the same IP address. The new engine must not execute requests meant
// for the old one, nor may its status and events be attributed to the old one.
func TestReplacedEngineDetected(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		e, c, _ := newEngine(t, engine.Defaults("e1", "m"))
		call := chatCall("r", chatRequest(1, "x"))
		call.Name, call.Incarnation = "e1", 1
		_, err := c.Status(t.Context(), call)
		require.NoError(t, err)
		e.Restart()
		st, err := c.Status(t.Context(), call)
		require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.Replied)))
		require.EqualValues(t, 2, st.Incarnation)
		_, err = c.Events(t.Context(), call, 0)
		require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.Replied)))
		_, err = c.Stream(t.Context(), call)
		require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.RefusedBeforeExecuting)))
		call.Name, call.Incarnation = "e2", 0
		_, err = c.Status(t.Context(), call)
		require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.Replied)))
		// The incarnations are equal by chance, so only the name distinguishes them.
		call.Incarnation = 2
		_, err = c.Stream(t.Context(), call)
		require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.RefusedBeforeExecuting)))
		_, err = c.Events(t.Context(), call, 0)
		require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.RefusedBeforeExecuting)))
		require.Empty(t, e.Stats().Runs)
	})
}

// As TestReplacedEngineDetected, with an upstream that doesn't check the identity in
// the request: the response headers must be checked.
func TestResponseOfWrongUpstreamRejected(t *testing.T) {
	for header, value := range map[string]string{protocol.HeaderName: "e2", wire.HeaderIncarnation: "8"} {
		t.Run(header, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				respond := sseHandler(endMarker)
				c := newClient(t, listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(header, value)
					respond(w, r)
				})), upstream.Options{})
				call := receiptCall("r")
				call.Name, call.Incarnation = "e1", 7
				_, err := c.Do(t.Context(), call)
				require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.SentNoReply)))
				_, err = c.Stream(t.Context(), call)
				require.True(t, upstream.ErrIdentity.Has(requireFailure(t, err, upstream.SentNoReply)))
			})
		})
	}
}

// Events are delayed and some are lost. The gap must be reported, since the known
// state of the cache would otherwise be wrong without notice.
func TestMissingEventsReported(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		e, c, _ := newEngine(t, engine.Defaults("e1", "m"))
		call := upstream.Call{Address: address, RequestID: "ev"}
		events := func(after uint64) upstream.EventPage {
			page, err := c.Events(t.Context(), call, after)
			require.NoError(t, err)
			return page
		}
		execute := func(id string, contents ...string) {
			s, err := c.Stream(t.Context(), chatCall(id, chatRequest(1, contents...)))
			require.NoError(t, err)
			_, err = readAll(s)
			require.NoError(t, err)
			s.Close()
		}
		execute("r0", "x", "y")
		require.Empty(t, events(0).Events, "events are delayed")
		time.Sleep(time.Second)
		page := events(0)
		require.Len(t, page.Events, 3)
		require.False(t, page.Gap)
		e.Inject(engine.Fault{Kind: engine.FaultEventGap, After: 1})
		execute("r1", "z")
		time.Sleep(time.Second)
		page = events(page.Next)
		require.Len(t, page.Events, 1)
		require.True(t, page.Gap)
		require.Empty(t, events(page.Next).Events)
	})
}

// A chat that moves to another engine must reuse the exported cache instead of being
// prefilled again.
func TestExportedCacheUsedByOtherEngine(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		_, from, _ := newEngine(t, engine.Defaults("e1", "m"))
		e2, to, _ := newEngine(t, engine.Defaults("e2", "m"))
		req := chatRequest(10, strings.Repeat("dossier ", 100))
		call := chatCall("r", req)
		s, err := from.Stream(t.Context(), call)
		require.NoError(t, err)
		_, err = readAll(s)
		require.NoError(t, err)
		s.Close()
		req.Messages = append(req.Messages, wire.Message{Role: "assistant", Content: engine.AnswerText(req)})
		prefix := chat.Boundaries(req.Model, "", req.Messages)
		last := prefix[len(prefix)-1]
		kv, err := from.Export(t.Context(), call, last.Hash)
		require.NoError(t, err)
		require.NoError(t, to.Import(t.Context(), call, kv))
		require.Error(t, to.Import(t.Context(), call, kv[:10]), "a truncated import is rejected")
		_, err = from.Export(t.Context(), call, 1)
		requireFailure(t, err, upstream.RefusedBeforeExecuting)
		req.Messages = append(req.Messages, wire.Message{Role: "user", Content: "and now?"})
		req.Stream = false
		res, err := to.Complete(t.Context(), chatCall("r2", req))
		require.NoError(t, err)
		require.Contains(t, string(res.Body), fmt.Sprintf(`"cached_tokens":%d`, last.Tokens))
		require.EqualValues(t, last.Tokens, e2.Stats().CachedTokens)
	})
}

// An engine must not continue to execute a canceled request. Further
// cancels have no effect.
func TestCancelStopsExecution(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		e, c, _ := newEngine(t, engine.Defaults("e1", "m"))
		call := chatCall("r", chatRequest(1000, "x"))
		s, err := c.Stream(t.Context(), call)
		require.NoError(t, err)
		_, err = s.Next()
		require.NoError(t, err)
		s.Close()
		require.NoError(t, c.Cancel(t.Context(), call))
		require.NoError(t, c.Cancel(t.Context(), call))
		call.RequestID = "unknown"
		require.NoError(t, c.Cancel(t.Context(), call))
		time.Sleep(time.Minute)
		b := e.Stats()
		require.Equal(t, 1, b.Canceled)
		require.Empty(t, b.Finished)
		require.Less(t, b.OutputTokens, int64(10))
		require.Zero(t, e.Status().Running)
	})
}

func TestServiceCallReturnsCompleteResponse(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := service.New(service.Options{Name: "portal", Deduplicates: true})
		c := newClient(t, listen(t, s.Handler()), upstream.Options{})
		for range 2 {
			res, err := c.Do(t.Context(), receiptCall("r"))
			require.NoError(t, err)
			require.JSONEq(t, `{"number":1,"kind":"receipts","key":"key-r"}`, string(res.Body))
		}
		b := s.Stats()
		require.Equal(t, map[string]int{"key-r": 1}, b.Executions)
		require.Equal(t, 1, b.Deduplicated)
	})
}

// An upstream sends a small compressed body that expands to a huge one. The limit
// must apply to the decompressed size, or one poll could exhaust the memory.
func TestDecompressedResponseBounded(t *testing.T) {
	for name, c := range map[string]struct {
		coding string
		body   func(w io.Writer)
		class  *errs.Class
	}{
		"bomb":       {"gzip", func(w io.Writer) { writeGzip(w, strings.Repeat(" ", 1<<20)) }, &upstream.ErrTooLarge},
		"garbage":    {"gzip", func(w io.Writer) { _, _ = io.WriteString(w, "not gzip") }, &upstream.ErrMalformed},
		"cut":        {"gzip", func(w io.Writer) { _, _ = w.Write([]byte{0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255, 1}) }, &upstream.ErrIncomplete},
		"unasked":    {"br", func(w io.Writer) { _, _ = io.WriteString(w, "{}") }, &upstream.ErrMalformed},
		"valid gzip": {"gzip", func(w io.Writer) { writeGzip(w, `{"incarnation":1,"next":7}`) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Encoding", c.coding)
				w.Header().Set("Content-Type", "application/json")
				c.body(w)
			}))
			defer srv.Close()
			client := upstream.New(upstream.Options{MaxBody: 64 << 10})
			defer client.Close()
			page, err := client.Events(t.Context(), upstream.Call{Address: srv.Listener.Addr().String()}, 0)
			if c.class == nil {
				require.NoError(t, err)
				require.EqualValues(t, 7, page.Next)
				return
			}
			require.True(t, c.class.Has(err), "%v", err)
		})
	}
}

func writeGzip(w io.Writer, text string) {
	z := gzip.NewWriter(w)
	_, _ = io.WriteString(z, text)
	_ = z.Close()
}
