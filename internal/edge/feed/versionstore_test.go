package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/stretchr/testify/require"
)

// versionHistory is the history of a router.
type versionHistory struct {
	versions map[string][]string
	complete bool
	// stored are the versions that the store holds, as far as the keeper has reported.
	stored map[string][]string
}

// newVersionsKeeper returns the keeper of a router that reads the store.
func newVersionsKeeper(s *fakeStore, h *versionHistory) *VersionsKeeper {
	start := time.Now()
	return &VersionsKeeper{
		Table: s, Reads: func() bool { return true }, Log: discardLogger(),
		Era:     func() (catalog.Era, bool) { return catalog.Era{}, false },
		History: func() (map[string][]string, bool) { return h.versions, h.complete },
		Adopt:   func(versions map[string][]string) { h.versions, h.complete = versions, true },
		Stored:  func(versions map[string][]string) { h.stored = versions },
		Clock:   func() time.Duration { return time.Hour + time.Since(start) },
	}
}

// Guards against a fleet that does not know after a loss of all routers which versions have served, and
// refuses all streams that callers resume, or lets them continue anywhere.
func TestVersionsOutliveAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		known := versionHistory{versions: map[string][]string{"svc": {"v1", "v2"}}, complete: true}
		go newVersionsKeeper(s, &known).Run(t.Context())
		time.Sleep(3 * time.Second)
		calls := s.calls.Load()
		time.Sleep(time.Minute)
		require.Equal(t, calls, s.calls.Load(), "calls without a change")
		var started versionHistory
		go newVersionsKeeper(s, &started).Run(t.Context())
		time.Sleep(2 * rowUrgentInterval)
		require.Equal(t, known, started)
	})
}

// Guards against a version whose streams go on at another one after a loss of all routers, because the store did not hold
// it yet.
func TestNewVersionIsStoredWithinTheUrgentInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		known := versionHistory{versions: map[string][]string{"svc": {"v1"}}, complete: true}
		go newVersionsKeeper(s, &known).Run(t.Context())
		time.Sleep(3 * time.Second)
		require.Equal(t, known.versions, known.stored)
		known.versions = map[string][]string{"svc": {"v1", "v2"}}
		time.Sleep(2 * rowUrgentInterval)
		require.Equal(t, known.versions, known.stored)
		require.JSONEq(t, `{"svc":["v1","v2"]}`, string(s.rows[versionsKey]))
	})
}

// Guards against a router that is told that the fleet starts for the first time, as it was at an earlier start, and takes
// the versions that it sees for all that have served.
func TestFirstStartWithStoredVersionsIsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		first := versionHistory{}
		k := newVersionsKeeper(s, &first)
		k.FirstStart = true
		ctx, stop := context.WithCancel(t.Context())
		go k.Run(ctx)
		time.Sleep(2 * rowCheckDelay)
		require.True(t, first.complete, "there is no row")
		first.versions = map[string][]string{"svc": {"v1"}}
		time.Sleep(time.Second)
		stop()
		again := versionHistory{}
		k = newVersionsKeeper(s, &again)
		k.FirstStart = true
		go k.Run(t.Context())
		time.Sleep(2 * rowCheckDelay)
		require.Equal(t, map[string][]string{"svc": {"v1"}}, again.versions)
		require.True(t, again.complete)
	})
}

// Guards against a stored history that a router replaces which does not know all of it, and against a
// row of other bytes that is taken for one.
func TestIncompleteVersionsAreNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		_, err := s.Commit(t.Context(), platform.UseFleet, platform.Write{Key: versionsKey, Value: []byte("{")})
		require.NoError(t, err)
		partial := versionHistory{versions: map[string][]string{"svc": {"v2"}}}
		go newVersionsKeeper(s, &partial).Run(t.Context())
		time.Sleep(5 * time.Second)
		require.False(t, partial.complete)
		require.Equal(t, "{", string(s.rows[versionsKey]))
		partial.complete = true
		time.Sleep(time.Second)
		require.JSONEq(t, `{"svc":["v2"]}`, string(s.rows[versionsKey]))
	})
}
