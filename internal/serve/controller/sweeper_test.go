package controller

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
)

const testRetention = 24 * time.Hour

// sweepingRouter is a router with the duty of claim retention, on a virtual clock.
type sweepingRouter struct {
	*Sweeper
	store  *platformtest.Fake
	claims *claim.Store
	ctx    context.Context
}

func newSweepingRouter(t *testing.T) *sweepingRouter {
	store := platformtest.New()
	tokens := 0
	token := func() string { tokens++; return fmt.Sprint(tokens) }
	b := board.New("self")
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go b.Run(ctx)
	b.UpdateWait(func(s *board.State) {
		s.Routers["self"] = board.Router{Name: "self", ID: rendezvous.ID("self")}
	})
	start := time.Now()
	r := &sweepingRouter{store: store, claims: claim.New(store, store.Objects(), "self", token), ctx: ctx}
	r.Sweeper = &Sweeper{
		Board: b, Claims: claim.NewSweeper(store, testRetention),
		Clock: func() time.Duration { return time.Since(start) }, Log: log.New(io.Discard),
	}
	go r.Run(ctx)
	return r
}

func (r *sweepingRouter) begin(t *testing.T, name string) *claim.Claim {
	key := claim.Key{Account: "a", IdempotencyKey: name}
	out, err := r.claims.Begin(r.ctx, key, claim.HashBody(nil))
	require.NoError(t, err)
	require.Equal(t, claim.Run, out.Kind)
	return out.Claim
}

// hasFinishedClaim reports whether the table service still has the finished claim.
func (r *sweepingRouter) hasFinishedClaim(t *testing.T) bool {
	return r.state(t, "done") == claim.StateDone
}

func (r *sweepingRouter) state(t *testing.T, name string) claim.State {
	key := claim.Key{Account: "a", IdempotencyKey: name}
	v, err := r.claims.Show(r.ctx, key)
	if platform.ErrNotFound.Has(err) {
		return ""
	}
	require.NoError(t, err)
	return v.State
}

// Guards against requests that are executed twice for one key, and against a table of claims that
// grows without bound: retention must delete finished claims after their period, and never those
// whose request may still be executing.
func TestSweeperDeletesOnlyFinishedClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSweepingRouter(t)
		require.NoError(t, r.claims.Finish(r.ctx, r.begin(t, "done"), claim.Response{Status: 201}))
		require.NoError(t, r.claims.Release(r.ctx, r.begin(t, "refused")))
		require.NoError(t, r.claims.MarkUnknown(r.ctx, r.begin(t, "unknown")))
		r.begin(t, "claimed")
		time.Sleep(testRetention)
		require.True(t, r.hasFinishedClaim(t), "claim deleted before the end of the retention period")
		time.Sleep(testRetention)
		require.Empty(t, r.state(t, "done"))
		require.Empty(t, r.state(t, "refused"))
		time.Sleep(10 * testRetention)
		require.Equal(t, claim.StateUnknown, r.state(t, "unknown"))
		require.Equal(t, claim.StateClaimed, r.state(t, "claimed"))
		require.Equal(t, int64(2), r.Counts().Deleted)
		require.Zero(t, r.Counts().Failures)
	})
}

// Guards against claims that are never deleted, or deleted too early, after the table service was
// down for longer than the retention period: the sweeper must continue after the outage and must
// not count it as rounds.
func TestSweeperContinuesAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSweepingRouter(t)
		require.NoError(t, r.claims.Finish(r.ctx, r.begin(t, "done"), claim.Response{Status: 201}))
		time.Sleep(testRetention / 2)
		r.store.SetDown(true)
		time.Sleep(2 * testRetention)
		r.store.SetDown(false)
		require.True(t, r.hasFinishedClaim(t))
		require.Positive(t, r.Counts().Failures)
		time.Sleep(testRetention)
		require.False(t, r.hasFinishedClaim(t))
	})
}

// Guards against store calls that grow with the fleet: a router without the duty must not sweep.
func TestOnlyRouterWithDutySweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newSweepingRouter(t)
		first := higherRankedRouter(t, dutySweep)
		r.Board.UpdateWait(func(s *board.State) {
			s.Routers[first] = board.Router{Name: first, ID: rendezvous.ID(first)}
		})
		time.Sleep(24 * time.Hour)
		require.Zero(t, r.Counts())
	})
}

// higherRankedRouter returns the name of a router that precedes "self" in the order for a duty.
func higherRankedRouter(t *testing.T, duty uint64) string {
	for i := range 100 {
		name := fmt.Sprint("rival-", i)
		ids := []uint64{rendezvous.ID("self"), rendezvous.ID(name)}
		if rendezvous.Order(nil, duty, ids)[0] == 1 {
			return name
		}
	}
	require.FailNow(t, "no name precedes self in the order")
	return ""
}
