package prefix

import (
	"math/bits"
	"time"
)

const (
	// ways is the number of slots in a bucket. With more slots, fewer entries are
	// evicted while other buckets have room, but a scan takes longer: 16 keys take two
	// cache lines.
	ways = 16
	// loadPercent is the load factor for which a table is sized. Buckets fill unevenly;
	// the extra slots keep evictions rare until capacity is reached.
	loadPercent = 75
	// stampUnit is the resolution of the time of last use. 16 bits span 12 days in this
	// unit; an entry unused for longer appears recent again, which only delays its
	// eviction.
	stampUnit = 16 * time.Second
)

// stamp is a time in units of stampUnit. 0 marks an empty slot.
type stamp uint16

// stampAt returns the units since epoch, wrapped to 16 bits without 0.
func stampAt(epoch, now time.Time) stamp {
	units := max(now.Sub(epoch), 0) / stampUnit
	return stamp(units%(1<<16-1)) + 1
}

// age returns the time from s to now, if s hasn't wrapped since.
func (s stamp) age(now stamp) time.Duration {
	units := int(now) - int(s)
	if units < 0 {
		units += 1<<16 - 1
	}
	return time.Duration(units) * stampUnit
}

// bucket stores keys apart from values, so that a scan reads few cache lines.
type bucket[V any] struct {
	keys     [ways]uint64
	lastUsed [ways]stamp
	values   [ways]V
}

// table is a set-associative map keyed by hashes: a key belongs to one bucket, and a
// full bucket evicts its least recently used entry. Only put counts as a use. The table
// allocates only on creation, and needs no tombstones, no rehashing and no clock hand
// for evictions.
type table[V any] struct {
	buckets []bucket[V]
	seed    uint64
	len     int
}

// newTable returns a table sized for capacity entries at a load of loadPercent. A random
// seed prevents callers, who choose their chat ids, from filling one bucket on purpose
// and so evicting the chats of others. It returns ErrCapacity if capacity isn't positive.
func newTable[V any](capacity int, seed uint64) (*table[V], error) {
	if capacity <= 0 {
		return nil, ErrCapacity.New("%d", capacity)
	}
	perBucket := ways * loadPercent / 100
	n := (capacity + perBucket - 1) / perBucket
	return &table[V]{buckets: make([]bucket[V], n), seed: seed}, nil
}

func (t *table[V]) bucket(key uint64) *bucket[V] {
	i, _ := bits.Mul64(mix(key^t.seed), uint64(len(t.buckets)))
	return &t.buckets[i]
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// find returns the slot of key, or -1.
func (b *bucket[V]) find(key uint64) int {
	for i, k := range b.keys {
		if k == key && b.lastUsed[i] != 0 {
			return i
		}
	}
	return -1
}

// victim returns an empty slot, or else the least recently used one.
func (b *bucket[V]) victim(now stamp) int {
	oldest, oldestAge := 0, time.Duration(-1)
	for i, u := range b.lastUsed {
		if u == 0 {
			return i
		}
		if a := u.age(now); a > oldestAge {
			oldest, oldestAge = i, a
		}
	}
	return oldest
}

// get returns the value of key and its time of last use, or nil.
func (t *table[V]) get(key uint64) (*V, stamp) {
	b := t.bucket(key)
	i := b.find(key)
	if i < 0 {
		return nil, 0
	}
	return &b.values[i], b.lastUsed[i]
}

// put returns the value of key for the caller to set, and what the slot held before. If
// the slot was empty, old is the zero value and replaced is false.
func (t *table[V]) put(key uint64, now stamp) (v *V, old V, replaced bool) {
	b := t.bucket(key)
	i := b.find(key)
	if i < 0 {
		i = b.victim(now)
	}
	old, replaced = b.values[i], b.lastUsed[i] != 0
	if !replaced {
		t.len++
	}
	b.keys[i], b.lastUsed[i] = key, now
	return &b.values[i], old, replaced
}

// sweep calls f for every entry, and removes those for which it returns true.
func (t *table[V]) sweep(f func(key uint64, v *V, used stamp) (remove bool)) {
	for n := range t.buckets {
		b := &t.buckets[n]
		for i := range ways {
			if b.lastUsed[i] != 0 && f(b.keys[i], &b.values[i], b.lastUsed[i]) {
				b.lastUsed[i] = 0
				t.len--
			}
		}
	}
}
