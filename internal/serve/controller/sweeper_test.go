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

// keeper is a router with the duty of retention, on a virtual clock.
type keeper struct {
	*Sweeper
	store  *platformtest.Fake
	claims *claim.Store
	ctx    context.Context
}

func newKeeper(t *testing.T) *keeper {
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
	k := &keeper{store: store, claims: claim.New(store, store.Objects(), "self", token), ctx: ctx}
	k.Sweeper = &Sweeper{
		Board: b, Claims: claim.NewSweeper(store, testRetention),
		Clock: func() time.Duration { return time.Since(start) }, Log: log.New(io.Discard),
	}
	go k.Run(ctx)
	return k
}

func (k *keeper) begin(t *testing.T, name string) *claim.Claim {
	key := claim.Key{Account: "a", IdempotencyKey: name}
	out, err := k.claims.Begin(k.ctx, key, claim.HashBody(nil))
	require.NoError(t, err)
	require.Equal(t, claim.Run, out.Kind)
	return out.Claim
}

// finished reports whether the table service still has the finished claim.
func (k *keeper) finished(t *testing.T) bool {
	return k.state(t, "done") == claim.StateDone
}

func (k *keeper) state(t *testing.T, name string) claim.State {
	key := claim.Key{Account: "a", IdempotencyKey: name}
	v, err := k.claims.Show(k.ctx, key)
	if platform.ErrNotFound.Has(err) {
		return ""
	}
	require.NoError(t, err)
	return v.State
}

// Symptom: a receipt is issued twice for one key, or the table of claims grows
// for ever. Sequence: requests end in each of the ways they can, and days pass.
// Cause: retention deletes what may still run, or runs on no router.
func TestSweeperKeepsOpenClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(t)
		require.NoError(t, k.claims.Finish(k.ctx, k.begin(t, "done"), claim.Answer{Status: 201}))
		require.NoError(t, k.claims.Refused(k.ctx, k.begin(t, "refused")))
		require.NoError(t, k.claims.MarkUnknown(k.ctx, k.begin(t, "unknown")))
		k.begin(t, "claimed")
		time.Sleep(testRetention)
		require.True(t, k.finished(t), "kept for at least the retention period")
		time.Sleep(testRetention)
		require.Empty(t, k.state(t, "done"))
		require.Empty(t, k.state(t, "refused"))
		time.Sleep(10 * testRetention)
		require.Equal(t, claim.StateUnknown, k.state(t, "unknown"))
		require.Equal(t, claim.StateClaimed, k.state(t, "claimed"))
		require.Equal(t, int64(2), k.Counts().Deleted)
		require.Zero(t, k.Counts().Failures)
	})
}

// Symptom: old claims stay for good, or go too early. Sequence: the table
// service is down for longer than the retention period, then back. Cause: a
// sweeper that gives up, or one that counts the outage as rounds.
func TestSweeperOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(t)
		require.NoError(t, k.claims.Finish(k.ctx, k.begin(t, "done"), claim.Answer{Status: 201}))
		time.Sleep(testRetention / 2)
		k.store.SetDown(true)
		time.Sleep(2 * testRetention)
		k.store.SetDown(false)
		require.True(t, k.finished(t))
		require.Positive(t, k.Counts().Failures)
		time.Sleep(testRetention)
		require.False(t, k.finished(t))
	})
}

// Symptom: the store's calls grow with the fleet. Sequence: a router that has
// not the duty runs for a day. Cause: each router sweeps.
func TestSweeperDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newKeeper(t)
		first := rival(t, dutySweep)
		k.Board.UpdateWait(func(s *board.State) {
			s.Routers[first] = board.Router{Name: first, ID: rendezvous.ID(first)}
		})
		time.Sleep(24 * time.Hour)
		require.Zero(t, k.Counts())
	})
}

// rival returns the name of a router that goes before "self" in a duty.
func rival(t *testing.T, duty uint64) string {
	for i := range 100 {
		name := fmt.Sprint("rival-", i)
		ids := []uint64{rendezvous.ID("self"), rendezvous.ID(name)}
		if rendezvous.Order(nil, duty, ids)[0] == 1 {
			return name
		}
	}
	require.FailNow(t, "no router goes first")
	return ""
}
