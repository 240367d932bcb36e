// Package rendezvous implements highest-random-weight hashing: every router
// ranks the same nodes for a key in the same order without exchanging a
// message. A node that leaves moves only the keys it owned, and a node that
// joins takes about one key in n. The functions keep no state and, given room
// in the destination, allocate nothing.
package rendezvous

import (
	"cmp"
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

// Score is the weight of node for key; the highest one owns the key.
//
// The key is mixed before the node is added. With a plain exclusive or, keys
// and nodes that are small consecutive integers would share their scores, and
// whole runs of keys would fall to one node.
func Score(key, node uint64) uint64 {
	return mix(mix(key) + node*golden)
}

// Owner returns the index of the node with the highest score, or NoOwner.
func Owner(key uint64, nodes []uint64) int {
	best := NoOwner
	for i := range nodes {
		if best == NoOwner || compare(key, nodes[i], nodes[best]) < 0 {
			best = i
		}
	}
	return best
}

// Order writes the indexes of all nodes into dst, best first, and returns it.
// Earlier contents of dst are overwritten.
func Order(dst []int, key uint64, nodes []uint64) []int {
	dst = dst[:0]
	for i := range nodes {
		dst = append(dst, i)
	}
	slices.SortStableFunc(dst, func(a, b int) int {
		return compare(key, nodes[a], nodes[b])
	})
	return dst
}

// Top writes the indexes of the k best nodes into dst, best first, and returns
// it. It suits a small k: the cost grows with k times the number of nodes.
func Top(dst []int, k int, key uint64, nodes []uint64) []int {
	dst = dst[:0]
	for i := range nodes {
		dst = insert(dst, k, i, key, nodes)
	}
	return dst
}

// insert puts node i at its place in the ranking dst of at most k nodes.
func insert(dst []int, k, i int, key uint64, nodes []uint64) []int {
	at := len(dst)
	for at > 0 && compare(key, nodes[i], nodes[dst[at-1]]) < 0 {
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

// compare orders two nodes for a key: negative when a comes before b. Equal
// scores are broken by the identifier and never by position, since routers
// may list the same nodes in different orders.
func compare(key, a, b uint64) int {
	if c := cmp.Compare(Score(key, b), Score(key, a)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func mix(x uint64) uint64 {
	x += golden
	x = (x ^ x>>30) * mixA
	x = (x ^ x>>27) * mixB
	return x ^ x>>31
}
