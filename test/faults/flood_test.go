package faults

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/config"
	"damaskrouter.example/damaskrouter/internal/faultkit"
	"damaskrouter.example/damaskrouter/internal/platform"
	"damaskrouter.example/damaskrouter/internal/platform/platformtest"
	"damaskrouter.example/damaskrouter/internal/settings"
	"github.com/stretchr/testify/require"
)

// flood is a scenario: receipts come at the leader faster than its share of
// the store allows. A change of the configuration goes through the same share.
type flood struct {
	*faultkit.World
	t      *testing.T
	leader *faultkit.Router
	// answered and refused count the receipts by their end.
	answered, refused atomic.Int64
}

const (
	// floodReceipts come at floodGap, three times as many as may be claimed
	// and recorded. They end when several terms of the lease have passed.
	floodReceipts = 2400
	floodGap      = 15 * time.Millisecond
	// floodChange is when the configuration is changed, with the buckets empty.
	floodChange = 20 * time.Second
)

// defaultBudget is that of a router with the default settings.
func defaultBudget() *platform.BudgetOptions {
	o := &platform.BudgetOptions{PerUse: make(map[platform.Use]platform.Rates)}
	for _, use := range []platform.Use{
		platform.UseClaim, platform.UseLease, platform.UseConfig, platform.UseAudit, platform.UseAdmin,
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
	p.add(faultkit.Surge, faultkit.Renew, proof{
		promises: []faultkit.Promise{faultkit.ConfigHolds},
		does:     "surge of claims at the leader: its lease never lapses, and every renewal reaches the store",
		run:      func(t *testing.T) { runFlood(t, (*flood).requireLease) },
	})
	p.add(faultkit.Surge, faultkit.Commit, proof{
		promises: []faultkit.Promise{faultkit.ConfigHolds},
		does:     "configuration changed through a router in a surge of claims: accepted at once and in force everywhere",
		run:      func(t *testing.T) { runFlood(t, (*flood).requireChange) },
	})
	return p
}

// Symptom: while one account surges, the leader loses its lease or an operator
// can't change the configuration, although the store is well.
// Sequence: a router leads; receipts use up its share of the store; it renews
// its lease and commits a change out of the same share.
// Cause: claims take the tokens that the lease and the configuration need.
func runFlood(t *testing.T, judge func(*flood)) {
	o := faultkit.Options{Services: 2, Engines: 1, Leaders: true, Budget: defaultBudget()}
	inWorld(t, 2, o, func(t *testing.T, w *faultkit.World) {
		s := &flood{World: w, t: t}
		s.leader = s.awaitLeader()
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

func (s *flood) awaitLeader() *faultkit.Router {
	for range 60 {
		for _, r := range s.Routers {
			if _, err := r.Lease.Valid(); err == nil {
				return r
			}
		}
		time.Sleep(time.Second)
	}
	require.Fail(s.t, "nobody leads")
	return nil
}

// receipts sends the flood to the leader.
func (s *flood) receipts(all *sync.WaitGroup) {
	for i := range floodReceipts {
		all.Go(func() {
			out := s.Receipt(s.leader.Address, fmt.Sprint("flood-", i))
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

// requireLease watches the lease while the flood goes on.
func (s *flood) requireLease() {
	first, err := s.leader.Lease.Valid()
	require.NoError(s.t, err)
	// The candidates' race for the first lease lies before this: its losers
	// meet a conflict, as they must.
	before := len(s.Platform.History())
	for range 150 {
		now, err := s.leader.Lease.Valid()
		require.NoError(s.t, err)
		require.Equal(s.t, first.Fence, now.Fence)
		time.Sleep(100 * time.Millisecond)
	}
	renewals := 0
	for _, c := range s.Platform.History()[before:] {
		if c.Op == platformtest.OpCommit && c.Use == platform.UseLease {
			renewals++
			require.NoError(s.t, c.Err)
		}
	}
	require.Greater(s.t, renewals, 3)
}

// requireChange changes the configuration through the leader, which has used
// up what it may spend on claims.
func (s *flood) requireChange() {
	change := config.Change{Bundle: numbered(s.t, 2), Expected: 1, ChangeID: ourChange, Author: ourChange, Comment: "why"}
	v, err := s.leader.Configs.Chain.Accept(context.Background(), change)
	require.NoError(s.t, err)
	time.Sleep(leaveSettle)
	synctest.Wait()
	for _, r := range s.Routers {
		require.Equal(s.t, v.Number, r.Board.Snapshot().ConfigVersion, r.Name)
	}
}
