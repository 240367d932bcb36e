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
	// Born is the time of the engine's start by its own clock, in Unix milliseconds, zero if not
	// reported. Orders is the number of orders executed since.
	Born, Orders int64
	// Revision is the store's version of the entry. Of two versions of an entry, the one with the
	// higher revision is newer.
	Revision uint64
}

// RestartOf reports whether the engine was restarted since last, which is an earlier version of the
// entry with the same ID.
func (e Engine) RestartOf(last Engine) bool {
	return e.Born != last.Born || e.Orders < last.Orders
}

// Removal is the removal of an engine's entry.
type Removal struct {
	ID       string
	Revision uint64
}

// EngineUpdate is a report of engines from a reader of the store or from another router: all of
// them, or the changes after a revision.
type EngineUpdate struct {
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
	Upto uint64
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

// Covers reports whether the update follows this set without a gap.
func (s *EngineSet) Covers(u EngineUpdate) bool {
	return u.Full || u.Since <= s.Upto
}

// noDoubt is the doubtUntil argument that removes engines at once.
const noDoubt = 0

// Apply returns the set after the update, and whether it differs in anything but Upto. An update
// that is older than the set, or would leave a gap, is ignored. Engines that lose their entry stay
// in service as doubtful until doubtUntil on the boot clock, or are removed at once if that is
// zero.
func (s *EngineSet) Apply(u EngineUpdate, doubtUntil time.Duration) (*EngineSet, bool) {
	if u.Upto < s.Upto || !s.Covers(u) {
		return s, false
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
			delete(next.Doubtful, id)
			delete(next.ByID, id)
		}
	}
	next.index()
	return next, true
}

// Since returns the changes after a version, or the full set if these are no longer known.
func (s *EngineSet) Since(version uint64) EngineUpdate {
	u := EngineUpdate{Since: version, Upto: s.Upto, Full: version < s.Floor || version == 0}
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
		Upto:     upto,
		Floor:    s.Floor,
		ByID:     make(map[string]Engine, len(s.ByID)),
		Doubtful: make(map[string]time.Duration, len(s.Doubtful)),
		Removed:  slices.Clone(s.Removed),
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
		return false
	}
	// A draining engine is expected to lose its entry, so it is removed even after a store outage.
	if doubtUntil > 0 && !previous.Draining {
		s.Doubtful[r.ID] = doubtUntil
		return true
	}
	delete(s.ByID, r.ID)
	delete(s.Doubtful, r.ID)
	return true
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
