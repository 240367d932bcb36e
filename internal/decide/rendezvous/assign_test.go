package rendezvous

import (
	"slices"
	"testing"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawKeys(t *rapid.T) []uint64 {
	return rapid.SliceOfNDistinct(rapid.Uint64(), 0, 60, rapid.ID[uint64]).Draw(t, "keys")
}

func drawCounts(t *rapid.T, nodes []uint64, name string) []int {
	return rapid.SliceOfN(rapid.IntRange(0, 4), len(nodes), len(nodes)).Draw(t, name)
}

// assignNaively is a reference for Assign that compares all pairs of a key and a node
// in each step.
func assignNaively(keys, nodes []uint64, capacity []int) []int {
	owners := slices.Repeat([]int{NoOwner}, len(keys))
	for {
		key, node := NoOwner, NoOwner
		for k := range keys {
			for n := range nodes {
				eligible := owners[k] == NoOwner && capacity[n] > 0
				if eligible && (key == NoOwner || Score(keys[k], nodes[n]) > Score(keys[key], nodes[node])) {
					key, node = k, n
				}
			}
		}
		if key == NoOwner {
			return owners
		}
		owners[key] = node
		capacity[node]--
	}
}

func TestAssignTakesBestPairFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys, nodes := drawKeys(t), drawNodes(t)
		capacity := drawCounts(t, nodes, "room")
		left := slices.Clone(capacity)
		require.Equal(t, assignNaively(keys, nodes, capacity), append([]int{}, Assign(nil, keys, nodes, left)...))
		require.Equal(t, capacity, left)
	})
}

func TestSpreadIsEvenAndOrderIndependent(t *testing.T) {
	require.Equal(t, []int{NoOwner}, Spread(nil, []uint64{1}, nil, nil, 0))
	rapid.Check(t, func(t *rapid.T) {
		keys, nodes := drawKeys(t), drawNodes(t)
		before := drawCounts(t, nodes, "load")
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		after := slices.Clone(before)
		owners := Spread(nil, keys, nodes, after, limit)
		requireEven(t, before, after, len(keys), limit)

		slices.Reverse(keys)
		slices.Reverse(nodes)
		slices.Reverse(before)
		reversed := Spread(nil, keys, nodes, before, limit)
		slices.Reverse(reversed)
		for i := range reversed {
			require.Equal(t, owners[i], len(nodes)-1-reversed[i])
		}
	})
}

// requireEven checks that each node got the same share, and that the remaining keys
// went first to nodes that would have no key, and last to nodes whose load reached the
// limit.
func requireEven(t *rapid.T, before, after []int, keys, limit int) {
	share := keys / len(before)
	assigned := 0
	maxTierWithExtra, minTierWithout := 0, 2
	for n := range before {
		assigned += after[n] - before[n]
		tier := 0
		switch load := before[n] + share; {
		case load >= limit && load > 0:
			tier = 2
		case load > 0:
			tier = 1
		}
		switch after[n] - before[n] {
		case share:
			minTierWithout = min(minTierWithout, tier)
		case share + 1:
			maxTierWithExtra = max(maxTierWithExtra, tier)
		default:
			require.Fail(t, "uneven")
		}
	}
	require.Equal(t, keys, assigned)
	require.LessOrEqual(t, maxTierWithExtra, minTierWithout)
}

func BenchmarkSpread850x380(b *testing.B) {
	keys := manyNodes()
	nodes := rapid.SliceOfN(rapid.Uint64(), 380, 380).Example(2)
	for b.Loop() {
		Spread(nil, keys, nodes, make([]int, len(nodes)), 4)
	}
}
