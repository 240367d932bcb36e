package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
)

// half replaces the random source; it always returns 0.5.
func half() float64 { return 0.5 }

func get(t *testing.T, table platform.Table) kind {
	_, err := table.Get(t.Context(), platform.UseClaim, "t", "k")
	return kindOf(t, err)
}

func commit(t *testing.T, table platform.Table) kind {
	_, err := table.Commit(t.Context(), platform.UseClaim, platform.Write{Table: "t", Key: "k", IfVersion: platform.AnyVersion})
	return kindOf(t, err)
}

// The first claim after an outage must not end with an unknown outcome, and a
// recovering store must not be overloaded: the probe has to be a read, and its
// time random. The store still fails at the first probe and recovers later.
func TestBreakerOpensProbesAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformtest.New()
		b := platform.NewBreaker(fake, platform.BreakerOptions{Failures: 3, OpenFor: time.Second, Rand: half})
		fake.SetDown(true)
		for range 3 {
			require.Equal(t, unavailable, get(t, b))
		}
		_, err := b.Get(t.Context(), platform.UseClaim, "t", "k")
		require.True(t, platform.ErrBreakerOpen.Has(err), "%v", err)
		require.Equal(t, 3, fake.Count(platformtest.OpGet), "the open breaker rejects all calls")

		time.Sleep(1400 * time.Millisecond)
		require.Equal(t, unavailable, commit(t, b))
		require.Equal(t, 3, fake.Count(platformtest.OpGet), "jitter delays the probe beyond OpenFor")

		time.Sleep(200 * time.Millisecond)
		require.Equal(t, unavailable, commit(t, b))
		require.Equal(t, 4, fake.Count(platformtest.OpGet), "the probe is a read")
		require.Zero(t, fake.Count(platformtest.OpCommit), "no write is sent before a successful probe")

		fake.SetDown(false)
		time.Sleep(1900 * time.Millisecond)
		require.Equal(t, unavailable, commit(t, b), "the maximum delay has doubled")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, ok, commit(t, b))
		require.Equal(t, 1, fake.Count(platformtest.OpCommit))
	})
}

func TestBreakerCountsOnlyFailuresOfStore(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name string
		call func(t *testing.T, b platform.Table, f *platformtest.Fake)
		// open is true if two such calls open the breaker, and streak if
		// failures before and after such a call count as consecutive.
		open, streak bool
	}{
		{"caller canceled", func(t *testing.T, b platform.Table, _ *platformtest.Fake) {
			_, err := b.Get(canceled, platform.UseClaim, "t", "k")
			require.Error(t, err)
		}, false, true},
		{"row absent", func(t *testing.T, b platform.Table, _ *platformtest.Fake) { get(t, b) }, false, false},
		{"invalid call", func(t *testing.T, b platform.Table, _ *platformtest.Fake) {
			_, err := b.Commit(t.Context(), platform.UseClaim)
			require.Equal(t, invalid, kindOf(t, err))
		}, false, true},
		{"budget exhausted", func(t *testing.T, b platform.Table, f *platformtest.Fake) {
			_, err := b.Commit(t.Context(), platform.UseClaim, someWrite)
			require.Equal(t, budget, kindOf(t, err))
		}, false, true},
		{"lost replies", func(t *testing.T, b platform.Table, f *platformtest.Fake) {
			f.Script(platformtest.OpCommit, platformtest.LoseReplyAfterEffect)
			commit(t, b)
		}, true, true},
		{"panic", func(t *testing.T, b platform.Table, f *platformtest.Fake) {
			f.Before(func(context.Context, platformtest.Call) { panic("store") })
			defer f.Before(nil)
			assert.Panics(t, func() { get(t, b) })
		}, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := platformtest.New()
			var next platform.Table = fake
			if c.name == "budget exhausted" {
				reads := platform.Rates{Reads: 100}
				next = platform.WithBudget(fake, platform.NewBudget(platform.BudgetOptions{Total: reads}))
			}
			fail := func(b platform.Table) {
				fake.Script(platformtest.OpGet, platformtest.Down)
				require.Equal(t, unavailable, get(t, b))
			}
			isOpen := func(b platform.Table) bool {
				_, err := b.Get(t.Context(), platform.UseClaim, "t", "k")
				return platform.ErrBreakerOpen.Has(err)
			}
			opts := platform.BreakerOptions{Failures: 2, OpenFor: time.Hour}
			b := platform.NewBreaker(next, opts)
			c.call(t, b, fake)
			c.call(t, b, fake)
			assert.Equal(t, c.open, isOpen(b))

			// The call is made between two failures. If it counts as a failure,
			// the breaker opens at three failures, otherwise at two, so that it
			// stays closed only if the call counts as a success.
			opts.Failures = 3
			if !c.open {
				opts.Failures = 2
			}
			b = platform.NewBreaker(next, opts)
			fail(b)
			c.call(t, b, fake)
			fail(b)
			assert.Equal(t, c.streak, isOpen(b))
		})
	}
}

