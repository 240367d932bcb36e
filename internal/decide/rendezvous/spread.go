package rendezvous

// Spread assigns the keys of one group to the nodes as evenly as possible: each node
// gets the same number of keys, and the keys that remain go to different nodes. It
// writes the indexes of the nodes into dst, in the order of keys.
//
// load holds the number of keys of other groups by node, and is increased by those
// assigned. The remaining keys go first to nodes that would have no key, then to nodes
// whose load stays within limit, and only then to the others.
//
// Plain rendezvous hashing, see Owner, moves fewer keys but, when keys are few, leaves
// some nodes with none and assigns several times the mean to others.
func Spread(dst []int, keys, nodes []uint64, load []int, limit int) []int {
	dst = dst[:0]
	for range keys {
		dst = append(dst, NoOwner)
	}
	if len(nodes) == 0 {
		return dst
	}
	share := len(keys) / len(nodes)
	assignRemaining(dst, keys, nodes, capacityWhere(load, share, anyLoad))
	idle := func(load int) bool { return load+share == 0 }
	underLimit := func(load int) bool { return load+share < limit && !idle(load) }
	atLimit := func(load int) bool { return load+share >= limit && !idle(load) }
	for _, preferred := range []func(load int) bool{idle, underLimit, atLimit} {
		assignRemaining(dst, keys, nodes, capacityWhere(load, 1, preferred))
	}
	for _, node := range dst {
		load[node]++
	}
	return dst
}

func anyLoad(int) bool { return true }

// capacityWhere returns the capacity of each node: the given capacity if the node's load
// is eligible, else 0.
func capacityWhere(load []int, capacity int, eligible func(load int) bool) []int {
	out := make([]int, len(load))
	for node := range out {
		if eligible(load[node]) {
			out[node] = capacity
		}
	}
	return out
}

// assignRemaining assigns the keys that have no owner yet.
func assignRemaining(dst []int, keys, nodes []uint64, capacity []int) {
	var remaining []uint64
	var positions []int
	for i, owner := range dst {
		if owner == NoOwner {
			remaining = append(remaining, keys[i])
			positions = append(positions, i)
		}
	}
	for i, owner := range Assign(nil, remaining, nodes, capacity) {
		dst[positions[i]] = owner
	}
}
