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
	ctx     = context.Background()
	receipt = Key{Account: "mill", IdempotencyKey: "receipt-7", Service: "portal"}
	body    = HashBody([]byte("body"))
	answer  = Answer{Status: 201, ContentType: "text/plain", Body: []byte("receipt 7")}
)

func isNotRun(err error) bool {
	var notRun *NotRunError
	return errors.As(err, &notRun)
}

// sentEnding replaces an ending that is wrong for a request that was sent.
func sentEnding(ending string) string {
	if ending == "refused" {
		return "finish"
	}
	return ending
}

// Symptom: one receipt is issued twice, or never again although it was
// refused as unrun. Sequence: any single call to the store fails in any way,
// while the caller repeats the request at three routers and what was delayed
// arrives between the tries. Cause: a claim taken for absent, or for another's.
func TestEveryFaultAtEveryStep(t *testing.T) {
	endings := map[string]func(*Store, *Claim) error{
		"finish":  func(s *Store, c *Claim) error { return s.Finish(ctx, c, answer) },
		"unknown": func(s *Store, c *Claim) error { return s.MarkUnknown(ctx, c) },
		"refused": func(s *Store, c *Claim) error { return s.Refused(ctx, c) },
		"vanish":  func(*Store, *Claim) error { return nil },
	}
	for ending, end := range endings {
		for f := down; f < faultCount; f++ {
			for call := 1; call <= 8; call++ {
				t.Run(fmt.Sprintf("%s fault %d call %d", ending, f, call), func(t *testing.T) {
					table := newFakeTable()
					table.fault = faultAt(call, f)
					routers := []*Store{newStore(table, "a"), newStore(table, "b"), newStore(table, "c")}
					runs := 0
					for try := range 9 {
						s := routers[try%3]
						out, err := s.Begin(ctx, receipt, body)
						require.True(t, err == nil || isNotRun(err), "%v", err)
						if out.Kind == Answered {
							require.Equal(t, answer, out.Answer)
							require.Equal(t, 1, runs)
						}
						switch {
						case out.Kind == Run && ending == "refused" && try < 3:
							_ = end(s, out.Claim)
						case out.Kind == Run:
							runs++
							_ = endings[sentEnding(ending)](s, out.Claim)
						}
						table.deliverLate()
					}
					require.Equal(t, 1, runs, "once, and not blocked unrun")
				})
			}
		}
	}
}

// Symptom: a key handover is logged twice. Sequence: router a claims and is
// frozen before it sends; for hours other routers are asked the same; a thaws
// and sends. Cause: a claim with a lease would have been taken over meanwhile.
// A service that recognises repeated keys may be asked again.
func TestFrozenHolder(t *testing.T) {
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
	require.True(t, ErrSuperseded.Has(a.Finish(ctx, held.Claim, answer)))
	require.NoError(t, b.Finish(ctx, out.Claim, answer))
	require.NoError(t, b.Finish(ctx, out.Claim, answer))
}

// Symptom: a claim disappears and its request runs again. Sequence: a refuses
// its claim; b claims; the network delivers a's release once more; c asks.
// Cause: a row deleted and inserted again has the same version as before.
func TestReleaseDeliveredTwice(t *testing.T) {
	table := newFakeTable()
	a, b, c := newStore(table, "a"), newStore(table, "b"), newStore(table, "c")
	first, err := a.Begin(ctx, receipt, body)
	require.NoError(t, err)
	table.fault = faultAt(2, duplicated)
	require.NoError(t, a.Refused(ctx, first.Claim))
	second, err := b.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, Run, second.Kind)
	table.deliverLate()
	third, err := c.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, InProgress, third.Kind)
	require.NoError(t, a.Refused(ctx, first.Claim), "a repeated release changes nothing")
	view, err := c.Show(ctx, receipt)
	require.NoError(t, err)
	require.Equal(t, "b", view.Router)
}

func TestKeys(t *testing.T) {
	table := newFakeTable()
	s := newStore(table, "a")
	out, err := s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.NoError(t, s.Finish(ctx, out.Claim, answer))
	out, err = s.Begin(ctx, receipt, HashBody([]byte("other")))
	require.NoError(t, err)
	require.True(t, ErrKeyReused.Has(out.Err()))
	other := receipt
	other.Account = "farm"
	out, err = s.Begin(ctx, other, body)
	require.NoError(t, err)
	require.Equal(t, Run, out.Kind, "accounts must not see each other's claims")
	_, err = s.Begin(ctx, Key{Account: "mill"}, body)
	require.True(t, ErrBadKey.Has(err))
	require.NotEqual(t, Key{Account: "a/b", IdempotencyKey: "c"}.row(), Key{Account: "a", IdempotencyKey: "b/c"}.row())
}

func TestLargeAnswer(t *testing.T) {
	s := newStore(newFakeTable(), "a")
	large := Answer{Status: 200, Body: bytes.Repeat([]byte("x"), maxInline+1)}
	out, err := s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.NoError(t, s.Finish(ctx, out.Claim, large))
	out, err = s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, large, out.Answer)
	s.objects.(*fakeObjects).down = true
	_, err = s.Begin(ctx, receipt, body)
	require.True(t, ErrAnswerLost.Has(err))
}

