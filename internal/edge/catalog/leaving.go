package catalog

import (
	"maps"
	"slices"
	"time"
)

// LeavingStart is a start of an engine that has announced in a response that it will stop, or that
// an earlier era of the store recorded as draining or removed. The address of the engine is no part
// of it, because it may be assigned to another engine.
type LeavingStart struct {
	ID string
	// Born identifies the start; see Engine.Born. It is zero if it is not known.
	Born int64
	// Refutable is set if only an earlier era of the store recorded the end of the start, by the
	// removal of the entry or without a time of the start. Unlike an announcement of the engine, an
	// entry that is written later may show that the engine is in service.
	Refutable bool
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
	// refutable is LeavingStart.Refutable.
	refutable bool
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
	known := slices.ContainsFunc(l.starts[start.ID], func(s leavingStart) bool {
		return s.born == start.Born && (start.Refutable || !s.refutable)
	})
	if known {
		return l, false
	}
	next := Leaving{starts: maps.Clone(l.starts)}
	if next.starts == nil {
		next.starts = make(map[string][]leavingStart)
	}
	others := slices.DeleteFunc(slices.Clone(l.starts[start.ID]), func(s leavingStart) bool { return s.born == start.Born })
	next.starts[start.ID] = append(others, leavingStart{born: start.Born, refutable: start.Refutable})
	return next, true
}

// Len returns the number of engines with an announcement.
func (l Leaving) Len() int { return len(l.starts) }

// Registered returns the announcements of engines in the set.
func (l Leaving) Registered(engines *EngineSet) []LeavingStart {
	var out []LeavingStart
	for id, starts := range l.starts {
		e, ok := engines.ByID[id]
		if !ok || !l.Has(e) {
			continue
		}
		final := slices.ContainsFunc(starts, func(s leavingStart) bool { return s.is(e.Born) && !s.refutable })
		out = append(out, LeavingStart{ID: id, Born: e.Born, Refutable: !final})
	}
	return out
}

// SharedLeaving returns the announcements that other routers need at now: those of engines in the set,
// and for a while after a return of the store or the start of this router also the recorded ends of
// engines that are not. The store may list an earlier start of such an engine, which a router that
// starts later would take for one in service.
func (s *Snapshot) SharedLeaving(now time.Duration) []LeavingStart {
	out := s.Leaving.Registered(s.Engines)
	if now-s.EnginesEraSince >= leavingRetention {
		return out
	}
	for id, starts := range s.Leaving.starts {
		if _, registered := s.Engines.ByID[id]; registered {
			continue
		}
		for _, l := range starts {
			if l.refutable || s.FollowedReturn {
				out = append(out, LeavingStart{ID: id, Born: l.born, Refutable: true})
			}
		}
	}
	return out
}

// rewriteTime is the time after a return of the store from an older copy within which the engines
// write again what it has lost. Until then an entry may be an earlier one that is written again
// before the one that followed it.
const rewriteTime = 10 * time.Second

// refutes reports whether an entry shows that the engine is in service although an earlier era
// recorded the end of its start: the engine has written the entry in this era, and nothing that it
// lost has followed. After leavingRetention, the entry of an engine that has left would be gone.
func (s *Snapshot) refutes(e Engine, now time.Duration) bool {
	sinceReturn := now - s.EnginesEraSince
	if e.Draining || sinceReturn < rewriteTime {
		return false
	}
	_, doubtful := s.Engines.Doubtful[e.ID]
	return !doubtful && (e.Revision > s.Engines.First || sinceReturn >= leavingRetention)
}

// review returns the set as of now: starts that were unknown take that of the registered engine,
// those that have not been registered for leavingRetention are dropped, and so are those that an
// entry refutes. changed is false if the set is the same.
func (l Leaving) review(s *Snapshot, now time.Duration) (out Leaving, changed bool) {
	next := make(map[string][]leavingStart, len(l.starts))
	for id, starts := range l.starts {
		e, registered := s.Engines.ByID[id]
		for _, start := range starts {
			reviewed, keep := start.review(e, registered, now)
			if start.refutable && registered && start.is(e.Born) && s.refutes(e, now) {
				keep = false
			}
			changed = changed || !keep || reviewed != start
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

// recordedLeaving returns the starts that the set records as draining or removed. A copy of the
// store from before may list them as in service.
func (s *EngineSet) recordedLeaving() []LeavingStart {
	var out []LeavingStart
	for id, e := range s.ByID {
		if e.Draining {
			out = append(out, LeavingStart{ID: id, Born: e.Born, Refutable: e.Born == 0})
		}
	}
	for _, start := range s.ended {
		if e, registered := s.ByID[start.ID]; !registered || !(leavingStart{born: start.Born}).is(e.Born) {
			out = append(out, start)
		}
	}
	return out
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

// outdatedStarts returns the starts in a list for which a later start under the same ID is known.
func (s *Snapshot) outdatedStarts(listed []Engine) []LeavingStart {
	latest := make(map[string]int64)
	for id, e := range s.Engines.ByID {
		latest[id] = e.Born
	}
	for id, starts := range s.Leaving.starts {
		for _, l := range starts {
			latest[id] = max(latest[id], l.born)
		}
	}
	for _, start := range s.Engines.ended {
		latest[start.ID] = max(latest[start.ID], start.Born)
	}
	var out []LeavingStart
	for _, e := range listed {
		if e.precedes(latest[e.ID]) {
			out = append(out, LeavingStart{ID: e.ID, Born: e.Born, Refutable: true})
		}
	}
	return out
}

// withOutdated returns the set of announcements with the starts of entries that precede another start
// whose end an earlier era recorded, unless the entry was written after that.
func (s *Snapshot) withOutdated(now time.Duration) Leaving {
	next := s.Leaving
	for id, starts := range s.Leaving.starts {
		e, registered := s.Engines.ByID[id]
		precedes := slices.ContainsFunc(starts, func(l leavingStart) bool { return l.refutable && e.precedes(l.born) })
		if registered && precedes && !s.refutes(e, now) {
			next, _ = next.Add(LeavingStart{ID: id, Born: e.Born, Refutable: true})
		}
	}
	return next
}

// WithLeaving returns the snapshot after announcements of engines at now, and those that are new.
func (s *Snapshot) WithLeaving(starts []LeavingStart, now time.Duration) (*Snapshot, []LeavingStart) {
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
	next.Leaving = next.withOutdated(now)
	return &next, added
}

// NeedsLeaving reports whether the announcement is neither known nor refuted by the engine's entry.
func (s *Snapshot) NeedsLeaving(start LeavingStart, now time.Duration) bool {
	known := slices.ContainsFunc(s.Leaving.starts[start.ID], func(l leavingStart) bool {
		return l.is(start.Born) && (start.Refutable || !l.refutable)
	})
	if known {
		return false
	}
	e, registered := s.Engines.ByID[start.ID]
	return !start.Refutable || !registered || !leavingStart{born: start.Born}.is(e.Born) || !s.refutes(e, now)
}

// ReviewLeaving returns the snapshot without announcements that are too old or refuted; see
// leavingRetention.
func (s *Snapshot) ReviewLeaving(now time.Duration) *Snapshot {
	leaving, changed := s.Leaving.review(s, now)
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
