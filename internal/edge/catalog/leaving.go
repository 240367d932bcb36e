package catalog

import (
	"maps"
	"slices"
	"time"
)

// LeavingStart is a start of an engine that has announced in a response that it will stop. The
// address of the engine is no part of it, because it may be assigned to another engine.
type LeavingStart struct {
	ID string
	// Born identifies the start; see Engine.Born. It is zero if it is not known.
	Born int64
}

// leavingRetention is how long an announcement is kept once its start is not registered any more.
// The entry of a running engine may expire and return while the store is unavailable.
const leavingRetention = 10 * time.Minute

// Leaving is an immutable set of starts that have announced that they will stop. An announcement is
// final: an entry that states otherwise is outdated, because an engine that can't reach the store
// can't change its entry. The zero value is empty.
type Leaving struct {
	// starts holds the announcements by engine ID.
	starts map[string][]leavingStart
}

type leavingStart struct {
	born int64
	// goneSince is the reading of the boot clock since which the start has not been registered;
	// zero while it is.
	goneSince time.Duration
}

// is reports whether the start may be the one with the other value of Born. A value of zero does not
// distinguish starts.
func (l leavingStart) is(born int64) bool { return l.born == born || l.born == 0 || born == 0 }

// Has reports whether the engine has announced that it will stop.
func (l Leaving) Has(e Engine) bool {
	return slices.ContainsFunc(l.starts[e.ID], func(s leavingStart) bool { return s.is(e.Born) })
}

// Add returns the set with another announcement, and whether it is new.
func (l Leaving) Add(start LeavingStart) (Leaving, bool) {
	known := slices.ContainsFunc(l.starts[start.ID], func(s leavingStart) bool { return s.born == start.Born })
	if known {
		return l, false
	}
	next := Leaving{starts: maps.Clone(l.starts)}
	if next.starts == nil {
		next.starts = make(map[string][]leavingStart)
	}
	next.starts[start.ID] = append(slices.Clone(l.starts[start.ID]), leavingStart{born: start.Born})
	return next, true
}

// Registered returns the announcements of engines in the set.
func (l Leaving) Registered(engines *EngineSet) []LeavingStart {
	var out []LeavingStart
	for id := range l.starts {
		if e, ok := engines.ByID[id]; ok && l.Has(e) {
			out = append(out, LeavingStart{ID: id, Born: e.Born})
		}
	}
	return out
}

// review returns the set as of now: starts that were unknown take that of the registered engine, and
// those that have not been registered for leavingRetention are dropped. changed is false if the set
// is the same.
func (l Leaving) review(engines *EngineSet, now time.Duration) (out Leaving, changed bool) {
	next := make(map[string][]leavingStart, len(l.starts))
	for id, starts := range l.starts {
		e, registered := engines.ByID[id]
		for _, s := range starts {
			reviewed, keep := s.review(e, registered, now)
			changed = changed || !keep || reviewed != s
			if keep {
				next[id] = append(next[id], reviewed)
			}
		}
	}
	if !changed {
		return l, false
	}
	return Leaving{starts: next}, true
}

func (l leavingStart) review(e Engine, registered bool, now time.Duration) (out leavingStart, keep bool) {
	if registered && l.is(e.Born) {
		l.goneSince = 0
		if l.born == 0 {
			l.born = e.Born
		}
		return l, true
	}
	if l.goneSince == 0 {
		l.goneSince = now
	}
	return l, now-l.goneSince < leavingRetention
}

// WithLeaving returns the snapshot after announcements of engines, and those that are new.
func (s *Snapshot) WithLeaving(starts []LeavingStart) (*Snapshot, []LeavingStart) {
	next := *s
	var added []LeavingStart
	for _, start := range starts {
		var isNew bool
		if next.Leaving, isNew = next.Leaving.Add(start); isNew {
			added = append(added, start)
		}
	}
	if len(added) == 0 {
		return s, nil
	}
	return &next, added
}

// ReviewLeaving returns the snapshot without announcements that are too old; see leavingRetention.
func (s *Snapshot) ReviewLeaving(now time.Duration) *Snapshot {
	leaving, changed := s.Leaving.review(s.Engines, now)
	if !changed {
		return s
	}
	next := *s
	next.Leaving = leaving
	return &next
}

// withoutRestarted returns the set without the announcements of engines that were restarted between
// two sets of engines, as far as their starts are told apart only by the number of their orders.
func (l Leaving) withoutRestarted(before, after *EngineSet) Leaving {
	next := l
	for id := range l.starts {
		last, known := before.ByID[id]
		e, registered := after.ByID[id]
		if known && registered && e.Born == 0 && last.Born == 0 && e.RestartOf(last) {
			next = Leaving{starts: maps.Clone(next.starts)}
			delete(next.starts, id)
		}
	}
	return next
}
