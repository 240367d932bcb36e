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

// half is a source of "randomness" that always returns the middle.
func half() float64 { return 0.5 }

func get(t *testing.T, table platform.Table) kind {
	_, err := table.Get(t.Context(), platform.UseClaim, "t", "k")
	return kindOf(t, err)
}

func commit(t *testing.T, table platform.Table) kind {
	_, err := table.Commit(t.Context(), platform.UseClaim, platform.Write{Table: "t", Key: "k", IfVersion: platform.AnyVersion})
	return kindOf(t, err)
}

// Symptom: the first claim after an outage ends as "outcome unknown", or the
// store is hammered while it recovers. Sequence: outage, breaker opens, the
// pause ends, the store still hangs, later it answers. Cause: a write went out
// as the probe, or all routers probed at fixed times.
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
		require.Equal(t, 3, fake.Count(platformtest.OpGet), "the open breaker lets nothing through")

		time.Sleep(1400 * time.Millisecond)
		require.Equal(t, unavailable, commit(t, b))
		require.Equal(t, 3, fake.Count(platformtest.OpGet), "the jitter delays the probe beyond OpenFor")

		time.Sleep(200 * time.Millisecond)
		require.Equal(t, unavailable, commit(t, b))
		require.Equal(t, 4, fake.Count(platformtest.OpGet), "a read is the probe")
		require.Zero(t, fake.Count(platformtest.OpCommit), "no write meets a doubtful store")

		fake.SetDown(false)
		time.Sleep(1900 * time.Millisecond)
		require.Equal(t, unavailable, commit(t, b), "the pause has doubled")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, ok, commit(t, b))
		require.Equal(t, 1, fake.Count(platformtest.OpCommit))
	})
}

func TestBreakerIgnoresWhatIsNotTheStoresFault(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name string
		call func(t *testing.T, b platform.Table, f *platformtest.Fake)
		// open tells whether two such calls open the breaker, and streak
		// whether one between two failures leaves the streak unbroken.
		open, streak bool
	}{
		{"caller gave up", func(t *testing.T, b platform.Table, _ *platformtest.Fake) {
			_, err := b.Get(ended, platform.UseClaim, "t", "k")
			require.Error(t, err)
		}, false, true},
		{"row absent", func(t *testing.T, b platform.Table, _ *platformtest.Fake) { get(t, b) }, false, false},
		{"invalid call", func(t *testing.T, b platform.Table, _ *platformtest.Fake) {
			_, err := b.Commit(t.Context(), platform.UseClaim)
			require.Equal(t, invalid, kindOf(t, err))
		}, false, true},
		{"budget spent", func(t *testing.T, b platform.Table, f *platformtest.Fake) {
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
			if c.name == "budget spent" {
				reads := platform.Rates{Reads: 100}
				next = platform.Budgeted(fake, platform.NewBudget(platform.BudgetOptions{Total: reads}))
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

			// A call that fails is the third failure; any other leaves two.
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

// Symptom: receipts are refused for want of writes while the audit trail still
// gets its own. Sequence: all uses ask for more than the total. Cause: the
// budget served whoever came first.
func TestBudgetCutsLowerUsesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformtest.New()
		table := platform.Budgeted(fake, platform.NewBudget(platform.BudgetOptions{
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
		// Each use in turn drains the bucket of 100 down to its reserve.
		want := map[platform.Use]int{"stray": 25, platform.UseAdmin: 15, platform.UseAudit: 20, platform.UseConfig: 20, platform.UseClaim: 20}
		require.Equal(t, want, got)

		time.Sleep(100 * time.Millisecond)
		_, err := table.Get(t.Context(), platform.UseConfig, "t", "k")
		require.Equal(t, budget, kindOf(t, err), "ten new tokens are the claims'")
		require.Equal(t, notFound, get(t, table))
		require.Equal(t, ok, commit(t, table), "writes have a bucket of their own")
	})
}

func TestBudgetOfOneUseAndChangedTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := platform.NewBudget(platform.BudgetOptions{
			Total:  platform.Rates{Reads: 1000, Writes: 1000},
			PerUse: map[platform.Use]platform.Rates{platform.UseClaim: {Reads: 10, Writes: 10}},
			Burst:  time.Second,
		})
		table := platform.Budgeted(platformtest.New(), b)
		for range 10 {
			require.Equal(t, ok, commit(t, table))
		}
		require.Equal(t, budget, commit(t, table), "claims have spent their own share")
		_, err := table.Commit(t.Context(), platform.UseConfig, someWrite)
		require.NotEqual(t, budget, kindOf(t, err), "the configuration has not")

		b.SetTotal(platform.Rates{})
		time.Sleep(time.Second)
		require.Equal(t, budget, commit(t, table), "a share of nothing allows nothing")
	})
}

// Symptom: calls that must not be repeated are refused for the budget while
// the store is idle. Sequence: retention reads page after page. Cause: it pays
// from the claims' share without leaving them any.
func TestBudgetOfRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platform.Budgeted(platformtest.New(), platform.NewBudget(platform.BudgetOptions{
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
		require.Equal(t, 75, read(platform.UseClaim), "the rest is left, and the cost is counted")
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, read(platform.UseRetention), "claims are short")
	})
}

