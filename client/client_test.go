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

// fakeRouter answers locate with the addresses it is given, and all else with serve.
type fakeRouter struct {
	*httptest.Server
	located   atomic.Int32
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
		f.located.Add(1)
		_ = json.NewEncoder(w).Encode(wire.Locate{Address: f.addresses[0], Alternates: f.addresses[1:], TTLMS: f.ttlMS})
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

// deadAddress is an address that refuses connections.
func deadAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

func refuse(e *apierr.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRan, string(e.Ran))
		w.WriteHeader(e.Status)
		_ = json.NewEncoder(w).Encode(map[string]*apierr.Error{"error": e})
	}
}

// writeStream writes chunks from to end of the stream id, and the end marker if whole.
func writeStream(w http.ResponseWriter, id string, from, end int, whole bool) {
	w.Header().Set(wire.HeaderStreamID, id)
	w.Header().Set(wire.HeaderResumeToken, "token-"+id)
	for i := from; i < end; i++ {
		data, _ := json.Marshal(wire.Chunk{ID: id, Offset: i, Choices: []wire.ChunkChoice{{Delta: wire.Message{Content: fmt.Sprint(i)}}}})
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
	}
	if whole {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", wire.DoneMarker)
	}
}

func TestLocateIsKeptForItsTime(t *testing.T) {
	f := newFakeRouter(t, nil)
	c := f.client(t)
	for range 3 {
		_, err := c.Locate(t.Context(), "chat", "m")
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, f.located.Load())
	c.Forget("chat", "m")
	f.ttlMS = 0
	for range 2 {
		_, err := c.Locate(t.Context(), "chat", "m")
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, f.located.Load())
}

// Symptom: half an answer is shown as the whole one, or pieces come twice.
// Sequence: the stream ends without its end marker, or brings a chunk of
// another request; the client goes on with its token where it was.
func TestBrokenStreamIsResumed(t *testing.T) {
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

// Symptom: a refused request is asked again and again, or a leaving router
// keeps its callers.
func TestRefusals(t *testing.T) {
	for code, again := range map[apierr.Code]bool{
		apierr.CodeLeaving: true, apierr.CodeNotReady: true, apierr.CodeQueueFull: false, apierr.CodeUnauthorized: false,
	} {
		t.Run(string(code), func(t *testing.T) {
			var asked atomic.Int32
			f := newFakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
				if asked.Add(1) > 1 {
					writeStream(w, "s", 0, 1, true)
					return
				}
				refuse(apierr.New(code, http.StatusServiceUnavailable, "no"))(w, r)
			})
			_, err := f.client(t).Conversation("c", "m").Say(t.Context(), "x", nil)
			require.Equal(t, again, err == nil)
			if !again {
				var e *Refusal
				require.ErrorAs(t, err, &e)
				require.Equal(t, code, e.Code)
			}
		})
	}
}

// Symptom: a receipt is issued twice.
// Sequence: a router takes the call and its answer is lost; the client asks
// the next router although the first may have run it.
func TestCallGoesOnOnlyWhileNothingWasSent(t *testing.T) {
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
	require.EqualValues(t, 1, calls.Load(), "past the dead address, and once")

	f.addresses = []string{deadAddress(t)}
	_, err = f.client(t).Call(t.Context(), "POST", "s", "/p", "key", nil)
	require.True(t, ErrNoRouter.Has(err), "%v", err)
}

// Symptom: an answer that is too large comes back empty, and without an error.
func TestOversizedAnswerIsAnError(t *testing.T) {
	f := newFakeRouter(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", maxBody+1)))
	})
	_, err := f.client(t).Call(context.Background(), "GET", "s", "/p", "", nil)
	require.True(t, ErrOutcomeUnknown.Has(err), "%v", err)
}
