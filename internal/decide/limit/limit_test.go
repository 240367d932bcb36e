package limit

import (
	"fmt"
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

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func ask(router string, seq uint64, held, tokens, slots int) Ask {
	return Ask{Report{router, seq, held}, tokens, slots}
}

// Symptom: slots or tokens are given out twice, or never come back. Sequence:
// as named by each case. Cause: counting messages instead of what is held.
func TestLedger(t *testing.T) {
	lim := Limits{Rate: 10, Burst: 20, Concurrency: 20}
	cases := map[string]struct {
		live []string
		run  func(t *testing.T, l *Ledger)
		at   float64
		held int
	}{
		"one router borrows all that is idle": {nil, func(_ *testing.T, l *Ledger) {
			held := 0
			for seq := uint64(1); seq <= 10; seq++ {
				held += l.Grant(epoch, ask("a", seq, held, 0, 100)).Slots
			}
		}, 0, 20},
		"a surge leaves room for the next router": {nil, func(t *testing.T, l *Ledger) {
			l.Report(epoch, Report{"b", 1, 0})
			assert.Equal(t, 10, l.Grant(epoch, ask("a", 1, 0, 0, 100)).Slots)
			b := l.Grant(epoch, ask("b", 2, 0, 0, 4))
			assert.Equal(t, 4, b.Slots)
			assert.True(t, b.Tight)
			assert.Equal(t, 10, b.Target)
		}, 0, 14},
		"repeated ask": {nil, func(t *testing.T, l *Ledger) {
			first := l.Grant(epoch, ask("a", 1, 0, 5, 5))
			assert.Equal(t, first, l.Grant(at(1), ask("a", 1, 0, 5, 5)))
		}, 1, 5},
		"answer lost, next ask says what is held": {nil, func(_ *testing.T, l *Ledger) {
			l.Grant(epoch, ask("a", 1, 0, 0, 5))
			l.Grant(at(1), ask("a", 2, 0, 0, 2))
		}, 1, 2},
		"old ask arrives late": {nil, func(t *testing.T, l *Ledger) {
			l.Grant(epoch, ask("a", 2, 3, 0, 0))
			assert.True(t, l.Grant(at(1), ask("a", 1, 9, 5, 5)).Stale)
		}, 1, 3},
		"router dead, lease not over": {nil, func(_ *testing.T, l *Ledger) {
			l.Grant(at(5), ask("a", 1, 0, 0, 5))
			l.RouterDead("a")
		}, 10, 5},
		"lease over": {nil, func(t *testing.T, l *Ledger) {
			l.Grant(epoch, ask("a", 1, 0, 0, 5))
			assert.Equal(t, 5, l.Held(at(5.4)))
		}, 5.6, 0},
		"new owner grants half": {[]string{"a", "b"}, func(t *testing.T, l *Ledger) {
			l.Report(epoch, Report{"a", 9, 6})
			assert.Equal(t, 4, l.Grant(epoch, ask("c", 1, 0, 20, 20)).Slots)
			assert.True(t, l.WarmingUp(epoch))
			l.Report(epoch, Report{"b", 1, 0})
			assert.False(t, l.WarmingUp(epoch))
			assert.Equal(t, 5, l.Grant(epoch, ask("c", 2, 4, 0, 20)).Slots)
		}, 0, 15},
		"new owner waits for a lease at most": {[]string{"a"}, func(t *testing.T, l *Ledger) {
			assert.True(t, l.WarmingUp(at(4.9)))
			assert.False(t, l.WarmingUp(at(5)))
		}, 5, 0},
		"holders report more than the limit": {[]string{"a"}, func(t *testing.T, l *Ledger) {
			l.Report(at(5), Report{"a", 1, 30})
			assert.Zero(t, l.Grant(at(5), ask("b", 1, 0, 0, 5)).Slots)
		}, 5, 30},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(epoch, lim, 0, c.live)
			c.run(t, l)
			assert.Equal(t, c.held, l.Held(at(c.at)))
		})
	}
}

