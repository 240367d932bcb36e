package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
)

func call(s *Service, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(wire.HeaderRequestID, "r")
	r.Header.Set(wire.HeaderIdempotencyKey, key)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

func TestStatsCountEveryExecution(t *testing.T) {
	for name, tc := range map[string]struct {
		dedupe bool
		want   int
	}{
		"a service without deduplication executes each call": {false, 2},
		"a deduplicating service executes each key":          {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Name: "keys", Deduplicates: tc.dedupe})
			for range 2 {
				w := call(s, http.MethodPost, PathHandovers, "k", "{}")
				require.Equal(t, http.StatusCreated, w.Code)
				require.Equal(t, "r", w.Header().Get(wire.HeaderRequestID))
				require.Equal(t, "keys", w.Header().Get(protocol.HeaderName))
			}
			call(s, http.MethodPost, PathHandovers, "", "{}")
			call(s, http.MethodPost, PathReceipts, "", "{}")
			b := s.Stats()
			require.Equal(t, map[string]int{"k": tc.want, "": 2}, b.Executions)
			require.Len(t, b.Records, tc.want+2)
			require.Equal(t, len(b.Records), b.Records[len(b.Records)-1].Number)
		})
	}
}

func TestLookups(t *testing.T) {
	s := New(Options{Name: "portal"})
	for path, kind := range map[string]string{PathStatus: "status", PathChecks: "checks"} {
		var l Lookup
		require.NoError(t, json.Unmarshal(call(s, http.MethodGet, path+"17", "", "").Body.Bytes(), &l))
		require.Equal(t, Lookup{Kind: kind, ID: "17", State: LookupState(kind, "17")}, l)
	}
	require.Equal(t, 2, s.Stats().Lookups)
	require.Empty(t, s.Stats().Executions)
}

func TestReportShowsRunningCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Name: "portal", Latency: time.Second})
		go call(s, http.MethodPost, PathReceipts, "k", "{}")
		synctest.Wait()
		st := s.Report()
		require.Equal(t, []string{"r"}, st.RequestIDs)
		require.Equal(t, 1, st.Running)
		require.EqualValues(t, 1, st.Incarnation)
		time.Sleep(2 * time.Second)
		require.Zero(t, s.Report().Running)
		require.Equal(t, 1, s.Stats().MaxRunning)
	})
}

func TestControlsOverHTTP(t *testing.T) {
	s := New(Options{Name: "portal"})
	require.Equal(t, http.StatusNoContent, call(s, http.MethodPost, PathFaults, "", `{"kind":"refuse","count":1}`).Code)
	refused := call(s, http.MethodPost, PathReceipts, "k", "{}")
	require.Equal(t, http.StatusServiceUnavailable, refused.Code)
	require.Equal(t, ranNo, refused.Header().Get(wire.HeaderRan))
	require.Equal(t, http.StatusCreated, call(s, http.MethodPost, PathReceipts, "k", "{}").Code)
	require.Equal(t, http.StatusNoContent, call(s, http.MethodPost, PathLeave, "", "").Code)
	require.Equal(t, http.StatusServiceUnavailable, call(s, http.MethodPost, PathReceipts, "k", "{}").Code)
	var b Stats
	require.NoError(t, json.Unmarshal(call(s, http.MethodGet, PathStats, "", "").Body.Bytes(), &b))
	require.Equal(t, 2, b.Refused)
	require.Equal(t, map[string]int{"k": 1}, b.Executions)
}
