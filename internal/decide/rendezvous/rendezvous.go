// Package rendezvous implements highest-random-weight hashing: every router
// ranks the same nodes for a key in the same order without exchanging a
// message. A node that leaves moves only the keys it owned, and a node that
// joins takes about one key in n. The functions keep no state. Owner, Order and
// Top allocate nothing, given room in the destination; Assign and Spread do.
package rendezvous

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// NoOwner is the index that Owner returns when there are no nodes.
const NoOwner = -1

// Odd constants of the SplitMix64 generator.
const (
	golden = 0x9e3779b97f4a7c15
	mixA   = 0xbf58476d1ce4e5b9
	mixB   = 0x94d049bb133111eb
)

// ID hashes a name to the identifier under which it takes part.
func ID(name string) uint64 {
	return xxh3.HashString(name)
}

// Key is a key prepared for scoring many nodes.
type Key uint64

// Mix prepares a key.
//
// The key is mixed before a node is added. With a plain exclusive or, keys and
// nodes that are small consecutive integers would share their scores, and whole
// runs of keys would fall to one node.
func Mix(key uint64) Key {
	return Key(mix(key))
}

// Score is the weight of node for the key; the highest one owns the key.
func (k Key) Score(node uint64) uint64 {
	return mix(uint64(k) + node*golden)
}

// Score is the weight of node for a key that isn't prepared.
func Score(key, node uint64) uint64 {
	return Mix(key).Score(node)
}

// Owner returns the index of the node with the highest score, or NoOwner.
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

// precedes says whether the first node and its score come before the second.
// Equal scores are broken by the identifier and never by position, since
// routers may list the same nodes in different orders.
func precedes(scoreA, a, scoreB, b uint64) bool {
	return scoreA > scoreB || scoreA == scoreB && a < b
}

// Order writes the indexes of all nodes into dst, best first, and returns it.
// Earlier contents of dst are overwritten.
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

// Top writes the indexes of the k best nodes into dst, best first, and returns
// it. It suits a small k: the cost grows with k times the number of nodes.
func Top(dst []int, k int, key uint64, nodes []uint64) []int {
	dst = dst[:0]
	mixed := Mix(key)
	for i := range nodes {
		dst = insert(dst, k, i, mixed, nodes)
	}
	return dst
}

// insert puts node i at its place in the ranking dst of at most k nodes.
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

// compare orders two nodes for a key: negative when a comes before b.
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
	x += golden
	x = (x ^ x>>30) * mixA
	x = (x ^ x>>27) * mixB
	return x ^ x>>31
}
