package placement

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testBound = 1.25

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newTestPicker() *Picker { return NewPicker(DefaultPolicy(), newRand()) }

func engine(id uint64, load int64) Engine {
	return Engine{ID: id, Incarnation: 1, Load: load, MaxBatch: 50, Loaded: true, Ramp: 1}
}

func newPool(loads ...int64) *Pool {
	p := &Pool{Bound: testBound}
	for i, load := range loads {
		p.Engines = append(p.Engines, engine(uint64(i+1), load))
	}
	return p
}

// drawPool draws engines in every state, including no load, full batches, equal loads and partial
// ramps.
func drawPool(t *rapid.T) *Pool {
	rare := rapid.Map(rapid.IntRange(0, 7), func(n int) bool { return n == 0 })
	pool := &Pool{Bound: rapid.Float64Range(1, 3).Draw(t, "bound")}
	for i := range rapid.IntRange(1, 12).Draw(t, "n") {
		e := engine(uint64(i+1), rapid.Int64Range(0, 40).Draw(t, "load")*100)
		e.Running = rapid.IntRange(0, 5).Draw(t, "running")
		e.MaxBatch = rapid.IntRange(0, 8).Draw(t, "batch")
		e.Leaving, e.Ejected = rare.Draw(t, "leaving"), rare.Draw(t, "ejected")
		e.Loaded = !rare.Draw(t, "unloaded")
		e.Ramp = rapid.SampledFrom([]float64{0, 0.2, 1, 1, 1}).Draw(t, "ramp")
		pool.Engines = append(pool.Engines, e)
	}
	return pool
}

func drawRequest(t *rapid.T) *Request {
	r := &Request{
		Chat:         rapid.Uint64Range(0, 5).Draw(t, "chat"),
		PromptTokens: rapid.IntRange(0, 60_000).Draw(t, "prompt"),
		OutputTokens: rapid.IntRange(0, 500).Draw(t, "output"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "evidence") {
		r.Evidence = append(r.Evidence, Evidence{
			Engine:       rapid.Uint64Range(1, 12).Draw(t, "holder"),
			Incarnation:  rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			CachedTokens: rapid.IntRange(0, 80_000).Draw(t, "cached"),
			Confidence:   rapid.Float64Range(0, 1).Draw(t, "confidence"),
		})
	}
	return r
}

// Guards against a decision that is not reproducible, that selects an engine which may not take the
// request, or that refuses a request which some engine may take.
func TestDecisionIsReproducibleAndAdmissible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, req := drawPool(t), drawRequest(t)
		d, err := newTestPicker().Pick(pool, req)
		again, errAgain := newTestPicker().Pick(pool, req)
		require.Equal(t, d, again, "the same seed and arguments must give the same decision")
		require.Equal(t, err, errAgain)
		if err != nil {
			requireNoneAdmissible(t, pool, req, err)
			return
		}
		e := pool.Engines[d.Index]
		require.False(t, e.Leaving || e.Ejected || !e.Loaded || e.Ramp == 0)
		require.Less(t, e.Running, e.MaxBatch)
		requireBound(t, pool, d)
		require.GreaterOrEqual(t, d.Weight, int64(1))
		require.LessOrEqual(t, d.Cached, req.PromptTokens)
	})
}

// requireBound checks the decision against the bound, computed independently from its definition.
func requireBound(t *rapid.T, pool *Pool, d Decision) {
	var total, n float64
	for _, e := range pool.Engines {
		if !e.Leaving && e.Loaded && !e.Ejected && e.Ramp > 0 && e.MaxBatch > 0 {
			total += float64(e.Load)
			n++
		}
	}
	e := pool.Engines[d.Index]
	limit, after := pool.Bound*e.Ramp*(total+float64(d.Weight))/n, float64(e.Load+d.Weight)
	if !d.OverBound {
		require.LessOrEqual(t, after, limit+1e-6)
		return
	}
	require.Greater(t, after, limit-1e-6, "only a request beyond the bound may be admitted as such")
	for _, o := range pool.Engines {
		if o.filter().inService() {
			require.GreaterOrEqual(t, float64(o.Load)/o.Ramp, float64(e.Load)/e.Ramp)
		}
	}
}

func requireNoneAdmissible(t *rapid.T, pool *Pool, req *Request, err error) {
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	excluded := refused.Excluded
	outOfService := excluded.Leaving + excluded.Unloaded + excluded.Ejected + excluded.Unreported
	require.Equal(t, len(pool.Engines), outOfService+excluded.Full+excluded.Bound)
	require.Equal(t, outOfService == len(pool.Engines), errors.Is(err, ErrNoEngine))
	require.Equal(t, outOfService != len(pool.Engines), errors.Is(err, ErrFull))
	load, policy := SumLoad(pool.Engines), DefaultPolicy()
	for i := range pool.Engines {
		e := &pool.Engines[i]
		_, err := Admit(e, policy.Weight(req, req.cachedTokens(e)), load, pool.Bound)
		require.Error(t, err)
	}
}

