package catalog

import (
	"slices"
	"strings"
	"time"
)

// Engine is an engine as registered in the store.
type Engine struct {
	// ID identifies the engine. An engine may restart under the same ID, without any of its earlier
	// state.
	ID      string
	Service string
	// Address is "ip:port". It may later be assigned to another engine.
	Address string
	Site    string
	// Slots is the number of requests that the engine executes concurrently; zero if not reported.
	Slots int
	// Draining engines must get no new requests.
	Draining bool
	// ColdFor is the remaining time for which the engine is cold after its start, as registered.
	ColdFor time.Duration
	// Version is the version of the engine's software, which may differ between starts under the same
	// ID. Versions are equal or not and have no order. It is empty if an earlier release of the router,
	// which does not pass it on, supplied the entry.
	Version string
	// Born is the time of the engine's start by its own clock, in Unix milliseconds, zero if not
	// reported. Orders is the number of orders executed since.
	Born, Orders int64
	// Revision is the store's version of the entry. Of two versions of an entry from the same era,
	// the one with the higher revision is newer.
	Revision uint64

	// era is the era of Revision.
	era Era
}

// RestartOf reports whether the engine was restarted since last, which is an earlier version of the
// entry with the same ID. The number of orders does not count across eras: an older copy has a lower
// one of the same start.
func (e Engine) RestartOf(last Engine) bool {
	return e.Born != last.Born || e.era == last.era && e.Orders < last.Orders
}

// ChangedSince reports whether the entry was written after last, which is an earlier version of the
// entry with the same ID. In a later era, where revisions do not compare, another start or another
// remaining cold time indicates that.
func (e Engine) ChangedSince(last Engine) bool {
	if e.era == last.era {
		return e.Revision > last.Revision
	}
	return e.era.After(last.era) && (e.RestartOf(last) || e.ColdFor != last.ColdFor)
}

// precedes reports whether the engine has started before another start under the same ID. An entry
// that does is outdated.
func (e Engine) precedes(born int64) bool { return e.Born > 0 && e.Born < born }

// StartedAfter reports whether this is a later start under the ID of o than the one that o is.
func (e Engine) StartedAfter(o Engine) bool { return o.precedes(e.Born) }

// RegisteredAfter reports whether the entry of another engine was written after o. Across eras, the
// starts of the engines decide, as far as both are reported.
func (e Engine) RegisteredAfter(o Engine) bool {
	if e.era == o.era {
		return e.Revision > o.Revision
	}
	return o.Born > 0 && e.Born > o.Born
}

// Removal is the removal of an engine's entry.
type Removal struct {
	ID       string
	Revision uint64
}

// EngineUpdate is a report of engines from a reader of the store or from another router: all of
// them, or the changes after a revision.
type EngineUpdate struct {
	// Era is the era of all revisions in the update. Routers of earlier releases send none.
	Era Era
	// First is EngineSet.First of a full update; zero if it is not known.
	First uint64
	// Full is set if engines that are not in Present have no entry.
	Full bool
	// The changes are later than the store's version Since, up to and including Upto. Since has no
	// meaning if Full is set.
	Since, Upto uint64
	Present     []Engine
	Removed     []Removal
	// Foreign lists entries that were overwritten with something that is not an engine. If such an
	// entry belonged to an engine, that engine is removed at once, without becoming doubtful.
	Foreign []Removal
}

// EngineSet is an immutable set of engines at one version of the store.
type EngineSet struct {
	// Era is the era of all revisions in the set.
	Era  Era
	Upto uint64
	// First is the version of the first full list that was read in this era. Entries with a higher
	// revision were written after the store began the era; others may be from the copy from which
	// it began.
	First uint64
	// ByID holds the engines with an entry and the doubtful ones.
	ByID map[string]Engine
	// Doubtful holds engines whose entry was removed when an outage of the store may have caused it
	// to expire. The value is the reading of the boot clock until which they stay in service.
	Doubtful map[string]time.Duration
	// Removed lists recent removals, oldest first, for routers that query the changes since a
	// version.
	Removed []Removal
	// Floor is the version up to which Removed may be incomplete; Since returns the full set for
	// older versions. A full update sets it to its own version, because it does not list removals
	// of engines that this set never contained.
	Floor uint64

	// ended holds the starts whose entries were removed last, oldest first, also those of earlier
	// eras.
	ended     []LeavingStart
	byService map[string][]Engine
}

// maxRemovals bounds the removals that are retained. Routers that query changes since an older
// version receive the full set. In a fleet of 850 engines that restart one after the other, this
// many removals take more than an hour.
const maxRemovals = 256

// NewEngineSet returns an empty set that is older than any version of the store.
func NewEngineSet() *EngineSet {
	return &EngineSet{ByID: map[string]Engine{}, Doubtful: map[string]time.Duration{}}
}

