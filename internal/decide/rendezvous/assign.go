package rendezvous

import "container/heap"

// Assign gives each key to a node that has room and writes the nodes' indexes
// into dst, key for key; a key that finds no room gets NoOwner. room says how
// many keys each node takes, and is reduced by those given.
//
// Of all pairs of a key without owner and a node with room, the one with the
// highest score is settled first. Hence the result doesn't depend on the order
// of keys or nodes, and a node that is lost or added changes only its own keys
// and those that contend with them for room.
func Assign(dst []int, keys, nodes []uint64, room []int) []int {
	dst = dst[:0]
	for range keys {
		dst = append(dst, NoOwner)
	}
	a := newAssignment(keys, nodes, room)
	for len(a.pairs) > 0 && len(a.open) > 0 {
		a.settle(dst)
	}
	return dst
}

// pair is a key and the node with room that scored best when last looked at.
type pair struct {
	score     uint64
	key, node int
}

// assignment is the state of one run of Assign: a heap of the keys that have
// no owner yet, the highest score first.
type assignment struct {
	keys, nodes []uint64
	room        []int
	// open are the indexes of the nodes that have room.
	open  []int
	pairs []pair
}

func newAssignment(keys, nodes []uint64, room []int) *assignment {
	a := &assignment{keys: keys, nodes: nodes, room: room}
	a.reopen()
	if len(a.open) == 0 {
		return a
	}
	a.pairs = make([]pair, len(keys))
	for i := range keys {
		a.pairs[i] = a.best(i)
	}
	heap.Init(a)
	return a
}

// settle gives the first key in the heap its node. If the node has filled up
// since it was looked at, the key goes back into the heap with the next best:
// scores only fall, so no pair is overlooked.
func (a *assignment) settle(dst []int) {
	first := a.pairs[0]
	if a.room[first.node] == 0 {
		a.pairs[0] = a.best(first.key)
		heap.Fix(a, 0)
		return
	}
	heap.Pop(a)
	dst[first.key] = first.node
	a.room[first.node]--
	if a.room[first.node] == 0 {
		a.reopen()
	}
}

// reopen lists the nodes that have room.
func (a *assignment) reopen() {
	a.open = a.open[:0]
	for i, room := range a.room {
		if room > 0 {
			a.open = append(a.open, i)
		}
	}
}

// best pairs a key with the node that scores highest among those with room.
func (a *assignment) best(key int) pair {
	mixed := Mix(a.keys[key])
	top := pair{key: key, node: NoOwner}
	for _, i := range a.open {
		score := mixed.Score(a.nodes[i])
		if top.node == NoOwner || precedes(score, a.nodes[i], top.score, a.nodes[top.node]) {
			top.score, top.node = score, i
		}
	}
	return top
}

// Len implements heap.Interface.
func (a *assignment) Len() int { return len(a.pairs) }

// Less implements heap.Interface. Equal scores are broken by identifiers, never
// by position.
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

// Push implements heap.Interface; nothing is added after the start.
func (a *assignment) Push(x any) { a.pairs = append(a.pairs, x.(pair)) }

// Pop implements heap.Interface.
func (a *assignment) Pop() any {
	last := len(a.pairs) - 1
	p := a.pairs[last]
	a.pairs = a.pairs[:last]
	return p
}
