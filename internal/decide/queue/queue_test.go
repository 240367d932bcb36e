package queue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func TestParseClass(t *testing.T) {
	for c := Urgent; c.Valid(); c++ {
		got, err := ParseClass(c.String())
		require.NoError(t, err)
		assert.Equal(t, c, got)
	}
	got, err := ParseClass("")
	require.NoError(t, err)
	assert.Equal(t, Normal, got)
	_, err = ParseClass("Urgent")
	assert.Equal(t, &ClassError{Name: "Urgent"}, err)
}

// primeDrainRate makes q measure a drain rate of the given number of units of weight
// per second, and returns the time since epoch at which the last unit completed.
func primeDrainRate(t *testing.T, q *Queue, rate int) time.Duration {
	t.Helper()
	require.NoError(t, q.Push(epoch, Item{ID: "seed", Account: "seed", Class: Urgent}))
	var now time.Duration
	for range 100 * rate {
		now += time.Second / time.Duration(rate)
		q.Observe(at(now), 1)
	}
	_, ok := q.Pop(at(now))
	require.True(t, ok)
	return now
}

// A request that can't be served before its deadline must be rejected on arrival, not
// after it has waited until the deadline. Admission by queue length alone would accept
// it.
func TestPushRejectsUnmeetableDeadline(t *testing.T) {
	q := New(Config{AgeAfter: time.Hour, Rand: rand.New(rand.NewPCG(1, 1))})
	now := primeDrainRate(t, q, 10)
	for i := range 100 {
		require.NoError(t, q.Push(at(now), Item{ID: fmt.Sprint(i), Account: "a", Class: Normal}))
	}
	late := Item{ID: "x", Account: "a", Class: Normal, Deadline: at(now + 5*time.Second)}
	var de *DeadlineError
	require.ErrorAs(t, q.Push(at(now), late), &de)
	assert.InDelta(t, 10, de.PredictedWait.Seconds(), 0.2)
	assert.GreaterOrEqual(t, de.RetryAfter, de.PredictedWait-5*time.Second)
	assert.Equal(t, 100, q.Len())

	late.Class = Urgent
	assert.NoError(t, q.Push(at(now), late), "a higher class does not wait behind this backlog")
	other := Item{ID: "y", Account: "b", Class: Normal, Deadline: at(now + time.Second)}
	assert.NoError(t, q.Push(at(now), other), "nor does another account")
	var dup *DuplicateError
	require.ErrorAs(t, q.Push(at(now), other), &dup)
}

// An accepted item must be expired once its deadline can't be met any more, because the
// engines stopped or because work of a higher class arrived. A prediction made only on
// admission would hold it until the deadline.
func TestExpireRemovesItemsThatBecomeUnmeetable(t *testing.T) {
	cases := map[string]func(q *Queue, now time.Duration) time.Duration{
		"engines stop": func(_ *Queue, now time.Duration) time.Duration { return now + 15*time.Second },
		"urgent work arrives": func(q *Queue, now time.Duration) time.Duration {
			for i := range 500 {
				_ = q.Push(at(now), Item{ID: fmt.Sprint("u", i), Account: "b", Class: Urgent})
			}
			return now
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			q := New(Config{AgeAfter: time.Hour})
			now := primeDrainRate(t, q, 10)
			for i := range 100 {
				it := Item{ID: fmt.Sprint(i), Account: "a", Class: Normal, Deadline: at(now + 20*time.Second)}
				require.NoError(t, q.Push(at(now), it))
			}
			require.Empty(t, q.Expire(at(now)))
			now = change(q, now)
			expired := q.Expire(at(now))
			assert.NotEmpty(t, expired)
			for _, it := range expired {
				assert.True(t, it.Deadline.After(at(now)), "expired before the deadline, not at it")
			}
			if name == "engines stop" {
				assert.NotZero(t, q.Len(), "items at the front can still meet their deadline")
			}
		})
	}
}

