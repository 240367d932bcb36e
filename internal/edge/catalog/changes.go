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
	// Return is set if the later set is the first one after the store returned from an older copy.
	Return *StoreReturn
}

// StoreReturn describes a return of the store from an older copy, as seen by one router.
type StoreReturn struct {
	From, To Era
	// Known and Read are the versions of the last set before the return and the first one after it.
	Known, Read uint64
	// Listed and Missing count the engines that were known before, by whether the copy lists them.
	// Kept counts the starts that are recorded as leaving only by the eras before.
	Listed, Missing, Kept int
}

// ChangesTo returns the changes of the engines from s to next, a later snapshot.
func (s *Snapshot) ChangesTo(next *Snapshot) EngineChanges {
	changes := s.Engines.ChangesTo(next.Engines)
	if s.Engines.Upto == 0 || !next.Engines.Era.returnsFrom(s.Engines.Era) {
		return changes
	}
	missing := len(next.Engines.Doubtful)
	changes.Return = &StoreReturn{
		From: s.Engines.Era, To: next.Engines.Era, Known: s.Engines.Upto, Read: next.Engines.Upto,
		Listed: len(next.Engines.ByID) - missing, Missing: missing, Kept: next.Leaving.Len(),
	}
	return changes
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
