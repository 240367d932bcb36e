package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawNodes(t *rapid.T) []uint64 {
	return rapid.SliceOfNDistinct(rapid.Uint64(), 1, 40, rapid.ID[uint64]).Draw(t, "nodes")
}

func TestRankingsAgreeInAnyNodeOrder(t *testing.T) {
	require.Equal(t, NoOwner, Owner(1, nil))
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		key := rapid.Uint64().Draw(t, "key")
		k := rapid.IntRange(0, len(nodes)+2).Draw(t, "k")
		order := Order(nil, key, nodes)
		require.Equal(t, Owner(key, nodes), order[0])
		require.ElementsMatch(t, Order(nil, 0, nodes), order)
		require.Equal(t, order[:min(k, len(nodes))], append([]int{}, Top(nil, k, key, nodes)...))

		reversed := slices.Clone(nodes)
		slices.Reverse(reversed)
		require.Equal(t, nodes[order[0]], reversed[Owner(key, reversed)], "the result must not depend on positions")
	})
}

func TestRemovalKeepsOrderOfRemainingNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		key := rapid.Uint64().Draw(t, "key")
		removed := rapid.IntRange(0, len(nodes)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(nodes), removed, removed+1)
		var want, got []uint64
		for _, i := range Order(nil, key, nodes) {
			if i != removed {
				want = append(want, nodes[i])
			}
		}
		for _, i := range Order(nil, key, remaining) {
			got = append(got, remaining[i])
		}
		require.Equal(t, want, got)
	})
}

func TestKeysAreEvenlyDistributed(t *testing.T) {
	const keys, n = 90_000, 9
	var named, counted []uint64
	for i := range uint64(n) {
		named = append(named, ID(fmt.Sprint("engine-", i)))
		counted = append(counted, i)
	}
	for name, nodes := range map[string][]uint64{"hashed names": named, "small integers": counted} {
		t.Run(name, func(t *testing.T) {
			var share [n]int
			for key := range uint64(keys) {
				share[Owner(key, nodes)]++
			}
			for _, s := range share {
				require.InEpsilon(t, keys/n, s, 0.05)
			}
		})
	}
}

func manyNodes() []uint64 {
	return rapid.SliceOfN(rapid.Uint64(), 850, 850).Example(1)
}

func TestRankingDoesNotAllocate(t *testing.T) {
	nodes := manyNodes()
	dst := make([]int, 0, len(nodes))
	require.Zero(t, testing.AllocsPerRun(10, func() {
		Owner(7, nodes)
		Order(dst, 7, nodes)
		Top(dst, 3, 7, nodes)
	}))
}

func BenchmarkOwner850(b *testing.B) {
	nodes := manyNodes()
	b.ReportAllocs()
	for key := uint64(0); b.Loop(); key++ {
		Owner(key, nodes)
	}
}
