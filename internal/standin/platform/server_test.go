package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	api "damaskrouter.example/damaskrouter/internal/platform"
	standin "damaskrouter.example/damaskrouter/internal/standin/platform"
)

// clock is a clock that tests move by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// call makes one request of the handler, without a network.
func call(t *testing.T, s *standin.Server, method, path string, body any) *httptest.ResponseRecorder {
	data, err := json.Marshal(body)
	require.NoError(t, err)
	rec := httptest.NewRecorder()
	s.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, bytes.NewReader(data)))
	return rec
}

func txn(id, key string) api.TxnRequest {
	return api.TxnRequest{ID: id, Use: api.UseClaim, Writes: []api.Write{put(key, "", 0)}}
}

func TestRatesRefuseWithoutEffect(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	s := standin.NewServer(standin.Options{WriteRate: 2, ReadRate: 1, WeightRate: 1, Now: c.Now})
	for _, key := range []string{"a", "b"} {
		require.Equal(t, http.StatusOK, call(t, s, "POST", api.PathTxn, txn(key, key)).Code)
	}
	rec := call(t, s, "POST", api.PathTxn, txn("c", "c"))
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	require.Equal(t, api.NotExecuted, rec.Header().Get(api.HeaderNotExecuted))
	require.NotEmpty(t, rec.Header().Get("Retry-After"))
	_, err := s.Store().Get("t", "c")
	require.True(t, api.ErrNotFound.Has(err), "a refused write has no effect")
	require.Equal(t, http.StatusServiceUnavailable, call(t, s, "PUT", "/v1/objects/o", nil).Code, "objects share the rate")

	require.Equal(t, http.StatusOK, call(t, s, "GET", "/v1/weights/m/1", nil).Code)
	rec = call(t, s, "GET", "/v1/weights/m/1", nil)
	require.Equal(t, http.StatusTooManyRequests, rec.Code)
	require.NotEmpty(t, rec.Header().Get("Retry-After"))

	c.add(time.Second)
	require.Equal(t, http.StatusOK, call(t, s, "POST", api.PathTxn, txn("c", "c")).Code)
	require.Equal(t, http.StatusOK, call(t, s, "GET", "/v1/weights/m/1", nil).Code)
	require.EqualValues(t, 3, s.Stats().Throttled)
}

func TestControlsOverHTTP(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	s := standin.NewServer(standin.Options{Now: c.Now})
	list := func() string { return call(t, s, "GET", api.PathVMs, nil).Body.String() }
	require.Equal(t, http.StatusNoContent, call(t, s, "PUT", standin.PathLag, standin.Lag{MS: 5000}).Code)
	require.Equal(t, http.StatusNoContent, call(t, s, "PUT", api.PathVMs+"/a", api.VM{State: api.VMLive}).Code)
	require.JSONEq(t, `{"vms":[]}`, list(), "the change waits for the lag")
	c.add(5 * time.Second)
	require.Contains(t, list(), `"name":"a"`)

	// A later change with a shorter lag doesn't overtake an earlier one.
	s.PutVM(api.VM{Name: "b"})
	s.SetVMLag(0)
	s.DeleteVM("b")
	require.NotContains(t, list(), `"name":"b"`)
	c.add(5 * time.Second)
	require.NotContains(t, list(), `"name":"b"`, "a deleted VM must not reappear")

	down := standin.Faults{Kind: standin.KindTable, Down: true}
	require.Equal(t, http.StatusNoContent, call(t, s, "POST", standin.PathFaults, down).Code)
	require.Equal(t, http.StatusServiceUnavailable, call(t, s, "POST", api.PathTxn, txn("1", "k")).Code)
	require.Equal(t, http.StatusBadRequest, call(t, s, "POST", standin.PathFaults, standin.Faults{Kind: "nothing"}).Code)
	s.SetFaults(standin.Faults{Kind: standin.KindTable, SlowMS: 1})
	require.Equal(t, http.StatusOK, call(t, s, "POST", api.PathTxn, txn("1", "k")).Code)
	require.Equal(t, http.StatusConflict, call(t, s, "POST", api.PathTxn, txn("1", "k")).Code)

	var stats standin.Stats
	require.NoError(t, json.Unmarshal(call(t, s, "GET", standin.PathStats, nil).Body.Bytes(), &stats))
	require.Equal(t, s.Stats(), stats)
	require.EqualValues(t, 1, stats.RepeatedTxns)
	require.EqualValues(t, 1, stats.Refused)
	require.EqualValues(t, 2, stats.Writes[api.UseClaim])
}

