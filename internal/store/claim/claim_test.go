package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

var (
	ctx      = context.Background()
	receipt  = Key{Account: "mill", IdempotencyKey: "receipt-7", Service: "portal"}
	body     = HashBody([]byte("body"))
	response = Response{Status: 201, ContentType: "text/plain", Body: []byte("receipt 7")}
)

func isNotExecuted(err error) bool {
	var notExecuted *NotExecutedError
	return errors.As(err, &notExecuted)
}

// endingAfterSend returns the ending, or "finish" in place of "refused", since
// a request that was sent can't end as refused.
func endingAfterSend(ending string) string {
	if ending == "refused" {
		return "finish"
	}
	return ending
}

// A request must be executed exactly once while any single call to the store
// fails in any way, the caller retries at three routers, and delayed writes
// arrive between the attempts. If a claim were treated as absent, the request
// would be executed twice; if it were treated as another router's, the key
// would be blocked although nothing was executed.
func TestRequestExecutesOnceUnderAnySingleFault(t *testing.T) {
	endings := map[string]func(*Store, *Claim) error{
		"finish":  func(s *Store, c *Claim) error { return s.Finish(ctx, c, response) },
		"unknown": func(s *Store, c *Claim) error { return s.MarkUnknown(ctx, c) },
		"refused": func(s *Store, c *Claim) error { return s.Release(ctx, c) },
		"vanish":  func(*Store, *Claim) error { return nil },
	}
	for ending, end := range endings {
		for f := down; f < faultCount; f++ {
			for call := 1; call <= 8; call++ {
				t.Run(fmt.Sprintf("%s fault %d call %d", ending, f, call), func(t *testing.T) {
					table := newFakeTable()
					table.fault = faultAt(call, f)
					routers := []*Store{newStore(table, "a"), newStore(table, "b"), newStore(table, "c")}
					executions := 0
					for attempt := range 9 {
						s := routers[attempt%3]
						out, err := s.Begin(ctx, receipt, body)
						require.True(t, err == nil || isNotExecuted(err), "%v", err)
						if out.Kind == Answered {
							require.Equal(t, response, out.Answer)
							require.Equal(t, 1, executions)
						}
						switch {
						case out.Kind == Run && ending == "refused" && attempt < 3:
							_ = end(s, out.Claim)
						case out.Kind == Run:
							executions++
							_ = endings[endingAfterSend(ending)](s, out.Claim)
						}
						table.deliverDelayed()
					}
					require.Equal(t, 1, executions, "executed exactly once: neither repeated nor blocked")
				})
			}
		}
	}
}

// A claim must not expire: router a claims and is frozen before it sends, other
// routers receive the same request for hours, and then a resumes and sends. If
// the claim had a lease, another router would have executed the request
// meanwhile. The claim may be replaced only for a service that deduplicates by
// key.
func TestClaimOfFrozenRouterIsNotReplaced(t *testing.T) {
	table := newFakeTable()
	a, b := newStore(table, "a"), newStore(table, "b")
	held, err := a.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, Run, held.Kind)
	for range 1000 {
		out, err := b.Begin(ctx, receipt, body)
		require.NoError(t, err)
		require.Equal(t, InProgress, out.Kind)
		require.True(t, ErrOutcomeUnknown.Has(out.Err()))
	}
	dedup := receipt
	dedup.Deduplicates = true
	out, err := b.Begin(ctx, dedup, body)
	require.NoError(t, err)
	require.Equal(t, Run, out.Kind)
	require.True(t, ErrSuperseded.Has(a.Finish(ctx, held.Claim, response)))
	require.NoError(t, b.Finish(ctx, out.Claim, response))
	require.NoError(t, b.Finish(ctx, out.Claim, response))
}

// A release that the network delivers twice must not remove the next claim, or
// its request would be executed again: router a releases its claim, b claims
// the key, a's release arrives again, and c claims the key. The test fails if a
// release deletes the row and versions start again, so that b's row has the
// version that a's row had.
func TestReleaseDeliveredTwice(t *testing.T) {
	table := newFakeTable()
	a, b, c := newStore(table, "a"), newStore(table, "b"), newStore(table, "c")
	first, err := a.Begin(ctx, receipt, body)
	require.NoError(t, err)
	table.fault = faultAt(2, duplicated)
	require.NoError(t, a.Release(ctx, first.Claim))
	second, err := b.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, Run, second.Kind)
	table.deliverDelayed()
	third, err := c.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, InProgress, third.Kind)
	require.NoError(t, a.Release(ctx, first.Claim), "a repeated release changes nothing")
	view, err := c.Show(ctx, receipt)
	require.NoError(t, err)
	require.Equal(t, "b", view.Router)
}

