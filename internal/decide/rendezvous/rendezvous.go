// Package rendezvous implements rendezvous (highest random weight) hashing: every
// router ranks the same nodes for a key in the same order without exchanging a message.
// A node that leaves moves only the keys that it owned, and a node that joins takes
// about one key in n. The functions keep no state. Owner, Order and Top don't allocate
// if dst has enough capacity; Assign and Spread do.
package rendezvous

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// NoOwner is the index that stands for no node.
const NoOwner = -1

// Odd constants of the SplitMix64 generator.
const (
	goldenGamma = 0x9e3779b97f4a7c15
	mixA        = 0xbf58476d1ce4e5b9
	mixB        = 0x94d049bb133111eb
)

// ID returns the hash of a name, which identifies the node or key.
func ID(name string) uint64 {
	return xxh3.HashString(name)
}

// Key is a key prepared for scoring many nodes.
type Key uint64

// Mix returns the prepared key.
//
// The key is mixed before a node is added. With a plain exclusive or, keys and nodes
// that are small consecutive integers would share their scores, and whole runs of keys
// would be assigned to one node.
func Mix(key uint64) Key {
	return Key(mix(key))
}

// Score returns the weight of node for the key; the node with the highest score owns
// the key.
func (k Key) Score(node uint64) uint64 {
	return mix(uint64(k) + node*goldenGamma)
}

// Fraction returns a score as a number from 0 to less than 1.
func Fraction(score uint64) float64 { return float64(score>>11) / (1 << 53) }

// Score returns the weight of node for a key that isn't prepared.
func Score(key, node uint64) uint64 {
	return Mix(key).Score(node)
}

// Owner returns the index of the node with the highest score, or NoOwner if there are
// no nodes.
func Owner(key uint64, nodes []uint64) int {
	k := Mix(key)
	owner := NoOwner
	var best uint64
	for i, node := range nodes {
		score := k.Score(node)
		if owner == NoOwner || precedes(score, node, best, nodes[owner]) {
			owner, best = i, score
		}
	}
	return owner
}

// precedes reports whether the first node and its score rank before the second. Ties
// are broken by the identifier and never by position, since routers may list the same
// nodes in different orders.
func precedes(scoreA, a, scoreB, b uint64) bool {
	return scoreA > scoreB || scoreA == scoreB && a < b
}

// Order writes the indexes of all nodes into dst, highest score first, and returns it.
// The contents of dst are overwritten.
func Order(dst []int, key uint64, nodes []uint64) []int {
	dst = dst[:0]
	for i := range nodes {
		dst = append(dst, i)
	}
	k := Mix(key)
	slices.SortStableFunc(dst, func(a, b int) int {
		return k.compare(nodes[a], nodes[b])
	})
	return dst
}

// Top writes the indexes of the k nodes with the highest scores into dst, highest
// first, and returns it. The contents of dst are overwritten. The cost grows with k
// times the number of nodes, so k should be small.
func Top(dst []int, k int, key uint64, nodes []uint64) []int {
	dst = dst[:0]
	mixed := Mix(key)
	for i := range nodes {
		dst = insert(dst, k, i, mixed, nodes)
	}
	return dst
}

// insert inserts node i into the ranking dst of at most k nodes.
func insert(dst []int, k, i int, key Key, nodes []uint64) []int {
	at := len(dst)
	for at > 0 && key.compare(nodes[i], nodes[dst[at-1]]) < 0 {
		at--
	}
	if at >= k {
		return dst
	}
	if len(dst) < k {
		dst = append(dst, i)
	}
	copy(dst[at+1:], dst[at:])
	dst[at] = i
	return dst
}

// compare compares two nodes for a key; the result is negative if a ranks before b.
func (k Key) compare(a, b uint64) int {
	switch {
	case precedes(k.Score(a), a, k.Score(b), b):
		return -1
	case a == b:
		return 0
	}
	return 1
}

func mix(x uint64) uint64 {
	x += goldenGamma
	x = (x ^ x>>30) * mixA
	x = (x ^ x>>27) * mixB
	return x ^ x>>31
}
