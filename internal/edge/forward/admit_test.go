package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

const keyLease = 3500 * time.Millisecond

// exchangeWithConfigAge returns an exchange at a router whose boot clock starts at one minute and
// whose configuration was last confirmed at asOf on that clock. The configuration is confirmed
// again confirmedAfter after the start, or never if that is zero.
func exchangeWithConfigAge(t *testing.T, asOf, confirmedAfter time.Duration, storeLost bool) *exchange {
	started := time.Now()
	clock := func() time.Duration { return time.Minute + time.Since(started) }
	config := catalog.NewConfig(catalog.Config{
		Version: 1, Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/a/", Public: true}},
	})
	snapshot := func() *catalog.Snapshot {
		s := catalog.NewSnapshot()
		s.Config, s.ConfigAsOf = config, asOf
		s.Engines, _ = s.Engines.Apply(catalog.EngineUpdate{Full: true, Upto: 1}, 0)
		if confirmedAfter > 0 && clock() >= time.Minute+confirmedAfter {
			s.ConfigAsOf = clock()
		}
		return s
	}
	f := &Forwarder{Options: Options{
		Snapshot: snapshot, Clock: clock, KeyLease: func() time.Duration { return keyLease },
		FreshFor:  func() time.Duration { return 2 * time.Second },
		StoreLost: func() bool { return storeLost },
	}}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/missing/x", nil)
	return &exchange{f: f, r: r, started: clock()}
}

// Guards against a router that refuses hundreds of requests when it resumes from a suspend of some
// seconds: the requests wait in its sockets and are read before its source has confirmed the
// configuration. The requests must wait for that confirmation.
func TestAdmitWaitsForConfigConfirmationAfterSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := exchangeWithConfigAge(t, time.Second, 60*time.Millisecond, false)
		require.Equal(t, http.StatusNotFound, x.admit().Status)
		require.Less(t, x.f.Clock()-x.started, 70*time.Millisecond)
	})
}

// A request waits for a confirmation for at most configConfirmWait, and not at all if the store is
// known to be unreachable.
func TestAdmitWaitIsBoundedAndSkippedWhenStoreIsLost(t *testing.T) {
	for _, tc := range []struct {
		lost bool
		wait time.Duration
	}{{false, configConfirmWait}, {true, 0}} {
		synctest.Test(t, func(t *testing.T) {
			x := exchangeWithConfigAge(t, time.Second, 0, tc.lost)
			refusal := x.admit()
			require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
			require.Equal(t, ReasonStaleConfig, refusal.Reason)
			require.Equal(t, tc.wait, x.f.Clock()-x.started)
		})
	}
}

// Guards against routers that refuse requests for seconds after a power loss, when all start at
// once and requests arrive before a router knows the configuration or any engine. Requests wait for
// both, for at most a share of their timeout.
func TestAdmitWaitsForFirstConfigAndEnginesAfterStart(t *testing.T) {
	for _, tc := range []struct {
		name                                 string
		config, engines                      time.Duration
		timeout, admittedAfter, refusedAfter time.Duration
	}{
		{"engines arrive last", 100 * time.Millisecond, 300 * time.Millisecond, 0, 300 * time.Millisecond, 0},
		{"configuration arrives last", 300 * time.Millisecond, 0, 6 * time.Second, 300 * time.Millisecond, 0},
		{"nothing arrives", time.Hour, time.Hour, 6 * time.Second, 0, startupWait},
		{"short caller timeout", time.Hour, time.Hour, 600 * time.Millisecond, 0, 200 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			x := exchangeWithConfigAge(t, time.Second, 0, true)
			x.req.Timeout = tc.timeout
			x.r = httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/a/x", nil)
			known := x.f.Snapshot
			x.f.Snapshot = func() *catalog.Snapshot {
				s := catalog.NewSnapshot()
				if now := x.f.Clock() - x.started; now >= tc.config {
					s.Config, s.ConfigAsOf = known().Config, x.f.Clock()
				}
				if now := x.f.Clock() - x.started; now >= tc.engines {
					s.Engines, _ = s.Engines.Apply(catalog.EngineUpdate{Full: true, Upto: 1}, 0)
				}
				return s
			}
			refusal := x.admit()
			took := x.f.Clock() - x.started
			if tc.admittedAfter > 0 {
				require.Nil(t, refusal, tc.name)
				require.InDelta(t, tc.admittedAfter, took, float64(snapshotPollInterval), tc.name)
				return
			}
			require.Equal(t, ReasonNoConfig, refusal.Reason, tc.name)
			require.InDelta(t, tc.refusedAfter, took, float64(snapshotPollInterval), tc.name)
		})
	}
}