// Symptom: an account is shut out, or unbounded, while its owner is lost.
// Sequence: asks fail, the lease ends, a new owner answers. Cause: no share of
// its own for a router that reaches no owner.
func TestCacheFallsBackToAStaticShare(t *testing.T) {
	live := []string{"r0", "r1", "r2"}
	lim := Limits{Rate: 30, Concurrency: 10}
	sum := 0
	for _, self := range live {
		c := NewCache(CacheConfig{Self: self, Limits: func(string) Limits { return lim }}, live)
		assert.Equal(t, Verdict{NeedRefill: true}, c.Take(epoch, "x"), "undecided until an answer")
		a, ok := c.Ask(epoch, "x")
		_, again := c.Ask(epoch, "x")
		require.True(t, ok && !again)
		c.Failed(epoch, "x", a.Seq)
		admitted := 0
		for ms := range 1000 {
			if c.Take(at(float64(ms)/1000), "x").OK {
				admitted++
				c.Done("x")
			}
		}
		assert.InDelta(t, 10, admitted, 1.1, "a third of the rate")
		for ; c.Take(at(100+float64(c.InUse("x"))), "x").OK; sum++ {
			require.Less(t, sum, 20)
		}
		assert.ErrorAs(t, c.Take(at(200), "x").Err, new(*ConcurrencyError))

		a, ok = c.Ask(at(200), "x")
		require.True(t, ok)
		assert.Equal(t, c.InUse("x"), a.Held, "what outlived the lease is reported")
		assert.True(t, c.Fill(at(200.5), "x", Batch{Seq: a.Seq, Slots: 1, Tokens: 1, TTL: DefaultTTL}))
		assert.False(t, c.Fill(at(200), "x", Batch{Seq: a.Seq, Slots: 1, Tokens: 1, TTL: DefaultTTL}), "repeated")
		assert.True(t, c.Take(at(200), "x").OK)
		assert.False(t, c.Take(at(200), "x").OK)
		c.Done("x")
		a, _ = c.Ask(at(205), "x")
		assert.Equal(t, c.InUse("x"), a.Held, "the lease ran from the ask: no idle slot is kept")
	}
	assert.Equal(t, lim.Concurrency, sum, "the parts add up to the limit")
}

// scenario is a fleet under an account's surge.
type scenario struct {
	name string
	lim  Limits
	// demand is in requests per second at each router.
	demand []float64
	// changeAt is when a new owner takes over, 0 for never. Each router learns
	// of it within spread seconds; the old owner is gone, or goes on.
	changeAt, spread float64
	oldGoesOn        bool
	// loss is the share of answers that are lost until faultsEnd.
	loss float64
}

// result is what a fleet did: excess is by how much the admitted requests
// exceeded the burst plus the rate times the time, in the worst interval, and
// peak the most requests unfinished at a time, settled that in the last 10 s.
type result struct {
	admitted, peak, settled, asks int
	excess                        float64
}

const simSeconds, faultsEnd = 40, 25

type simRouter struct {
	cache        *Cache
	owner        *Ledger
	learnAt, due float64
	waiting      int
	ends         []float64
	reply        Batch
	failSeq      uint64
}

// run plays a scenario in steps of 10 ms; an answer takes one step.
func (sc scenario) run(seed uint64) result {
	rnd := rand.New(rand.NewPCG(seed, 5))
	var live []string
	for i := range sc.demand {
		live = append(live, fmt.Sprint("r", i))
	}
	old := NewLedger(epoch, sc.lim, 0, nil)
	var next *Ledger
	routers := make([]*simRouter, len(live))
	for i, name := range live {
		cfg := CacheConfig{Self: name, Limits: func(string) Limits { return sc.lim }, Rand: rnd}
		routers[i] = &simRouter{cache: NewCache(cfg, live), owner: old, learnAt: sc.changeAt + rnd.Float64()*sc.spread}
	}
	var res result
	bucket := 0.0
	for step := range simSeconds * 100 {
		s := float64(step) / 100
		now := at(s)
		bucket = max(0, bucket-sc.lim.Rate/100)
		if sc.changeAt > 0 && next == nil && s >= sc.changeAt {
			next = NewLedger(now, sc.lim, 0, live)
		}
		running := 0
		for i, r := range routers {
			if next != nil && r.owner != next && s >= r.learnAt {
				r.owner = next
				r.cache.OwnerMoved(now, "x")
			} else if next != nil && r.owner == old && !sc.oldGoesOn {
				r.owner = nil
			}
			r.due += sc.demand[i] / 100
			for ; r.due >= 1; r.due-- {
				r.waiting++
			}
			n := r.step(now, s, rnd, sc.loss, &res)
			bucket += float64(n)
			res.admitted += n
			running += len(r.ends)
		}
		res.excess = max(res.excess, bucket-sc.lim.burst())
		res.peak = max(res.peak, running)
		if s >= simSeconds-10 {
			res.settled = max(res.settled, running)
		}
	}
	return res
}

