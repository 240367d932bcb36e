package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
)

// fakeRouter replies to locate requests with its addresses and passes all other
// requests to serve.
type fakeRouter struct {
	*httptest.Server
	locates   atomic.Int32
	addresses []string
	ttlMS     int64
	serve     http.HandlerFunc
}

func newFakeRouter(t *testing.T, serve http.HandlerFunc) *fakeRouter {
	f := &fakeRouter{serve: serve, ttlMS: 60_000}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != wire.PathLocate {
			f.serve(w, r)
			return
		}
		f.locates.Add(1)
		_ = json.NewEncoder(w).Encode(wire.LocateResponse{Address: f.addresses[0], Alternates: f.addresses[1:], TTLMS: f.ttlMS})
	}))
	t.Cleanup(f.Close)
	f.addresses = []string{f.address()}
	return f
}

func (f *fakeRouter) address() string { return f.Listener.Addr().String() }

func (f *fakeRouter) client(t *testing.T) *Client {
	c, err := New(Options{Seeds: []string{f.address()}, Key: "k"})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// deadAddress returns an address that refuses connections.
func deadAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

func refuseWith(e *apierr.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRan, string(e.Ran))
		w.WriteHeader(e.Status)
		_ = json.NewEncoder(w).Encode(map[string]*apierr.Error{"error": e})
	}
}

// writeStream writes the chunks from up to, but not including, end of stream id,
// and then the end marker if complete is set.
func writeStream(w http.ResponseWriter, id string, from, end int, complete bool) {
	w.Header().Set(wire.HeaderStreamID, id)
	w.Header().Set(wire.HeaderResumeToken, "token-"+id)
	for i := from; i < end; i++ {
		data, _ := json.Marshal(wire.Chunk{ID: id, Offset: i, Choices: []wire.ChunkChoice{{Delta: wire.Message{Content: fmt.Sprint(i)}}}})
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
	}
	if complete {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", wire.DoneMarker)
	}
}

func TestLocateReplyIsCachedForItsTTL(t *testing.T) {
	f := newFakeRouter(t, nil)
	c := f.client(t)
	for range 3 {
		_, err := c.Locate(t.Context(), "chat", "m")
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, f.locates.Load())
	c.Forget("chat", "m")
	f.ttlMS = 0
	for range 2 {
		_, err := c.Locate(t.Context(), "chat", "m")
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, f.locates.Load())
}

// Guards against a partial response that is treated as complete, and against
// repeated chunks. A stream that ends without its end marker, skips an offset
// or contains a chunk of another request is resumed with its token after the
// last valid chunk.
func TestIncompleteStreamIsResumed(t *testing.T) {
	for name, first := range map[string]func(http.ResponseWriter){
		"cut": func(w http.ResponseWriter) { writeStream(w, "s", 0, 3, false) },
		"chunk of another request": func(w http.ResponseWriter) {
			writeStream(w, "s", 0, 3, false)
			_, _ = fmt.Fprint(w, "data: {\"id\":\"other\",\"offset\":3}\n\n")
		},
		"gap": func(w http.ResponseWriter) {
			writeStream(w, "s", 0, 3, false)
			writeStream(w, "s", 5, 6, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == wire.PathChat {
					first(w)
					return
				}
				if r.Header.Get(wire.HeaderResumeToken) == "token-s" && r.Header.Get(wire.HeaderLastEventID) == "2" {
					writeStream(w, "s", 3, 6, true)
				}
			})
			turn, err := f.client(t).Conversation("c", "m").Say(t.Context(), "x", nil)
			require.NoError(t, err)
			require.Equal(t, "012345", turn.Text)
			require.Equal(t, 1, turn.Resumes)
		})
	}
}

// Guards against retries of a request that every router would refuse, and against
// callers that stay on a draining router.
func TestOnlyDrainingOrUnreadyRouterIsRetried(t *testing.T) {
	for code, retried := range map[apierr.Code]bool{
		apierr.CodeDraining: true, apierr.CodeNotReady: true, apierr.CodeQueueFull: false, apierr.CodeUnauthorized: false,
	} {
		t.Run(string(code), func(t *testing.T) {
			var requests atomic.Int32
			f := newFakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) > 1 {
					writeStream(w, "s", 0, 1, true)
					return
				}
				refuseWith(apierr.New(code, http.StatusServiceUnavailable, "no"))(w, r)
			})
			_, err := f.client(t).Conversation("c", "m").Say(t.Context(), "x", nil)
			require.Equal(t, retried, err == nil)
			if !retried {
				var e *Refusal
				require.ErrorAs(t, err, &e)
				require.Equal(t, code, e.Code)
			}
		})
	}
}

// Guards against a receipt that is issued twice: a router accepts the call and its
// response is lost, and the client sends the call to the next router although the
// first may have executed it.
func TestCallIsNotRetriedOnceConnected(t *testing.T) {
	var calls atomic.Int32
	f := newFakeRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	})
	f.addresses = []string{deadAddress(t), f.address(), f.address()}
	_, err := f.client(t).Call(t.Context(), "POST", "s", "/p", "key", nil)
	require.True(t, ErrOutcomeUnknown.Has(err), "%v", err)
	require.EqualValues(t, 1, calls.Load(), "the dead address is skipped and the call is sent once")

	f.addresses = []string{deadAddress(t)}
	_, err = f.client(t).Call(t.Context(), "POST", "s", "/p", "key", nil)
	require.True(t, ErrNoRouter.Has(err), "%v", err)
}

// Guards against an oversized response that is returned empty and without an error.
func TestOversizedResponseIsAnError(t *testing.T) {
	f := newFakeRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", maxBodyBytes+1)))
	})
	_, err := f.client(t).Call(context.Background(), "GET", "s", "/p", "", nil)
	require.True(t, ErrOutcomeUnknown.Has(err), "%v", err)
}
