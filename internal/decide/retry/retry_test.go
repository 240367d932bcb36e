package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newPolicy(tokens float64) *Policy {
	b := NewBudget(epoch, BudgetConfig{})
	b.tokens = tokens
	return NewPolicy(Config{}, b, rand.New(rand.NewPCG(1, 2)))
}

// Guards against a request that is executed twice (a receipt issued twice), a response mixed from
// two attempts, and a caller that is informed that nothing was executed although something was.
// These faults occur if Decide considers only the last attempt, or treats a 5xx as a refusal. The
// test covers all combinations and states its expectations independently of the code.
func TestDecideIsSafeInEveryCombination(t *testing.T) {
	type row struct {
		known, earlier                   Outcome
		idempotent, resumable, alternate bool
		attempt                          int
		inTime, budget                   bool
	}
	var rows []row
	for i := range 4 * 4 * 4 * 32 {
		bitSet := func(bit int) bool { return i>>bit&1 == 1 }
		known, earlier, attempt := Outcome(i>>5&3), Outcome(i>>7&3), i>>9+1
		rows = append(rows, row{known, earlier, bitSet(0), bitSet(1), bitSet(2), attempt, bitSet(3), bitSet(4)})
	}
	// expected[maximum outcome][idempotent] is the action unless the attempts, the time or the
	// budget are used up, or the stream can't be resumed.
	again, resume, no := "again", "resume", "no"
	expected := map[Outcome]map[bool]string{
		NotSent:                {false: again, true: again},
		RefusedBeforeExecuting: {false: again, true: again},
		SentNoReply:            {false: no, true: again},
		FirstByteDelivered:     {false: resume, true: resume},
	}
	ran := map[Outcome]apierr.Ran{
		NotSent: apierr.RanNo, RefusedBeforeExecuting: apierr.RanNo,
		SentNoReply: apierr.RanUnknown, FirstByteDelivered: apierr.RanYes,
	}
	for _, r := range rows {
		p := newPolicy(map[bool]float64{true: 1}[r.budget])
		a := Attempt{
			Number: r.attempt, Idempotent: r.idempotent, Known: r.known, Earlier: r.earlier,
			Resumable: r.resumable, Alternate: r.alternate,
		}
		if r.inTime {
			a.Remaining = time.Minute
		}
		strongest := max(r.known, r.earlier)
		want := expected[strongest][r.idempotent]
		if r.attempt >= DefaultMaxAttempts || !r.inTime || want == resume && !r.resumable || want == again && !r.budget {
			want = no
		}
		decision := p.Decide(epoch, a)
		name := fmt.Sprintf("%+v -> %+v", r, decision)
		switch want {
		case no:
			assert.Equal(t, GiveUp, decision.Action, name)
			assert.Equal(t, ran[strongest], decision.Ran, name)
			assert.NotEmpty(t, decision.Reason, name)
		case resume:
			assert.Equal(t, Resume, decision.Action, name)
		case again:
			now := r.alternate && r.attempt == 1
			assert.Equal(t, map[bool]Action{true: RetryNow, false: RetryAfter}[now], decision.Action, name)
		}
		spent := p.budget.tokens < 1
		assert.Equal(t, want == again || !r.budget, spent, name)
		assert.LessOrEqual(t, decision.Delay, DefaultBase<<(r.attempt-1), name)
	}
	t.Logf("%d combinations", len(rows))
}

func TestRetryDelayBounds(t *testing.T) {
	p := newPolicy(1e9)
	p.cfg.MaxAttempts = 100
	p.budget.cfg.Burst = 1e9
	longest := map[int]time.Duration{}
	for i := range 20000 {
		n := i%10 + 1
		d := p.Decide(epoch, Attempt{Number: n, Remaining: time.Hour})
		longest[n] = max(longest[n], d.Delay)
	}
	for n, d := range longest {
		ceiling := min(DefaultBase<<(n-1), DefaultCap)
		assert.LessOrEqual(t, d, ceiling)
		assert.Greater(t, d, ceiling*9/10, "the whole range is used")
	}
	refused := Attempt{Number: 1, Known: RefusedBeforeExecuting, Remaining: time.Minute, NotBefore: 10 * time.Second}
	assert.GreaterOrEqual(t, p.Decide(epoch, refused).Delay, refused.NotBefore)
	refused.Remaining = 5 * time.Second
	assert.Equal(t, ReasonDeadline, p.Decide(epoch, refused).Reason, "not before the deadline")
	refused.Alternate = true
	assert.Equal(t, RetryNow, p.Decide(epoch, refused).Action)
}

// Guards against overloading the remaining sites with retries after the loss of one: while every
// request fails for a minute, at various rates, the load must not rise by more than the budget's
// share.
func TestBudgetBoundsRetriesWhileAllRequestsFail(t *testing.T) {
	for _, perSecond := range []int{1, 10, 100, 1000} {
		b := NewBudget(epoch, BudgetConfig{})
		retries := 0
		firstAttempts := 60 * perSecond
		for i := range firstAttempts {
			now := epoch.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			b.RecordFirstAttempt(now)
			for range 2 {
				if b.Spend(now) {
					retries++
				}
			}
		}
		bound := DefaultBurst + DefaultRatio*float64(firstAttempts) + DefaultMinPerSecond*60
		t.Logf("%d requests/s for 60 s: %d first attempts, %d retries", perSecond, firstAttempts, retries)
		assert.LessOrEqual(t, float64(retries), bound)
		assert.GreaterOrEqual(t, float64(retries), min(bound, float64(2*firstAttempts))*0.95)
	}
}