// When all uses together request more than the total, uses of lower priority
// must be rejected first. If the budget were used in order of arrival, claims
// would be rejected while the audit trail still uses the store.
func TestBudgetRejectsLowerPriorityUsesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformtest.New()
		table := platform.WithBudget(fake, platform.NewBudget(platform.BudgetOptions{
			Total: platform.Rates{Reads: 100, Writes: 100},
			Burst: time.Second,
		}))
		uses := []platform.Use{"stray", platform.UseAdmin, platform.UseAudit, platform.UseConfig, platform.UseClaim}
		got := map[platform.Use]int{}
		for _, use := range uses {
			for drained := false; !drained; {
				_, err := table.Get(t.Context(), use, "t", "k")
				drained = platform.ErrBudget.Has(err)
				if !drained {
					got[use]++
				}
			}
		}
		// Each use in turn drains the bucket of 100 tokens down to its reserve.
		want := map[platform.Use]int{"stray": 25, platform.UseAdmin: 15, platform.UseAudit: 20, platform.UseConfig: 20, platform.UseClaim: 20}
		require.Equal(t, want, got)

		time.Sleep(100 * time.Millisecond)
		_, err := table.Get(t.Context(), platform.UseConfig, "t", "k")
		require.Equal(t, budget, kindOf(t, err), "the ten new tokens are reserved for claims")
		require.Equal(t, notFound, get(t, table))
		require.Equal(t, ok, commit(t, table), "writes have a separate bucket")
	})
}

func TestBudgetLimitsSingleUseAndChangedTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := platform.NewBudget(platform.BudgetOptions{
			Total:  platform.Rates{Reads: 1000, Writes: 1000},
			PerUse: map[platform.Use]platform.Rates{platform.UseClaim: {Reads: 10, Writes: 10}},
			Burst:  time.Second,
		})
		table := platform.WithBudget(platformtest.New(), b)
		for range 10 {
			require.Equal(t, ok, commit(t, table))
		}
		require.Equal(t, budget, commit(t, table), "claims have exhausted their own share")
		_, err := table.Commit(t.Context(), platform.UseConfig, someWrite)
		require.NotEqual(t, budget, kindOf(t, err), "the configuration has not exhausted its share")

		b.SetTotal(platform.Rates{})
		time.Sleep(time.Second)
		require.Equal(t, budget, commit(t, table), "a total of zero allows no calls")
	})
}

// Retention, which is charged to the claims' share, must leave part of it to
// claims. Otherwise its page reads exhaust the share, and non-idempotent requests
// are refused while the store is idle.
func TestRetentionLeavesBudgetForClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platform.WithBudget(platformtest.New(), platform.NewBudget(platform.BudgetOptions{
			Total:  platform.Rates{Reads: 1000, Writes: 1000},
			PerUse: map[platform.Use]platform.Rates{platform.UseClaim: {Reads: 100, Writes: 100}},
			Burst:  time.Second,
		}))
		read := func(use platform.Use) int {
			for n := 0; ; n++ {
				if _, err := table.Get(t.Context(), use, "t", "k"); platform.ErrBudget.Has(err) {
					return n
				}
			}
		}
		require.Equal(t, 25, read(platform.UseRetention))
		require.Equal(t, 75, read(platform.UseClaim), "claims get the rest, and retention was charged")
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, read(platform.UseRetention), "the tokens left are reserved for claims")
	})
}

func TestRetryRepeatsOnlyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformtest.New()
		table := platform.WithRetry(fake, platform.RetryOptions{Attempts: 3})
		fake.Script(platformtest.OpGet, platformtest.Down, platformtest.Down)
		require.Equal(t, notFound, get(t, table))
		fake.Script(platformtest.OpScan, platformtest.Down, platformtest.Down, platformtest.Down)
		_, err := table.Scan(t.Context(), platform.UseClaim, "t", "", "", 1)
		require.Equal(t, unavailable, kindOf(t, err))
		require.Equal(t, 3, fake.Count(platformtest.OpScan))
		fake.Script(platformtest.OpCommit, platformtest.LoseBeforeEffect)
		require.Equal(t, unknown, commit(t, table))
		require.Equal(t, 1, fake.Count(platformtest.OpCommit), "a write is never retried")

		ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
		defer cancel()
		fake.SetDown(true)
		_, err = table.Get(ctx, platform.UseClaim, "t", "k")
		require.Equal(t, unavailable, kindOf(t, err))
		require.Equal(t, 4, fake.Count(platformtest.OpGet), "the context allows no second attempt")

		// The breaker opens after the first attempt and rejects the second, so
		// there is no third.
		table = platform.WithRetry(
			platform.NewBreaker(fake, platform.BreakerOptions{Failures: 1}),
			platform.RetryOptions{Backoff: platform.Backoff{Base: time.Second, Max: time.Second, Rand: half}})
		start := time.Now()
		require.Equal(t, unavailable, get(t, table))
		require.Equal(t, 500*time.Millisecond, time.Since(start))
	})
}

func TestStatsCountByUseAndResult(t *testing.T) {
	fake := platformtest.New()
	stats := &platform.Stats{}
	none := platform.NewBudget(platform.BudgetOptions{})
	table := platform.WithStats(fake, stats)
	commit(t, table)
	fake.Script(platformtest.OpCommit, platformtest.LoseBeforeEffect, platformtest.Down)
	commit(t, table)
	commit(t, table)
	_, _ = table.Commit(t.Context(), platform.UseClaim, someWrite)
	get(t, platform.WithStats(platform.WithBudget(fake, none), stats))
	_, _ = table.Get(t.Context(), "stray", "t", "absent")
	require.Equal(t, map[platform.Use]platform.UseCounts{
		platform.UseClaim: {
			Writes: platform.Counts{OK: 1, Unknown: 1, Unavailable: 1, Conflict: 1},
			Reads:  platform.Counts{Budget: 1},
		},
		"other": {Reads: platform.Counts{NotFound: 1}},
	}, stats.Snapshot())
}

// Objects share the store's rates with the tables. If their calls were not
// charged to the budget, the store would reject claims after many Puts although
// the tables stay within the budget.
func TestObjectCallsAreChargedToBudget(t *testing.T) {
	fake := platformtest.New()
	fake.SetDown(true)
	_, objects, vms, stats := platform.Open(platform.OpenOptions{
		Table: fake, Objects: fake.Objects(), Budget: platform.NewBudget(platform.BudgetOptions{}),
	})
	require.Equal(t, budget, kindOf(t, objects.Put(t.Context(), "o", nil)))
	_, err := objects.Get(t.Context(), "o")
	require.Equal(t, budget, kindOf(t, err))
	_, err = vms.List(t.Context())
	require.Equal(t, unavailable, kindOf(t, err), "the budget doesn't limit the list of VMs")
	require.Equal(t, map[platform.Use]platform.UseCounts{
		"objects": {Reads: platform.Counts{Budget: 1}, Writes: platform.Counts{Budget: 1}},
		"vms":     {Reads: platform.Counts{Unavailable: 1}},
	}, stats.Snapshot())
}
