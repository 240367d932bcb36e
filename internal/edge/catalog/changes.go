package catalog

import (
	"slices"
	"strings"
)

// EngineChanges holds the engines that were removed, became doubtful or started draining between
// two sets. Each list is sorted by ID.
type EngineChanges struct {
	// Removed engines are no longer in the set. Doubtful engines lost their entry but stay in
	// service until they register again or the time in EngineSet.Doubtful is reached.
	Removed, Doubtful []Removal
	// Draining engines must get no new requests from now on.
	Draining []Engine
}

// ChangesTo returns the changes from s to next, a later version of the set. Engines that only
// next contains are not included.
func (s *EngineSet) ChangesTo(next *EngineSet) EngineChanges {
	var changes EngineChanges
	for id, previous := range s.ByID {
		e, present := next.ByID[id]
		_, wasDoubtful := s.Doubtful[id]
		_, doubtful := next.Doubtful[id]
		switch {
		case !present:
			changes.Removed = append(changes.Removed, Removal{ID: id, Revision: next.removalRevision(id)})
		case doubtful && !wasDoubtful:
			changes.Doubtful = append(changes.Doubtful, Removal{ID: id, Revision: next.removalRevision(id)})
		case e.Draining && !previous.Draining:
			changes.Draining = append(changes.Draining, e)
		}
	}
	compareIDs := func(a, b Removal) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(changes.Removed, compareIDs)
	slices.SortFunc(changes.Doubtful, compareIDs)
	slices.SortFunc(changes.Draining, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return changes
}

// removalRevision returns the revision of the engine's latest recorded removal, or zero if none is
// recorded.
func (s *EngineSet) removalRevision(id string) uint64 {
	for _, r := range slices.Backward(s.Removed) {
		if r.ID == id {
			return r.Revision
		}
	}
	return 0
}