// step lets a router admit what it can, and returns how much that was.
func (r *simRouter) step(now time.Time, s float64, rnd *rand.Rand, loss float64, res *result) int {
	// Both are repeated until the next ask; only the first time may count.
	r.cache.Fill(now, "x", r.reply)
	r.cache.Failed(now, "x", r.failSeq)
	unfinished := len(r.ends)
	r.ends = slices.DeleteFunc(r.ends, func(end float64) bool { return end <= s })
	for range unfinished - len(r.ends) {
		r.cache.Done("x")
	}
	n := 0
	undecided, needAsk := 0, len(r.cache.Due(now)) > 0
	for range r.waiting {
		v := r.cache.Take(now, "x")
		needAsk = needAsk || v.NeedRefill
		if v.OK {
			n++
			r.ends = append(r.ends, s+0.5+rnd.Float64()*1.5)
		} else if v.Err == nil {
			undecided++
		}
	}
	r.waiting = undecided
	if !needAsk {
		return n
	}
	if a, ok := r.cache.Ask(now, "x"); ok {
		res.asks++
		if r.owner == nil {
			r.failSeq = a.Seq
		} else if b := r.owner.Grant(now, a); rnd.Float64() >= loss || s >= faultsEnd {
			r.reply = b
		}
	}
	return n
}

// Symptom: an account goes beyond its limit, or gets less than it may, while
// its owner changes. Sequence: nine routers with three times the demand that
// is allowed; the owner is lost or replaced, and routers learn of the new one
// at different times. Cause: grants of the old owner, static shares and grants
// of the new one add up. The test prints the worst of 40 runs each and holds
// it to what can add up by construction.
func TestFleetStaysNearTheLimitThroughOwnerChange(t *testing.T) {
	rate := Limits{Rate: 100, Burst: 100}
	conc := Limits{Concurrency: 60}
	// saved is what routers hold: what was granted within the life of a token.
	saved, static := rate.Rate*TokenTTL.Seconds(), 9.0
	warm, start := rate.Rate*warmUpShare*DefaultTTL.Seconds(), rate.burst()*warmUpShare
	cases := []struct {
		scenario
		excess float64
		peak   int
	}{
		{scenario{name: "rate, 2 % of answers lost", lim: rate, loss: 0.02}, saved + static, 0},
		{scenario{name: "rate, owner lost, 3 s", lim: rate, changeAt: 15, spread: 3}, saved + start + warm + static, 0},
		{scenario{name: "rate, two owners, 3 s", lim: rate, changeAt: 15, spread: 3, oldGoesOn: true}, saved + start + warm, 0},
		{scenario{name: "rate, two owners, 10 s", lim: rate, changeAt: 15, spread: 10, oldGoesOn: true}, saved + start + warm + 5*rate.Rate, 0},
		{scenario{name: "slots, steady", lim: conc}, 0, 60},
		{scenario{name: "slots, 2 % of answers lost", lim: conc, loss: 0.02}, 0, 120},
		{scenario{name: "slots, owner lost, 3 s", lim: conc, changeAt: 15, spread: 3}, 0, 150},
		{scenario{name: "slots, two owners, 3 s", lim: conc, changeAt: 15, spread: 3, oldGoesOn: true}, 0, 90},
		{scenario{name: "slots, two owners, 10 s", lim: conc, changeAt: 15, spread: 10, oldGoesOn: true}, 0, 180},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.demand = slices.Repeat([]float64{300.0 / 9}, 9)
			worst, least := result{}, 1<<30
			for seed := range uint64(40) {
				r := c.run(seed)
				worst.excess = max(worst.excess, r.excess)
				worst.peak = max(worst.peak, r.peak)
				worst.settled = max(worst.settled, r.settled)
				worst.asks = max(worst.asks, r.asks)
				least = min(least, r.admitted)
			}
			t.Logf("at least %d admitted in %d s; most asks per router %.2f/s",
				least, simSeconds, float64(worst.asks)/simSeconds/float64(len(c.demand)))
			if c.lim.Rate > 0 {
				t.Logf("beyond burst and rate: %.0f requests, by construction at most %.0f", worst.excess, c.excess)
				assert.LessOrEqual(t, worst.excess, c.excess)
				assert.Greater(t, least, simSeconds*90, "and what is allowed is used")
				return
			}
			t.Logf("most unfinished: %d of %d, by construction at most %d; at the end %d",
				worst.peak, c.lim.Concurrency, c.peak, worst.settled)
			assert.LessOrEqual(t, worst.peak, c.peak)
			assert.LessOrEqual(t, worst.settled, c.lim.Concurrency, "the fleet comes back to the limit")
			assert.Greater(t, least, simSeconds*40, "and what is allowed is used")
		})
	}
}

