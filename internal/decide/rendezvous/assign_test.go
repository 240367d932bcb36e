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

// assignSlowly looks at every pair of a key and a node before each step.
func assignSlowly(keys, nodes []uint64, room []int) []int {
	owners := slices.Repeat([]int{NoOwner}, len(keys))
	for {
		key, node := NoOwner, NoOwner
		for k := range keys {
			for n := range nodes {
				free := owners[k] == NoOwner && room[n] > 0
				if free && (key == NoOwner || Score(keys[k], nodes[n]) > Score(keys[key], nodes[node])) {
					key, node = k, n
				}
			}
		}
		if key == NoOwner {
			return owners
		}
		owners[key] = node
		room[node]--
	}
}

func TestAssignSettlesTheBestPairFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys, nodes := drawKeys(t), drawNodes(t)
		room := drawCounts(t, nodes, "room")
		left := slices.Clone(room)
		require.Equal(t, assignSlowly(keys, nodes, room), append([]int{}, Assign(nil, keys, nodes, left)...))
		require.Equal(t, room, left)
	})
}

func TestSpreadIsEvenAndIndependentOfOrder(t *testing.T) {
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

// requireEven checks that each node got its share, and that left-over keys went
// first to nodes that would have none, last to those past the limit.
func requireEven(t *rapid.T, before, after []int, keys, limit int) {
	share := keys / len(before)
	given := 0
	worstGiven, bestSpared := 0, 2
	for n := range before {
		given += after[n] - before[n]
		tier := 0
		switch load := before[n] + share; {
		case load >= limit && load > 0:
			tier = 2
		case load > 0:
			tier = 1
		}
		switch after[n] - before[n] {
		case share:
			bestSpared = min(bestSpared, tier)
		case share + 1:
			worstGiven = max(worstGiven, tier)
		default:
			require.Fail(t, "uneven")
		}
	}
	require.Equal(t, keys, given)
	require.LessOrEqual(t, worstGiven, bestSpared)
}

func BenchmarkSpread850x380(b *testing.B) {
	keys := manyNodes()
	nodes := rapid.SliceOfN(rapid.Uint64(), 380, 380).Example(2)
	for b.Loop() {
		Spread(nil, keys, nodes, make([]int, len(nodes)), 4)
	}
}
