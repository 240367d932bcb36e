package rendezvous

import "container/heap"

// Assign assigns each key to a node with capacity left and writes the indexes of the
// nodes into dst, in the order of keys; a key for which no capacity is left gets NoOwner.
// capacity holds the number of keys that each node can own, and is reduced by those
// assigned.
//
// Of all pairs of an unassigned key and a node with capacity, the one with the highest
// score is assigned first. Hence the result doesn't depend on the order of keys or
// nodes, and a node that is removed or added affects only its own keys and those that
// compete with them for capacity.
func Assign(dst []int, keys, nodes []uint64, capacity []int) []int {
	dst = dst[:0]
	for range keys {
		dst = append(dst, NoOwner)
	}
	a := newAssignment(keys, nodes, capacity)
	for len(a.pairs) > 0 && len(a.available) > 0 {
		a.assignNext(dst)
	}
	return dst
}

// pair is a key and the node that scored highest for it among those that had capacity
// when the pair was formed.
type pair struct {
	score     uint64
	key, node int
}

// assignment is the state of one call of Assign: a heap of the unassigned keys, the
// highest score first.
type assignment struct {
	keys, nodes []uint64
	capacity    []int
	// available are the indexes of the nodes with capacity left.
	available []int
	pairs     []pair
}

func newAssignment(keys, nodes []uint64, capacity []int) *assignment {
	a := &assignment{keys: keys, nodes: nodes, capacity: capacity}
	a.listAvailable()
	if len(a.available) == 0 {
		return a
	}
	a.pairs = make([]pair, len(keys))
	for i := range keys {
		a.pairs[i] = a.bestPair(i)
	}
	heap.Init(a)
	return a
}

// assignNext assigns the first key in the heap to its node. If the node has no capacity
// left since the pair was formed, the key returns to the heap with the best node that
// is still available. The score of a key only decreases in this way, so that the first
// pair in the heap with an available node is the best of all.
func (a *assignment) assignNext(dst []int) {
	first := a.pairs[0]
	if a.capacity[first.node] == 0 {
		a.pairs[0] = a.bestPair(first.key)
		heap.Fix(a, 0)
		return
	}
	heap.Pop(a)
	dst[first.key] = first.node
	a.capacity[first.node]--
	if a.capacity[first.node] == 0 {
		a.listAvailable()
	}
}

// listAvailable updates available from capacity.
func (a *assignment) listAvailable() {
	a.available = a.available[:0]
	for i, left := range a.capacity {
		if left > 0 {
			a.available = append(a.available, i)
		}
	}
}

// bestPair returns the pair of a key and its highest scoring node among the available
// ones.
func (a *assignment) bestPair(key int) pair {
	mixed := Mix(a.keys[key])
	best := pair{key: key, node: NoOwner}
	for _, i := range a.available {
		score := mixed.Score(a.nodes[i])
		if best.node == NoOwner || precedes(score, a.nodes[i], best.score, a.nodes[best.node]) {
			best.score, best.node = score, i
		}
	}
	return best
}

// Len implements heap.Interface.
func (a *assignment) Len() int { return len(a.pairs) }

// Less implements heap.Interface. Ties are broken by identifiers, never by position.
func (a *assignment) Less(i, j int) bool {
	x, y := a.pairs[i], a.pairs[j]
	if x.score != y.score {
		return x.score > y.score
	}
	if a.keys[x.key] != a.keys[y.key] {
		return a.keys[x.key] < a.keys[y.key]
	}
	return a.nodes[x.node] < a.nodes[y.node]
}

// Swap implements heap.Interface.
func (a *assignment) Swap(i, j int) { a.pairs[i], a.pairs[j] = a.pairs[j], a.pairs[i] }

// Push implements heap.Interface. It isn't used: no pair is added after heap.Init.
func (a *assignment) Push(x any) { a.pairs = append(a.pairs, x.(pair)) }

// Pop implements heap.Interface.
func (a *assignment) Pop() any {
	last := len(a.pairs) - 1
	p := a.pairs[last]
	a.pairs = a.pairs[:last]
	return p
}
