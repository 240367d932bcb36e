package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// newFleetPool returns a pool of the target size with uneven loads.
func newFleetPool() *Pool {
	rng := newRand()
	pool := newPool(make([]int64, 850)...)
	for i := range pool.Engines {
		pool.Engines[i].Load = 8_000 + rng.Int64N(4_000)
		pool.Engines[i].Running = rng.IntN(51)
	}
	return pool
}

func newCachedRequest(chat uint64) *Request {
	r := &Request{Chat: chat, PromptTokens: 4_000, OutputTokens: 200}
	for i := range uint64(3) {
		r.Evidence = append(r.Evidence, Evidence{chat%850 + i, 1, 3_000, 0.9})
	}
	return r
}

func TestPickDoesNotAllocate(t *testing.T) {
	pool, req := newFleetPool(), newCachedRequest(77)
	all := NewBaselines(DefaultPolicy(), newRand())
	all["picker"] = newTestPicker()
	for name, s := range all {
		require.Zero(t, testing.AllocsPerRun(20, func() { _, _ = s.Pick(pool, req) }), name)
	}
}

func benchmarkPick(b *testing.B, s Strategy, req *Request) {
	pool := newFleetPool()
	b.ReportAllocs()
	for b.Loop() {
		if req.Chat != 0 {
			req.Chat++
		}
		if _, err := s.Pick(pool, req); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPick850(b *testing.B) {
	uncached := &Request{Chat: 1, PromptTokens: 4_000, OutputTokens: 200}
	b.Run("cold", func(b *testing.B) { benchmarkPick(b, newTestPicker(), uncached) })
	b.Run("warm", func(b *testing.B) { benchmarkPick(b, newTestPicker(), newCachedRequest(77)) })
	b.Run("chatless", func(b *testing.B) { benchmarkPick(b, newTestPicker(), &Request{PromptTokens: 50}) })
	for name, s := range NewBaselines(DefaultPolicy(), newRand()) {
		b.Run("baseline/"+name, func(b *testing.B) { benchmarkPick(b, s, newCachedRequest(77)) })
	}
}
