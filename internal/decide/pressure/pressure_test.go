package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests of which so many are taken on that the memory is exceeded, and against memory
// that ended requests leave behind.
func TestHeldMemoryStaysWithinTheLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := New(10)
	b.SetLimit(1000)
	var ids []uint64
	for range 20_000 {
		switch n := len(ids); {
		case rng.IntN(2) == 0:
			if id, ok := b.Admit(rng.IntN(12)-1, rng.Int64N(100)); ok {
				ids = append(ids, id)
			}
		case n > 0 && rng.IntN(2) == 0:
			b.Grow(ids[rng.IntN(n)], rng.Int64N(50))
			b.Shrink(ids[rng.IntN(n)], rng.Int64N(200))
		case n > 0:
			i := rng.IntN(n)
			b.End(ids[i])
			b.End(ids[i])
			ids = append(ids[:i], ids[i+1:]...)
		}
		used, _ := b.Used()
		require.LessOrEqual(t, used, int64(1000))
		require.GreaterOrEqual(t, used, int64(0))
	}
	for _, id := range ids {
		b.End(id)
	}
	used, requests := b.Used()
	require.Zero(t, used)
	require.Zero(t, requests)
	require.False(t, b.Grow(ids[0], 1))
}

// Guards against urgent requests that find no memory because less urgent ones hold all of it.
func TestUrgentRequestsFindMemory(t *testing.T) {
	b := New(10)
	b.SetLimit(1000)
	taken := func(class int) (n int) {
		for {
			if _, ok := b.Admit(class, 10); !ok {
				return n
			}
			n++
		}
	}
	require.Equal(t, 60, taken(9))
	require.Equal(t, 22, taken(5)+taken(4), "82 of 100 are for the class 4 and those below")
	require.Positive(t, taken(0))
	used, _ := b.Used()
	require.Equal(t, int64(1000), used)
}

// Guards against callers that read nothing and keep the memory from others, and against callers that are given
// up though they read, or though memory is left.
func TestLongestStalledCallersAreGivenUp(t *testing.T) {
	b := New(1)
	b.SetLimit(1000)
	var ids []uint64
	for i := range 10 {
		id, ok := b.Admit(0, 100)
		require.True(t, ok)
		ids = append(ids, id)
		if i%2 == 0 {
			b.Wait(id, time.Duration(10-i)*time.Second)
		}
	}
	require.Equal(t, []uint64{ids[8], ids[6]}, b.Relieve(20*time.Second, 100))
	require.Empty(t, b.Relieve(20*time.Second, 100), "two are sufficient")
	b.End(ids[8])
	b.End(ids[6])
	require.Empty(t, b.Relieve(20*time.Second, 100), "memory is left")
	_, ok := b.Admit(0, 200)
	require.True(t, ok)
	b.Resume(ids[4])
	require.Equal(t, []uint64{ids[2], ids[0]}, b.Relieve(20*time.Second, 200), "one reads again")
	require.Empty(t, b.Relieve(20*time.Second, 200), "the others read")

	b.SetLimit(0)
	require.Empty(t, b.Relieve(20*time.Second, 1<<40))
	_, ok = b.Admit(0, 1<<40)
	require.True(t, ok, "no limit")
}

// Guards against callers that are given up for a pause as short as a packet that is sent again.
func TestShortPausesAreBorne(t *testing.T) {
	b := New(1)
	b.SetLimit(100)
	id, _ := b.Admit(0, 100)
	b.Wait(id, 10*time.Second)
	require.Empty(t, b.Relieve(10*time.Second+minStall-1, 100))
	require.Equal(t, []uint64{id}, b.Relieve(10*time.Second+minStall, 100))
}

// BenchmarkAdmit measures a refusal while 5,000 requests hold memory, a part of them stalled.
func BenchmarkAdmit(b *testing.B) {
	budget := New(10)
	budget.SetLimit(5000 * 100)
	for i := range 5000 {
		id, _ := budget.Admit(0, 100)
		if i%3 == 0 {
			budget.Wait(id, time.Second)
		}
	}
	for b.Loop() {
		budget.Admit(0, 100)
	}
}
