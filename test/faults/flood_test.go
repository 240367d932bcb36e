package faults

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/require"
)

// flood is a scenario: receipts come at one router faster than its share of
// the store allows. A change of the configuration goes through the same share.
type flood struct {
	*faultkit.World
	t      *testing.T
	target *faultkit.Router
	// answered and refused count the receipts by their end.
	answered, refused atomic.Int64
}

const (
	// floodReceipts come at floodGap, three times as many as may be claimed
	// and recorded.
	floodReceipts = 2400
	floodGap      = 15 * time.Millisecond
	// floodChange is when the configuration is changed, with the buckets empty.
	floodChange = 20 * time.Second
)

// defaultBudget is that of a router with the default settings.
func defaultBudget() *platform.BudgetOptions {
	o := &platform.BudgetOptions{PerUse: make(map[platform.Use]platform.Rates)}
	for _, use := range []platform.Use{
		platform.UseClaim, platform.UseConfig, platform.UseAudit, platform.UseAdmin,
	} {
		share := settings.DefaultBudgets.For(use)
		o.PerUse[use] = platform.Rates{Reads: share.Reads, Writes: share.Writes}
		o.Total.Reads += share.Reads
		o.Total.Writes += share.Writes
	}
	return o
}

func floodProofs() proofs {
	p := proofs{}
	p.add(faultkit.Surge, faultkit.Claim, proof{
		promises: []faultkit.Promise{faultkit.OwnAnswer, faultkit.DidNotRun, faultkit.AtMostOnce},
		does:     "more receipts than the budget has claims for: those refused as not run did not run, the others ran once",
		run:      func(t *testing.T) { runFlood(t, (*flood).requireClaims) },
	})
	p.add(faultkit.Surge, faultkit.Commit, proof{
		promises: []faultkit.Promise{faultkit.ConfigHolds},
		does:     "configuration changed through a router in a surge of claims: accepted at once and in force everywhere",
		run:      func(t *testing.T) { runFlood(t, (*flood).requireChange) },
	})
	return p
}

// Symptom: while one account surges, an operator can't change the configuration,
// although the store is well.
// Sequence: receipts use up a router's share of the store; it commits a change out
// of the same share.
// Cause: claims take the tokens that the configuration needs.
func runFlood(t *testing.T, judge func(*flood)) {
	o := faultkit.Options{Services: 2, Engines: 1, Budget: defaultBudget()}
	inWorld(t, 2, o, func(t *testing.T, w *faultkit.World) {
		s := &flood{World: w, t: t, target: w.Routers[0]}
		var all sync.WaitGroup
		defer all.Wait()
		all.Go(func() { s.receipts(&all) })
		time.Sleep(floodChange)
		judge(s)
		all.Wait()
		// The oracle judges what ran; here, that each receipt has an end.
		require.EqualValues(t, floodReceipts, s.answered.Load()+s.refused.Load(), "each is answered or refused as not run")
		require.NotZero(t, s.refused.Load(), "the surge passes the budget")
		require.Greater(t, s.answered.Load(), int64(floodReceipts/8), "the budget's worth is served")
	})
}

// receipts sends the flood to the router.
func (s *flood) receipts(all *sync.WaitGroup) {
	for i := range floodReceipts {
		all.Go(func() {
			out := s.Receipt(s.target.Address, fmt.Sprint("flood-", i))
			if out.Answered() {
				s.answered.Add(1)
			}
			if out.NotRun() {
				s.refused.Add(1)
			}
		})
		time.Sleep(floodGap)
	}
}

// requireClaims holds the claims that reached the store against the budget: the
// burst, and what the rate gives until now.
func (s *flood) requireClaims() {
	writes := 0
	for _, c := range s.Platform.History() {
		if c.Op == platformtest.OpCommit && c.Use == platform.UseClaim {
			writes++
		}
	}
	span := platform.DefaultBurst + floodChange
	require.LessOrEqual(s.t, float64(writes), settings.DefaultBudgets.Claim.Writes*span.Seconds())
}

// requireChange changes the configuration through the router, which has used
// up what it may spend on claims.
func (s *flood) requireChange() {
	change := config.Change{Bundle: numbered(s.t, 2), Expected: 1, ChangeID: ourChange, Author: ourChange, Comment: "why"}
	v, err := s.target.Configs.Chain.Accept(context.Background(), change)
	require.NoError(s.t, err)
	time.Sleep(leaveSettle)
	synctest.Wait()
	for _, r := range s.Routers {
		require.Equal(s.t, v.Number, r.Board.Snapshot().ConfigVersion, r.Name)
	}
}
