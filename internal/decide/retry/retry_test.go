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

// Symptom: a receipt is issued twice, a caller sees two answers mixed, or is
// told that nothing ran though something did. Sequence: an attempt fails in
// any of the ways below. Cause: a retry that looks only at the last attempt,
// or takes a 5xx for a refusal. All combinations are gone through, the
// expectation of each being written down apart from the code.
func TestDecideOnEveryCombination(t *testing.T) {
	type row struct {
		known, earlier                   Known
		idempotent, resumable, alternate bool
		attempt                          int
		inTime, budget                   bool
	}
	var rows []row
	for i := range 4 * 4 * 4 * 32 {
		on := func(bit int) bool { return i>>bit&1 == 1 }
		known, earlier, attempt := Known(i>>5&3), Known(i>>7&3), i>>9+1
		rows = append(rows, row{known, earlier, on(0), on(1), on(2), attempt, on(3), on(4)})
	}
	// expected[strongest knowledge][idempotent] if nothing else stands against it.
	again, resume, no := "again", "resume", "no"
	expected := map[Known]map[bool]string{
		NotSent:                {false: again, true: again},
		RefusedBeforeExecuting: {false: again, true: again},
		SentNoReply:            {false: no, true: again},
		FirstByteDelivered:     {false: resume, true: resume},
	}
	ran := map[Known]apierr.Ran{
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
		d := p.Decide(epoch, a)
		name := fmt.Sprintf("%+v -> %+v", r, d)
		switch want {
		case no:
			assert.Equal(t, GiveUp, d.Action, name)
			assert.Equal(t, ran[strongest], d.Ran, name)
			assert.NotEmpty(t, d.Reason, name)
		case resume:
			assert.Equal(t, Resume, d.Action, name)
		case again:
			now := r.alternate && r.attempt == 1
			assert.Equal(t, map[bool]Action{true: RetryNow, false: RetryAfter}[now], d.Action, name)
		}
		spent := p.budget.tokens < 1
		assert.Equal(t, want == again || !r.budget, spent, name)
		assert.LessOrEqual(t, d.Delay, DefaultBase<<(r.attempt-1), name)
	}
	t.Logf("%d combinations", len(rows))
}

func TestDelays(t *testing.T) {
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
	hint := Attempt{Number: 1, Known: RefusedBeforeExecuting, Remaining: time.Minute, NotBefore: 10 * time.Second}
	assert.GreaterOrEqual(t, p.Decide(epoch, hint).Delay, hint.NotBefore)
	hint.Remaining = 5 * time.Second
	assert.Equal(t, ReasonDeadline, p.Decide(epoch, hint).Reason, "not before the deadline")
	hint.Alternate = true
	assert.Equal(t, RetryNow, p.Decide(epoch, hint).Action)
}

// Symptom: after the loss of a site the rest is buried under retries.
// Sequence: every request fails for a minute, at various rates. Cause: retries
// bounded per request only. The load must not rise by more than the share.
func TestBudgetBoundsAStorm(t *testing.T) {
	for _, perSecond := range []int{1, 10, 100, 1000} {
		b := NewBudget(epoch, BudgetConfig{})
		retries := 0
		fresh := 60 * perSecond
		for i := range fresh {
			now := epoch.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			b.Fresh(now)
			for range 2 {
				if b.Spend(now) {
					retries++
				}
			}
		}
		bound := DefaultBurst + DefaultRatio*float64(fresh) + DefaultMinPerSecond*60
		t.Logf("%d requests/s for 60 s: %d fresh, %d retries", perSecond, fresh, retries)
		assert.LessOrEqual(t, float64(retries), bound)
		assert.GreaterOrEqual(t, float64(retries), min(bound, float64(2*fresh))*0.95)
	}
}