// ForService returns the engines of a service, sorted by ID. The caller must not modify the slice.
func (s *EngineSet) ForService(service string) []Engine { return s.byService[service] }

// Versions returns how many engines of each service run each version, by service and version.
func (s *EngineSet) Versions() map[string]map[string]int {
	out := make(map[string]map[string]int, len(s.byService))
	for service, engines := range s.byService {
		out[service] = make(map[string]int)
		for _, e := range engines {
			out[service][e.Version]++
		}
	}
	return out
}

// WithoutVersion returns the revisions of the entries that state no version, by engine. They came from a
// router of an earlier release, which does not pass the versions on, or the engine states none.
func (s *EngineSet) WithoutVersion() map[string]uint64 {
	out := make(map[string]uint64)
	for id, e := range s.ByID {
		if e.Version == "" {
			out[id] = e.Revision
		}
	}
	return out
}

// WithVersions returns the set with the versions that it lacks, as far as the entries are the same.
func (s *EngineSet) WithVersions(entries []Engine) *EngineSet {
	next := s.clone(s.Upto)
	for _, e := range entries {
		known := next.ByID[e.ID]
		if known.ID == e.ID && known.Version == "" && known.Revision == e.Revision && known.Born == e.Born {
			known.Version = e.Version
			next.ByID[e.ID] = known
		}
	}
	next.index()
	return next
}

// Accepts reports whether the update is neither older than this set nor leaves a gap.
func (s *EngineSet) Accepts(u EngineUpdate) bool {
	switch u.Era.Compare(s.Era) {
	case -1:
		return false
	case 1:
		return u.Full
	}
	return u.Upto >= s.Upto && (u.Full || u.Since <= s.Upto)
}

// Contradicts reports whether a full update cannot be a later state of the store than this set: it
// is older, or has an entry that this set would contain if both were of the same era.
func (s *EngineSet) Contradicts(u EngineUpdate) bool {
	if u.Upto < s.Upto {
		return true
	}
	return slices.ContainsFunc(u.Present, func(e Engine) bool {
		return e.Revision <= s.Upto && s.ByID[e.ID].Revision != e.Revision
	})
}

// noDoubt is the doubtUntil argument that removes engines at once.
const noDoubt = 0

// Apply returns the set after the update, and whether it differs in anything but Upto. An update
// that is older than the set, or would leave a gap, is ignored. Engines that lose their entry stay
// in service as doubtful until doubtUntil on the boot clock, or are removed at once if that is
// zero.
func (s *EngineSet) Apply(u EngineUpdate, doubtUntil time.Duration) (*EngineSet, bool) {
	if !s.Accepts(u) {
		return s, false
	}
	if u.Era != s.Era {
		return s.applyNextEra(u, doubtUntil), true
	}
	if !u.Full && len(u.Present)+len(u.Removed)+len(u.Foreign) == 0 {
		next := *s
		next.Upto = u.Upto
		return &next, false
	}
	next := s.clone(u.Upto)
	changed := false
	present := make(map[string]bool, len(u.Present))
	for _, e := range u.Present {
		present[e.ID] = true
		changed = next.put(e) || changed
	}
	for _, r := range u.Removed {
		changed = next.remove(r, doubtUntil) || changed
	}
	for _, r := range u.Foreign {
		present[r.ID] = true
		changed = next.remove(r, noDoubt) || changed
	}
	if u.Full {
		for id, e := range s.ByID {
			if _, doubted := s.Doubtful[id]; !present[id] && !doubted {
				changed = next.remove(Removal{ID: id, Revision: max(u.Upto, e.Revision)}, doubtUntil) || changed
			}
		}
	}
	if u.Full {
		next.Floor = max(next.Floor, u.Upto)
	}
	next.trim()
	next.index()
	return next, changed
}

// applyNextEra returns the set after a full update of a later era. Nothing is compared by revision
// with the set before. Engines that the update lacks, or lists with an earlier start, stay in service
// as doubtful: their entries may be lost until they are written again.
func (s *EngineSet) applyNextEra(u EngineUpdate, doubtUntil time.Duration) *EngineSet {
	next := NewEngineSet()
	next.ended = slices.Clone(s.ended)
	next.Era, next.Upto, next.Floor = u.Era, u.Upto, u.Upto
	next.First = u.First
	if next.First == 0 {
		next.First = u.Upto
	}
	for _, e := range u.Present {
		if !e.precedes(s.ByID[e.ID].Born) {
			next.put(e)
		}
	}
	foreign := func(id string) bool {
		return slices.ContainsFunc(u.Foreign, func(r Removal) bool { return r.ID == id })
	}
	for id, e := range s.ByID {
		_, listed := next.ByID[id]
		until, doubtful := s.Doubtful[id]
		if !doubtful {
			until = doubtUntil
		}
		if listed {
			continue
		}
		if until == 0 || e.Draining || foreign(id) {
			next.recordEnd(e)
			continue
		}
		// Any entry of the new era replaces it.
		e.Revision = 0
		next.ByID[id] = e
		next.Doubtful[id] = until
	}
	next.index()
	return next
}

