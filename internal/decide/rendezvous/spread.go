package rendezvous

// Spread gives the keys of one group to the nodes as evenly as whole keys
// allow: each node gets the same number, and what is left over goes to as many
// nodes, one key each. It writes the nodes' indexes into dst, key for key.
//
// load is how many keys of other groups each node has, and is raised by those
// given. Left-over keys go first to nodes that would have none, then to those
// whose load stays within limit, and only then to the others.
//
// Plain rendezvous hashing, see Owner, moves fewer keys but leaves some nodes
// with none and gives others several times the mean when keys are few.
func Spread(dst []int, keys, nodes []uint64, load []int, limit int) []int {
	dst = dst[:0]
	for range keys {
		dst = append(dst, NoOwner)
	}
	if len(nodes) == 0 {
		return dst
	}
	share := len(keys) / len(nodes)
	assignRest(dst, keys, nodes, roomWhere(load, share, anyLoad))
	idle := func(load int) bool { return load+share == 0 }
	within := func(load int) bool { return load+share < limit && !idle(load) }
	past := func(load int) bool { return load+share >= limit && !idle(load) }
	for _, preferred := range []func(load int) bool{idle, within, past} {
		assignRest(dst, keys, nodes, roomWhere(load, 1, preferred))
	}
	for _, node := range dst {
		load[node]++
	}
	return dst
}

func anyLoad(int) bool { return true }

// roomWhere gives the same room to each node whose load is eligible.
func roomWhere(load []int, room int, eligible func(load int) bool) []int {
	out := make([]int, len(load))
	for node := range out {
		if eligible(load[node]) {
			out[node] = room
		}
	}
	return out
}

// assignRest assigns the keys that have no owner yet.
func assignRest(dst []int, keys, nodes []uint64, room []int) {
	var rest []uint64
	var at []int
	for i, owner := range dst {
		if owner == NoOwner {
			rest = append(rest, keys[i])
			at = append(at, i)
		}
	}
	for i, owner := range Assign(nil, rest, nodes, room) {
		dst[at[i]] = owner
	}
}