// The first burst after an hour of low demand must not be rejected while every engine
// is free. A drain rate measured over idle time would reflect demand, not capacity.
func TestIdleTimeDoesNotLowerDrainRate(t *testing.T) {
	q := New(Config{})
	var now time.Duration
	for i := range 360 {
		now += 10 * time.Second
		require.NoError(t, q.Push(at(now), Item{ID: fmt.Sprint("q", i), Account: "a"}))
		_, ok := q.Pop(at(now))
		require.True(t, ok)
		q.Observe(at(now+time.Second), 1)
	}
	for i := range 50 {
		it := Item{ID: fmt.Sprint(i), Account: "a", Deadline: at(now + time.Second)}
		require.NoError(t, q.Push(at(now), it))
	}
	// Work that completes while nothing waits doesn't raise the drain rate either.
	for s := range 9 {
		q.Observe(at(now+time.Duration(s)*time.Second), 1)
	}
	assert.InDelta(t, 1, q.Stats(at(now+8*time.Second)).DrainRate, 0.2)
}

// A new backlog must not be rejected for its deadline before anything has completed.
// 130 chats of two seconds arrive at an engine with 50 slots, so that 80 wait, each for
// up to thirty seconds. Time without a completion must not be taken for a drain rate.
func TestNewBacklogIsNotRejected(t *testing.T) {
	const slots, waiting, duration = 50, 80, 2 * time.Second
	q := New(Config{AgeAfter: time.Hour})
	rejected, served := 0, 0
	deadline := at(30 * time.Second)
	for i := range waiting {
		if q.Push(at(time.Duration(i)*20*time.Millisecond), Item{ID: fmt.Sprint(i), Account: "a", Class: Normal, Deadline: deadline}) != nil {
			rejected++
		}
	}
	for now := duration; now <= 3*duration; now += duration {
		rejected += len(q.Expire(at(now - time.Millisecond)))
		for range slots {
			q.Observe(at(now), 1)
			if _, ok := q.Pop(at(now)); ok {
				served++
			}
		}
	}
	require.Zero(t, rejected)
	require.Equal(t, waiting, served)
}

// One account that fills the queue with batch work must not cause the rejection of key
// checks and other requests of higher classes, as a single limit for all would.
func TestLimitsKeepRoomForOtherAccountsAndClasses(t *testing.T) {
	q := New(Config{Limit: 100})
	fill := func(account string, c Class) (n int, err error) {
		for ; ; n++ {
			it := Item{ID: fmt.Sprint(account, c, n), Account: account, Class: c}
			if err = q.Push(epoch, it); err != nil {
				return n, err
			}
		}
	}
	for _, s := range []struct {
		account string
		class   Class
		n       int
		scope   Scope
	}{
		{"surge", Batch, 60, ScopeClass},
		{"surge", Urgent, 20, ScopeAccount},
		{"calm", Normal, 0, ScopeClass},
		{"calm", High, 10, ScopeClass},
	} {
		n, err := fill(s.account, s.class)
		var fe *FullError
		require.ErrorAs(t, err, &fe)
		assert.Equal(t, s.n, n, "%+v", s)
		assert.Equal(t, s.scope, fe.Scope, "%+v", s)
		assert.GreaterOrEqual(t, fe.RetryAfter, minRetryAfter)
	}
	n, _ := fill("calm", Urgent)
	assert.Positive(t, n)
}

// The service of two backlogged accounts may differ from their shares by no more than
// one item each, whatever the weights: the known bound of start-time fair queueing.
func TestFairnessBetweenBackloggedAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Limit: 10000, AgeAfter: time.Hour})
		share := map[string]float64{
			"a": rapid.Float64Range(0.1, 10).Draw(t, "share a"),
			"b": rapid.Float64Range(0.1, 10).Draw(t, "share b"),
		}
		weights := rapid.SliceOfN(rapid.Int64Range(1, 1000), 200, 200).Draw(t, "weights")
		heaviest := slices.Max(weights)
		for i, w := range weights {
			a := string("ab"[i%2])
			it := Item{ID: fmt.Sprint(i), Account: a, Class: High, Weight: w, Share: share[a]}
			require.NoError(t, q.Push(epoch, it))
		}
		served, count := map[string]float64{}, map[string]int{}
		for count["a"] < 100 && count["b"] < 100 {
			it, ok := q.Pop(epoch)
			require.True(t, ok)
			served[it.Account] += float64(it.Weight) / it.Share
			count[it.Account]++
			bound := float64(heaviest) * (1/share["a"] + 1/share["b"])
			require.LessOrEqual(t, math.Abs(served["a"]-served["b"]), bound+1e-6)
		}
	})
}