func TestRetryRepeatsReadsOnly(t *testing.T) {
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
		require.Equal(t, 1, fake.Count(platformtest.OpCommit), "a write is never repeated here")

		ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
		defer cancel()
		fake.SetDown(true)
		_, err = table.Get(ctx, platform.UseClaim, "t", "k")
		require.Equal(t, unavailable, kindOf(t, err))
		require.Equal(t, 4, fake.Count(platformtest.OpGet), "the context allows no second try")

		// The second try meets the open breaker and there is no third.
		table = platform.WithRetry(
			platform.NewBreaker(fake, platform.BreakerOptions{Failures: 1}),
			platform.RetryOptions{Backoff: platform.Backoff{Base: time.Second, Max: time.Second, Rand: half}})
		start := time.Now()
		require.Equal(t, unavailable, get(t, table))
		require.Equal(t, 500*time.Millisecond, time.Since(start))
	})
}

func TestCountsByUseAndResult(t *testing.T) {
	fake := platformtest.New()
	stats := &platform.Stats{}
	none := platform.NewBudget(platform.BudgetOptions{})
	table := platform.Counted(fake, stats)
	commit(t, table)
	fake.Script(platformtest.OpCommit, platformtest.LoseBeforeEffect, platformtest.Down)
	commit(t, table)
	commit(t, table)
	_, _ = table.Commit(t.Context(), platform.UseClaim, someWrite)
	get(t, platform.Counted(platform.Budgeted(fake, none), stats))
	_, _ = table.Get(t.Context(), "stray", "t", "absent")
	require.Equal(t, map[platform.Use]platform.UseCounts{
		platform.UseClaim: {
			Writes: platform.Counts{OK: 1, Unknown: 1, Unavailable: 1, Conflict: 1},
			Reads:  platform.Counts{Budget: 1},
		},
		"other": {Reads: platform.Counts{NotFound: 1}},
	}, stats.Snapshot())
}

// Symptom: the store refuses claims although the tables' budget is kept.
// Sequence: many objects are put. Cause: objects share the store's rates and
// were not paid for.
func TestObjectsPayFromTheBudget(t *testing.T) {
	fake := platformtest.New()
	fake.SetDown(true)
	_, objects, vms, stats := platform.Open(platform.OpenOptions{
		Table: fake, Objects: fake.Objects(), Budget: platform.NewBudget(platform.BudgetOptions{}),
	})
	require.Equal(t, budget, kindOf(t, objects.Put(t.Context(), "o", nil)))
	_, err := objects.Get(t.Context(), "o")
	require.Equal(t, budget, kindOf(t, err))
	_, err = vms.List(t.Context())
	require.Equal(t, unavailable, kindOf(t, err), "the VM list is outside the budget")
	require.Equal(t, map[platform.Use]platform.UseCounts{
		"objects": {Reads: platform.Counts{Budget: 1}, Writes: platform.Counts{Budget: 1}},
		"vms":     {Reads: platform.Counts{Unavailable: 1}},
	}, stats.Snapshot())
}