func TestKeysAreSeparateByAccountAndBody(t *testing.T) {
	table := newFakeTable()
	s := newStore(table, "a")
	out, err := s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.NoError(t, s.Finish(ctx, out.Claim, response))
	out, err = s.Begin(ctx, receipt, HashBody([]byte("other")))
	require.NoError(t, err)
	require.True(t, ErrKeyReused.Has(out.Err()))
	other := receipt
	other.Account = "farm"
	out, err = s.Begin(ctx, other, body)
	require.NoError(t, err)
	require.Equal(t, Run, out.Kind, "claims of different accounts are separate")
	_, err = s.Begin(ctx, Key{Account: "mill"}, body)
	require.True(t, ErrBadKey.Has(err))
	require.NotEqual(t, Key{Account: "a/b", IdempotencyKey: "c"}.rowKey(), Key{Account: "a", IdempotencyKey: "b/c"}.rowKey())
}

func TestLargeResponseIsStoredAsObject(t *testing.T) {
	s := newStore(newFakeTable(), "a")
	large := Response{Status: 200, Body: bytes.Repeat([]byte("x"), maxInlineBody+1)}
	out, err := s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.NoError(t, s.Finish(ctx, out.Claim, large))
	out, err = s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, large, out.Answer)
	s.objects.(*fakeObjects).down = true
	_, err = s.Begin(ctx, receipt, body)
	require.True(t, ErrResponseLost.Has(err))
}

func TestOperatorResolvesUnknownOutcome(t *testing.T) {
	s := newStore(newFakeTable(), "a")
	_, err := s.Show(ctx, receipt)
	require.True(t, platform.ErrNotFound.Has(err))
	out, _ := s.Begin(ctx, receipt, body)
	require.NoError(t, s.MarkUnknown(ctx, out.Claim))
	view, err := s.Show(ctx, receipt)
	require.NoError(t, err)
	require.Equal(t, View{Account: "mill", Service: "portal", Router: "a", State: StateUnknown, Version: 2}, view)
	var conflict *platform.ConflictError
	require.ErrorAs(t, s.Resolve(ctx, receipt, 1, VerdictNotExecuted), &conflict)
	require.NoError(t, s.Resolve(ctx, receipt, 2, VerdictNotExecuted))
	out, err = s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, Run, out.Kind)
	require.NoError(t, s.Finish(ctx, out.Claim, response))
	var bad *BadVerdictError
	require.ErrorAs(t, s.Resolve(ctx, receipt, 5, VerdictNotExecuted), &bad)
}

// Claims must not be deleted within the retention period, or a repeated request
// would be executed again, and must be deleted eventually, or the table grows
// without bound. Sweepers are replaced every six hours, so the age of a claim must
// not depend on the clock of one VM.
func TestSweepDeletesAfterRetentionPeriod(t *testing.T) {
	table := newFakeTable()
	s := newStore(table, "a")
	out, _ := s.Begin(ctx, receipt, body)
	require.NoError(t, s.Finish(ctx, out.Claim, response))
	open := receipt
	open.IdempotencyKey = "open"
	_, _ = s.Begin(ctx, open, body)
	var deletedAt time.Duration
	sweeper := NewSweeper(table, day)
	for now := time.Duration(0); now < 3*day; now += 10 * time.Minute {
		if now%(6*time.Hour) == 0 {
			sweeper = NewSweeper(table, day)
		}
		_, err := sweeper.Step(ctx, now)
		require.NoError(t, err)
		if _, err := s.Show(ctx, receipt); err != nil && deletedAt == 0 {
			deletedAt = now
		}
	}
	require.Greater(t, deletedAt, day)
	require.Less(t, deletedAt, 3*day)
	_, err := s.Show(ctx, open)
	require.NoError(t, err, "a claim that is not done or refused is never deleted")
}

// A duplicate must not fail the other claims in its transaction, although a
// transaction applies all writes or none.
func TestBatcherIsolatesDuplicateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.delay = func() { time.Sleep(time.Millisecond) }
		s := newStore(NewBatcher(table, 64), "a")
		var wg sync.WaitGroup
		var mu sync.Mutex
		kinds := make(map[OutcomeKind]int)
		for i := range 100 {
			wg.Go(func() {
				key := receipt
				key.IdempotencyKey = strconv.Itoa(i % 99)
				out, err := s.Begin(ctx, key, body)
				mu.Lock()
				defer mu.Unlock()
				require.NoError(t, err)
				kinds[out.Kind]++
			})
		}
		wg.Wait()
		require.Equal(t, map[OutcomeKind]int{Run: 99, InProgress: 1}, kinds)
		require.Less(t, table.commits, 20)
		t.Logf("transactions for 100 claims: %d", table.commits)

		expired, cancel := context.WithTimeout(ctx, time.Microsecond)
		defer cancel()
		b := NewBatcher(table, 64)
		_, err := b.Commit(expired, platform.UseClaim, platform.Write{Table: Table, Key: "k"})
		require.True(t, platform.ErrOutcomeUnknown.Has(err), "it has been sent")
		time.Sleep(time.Second)
	})
}

