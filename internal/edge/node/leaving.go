package node

import "slices"

// leavingEngines returns the IDs of the registered engines that have announced that they will stop,
// sorted.
func (r *Router) leavingEngines() []string {
	snapshot := r.board.Snapshot()
	ids := []string{}
	for _, start := range snapshot.Leaving.Registered(snapshot.Engines) {
		ids = append(ids, start.ID)
	}
	slices.Sort(ids)
	return ids
}