// Without ageing, strict priority would never serve a batch item while urgent work
// exceeds the capacity. Conversely an account's aged batch items must not delay its own
// urgent requests.
func TestAgedBatchIsServedWithoutDelayingUrgent(t *testing.T) {
	q := New(Config{AgeAfter: 10 * time.Second})
	for i := range 200 {
		require.NoError(t, q.Push(epoch, Item{ID: fmt.Sprint("b", i), Account: "a", Class: Batch}))
	}
	firstBatch, batch, urgent := -1, 0, 0
	for s := range 120 {
		now := at(time.Duration(s) * time.Second)
		for i := range 2 {
			_ = q.Push(now, Item{ID: fmt.Sprint("u", s, "-", i), Account: "a", Class: Urgent})
		}
		it, ok := q.Pop(now)
		require.True(t, ok)
		if it.Class == Urgent {
			urgent++
			continue
		}
		if batch++; firstBatch < 0 {
			firstBatch = s
		}
	}
	t.Logf("first batch item after %d s; %d batch, %d urgent served", firstBatch, batch, urgent)
	assert.Equal(t, 30, firstBatch)
	assert.InDelta(t, 90*agedShareFactor/(1+agedShareFactor), batch, 2)
}

// Under random pushes, pops, removals and expiries each accepted item leaves exactly
// once, and the counts return to zero.
func TestEachItemLeavesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Limit: 40, AgeAfter: 3 * time.Second})
		waiting, now, next := map[string]Item{}, epoch, 0
		leave := func(it Item) {
			_, ok := waiting[it.ID]
			require.True(t, ok, "%s left twice or never entered", it.ID)
			delete(waiting, it.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				it := Item{
					ID:      fmt.Sprint(next),
					Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Class:   Class(rapid.IntRange(0, namedClasses).Draw(t, "class")),
					Weight:  rapid.Int64Range(-1, 50).Draw(t, "weight"),
					Share:   rapid.SampledFrom([]float64{0, 1, 5, math.NaN(), math.Inf(1)}).Draw(t, "share"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					it.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 9).Draw(t, "in")) * time.Second)
				}
				if q.Push(now, it) == nil {
					waiting[it.ID] = it
				}
			},
			"pop": func(t *rapid.T) {
				if it, ok := q.Pop(now); ok {
					require.False(t, it.missesDeadline(now))
					leave(it)
				}
			},
			"expire": func(t *rapid.T) {
				for _, it := range q.Expire(now) {
					leave(it)
				}
				for _, it := range waiting {
					require.False(t, it.missesDeadline(now), "%s is overdue and still waiting", it.ID)
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, next+1).Draw(t, "id"))
				if it, ok := q.Remove(id); ok {
					leave(it)
				}
			},
			"observe": func(t *rapid.T) { q.Observe(now, rapid.Int64Range(0, 60).Draw(t, "done")) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				s := q.Stats(now)
				for _, c := range s.Classes {
					s.Overdue += c.Items
				}
				require.Len(t, waiting, s.Overdue)
				require.Len(t, waiting, q.Len())
			},
		})
		for it, ok := q.Pop(now); ok; it, ok = q.Pop(now) {
			leave(it)
		}
		for _, it := range q.Expire(now) {
			leave(it)
		}
		require.Empty(t, waiting)
		require.Zero(t, q.Work())
		require.Empty(t, q.itemsByAccount)
		for _, l := range q.levels {
			require.Empty(t, l.flows)
			require.Zero(t, l.work+int64(l.byAge.Len()))
		}
	})
}

// Idle flows must not stay in memory for every account ever seen while a level never
// runs empty: here 10,000 accounts send three requests each and don't return.
func TestIdleFlowsAreDeleted(t *testing.T) {
	q := New(Config{AgeAfter: time.Hour})
	maxFlows := 0
	for i := range 30000 {
		it := Item{ID: fmt.Sprint(i), Account: fmt.Sprint(i / 3), Class: High}
		require.NoError(t, q.Push(epoch, it))
		if i >= 10 {
			q.Pop(epoch)
		}
		maxFlows = max(maxFlows, len(q.levels[High].flows))
	}
	assert.LessOrEqual(t, maxFlows, 2*minSweepFlows)
}