// operation is the input and result of one call, for the linearizability check.
type operation struct {
	begin bool
	out   OutcomeKind
	token string
	ok    bool
}

// keyState is the model's state of one key.
type keyState struct{ state, token string }

func stepKey(state, input, output any) []any {
	st, op := state.(keyState), output.(operation)
	open := st.state == "free" || st.state == "blocked"
	switch {
	case !op.begin && st == keyState{"claimed", op.token}:
		done := []any{keyState{"done", op.token}}
		if !op.ok {
			done = append(done, st)
		}
		return done
	case op.begin && op.out == Run && open:
		return []any{keyState{"claimed", op.token}}
	case op.begin && op.out == InProgress && (st.state == "claimed" || st.state == "blocked"):
		return []any{st}
	case op.begin && op.out == Answered && st == keyState{"done", op.token}:
		return []any{st}
	case op.begin && op.out == 0 && st.state == "free":
		return []any{st, keyState{state: "blocked"}}
	case op.begin && op.out == 0:
		return []any{st}
	}
	return nil
}

// Concurrent calls of six routers for one key must be linearizable while a quarter
// of the store's calls fail. Otherwise two callers may both execute the request,
// or one may get a response that was never recorded.
func TestConcurrentBeginIsLinearizable(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{state: "free"}} },
		Step: stepKey,
	}
	total := make(map[OutcomeKind]int)
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(n)
			}
			table := newFakeTable()
			table.delay = func() { time.Sleep(time.Duration(1 + draw(5000))) }
			table.fault = func(int) fault { return []fault{down, replyLost, requestLost, none}[min(3, draw(12))] }
			var ops []porcupine.Operation
			record := func(id int, call time.Time, h operation) {
				mu.Lock()
				defer mu.Unlock()
				total[h.out]++
				ops = append(ops, porcupine.Operation{ClientId: id, Call: call.UnixNano(), Output: h, Return: time.Now().UnixNano()})
			}
			var wg sync.WaitGroup
			for id := range 6 {
				s := newStore(NewBatcher(table, 4), strconv.Itoa(id))
				wg.Go(func() {
					for range 3 {
						call := time.Now()
						out, _ := s.Begin(ctx, receipt, body)
						h := operation{begin: true, out: out.Kind, token: string(out.Answer.Body)}
						if out.Kind == Run {
							h.token = out.Claim.rec.Token
						}
						record(id, call, h)
						time.Sleep(time.Duration(1 + draw(5000)))
						if out.Kind != Run {
							continue
						}
						call = time.Now()
						err := s.Finish(ctx, out.Claim, Response{Body: []byte(h.token)})
						record(id, call, operation{token: h.token, ok: err == nil})
					}
				})
			}
			wg.Wait()
			require.True(t, porcupine.CheckOperations(model.ToModel(), ops), "seed %d: %+v", seed, ops)
		})
	}
	t.Logf("outcomes by kind (0: error, or a call of Finish): %v", total)
}

// A request must be executed at most once under any sequence of claims, sends,
// endings, faults and delayed deliveries at three routers. This covers
// combinations that the test of single faults doesn't reach.
func TestRequestExecutesAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFakeTable()
		faults := rapid.SliceOfN(rapid.IntRange(0, 2*int(faultCount)), 40, 40).Draw(t, "faults")
		table.fault = func(n int) fault { return fault(faults[n%len(faults)] % int(faultCount)) }
		routers := []*Store{newStore(table, "a"), newStore(table, "b"), newStore(table, "c")}
		type held struct {
			store *Store
			claim *Claim
			sent  bool
		}
		var claims []*held
		sends := 0
		pick := func(t *rapid.T) *held {
			if len(claims) == 0 {
				t.Skip("no claim")
			}
			return rapid.SampledFrom(claims).Draw(t, "claim")
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				s := rapid.SampledFrom(routers).Draw(t, "router")
				out, err := s.Begin(ctx, receipt, body)
				require.True(t, err == nil || isNotExecuted(err), "%v", err)
				if out.Kind == Run {
					claims = append(claims, &held{store: s, claim: out.Claim})
				}
			},
			"send": func(t *rapid.T) {
				if h := pick(t); !h.sent {
					h.sent = true
					sends++
				}
			},
			"finish": func(t *rapid.T) {
				if h := pick(t); h.sent {
					_ = h.store.Finish(ctx, h.claim, response)
				}
			},
			"unknown": func(t *rapid.T) {
				if h := pick(t); h.sent {
					_ = h.store.MarkUnknown(ctx, h.claim)
				}
			},
			"refuse": func(t *rapid.T) {
				if h := pick(t); !h.sent {
					h.sent = true // The request is aborted and must not be sent later.
					_ = h.store.Release(ctx, h.claim)
				}
			},
			"deliver": func(*rapid.T) { table.deliverDelayed() },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, sends, 1)
			},
		})
	})
}
