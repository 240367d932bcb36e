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

// flood sends receipts to one router faster than its share of the store's budget
// allows, and changes the configuration through the same router.
type flood struct {
	*faultkit.Cluster
	t      *testing.T
	target *faultkit.Router
	// answered and refused count receipts by outcome.
	answered, refused atomic.Int64
}

const (
	// floodReceipts requests arrive at intervals of floodGap, three times as many as
	// the budget allows to claim and record.
	floodReceipts = 2400
	floodGap      = 15 * time.Millisecond
	// floodChangeAfter is the time after which the configuration is changed; the token
	// buckets are empty by then.
	floodChangeAfter = 20 * time.Second
)

// defaultBudget returns the budget of a router with default settings.
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

func floodTests() cellTests {
	tests := cellTests{}
	tests.add(faultkit.Surge, faultkit.Claim, cellTest{
		guarantees:  []faultkit.Guarantee{faultkit.OwnResponse, faultkit.NotExecuted, faultkit.AtMostOnce},
		description: "more receipts than the budget has claims for: those refused as not executed were not executed, the others were executed once",
		run:         func(t *testing.T) { runFlood(t, (*flood).requireClaimBudget) },
	})
	tests.add(faultkit.Surge, faultkit.Commit, cellTest{
		guarantees:  []faultkit.Guarantee{faultkit.ConfigNeverReverts},
		description: "configuration changed through a router in a surge of claims: accepted at once and active everywhere",
		run:         func(t *testing.T) { runFlood(t, (*flood).requireConfigChange) },
	})
	return tests
}

// runFlood guards against claims that use up the tokens for configuration changes:
// while one account surges, an operator could not change the configuration although the
// store works.
func runFlood(t *testing.T, check func(*flood)) {
	o := faultkit.Options{Services: 2, Engines: 1, Budget: defaultBudget()}
	inCluster(t, 2, o, func(t *testing.T, cl *faultkit.Cluster) {
		s := &flood{Cluster: cl, t: t, target: cl.Routers[0]}
		var all sync.WaitGroup
		defer all.Wait()
		all.Go(func() { s.sendReceipts(&all) })
		time.Sleep(floodChangeAfter)
		check(s)
		all.Wait()
		// The oracle checks the executions; this checks that each receipt has an
		// outcome.
		require.EqualValues(t, floodReceipts, s.answered.Load()+s.refused.Load(), "each receipt gets a response or is refused as not executed")
		require.NotZero(t, s.refused.Load(), "the surge exceeds the budget")
		require.Greater(t, s.answered.Load(), int64(floodReceipts/8), "receipts within the budget are served")
	})
}

// sendReceipts sends the requests to the target router.
func (s *flood) sendReceipts(all *sync.WaitGroup) {
	for i := range floodReceipts {
		all.Go(func() {
			out := s.RequestReceipt(s.target.Address, fmt.Sprint("flood-", i))
			if out.Answered() {
				s.answered.Add(1)
			}
			if out.NotExecuted() {
				s.refused.Add(1)
			}
		})
		time.Sleep(floodGap)
	}
}

// requireClaimBudget checks that the claims that reached the store stay within the
// budget: the burst and the rate until now.
func (s *flood) requireClaimBudget() {
	writes := 0
	for _, c := range s.Platform.History() {
		if c.Op == platformtest.OpCommit && c.Use == platform.UseClaim {
			writes++
		}
	}
	span := platform.DefaultBurst + floodChangeAfter
	require.LessOrEqual(s.t, float64(writes), settings.DefaultBudgets.Claim.Writes*span.Seconds())
}

// requireConfigChange changes the configuration through the router, whose budget for
// claims is used up.
func (s *flood) requireConfigChange() {
	change := config.Change{Bundle: numberedBundle(s.t, 2), Expected: 1, ChangeID: changeID, Author: changeID, Comment: "why"}
	v, err := s.target.Configs.Chain.Accept(context.Background(), change)
	require.NoError(s.t, err)
	time.Sleep(leavePropagationTime)
	synctest.Wait()
	for _, r := range s.Routers {
		require.Equal(s.t, v.Number, r.Board.Snapshot().ConfigVersion, r.Name)
	}
}