func TestOperator(t *testing.T) {
	s := newStore(newFakeTable(), "a")
	_, err := s.Show(ctx, receipt)
	require.True(t, platform.ErrNotFound.Has(err))
	out, _ := s.Begin(ctx, receipt, body)
	require.NoError(t, s.MarkUnknown(ctx, out.Claim))
	view, err := s.Show(ctx, receipt)
	require.NoError(t, err)
	require.Equal(t, View{Account: "mill", Service: "portal", Router: "a", State: StateUnknown, Version: 2}, view)
	var conflict *platform.ConflictError
	require.ErrorAs(t, s.Resolve(ctx, receipt, 1, VerdictNotRun), &conflict)
	require.NoError(t, s.Resolve(ctx, receipt, 2, VerdictNotRun))
	out, err = s.Begin(ctx, receipt, body)
	require.NoError(t, err)
	require.Equal(t, Run, out.Kind)
	require.NoError(t, s.Finish(ctx, out.Claim, answer))
	var bad *BadVerdictError
	require.ErrorAs(t, s.Resolve(ctx, receipt, 5, VerdictNotRun), &bad)
}

// Symptom: a request repeated within the retention period runs again, or the
// table grows for ever. Sequence: sweepers run for three periods, and change
// every few hours. Cause: an age that is counted by the clock of one VM.
func TestSweep(t *testing.T) {
	table := newFakeTable()
	s := newStore(table, "a")
	out, _ := s.Begin(ctx, receipt, body)
	require.NoError(t, s.Finish(ctx, out.Claim, answer))
	open := receipt
	open.IdempotencyKey = "open"
	_, _ = s.Begin(ctx, open, body)
	var gone time.Duration
	sweeper := NewSweeper(table, day)
	for now := time.Duration(0); now < 3*day; now += 10 * time.Minute {
		if now%(6*time.Hour) == 0 {
			sweeper = NewSweeper(table, day)
		}
		_, err := sweeper.Step(ctx, now)
		require.NoError(t, err)
		if _, err := s.Show(ctx, receipt); err != nil && gone == 0 {
			gone = now
		}
	}
	require.Greater(t, gone, day)
	require.Less(t, gone, 3*day)
	_, err := s.Show(ctx, open)
	require.NoError(t, err, "an unfinished claim is never swept")
}

// Symptom: a duplicate fails the claims of strangers. Sequence: many claims
// wait for one transaction, and one of them is a duplicate. Cause: a
// transaction is all or nothing.
func TestBatcher(t *testing.T) {
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

		gone, cancel := context.WithTimeout(ctx, time.Microsecond)
		defer cancel()
		b := NewBatcher(table, 64)
		_, err := b.Commit(gone, platform.UseClaim, platform.Write{Table: Table, Key: "k"})
		require.True(t, platform.ErrOutcomeUnknown.Has(err), "it has been sent")
		time.Sleep(time.Second)
	})
}

// history is what the model checker sees of one call.
type history struct {
	begin bool
	out   OutcomeKind
	token string
	ok    bool
}

// keyState is the model's state of one key.
type keyState struct{ state, token string }

func stepKey(state, input, output any) []any {
	st, op := state.(keyState), output.(history)
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

// Symptom: two callers of one key are both told to run, or one is given an
// answer that was never recorded. Sequence: six routers are asked at once, and
// a quarter of the store's calls fail. Cause: any order of events that no
// sequence of single calls explains.
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
			table.fault = func(int) fault { return []fault{down, lostAfter, lostBefore, none}[min(3, draw(12))] }
			var ops []porcupine.Operation
			record := func(id int, call time.Time, h history) {
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
						h := history{begin: true, out: out.Kind, token: string(out.Answer.Body)}
						if out.Kind == Run {
							h.token = out.Claim.rec.Token
						}
						record(id, call, h)
						time.Sleep(time.Duration(1 + draw(5000)))
						if out.Kind != Run {
							continue
						}
						call = time.Now()
						err := s.Finish(ctx, out.Claim, Answer{Body: []byte(h.token)})
						record(id, call, history{token: h.token, ok: err == nil})
					}
				})
			}
			wg.Wait()
			require.True(t, porcupine.CheckOperations(model.ToModel(), ops), "seed %d: %+v", seed, ops)
		})
	}
	t.Logf("outcomes by kind (0: refused or a recorded answer): %v", total)
}

// Symptom: a request runs twice. Sequence: any mixture of claims, pauses,
// sends, endings, faults and late deliveries at three routers. Cause: whatever
// the table of single faults above does not reach.
func TestAtMostOnceProperty(t *testing.T) {
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
				require.True(t, err == nil || isNotRun(err), "%v", err)
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
					_ = h.store.Finish(ctx, h.claim, answer)
				}
			},
			"unknown": func(t *rapid.T) {
				if h := pick(t); h.sent {
					_ = h.store.MarkUnknown(ctx, h.claim)
				}
			},
			"refuse": func(t *rapid.T) {
				if h := pick(t); !h.sent {
					h.sent = true // Given up: it will not be sent later.
					_ = h.store.Refused(ctx, h.claim)
				}
			},
			"deliver": func(*rapid.T) { table.deliverLate() },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, sends, 1)
			},
		})
	})
}