// Guards against a request that is sent away from its cached prefix without need, or kept at an
// engine that is overloaded, beyond the bound or still ramping up.
func TestPickBalancesCacheAndLoad(t *testing.T) {
	const chat = 42
	preferred := rendezvous.Owner(chat, []uint64{1, 2, 3, 4})
	other := (preferred + 1) % 4
	holder := func(i int, tokens int) []Evidence {
		return []Evidence{{Engine: uint64(i + 1), Incarnation: 1, CachedTokens: tokens, Confidence: 1}}
	}
	cases := map[string]struct {
		change    func(*Pool, *Request)
		want      int
		reason    Reason
		overBound bool
	}{
		"a returning chat without evidence follows its rendezvous order": {func(*Pool, *Request) {}, preferred, Preferred, false},
		"evidence precedes the rendezvous order":                         {func(_ *Pool, r *Request) { r.Evidence = holder(other, 900) }, other, ByEvidence, false},
		"evidence of an earlier incarnation is ignored": {func(p *Pool, r *Request) {
			r.Evidence = holder(other, 900)
			p.Engines[other].Incarnation = 2
		}, preferred, Preferred, false},
		"a slightly higher load does not move a chat without evidence": {func(p *Pool, r *Request) { p.Engines[preferred].Load += 1_000 }, preferred, Preferred, false},
		"a much longer wait moves a chat without evidence":             {func(p *Pool, r *Request) { p.Engines[preferred].DrainRate = 100 }, noIndex, Overflow, false},
		"a long earlier prefix justifies the wait": {func(p *Pool, r *Request) {
			*p = *newPool(1e6, 1e6, 1e6, 1e6)
			p.Engines[other].Load -= 20_000
			r.PromptTokens = 61_000
			r.EarlierTokens = 60_000
		}, preferred, Preferred, false},
		"an engine with evidence beyond the bound is skipped": {func(p *Pool, r *Request) {
			r.Evidence = holder(other, 900)
			p.Engines[other].Load = 40_000
		}, preferred, Preferred, false},
		"a request beyond every bound goes to the least loaded engine": {func(p *Pool, r *Request) {
			r.PromptTokens = 600_000
			p.Engines[other].Load--
		}, other, Overflow, true},
		"a ramping engine takes only its share": {func(p *Pool, r *Request) {
			p.Engines[preferred].Load = 3_000
			p.Engines[preferred].Ramp = 0.2
			r.PromptTokens = 100
		}, noIndex, Overflow, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool := newPool(10_000, 10_000, 10_000, 10_000)
			req := &Request{Chat: chat, PromptTokens: 1_000, EarlierTokens: 1, OutputTokens: 100}
			c.change(pool, req)
			d, err := newTestPicker().Pick(pool, req)
			require.NoError(t, err)
			require.Equal(t, c.want == preferred, d.Index == preferred)
			require.True(t, c.want == noIndex || c.want == d.Index)
			require.Equal(t, c.reason, d.Reason, d.Reason.String())
			require.Equal(t, c.overBound, d.OverBound)
		})
	}
}

// Guards against many new chats that hash to one engine and push it beyond its bound while others
// are idle, so that its returning chats lose their prefixes: a first turn has nothing cached
// anywhere and must not follow the hash.
func TestFirstTurnIsPlacedByLoad(t *testing.T) {
	p := DefaultPolicy()
	p.Spread = LeastWait
	for chat := range uint64(20) {
		d, err := NewPicker(p, nil).Pick(newPool(500, 300, 400), &Request{Chat: chat + 1, PromptTokens: 10})
		require.NoError(t, err)
		require.Equal(t, 1, d.Index)
		require.Equal(t, ByLoad, d.Reason)
	}
}

func TestRequestWithoutChatIsPlacedByLoad(t *testing.T) {
	p := DefaultPolicy()
	p.Spread = LeastWait
	d, err := NewPicker(p, nil).Pick(newPool(500, 300, 400), &Request{PromptTokens: 10})
	require.NoError(t, err)
	require.Equal(t, Decision{Index: 1, Weight: 10, Reason: ByLoad, Wait: 31 * time.Millisecond}, d)
}

// Guards against an engine that gets far more than the bound although every router applied it: two
// routers pick the engine for a long prompt on the same load report, so that the bound must be
// checked again at the grant.
func TestBoundIsCheckedAgainAtGrant(t *testing.T) {
	pool := newPool(10_000, 10_000, 10_000)
	req := &Request{Chat: 9, PromptTokens: 2_500}
	d, err := newTestPicker().Pick(pool, req) // the same for both routers
	require.NoError(t, err)
	e := &pool.Engines[d.Index]
	overBound, err := Admit(e, d.Weight, SumLoad(pool.Engines), pool.Bound)
	require.NoError(t, err)
	require.False(t, overBound)
	e.Load += d.Weight
	_, err = Admit(e, d.Weight, SumLoad(pool.Engines), pool.Bound)
	require.ErrorIs(t, err, ErrFull)
}

// Guards against a cache hit rate that collapses whenever an engine leaves or joins: chats whose
// engine is still in service must not move when the number of engines changes.
func TestMembershipChangeMovesOnlyChatsOfTheEngine(t *testing.T) {
	const chats = 8_000
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "n")
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		base := rapid.Uint64Range(1, 1<<62).Draw(t, "base")
		all, without := newPool(make([]int64, n)...), newPool(make([]int64, n)...)
		without.Engines[removed].Leaving = true
		p, moved := newTestPicker(), 0
		for i := range chats {
			req := &Request{Chat: base + uint64(i), PromptTokens: 100, EarlierTokens: 1}
			a, _ := p.Pick(all, req)
			b, _ := p.Pick(without, req)
			if a.Index == removed {
				moved++
				continue
			}
			require.Equal(t, a.Index, b.Index)
		}
		require.InDelta(t, 1/float64(n), float64(moved)/chats, 0.03)
	})
}

func TestBaselinesUseOnlyEnginesWithRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, req := drawPool(t), drawRequest(t)
		for name, s := range NewBaselines(DefaultPolicy(), newRand()) {
			d, err := s.Pick(pool, req)
			available := slices.ContainsFunc(pool.Engines, func(e Engine) bool { return e.filter() == passed })
			require.Equal(t, available, err == nil, name)
			require.True(t, !available || pool.Engines[d.Index].filter() == passed, name)
		}
	})
}