// Expire returns the set without the doubtful engines whose time in service has ended at now on the
// boot clock, and whether there were any.
func (s *EngineSet) Expire(now time.Duration) (*EngineSet, bool) {
	expired := false
	for _, until := range s.Doubtful {
		expired = expired || now >= until
	}
	if !expired {
		return s, false
	}
	next := s.clone(s.Upto)
	for id, until := range s.Doubtful {
		if now >= until {
			next.end(next.ByID[id])
		}
	}
	next.index()
	return next, true
}

// SinceEra returns the changes after a version of an era, or the full set if these are no longer
// known. The changes are empty if the era is later than that of the set.
func (s *EngineSet) SinceEra(era Era, version uint64) EngineUpdate {
	switch s.Era.Compare(era) {
	case -1:
		return EngineUpdate{Era: s.Era, Since: version, Upto: s.Upto}
	case 1:
		return s.Since(0)
	}
	return s.Since(version)
}

// Since returns the changes after a version, or the full set if these are no longer known.
func (s *EngineSet) Since(version uint64) EngineUpdate {
	u := EngineUpdate{Era: s.Era, First: s.First, Since: version, Upto: s.Upto, Full: version < s.Floor || version == 0}
	for id, e := range s.ByID {
		if _, doubted := s.Doubtful[id]; !doubted && (u.Full || e.Revision > version) {
			u.Present = append(u.Present, e)
		}
	}
	for _, r := range s.Removed {
		if !u.Full && r.Revision > version {
			u.Removed = append(u.Removed, r)
		}
	}
	return u
}

func (s *EngineSet) clone(upto uint64) *EngineSet {
	next := &EngineSet{
		Era:      s.Era,
		Upto:     upto,
		First:    s.First,
		Floor:    s.Floor,
		ByID:     make(map[string]Engine, len(s.ByID)),
		Doubtful: make(map[string]time.Duration, len(s.Doubtful)),
		Removed:  slices.Clone(s.Removed),

		ended: slices.Clone(s.ended),
	}
	for id, e := range s.ByID {
		next.ByID[id] = e
	}
	for id, until := range s.Doubtful {
		next.Doubtful[id] = until
	}
	return next
}

func (s *EngineSet) put(e Engine) bool {
	previous, known := s.ByID[e.ID]
	if known && previous.Revision >= e.Revision && s.Doubtful[e.ID] == 0 {
		return false
	}
	if !known && s.removedAfter(e) {
		return false
	}
	e.era = s.Era
	s.ByID[e.ID] = e
	delete(s.Doubtful, e.ID)
	return true
}

// removedAfter reports whether the set contains a removal of the engine that is newer than e.
func (s *EngineSet) removedAfter(e Engine) bool {
	for _, r := range s.Removed {
		if r.ID == e.ID && r.Revision > e.Revision {
			return true
		}
	}
	return false
}

func (s *EngineSet) remove(r Removal, doubtUntil time.Duration) bool {
	previous, known := s.ByID[r.ID]
	if known && previous.Revision > r.Revision {
		return false
	}
	if !slices.Contains(s.Removed, r) {
		// Recorded even if the engine is not in the set: it may have been added after the set's
		// previous version, and other routers may still hold it. The record also prevents put
		// from adding the engine back from an outdated entry.
		s.Removed = append(s.Removed, r)
	}
	if !known {
		s.recordEnd(Engine{ID: r.ID})
		return false
	}
	// A draining engine is expected to lose its entry, so it is removed even after a store outage.
	if doubtUntil > 0 && !previous.Draining {
		s.Doubtful[r.ID] = doubtUntil
		return true
	}
	s.end(previous)
	return true
}

// end removes an engine and records the end of its start.
func (s *EngineSet) end(e Engine) {
	delete(s.ByID, e.ID)
	delete(s.Doubtful, e.ID)
	s.recordEnd(e)
}

func (s *EngineSet) recordEnd(e Engine) {
	s.ended = append(s.ended, LeavingStart{ID: e.ID, Born: e.Born, Refutable: true})
	s.ended = s.ended[max(0, len(s.ended)-maxRemovals):]
}

// trim sorts the removals and discards the oldest beyond maxRemovals.
func (s *EngineSet) trim() {
	slices.SortStableFunc(s.Removed, func(a, b Removal) int {
		return compareVersions(a.Revision, b.Revision)
	})
	for len(s.Removed) > maxRemovals {
		s.Floor = max(s.Floor, s.Removed[0].Revision)
		s.Removed = s.Removed[1:]
	}
}

func compareVersions(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *EngineSet) index() {
	s.byService = make(map[string][]Engine)
	for _, e := range s.ByID {
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	}
}