// Symptom: an account cannot use its limit because its callers all sit at one
// router. Sequence: the whole demand comes to one of nine. Cause: fixed shares.
func TestIdleSharesAreBorrowed(t *testing.T) {
	demand := make([]float64, 9)
	demand[4] = 300
	byRate := scenario{lim: Limits{Rate: 100}, demand: demand}.run(1)
	bySlots := scenario{lim: Limits{Concurrency: 60}, demand: demand}.run(1)
	t.Logf("one router admits %d by rate, has up to %d unfinished", byRate.admitted, bySlots.peak)
	assert.Greater(t, byRate.admitted, simSeconds*95)
	assert.Equal(t, 60, bySlots.peak)
}

// Random asks, lost answers and lapses: while no owner changes, routers never
// hold more slots than the limit, and the ledger's sum stays right.
func TestSlotsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := Limits{Concurrency: rapid.IntRange(1, 30).Draw(t, "limit")}
		l := NewLedger(epoch, lim, 0, nil)
		held, leased := map[string]int{}, map[string]time.Time{}
		seq, now := uint64(0), epoch
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				r := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "router")
				seq++
				held[r] = rapid.IntRange(0, held[r]).Draw(t, "kept")
				b := l.Grant(now, ask(r, seq, held[r], 0, rapid.IntRange(0, 40).Draw(t, "want")))
				if rapid.Bool().Draw(t, "answered") {
					held[r] += b.Slots
					leased[r] = now.Add(b.TTL)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				for r, end := range leased {
					if !now.Before(end) {
						held[r] = 0
					}
				}
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, n := range held {
					sum += n
				}
				require.LessOrEqual(t, sum, l.Held(now))
				require.LessOrEqual(t, l.Held(now), lim.Concurrency)
			},
		})
		require.Zero(t, l.Held(now.Add(time.Minute)))
		require.True(t, l.Idle(now.Add(time.Minute)))
	})
}

func BenchmarkTakeDone(b *testing.B) {
	lim := Limits{Rate: 1e9, Burst: 1e9, Concurrency: 100}
	c := NewCache(CacheConfig{Self: "a", Limits: func(string) Limits { return lim }}, []string{"a"})
	l := NewLedger(epoch, lim, 0, nil)
	b.ReportAllocs()
	for b.Loop() {
		if c.Take(epoch, "x").NeedRefill {
			a, _ := c.Ask(epoch, "x")
			a.WantTokens = 1e6
			c.Fill(epoch, "x", l.Grant(epoch, a))
		}
		c.Done("x")
	}
}
