package prefix

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damaskrouter.example/damaskrouter/internal/serve/chat"
)

func TestRecentMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 24
		r, now := newRecent(t, capacity), epoch
		model := map[uint64]Location{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 99).Draw(t, "s")) * time.Second)
			if rapid.IntRange(0, 9).Draw(t, "op") == 0 {
				e, keep := rapid.Uint64Range(1, 3).Draw(t, "e"), rapid.Uint64Range(0, 3).Draw(t, "keep")
				r.DropEngine(e, keep)
				for c, p := range model {
					if p.Engine == e && p.Incarnation != keep {
						delete(model, c)
					}
				}
				continue
			}
			c := rapid.Uint64Range(1, 60).Draw(t, "chat")
			p := Location{rapid.Uint64Range(1, 3).Draw(t, "engine"), rapid.Uint64Range(1, 3).Draw(t, "inc"), c * 100, int(c)}
			require.NoError(t, r.Record(c, p, now))
			model[c] = p
			got, age, ok := r.Lookup(c, now)
			require.True(t, ok && got == p && age == 0)
		}
		known, uses := 0, int32(0)
		for c := range uint64(61) {
			if p, _, ok := r.Lookup(c, now); ok {
				known++
				require.Equal(t, model[c], p)
			}
		}
		for _, s := range r.incarnations.slots {
			uses += s.refCount
		}
		require.Equal(t, known, r.Len())
		require.Equal(t, known, int(uses))
		require.LessOrEqual(t, known, len(r.table.buckets)*ways)
	})
}

func TestRecentEvictsLeastRecentlyUsed(t *testing.T) {
	r := newRecent(t, 1) // one bucket
	for c := range uint64(ways + 1) {
		require.NoError(t, r.Record(c, Location{Engine: 1}, epoch.Add(time.Duration(c)*stampUnit)))
	}
	_, _, ok := r.Lookup(0, epoch)
	assert.False(t, ok)
	_, _, ok = r.Lookup(1, epoch)
	assert.True(t, ok)
	visited := 0
	r.Visit(1, 0, epoch, func(uint64, Location, time.Duration) { visited++ })
	assert.Equal(t, ways, visited)
}

// A caller must not be able to evict the chats of other accounts by choosing chat ids
// that share a bucket, so the bucket of an id depends on a seed as well.
func TestSeedPreventsBucketFlooding(t *testing.T) {
	one, err := newTable[recentEntry](12_000, 1)
	require.NoError(t, err)
	two, err := newTable[recentEntry](12_000, 2)
	require.NoError(t, err)
	buckets := map[*bucket[recentEntry]]bool{}
	for key := range uint64(100_000) {
		if one.bucket(key) == &one.buckets[0] {
			buckets[two.bucket(key)] = true
		}
	}
	assert.Greater(t, len(buckets), 50)
}

func TestStampAgeAfterWrap(t *testing.T) {
	const span = (1<<16 - 1) * stampUnit
	before, after := stampAt(epoch, epoch.Add(span-stampUnit)), stampAt(epoch, epoch.Add(span+stampUnit))
	assert.Equal(t, 2*stampUnit, before.age(after))
	assert.Equal(t, stamp(1), stampAt(epoch, epoch.Add(-time.Hour)), "a clock that steps back")
}

func TestCapacityAndIncarnationLimits(t *testing.T) {
	_, err := NewRecentChats(0, 1, epoch)
	assert.True(t, ErrCapacity.Has(err))
	_, err = NewCacheView(1, -1, 1, epoch)
	assert.True(t, ErrCapacity.Has(err))
	r := newRecent(t, 4*maxIncarnations)
	for i := range uint64(maxIncarnations) {
		require.NoError(t, r.Record(i, Location{Engine: i}, epoch))
	}
	assert.True(t, ErrTooManyEngines.Has(r.Record(1, Location{Engine: maxIncarnations}, epoch)))
	r.DropEngine(0, 1)
	assert.NoError(t, r.Record(1, Location{Engine: maxIncarnations}, epoch))
	assert.NotEqual(t, ChatID("acme", "1"), ChatID("bolt", "1"))
}

// measureHeap returns the value of make and the heap bytes that it keeps alive.
func measureHeap[T any](make func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return v, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkRecentMemory fills a table to its capacity of 45,000 chats: a router's part
// of 5.7 million chats, each of which three of 380 routers record.
func BenchmarkRecentMemory(b *testing.B) {
	const chats, engines = 45_000, 850
	var kept, bytes float64
	for b.Loop() {
		r, heapBytes := measureHeap(func() *RecentChats {
			r := newRecent(b, chats)
			for c := range uint64(chats) {
				_ = r.Record(mix(c+1), Location{Engine: mix(c % engines), Incarnation: 1, Prefix: c, Tokens: 1}, epoch)
			}
			return r
		})
		kept, bytes = float64(r.Len()), heapBytes
	}
	b.ReportMetric(bytes/kept, "B/chat")
	b.ReportMetric(100*kept/chats, "%kept")
	b.ReportMetric(bytes, "B/table")
}

func BenchmarkViewMemory(b *testing.B) {
	const prefixes = 20_000
	var kept, bytes float64
	for b.Loop() {
		v, heapBytes := measureHeap(func() *CacheView {
			v, _ := NewCacheView(1, prefixes, 1, epoch)
			for i := range uint64(prefixes) {
				v.Apply(page(1, stored(i, mix(i))), epoch)
			}
			return v
		})
		kept, bytes = float64(v.Len()), heapBytes
	}
	b.ReportMetric(bytes/kept, "B/prefix")
}

func BenchmarkRecord(b *testing.B) {
	r := newRecent(b, 45_000)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		_ = r.Record(mix(i%60_000), Location{Engine: i % 850, Incarnation: 1}, epoch)
	}
}

// BenchmarkEvidence locates a chat of 40 messages at a router that follows three
// engines.
func BenchmarkEvidence(b *testing.B) {
	var bs []chat.Boundary
	for i := range 40 {
		bs = append(bs, chat.Boundary{Hash: uint64(100 + i), Tokens: 500 * (i + 1)})
	}
	l := Locator{Recent: newRecent(b, 45_000), Current: incarnations{1: 1, 2: 1, 3: 1}}
	for e := range uint64(3) {
		l.Views = append(l.Views, newView(b, e+1, page(1, stored(0, 100+10*e))))
	}
	_ = l.Recent.Record(chatC, Location{1, 1, 130, 1}, epoch)
	q := Query{Boundaries: bs, Hint: hintAt(2, 135), Chat: chatC, Model: modelM, Now: epoch}
	dst := make([]Evidence, 0, 8)
	b.ReportAllocs()
	for b.Loop() {
		dst = l.Evidence(dst[:0], q)
	}
}