// newBacklog returns 4,000 items and a queue that holds the first 1,000 of them.
func newBacklog() (*Queue, []Item) {
	q := New(Config{Limit: 2000})
	items := make([]Item, 4000)
	for i := range items {
		items[i] = Item{ID: fmt.Sprint(i), Account: fmt.Sprint(i % 410), Class: Class(i % namedClasses), Deadline: at(time.Hour)}
		if i < 1000 {
			_ = q.Push(epoch, items[i])
		}
	}
	return q, items
}

func BenchmarkPushPop(b *testing.B) {
	q, items := newBacklog()
	b.ReportAllocs()
	for i := 1000; b.Loop(); i++ {
		_ = q.Push(epoch, items[i%len(items)])
		q.Pop(epoch)
	}
}

func BenchmarkExpire1000(b *testing.B) {
	q, _ := newBacklog()
	b.ReportAllocs()
	for b.Loop() {
		q.Expire(epoch)
	}
}

// Items of a low class must be rejected on arrival when higher classes leave too little
// of the drain rate for them, instead of waiting until their deadline. Ten requests are
// served per second, and nine requests of a higher class arrive per second.
func TestPredictionAccountsForHigherClasses(t *testing.T) {
	const tick = 100 * time.Millisecond
	q := New(Config{AgeAfter: time.Hour, Window: time.Second})
	push := func(now time.Duration, c Class) {
		require.NoError(t, q.Push(at(now), Item{ID: fmt.Sprint(now, c, q.Len()), Account: "a", Class: c}))
	}
	for range 5 {
		push(0, Normal)
	}
	now := time.Duration(0)
	for i := range 100 {
		now += tick
		if i%10 < 9 {
			push(now, Urgent)
		}
		q.Observe(at(now), 1)
		it, ok := q.Pop(at(now))
		require.True(t, ok)
		if it.Class == Normal {
			push(now, Normal)
		}
	}
	// Five wait, and one is served each second.
	wait := q.PredictWait(at(now), Item{Account: "a", Class: Normal})
	require.InDelta(t, 5, wait.Seconds(), 2.5)
	require.Zero(t, q.PredictWait(at(now), Item{Account: "a", Class: Urgent}), "nothing is ahead of an urgent item")
}

// Without a configured rate, a queue accepts ten times what can be served in time in
// the first second of a surge, since nothing has completed yet. A rate configured from
// the number of slots and the duration of requests must count until there are
// measurements.
func TestConfiguredRatePredictsNewBacklog(t *testing.T) {
	q := New(Config{Window: time.Second, Rate: 20})
	rejected := 0
	for i := range 40 {
		it := Item{ID: fmt.Sprint(i), Account: "a", Deadline: at(time.Second)}
		if q.Push(epoch, it) != nil {
			rejected++
		}
	}
	require.InDelta(t, 19, rejected, 4)
	// Measurements soon count for more: five a second.
	for i := range 15 {
		q.Observe(at(time.Duration(i)*200*time.Millisecond), 1)
	}
	require.InDelta(t, 5, q.Stats(at(3*time.Second)).DrainRate, 2)
}

// A class below the highest one must not starve during a surge: it gets the reserved
// share of the service, and the higher class the rest.
func TestReservePreventsStarvationOfNextClass(t *testing.T) {
	q := New(Config{AgeAfter: time.Hour, Reserve: 0.1, Classes: 10, Limit: 2000})
	for i := range 500 {
		weight := int64(1 + i%7)
		require.NoError(t, q.Push(epoch, Item{ID: fmt.Sprint("u", i), Account: "a", Class: 3, Weight: weight}))
		require.NoError(t, q.Push(epoch, Item{ID: fmt.Sprint("l", i), Account: "a", Class: 7, Weight: weight}))
	}
	served := map[Class]int64{}
	for range 400 {
		it, ok := q.Pop(epoch)
		require.True(t, ok)
		served[it.Class] += it.Weight
	}
	require.InDelta(t, 0.1, float64(served[7])/float64(served[3]+served[7]), 0.01)
}
