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

func newRequest(router string, seq uint64, held, tokens, slots int) GrantRequest {
	return GrantRequest{Report{router, seq, held}, tokens, slots}
}

// Guards against slots or tokens that are granted twice or never returned: the ledger must count
// what routers hold, not the messages they send.
func TestLedgerCountsWhatRoutersHold(t *testing.T) {
	lim := Limits{Rate: 10, Burst: 20, Concurrency: 20}
	cases := map[string]struct {
		live []string
		run  func(t *testing.T, l *Ledger)
		at   float64
		held int
	}{
		"one router borrows all idle slots": {nil, func(_ *testing.T, l *Ledger) {
			held := 0
			for seq := uint64(1); seq <= 10; seq++ {
				held += l.Grant(epoch, newRequest("a", seq, held, 0, 100)).Slots
			}
		}, 0, 20},
		"a surge leaves slots for the next router": {nil, func(t *testing.T, l *Ledger) {
			l.Report(epoch, Report{"b", 1, 0})
			assert.Equal(t, 10, l.Grant(epoch, newRequest("a", 1, 0, 0, 100)).Slots)
			b := l.Grant(epoch, newRequest("b", 2, 0, 0, 4))
			assert.Equal(t, 4, b.Slots)
			assert.True(t, b.Tight)
			assert.Equal(t, 10, b.Target)
		}, 0, 14},
		"repeated request": {nil, func(t *testing.T, l *Ledger) {
			first := l.Grant(epoch, newRequest("a", 1, 0, 5, 5))
			assert.Equal(t, first, l.Grant(at(1), newRequest("a", 1, 0, 5, 5)))
		}, 1, 5},
		"answer lost, next request reports what is held": {nil, func(_ *testing.T, l *Ledger) {
			l.Grant(epoch, newRequest("a", 1, 0, 0, 5))
			l.Grant(at(1), newRequest("a", 2, 0, 0, 2))
		}, 1, 2},
		"outdated request arrives late": {nil, func(t *testing.T, l *Ledger) {
			l.Grant(epoch, newRequest("a", 2, 3, 0, 0))
			assert.True(t, l.Grant(at(1), newRequest("a", 1, 9, 5, 5)).Stale)
		}, 1, 3},
		"router dead, lease not expired": {nil, func(_ *testing.T, l *Ledger) {
			l.Grant(at(5), newRequest("a", 1, 0, 0, 5))
			l.RouterDead("a")
		}, 10, 5},
		"lease expired": {nil, func(t *testing.T, l *Ledger) {
			l.Grant(epoch, newRequest("a", 1, 0, 0, 5))
			assert.Equal(t, 5, l.Held(at(5.4)))
		}, 5.6, 0},
		"new owner grants half": {[]string{"a", "b"}, func(t *testing.T, l *Ledger) {
			l.Report(epoch, Report{"a", 9, 6})
			assert.Equal(t, 4, l.Grant(epoch, newRequest("c", 1, 0, 20, 20)).Slots)
			assert.True(t, l.WarmingUp(epoch))
			l.Report(epoch, Report{"b", 1, 0})
			assert.False(t, l.WarmingUp(epoch))
			assert.Equal(t, 5, l.Grant(epoch, newRequest("c", 2, 4, 0, 20)).Slots)
		}, 0, 15},
		"new owner warms up for one lease at most": {[]string{"a"}, func(t *testing.T, l *Ledger) {
			assert.True(t, l.WarmingUp(at(4.9)))
			assert.False(t, l.WarmingUp(at(5)))
		}, 5, 0},
		"holders report more than the limit": {[]string{"a"}, func(t *testing.T, l *Ledger) {
			l.Report(at(5), Report{"a", 1, 30})
			assert.Zero(t, l.Grant(at(5), newRequest("b", 1, 0, 0, 5)).Slots)
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

// Guards against an account that is shut out, or not limited, while its owner is lost: requests to
// the owner fail, the lease expires, and later a new owner replies. Meanwhile each router uses its
// static share.
func TestCacheFallsBackToStaticShareWithoutOwner(t *testing.T) {
	live := []string{"r0", "r1", "r2"}
	lim := Limits{Rate: 30, Concurrency: 10}
	totalSlots := 0
	for _, self := range live {
		c := NewCache(CacheConfig{Self: self, Limits: func(string) Limits { return lim }}, live)
		assert.Equal(t, Decision{NeedRefill: true}, c.Take(epoch, "x"), "undecided until the owner replies")
		req, ok := c.NewRequest(epoch, "x")
		_, again := c.NewRequest(epoch, "x")
		require.True(t, ok && !again)
		c.Failed(epoch, "x", req.Seq)
		admitted := 0
		for ms := range 1000 {
			if c.Take(at(float64(ms)/1000), "x").OK {
				admitted++
				c.Done("x")
			}
		}
		assert.InDelta(t, 10, admitted, 1.1, "a third of the rate")
		for ; c.Take(at(100+float64(c.InUse("x"))), "x").OK; totalSlots++ {
			require.Less(t, totalSlots, 20)
		}
		assert.ErrorAs(t, c.Take(at(200), "x").Err, new(*ConcurrencyError))

		req, ok = c.NewRequest(at(200), "x")
		require.True(t, ok)
		assert.Equal(t, c.InUse("x"), req.Held, "requests that outlived the lease are reported")
		assert.True(t, c.Fill(at(200.5), "x", Batch{Seq: req.Seq, Slots: 1, Tokens: 1, TTL: DefaultTTL}))
		assert.False(t, c.Fill(at(200), "x", Batch{Seq: req.Seq, Slots: 1, Tokens: 1, TTL: DefaultTTL}), "repeated")
		assert.True(t, c.Take(at(200), "x").OK)
		assert.False(t, c.Take(at(200), "x").OK)
		c.Done("x")
		req, _ = c.NewRequest(at(205), "x")
		assert.Equal(t, c.InUse("x"), req.Held, "the lease counts from the request: no idle slot is kept")
	}
	assert.Equal(t, lim.Concurrency, totalSlots, "the shares add up to the limit")
}

// scenario describes a fleet under a surge of one account.
type scenario struct {
	name string
	lim  Limits
	// demand is the rate of requests per second at each router.
	demand []float64
	// changeAt is when a new owner replaces the old one, in seconds, 0 for never. Each router
	// learns of it within spread seconds; the old owner is lost, or goes on granting if
	// oldOwnerStays is set.
	changeAt, spread float64
	oldOwnerStays    bool
	// lossRate is the share of replies that are lost until lossEnd.
	lossRate float64
}

// result summarizes a run: excess is by how much the admitted requests exceeded the burst plus the
// rate times the time, in the worst interval; peak is the highest number of unfinished requests in
// the whole run, and settled the highest in the last 10 s.
type result struct {
	admitted, peak, settled, requests int
	excess                            float64
}

const simSeconds, lossEnd = 40, 25

type simRouter struct {
	cache                    *Cache
	owner                    *Ledger
	learnsOwnerAt, demandDue float64
	waiting                  int
	endTimes                 []float64
	reply                    Batch
	failedSeq                uint64
}

// run simulates the scenario in steps of 10 ms; a reply takes one step.
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
		routers[i] = &simRouter{cache: NewCache(cfg, live), owner: old, learnsOwnerAt: sc.changeAt + rnd.Float64()*sc.spread}
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
			if next != nil && r.owner != next && s >= r.learnsOwnerAt {
				r.owner = next
				r.cache.OwnerChanged(now, "x")
			} else if next != nil && r.owner == old && !sc.oldOwnerStays {
				r.owner = nil
			}
			r.demandDue += sc.demand[i] / 100
			for ; r.demandDue >= 1; r.demandDue-- {
				r.waiting++
			}
			n := r.step(now, s, rnd, sc.lossRate, &res)
			bucket += float64(n)
			res.admitted += n
			running += len(r.endTimes)
		}
		res.excess = max(res.excess, bucket-sc.lim.burst())
		res.peak = max(res.peak, running)
		if s >= simSeconds-10 {
			res.settled = max(res.settled, running)
		}
	}
	return res
}

// step lets a router admit what it can, and returns the number of admitted requests.
func (r *simRouter) step(now time.Time, s float64, rnd *rand.Rand, lossRate float64, res *result) int {
	// The last reply and the last failure are delivered again in each step until the next request
	// to the owner; only the first delivery may have an effect.
	r.cache.Fill(now, "x", r.reply)
	r.cache.Failed(now, "x", r.failedSeq)
	unfinished := len(r.endTimes)
	r.endTimes = slices.DeleteFunc(r.endTimes, func(end float64) bool { return end <= s })
	for range unfinished - len(r.endTimes) {
		r.cache.Done("x")
	}
	n := 0
	undecided, needRequest := 0, len(r.cache.Due(now)) > 0
	for range r.waiting {
		v := r.cache.Take(now, "x")
		needRequest = needRequest || v.NeedRefill
		if v.OK {
			n++
			r.endTimes = append(r.endTimes, s+0.5+rnd.Float64()*1.5)
		} else if v.Err == nil {
			undecided++
		}
	}
	r.waiting = undecided
	if !needRequest {
		return n
	}
	if req, ok := r.cache.NewRequest(now, "x"); ok {
		res.requests++
		if r.owner == nil {
			r.failedSeq = req.Seq
		} else if b := r.owner.Grant(now, req); rnd.Float64() >= lossRate || s >= lossEnd {
			r.reply = b
		}
	}
	return n
}

// Guards against an account that exceeds its limit, or gets less than it may, while its owner
// changes: grants of the old owner, static shares and grants of the new owner add up. Nine routers
// with three times the allowed demand lose or replace the owner and learn of the new one at
// different times. The test logs the worst of 40 runs of each case and checks that it does not
// exceed the largest sum that is possible by construction.
func TestLimitOvershootIsBoundedDuringOwnerChange(t *testing.T) {
	rate := Limits{Rate: 100, Burst: 100}
	conc := Limits{Concurrency: 60}
	// unspent is what routers hold: the tokens granted within the lifetime of a token.
	unspent, fallback := rate.Rate*TokenTTL.Seconds(), 9.0
	warmUp, initial := rate.Rate*warmUpShare*DefaultTTL.Seconds(), rate.burst()*warmUpShare
	cases := []struct {
		scenario
		excess float64
		peak   int
	}{
		{scenario{name: "rate, 2 % of replies lost", lim: rate, lossRate: 0.02}, unspent + fallback, 0},
		{scenario{name: "rate, owner lost, 3 s", lim: rate, changeAt: 15, spread: 3}, unspent + initial + warmUp + fallback, 0},
		{scenario{name: "rate, two owners, 3 s", lim: rate, changeAt: 15, spread: 3, oldOwnerStays: true}, unspent + initial + warmUp, 0},
		{scenario{name: "rate, two owners, 10 s", lim: rate, changeAt: 15, spread: 10, oldOwnerStays: true}, unspent + initial + warmUp + 5*rate.Rate, 0},
		{scenario{name: "slots, steady", lim: conc}, 0, 60},
		{scenario{name: "slots, 2 % of replies lost", lim: conc, lossRate: 0.02}, 0, 120},
		{scenario{name: "slots, owner lost, 3 s", lim: conc, changeAt: 15, spread: 3}, 0, 150},
		{scenario{name: "slots, two owners, 3 s", lim: conc, changeAt: 15, spread: 3, oldOwnerStays: true}, 0, 90},
		{scenario{name: "slots, two owners, 10 s", lim: conc, changeAt: 15, spread: 10, oldOwnerStays: true}, 0, 180},
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
				worst.requests = max(worst.requests, r.requests)
				least = min(least, r.admitted)
			}
			t.Logf("at least %d admitted in %d s; at most %.2f requests/s to the owner per router",
				least, simSeconds, float64(worst.requests)/simSeconds/float64(len(c.demand)))
			if c.lim.Rate > 0 {
				t.Logf("in excess of burst and rate: %.0f requests, by construction at most %.0f", worst.excess, c.excess)
				assert.LessOrEqual(t, worst.excess, c.excess)
				assert.Greater(t, least, simSeconds*90, "the limit is used")
				return
			}
			t.Logf("most unfinished: %d, limit %d, by construction at most %d; at the end %d",
				worst.peak, c.lim.Concurrency, c.peak, worst.settled)
			assert.LessOrEqual(t, worst.peak, c.peak)
			assert.LessOrEqual(t, worst.settled, c.lim.Concurrency, "the fleet returns to the limit")
			assert.Greater(t, least, simSeconds*40, "the limit is used")
		})
	}
}

// Guards against an account that cannot use its limit because its callers are all connected to one
// of nine routers.
func TestOneRouterCanUseTheWholeLimit(t *testing.T) {
	demand := make([]float64, 9)
	demand[4] = 300
	byRate := scenario{lim: Limits{Rate: 100}, demand: demand}.run(1)
	bySlots := scenario{lim: Limits{Concurrency: 60}, demand: demand}.run(1)
	t.Logf("one router admits %d requests by rate and has up to %d unfinished", byRate.admitted, bySlots.peak)
	assert.Greater(t, byRate.admitted, simSeconds*95)
	assert.Equal(t, 60, bySlots.peak)
}

// Guards against leasing more slots than the limit through random requests, lost replies and
// expired leases while the owner stays the same: routers never hold more slots than the ledger
// counts.
func TestLeasedSlotsNeverExceedTheLimit(t *testing.T) {
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
				b := l.Grant(now, newRequest(r, seq, held[r], 0, rapid.IntRange(0, 40).Draw(t, "want")))
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
			req, _ := c.NewRequest(epoch, "x")
			req.WantTokens = 1e6
			c.Fill(epoch, "x", l.Grant(epoch, req))
		}
		c.Done("x")
	}
}