// Symptom: a claim that was read back as absent appears afterwards. Sequence:
// the store accepts a write and stalls; the client times out and hangs up; the
// store executes the write. Cause: the client's end was taken for the write's.
func TestSlowWriteTakesEffectAfterClientLeft(t *testing.T) {
	s := standin.NewServer(unlimited)
	base := serve(t, s)
	s.SetFaults(standin.Faults{Kind: standin.KindTable, SlowMS: int(time.Hour.Milliseconds())})
	ctx, hangUp := context.WithCancel(t.Context())
	go func() {
		for s.Stats().Delayed == 0 {
			time.Sleep(time.Millisecond)
		}
		hangUp()
	}()
	table := api.NewHTTPTable(base, patient)
	_, err := table.Commit(ctx, api.UseClaim, put("k", "v", 0))
	require.Equal(t, "unknown", result(err).class, "%v", err)
	_, err = s.Store().Get("t", "k")
	require.True(t, api.ErrNotFound.Has(err))
	s.Close()
	require.Eventually(t, func() bool {
		_, err := s.Store().Get("t", "k")
		return err == nil
	}, time.Minute, time.Millisecond)
}

// Symptom: one claim counted as a rival of itself. Sequence: over real
// connections the store loses the replies to several commits in a row, cuts
// requests and refuses for want of rate. Cause: a repeated transaction, or an
// answer to the wrong question.
func TestCommitOnceOverHTTP(t *testing.T) {
	s := standin.NewServer(unlimited)
	base := serve(t, s)
	table, _, _, stats := api.Open(api.OpenOptions{TableURL: base, ObjectsURL: base, VMsURL: base, HTTP: patient})
	m := api.Marker{Table: "t", Key: "k", Mine: func(r api.Row) bool { return string(r.Value) == "me" }}
	for i, f := range []standin.Faults{{LoseReplies: 1}, {DropRequests: 1}} {
		f.Kind = standin.KindTable
		s.SetFaults(f)
		m.Key = string(rune('a' + i))
		got, err := api.CommitOnce(t.Context(), table, api.UseClaim, m, put(m.Key, "me", 0))
		require.NoError(t, err)
		require.Equal(t, row(m.Key, "me", 1), got)
	}
	require.Zero(t, s.Stats().RepeatedTxns)
	require.EqualValues(t, 1, s.Stats().LostReplies)
	require.EqualValues(t, 2, stats.Snapshot()[api.UseClaim].Writes.Unknown)
}

// Symptom: rows are gone after a short outage of the stand-in. Sequence: its
// listener closes, calls are refused, it listens again. Cause: the state
// belonged to the listener.
func TestStateOutlivesListener(t *testing.T) {
	s := standin.NewServer(unlimited)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error)
	go func() { done <- s.Serve(ln) }()
	table := api.NewHTTPTable("http://"+ln.Addr().String(), patient)
	_, err = table.Commit(t.Context(), api.UseClaim, put("k", "v", 0))
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	require.NoError(t, <-done)
	_, err = table.Commit(t.Context(), api.UseClaim, put("k2", "v", 0))
	require.Equal(t, "unavailable", result(err).class, "%v", err)
	got, err := api.NewHTTPTable(serve(t, s), patient).Get(t.Context(), api.UseClaim, "t", "k")
	require.NoError(t, err)
	require.Equal(t, row("k", "v", 1), got)
}

// BenchmarkHTTPTable measures one call over loopback: a commit makes its own
// connection, a read reuses one.
func BenchmarkHTTPTable(b *testing.B) {
	s := standin.NewServer(unlimited)
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	table := api.NewHTTPTable(srv.URL, patient)
	b.Run("commit", func(b *testing.B) {
		for b.Loop() {
			_, err := table.Commit(b.Context(), api.UseClaim, put("k", "v", api.AnyVersion))
			require.NoError(b, err)
		}
	})
	b.Run("get", func(b *testing.B) {
		for b.Loop() {
			_, err := table.Get(b.Context(), api.UseClaim, "t", "k")
			require.NoError(b, err)
		}
	})
}
