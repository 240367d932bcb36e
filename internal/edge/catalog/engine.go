package catalog

import (
	"slices"
	"strings"
	"time"
)

// Engine is one engine as it registered itself.
type Engine struct {
	// ID names the engine. An engine may start again under the one that it had; it then
	// knows nothing of before.
	ID      string
	Service string
	// Address is "ip:port". It may belong to another engine later.
	Address string
	Site    string
	// Slots is how many requests it executes at once; zero if it doesn't say.
	Slots int
	// Draining engines must get no new request.
	Draining bool
	// ColdFor is how much longer it is slow after its start, as registered.
	ColdFor time.Duration
	// Born is the time of the engine's start, in Unix milliseconds by its own clock, zero
	// if it doesn't say, and Orders how many orders it has taken since.
	Born, Orders int64
	// Revision is the store's version of the entry. It orders two views of it.
	Revision uint64
}

// RestartOf says whether this is the engine after another start than the given one of the
// same ID.
func (e Engine) RestartOf(last Engine) bool {
	return e.Born != last.Born || e.Orders < last.Orders
}

// Removal is the end of an engine's entry.
type Removal struct {
	ID       string
	Revision uint64
}

// EngineUpdate is what a reader of the store, or another router, says about
// the engines: all of them, or what changed after a revision.
type EngineUpdate struct {
	// Full means that engines which are not in Present have no entry.
	Full bool
	// Since and Upto are the store's versions between which the changes lie.
	// Since has no meaning with Full.
	Since, Upto uint64
	Present     []Engine
	Removed     []Removal
	// Foreign are entries that are no engine's: somebody else has written them. An engine
	// that had its entry there has none any more.
	Foreign []Removal
}

// EngineSet is an immutable set of engines as of one version of the store.
type EngineSet struct {
	Upto uint64
	// ByID holds the engines with an entry, and those in doubt.
	ByID map[string]Engine
	// Doubtful engines lost their entry while the store could not be trusted
	// to hold it; the value is the boot time until which they keep serving.
	Doubtful map[string]time.Duration
	// Removed are recent removals, oldest first, for routers that ask what
	// changed.
	Removed []Removal
	// Floor is the version up to which Removed may be incomplete; Since returns the whole set for
	// older versions. A full update sets it to its own version, because it does not list removals
	// of engines that this set never contained.
	Floor uint64

	byService map[string][]Engine
}

// maxRemovals bounds the remembered removals. An asker whose version is older
// gets the whole set; a fleet of 850 engines that restart one after the other
// produces this many in over an hour.
const maxRemovals = 256

// NewEngineSet returns a set without engines, older than any store's version.
func NewEngineSet() *EngineSet {
	return &EngineSet{ByID: map[string]Engine{}, Doubtful: map[string]time.Duration{}}
}

// Of returns the engines of a service, sorted by ID. The slice must not be
// modified.
func (s *EngineSet) Of(service string) []Engine { return s.byService[service] }

// Covers says whether the update leads on from this set without a gap.
func (s *EngineSet) Covers(u EngineUpdate) bool {
	return u.Full || u.Since <= s.Upto
}

// noDoubt is the time until which an engine is in doubt that is not.
const noDoubt = 0

// Apply returns the set after the update, and whether it differs in anything
// but Upto. An update that is older than the set, or would leave a gap, changes
// nothing. Engines that lose their entry keep serving until doubtUntil, if that
// is not zero.
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

// Expire returns the set without the engines whose doubt has ended at now.
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

// Since returns what changed after a version, or the whole set where that is
// not known any more.
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
	have, known := s.ByID[e.ID]
	if known && have.Revision >= e.Revision && s.Doubtful[e.ID] == 0 {
		return false
	}
	if !known && s.removedAfter(e) {
		return false
	}
	s.ByID[e.ID] = e
	delete(s.Doubtful, e.ID)
	return true
}

// removedAfter says whether a removal of the engine is newer than e.
func (s *EngineSet) removedAfter(e Engine) bool {
	for _, r := range s.Removed {
		if r.ID == e.ID && r.Revision > e.Revision {
			return true
		}
	}
	return false
}

func (s *EngineSet) remove(r Removal, doubtUntil time.Duration) bool {
	have, known := s.ByID[r.ID]
	if known && have.Revision > r.Revision {
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
	// An engine that announced its leave has left: its missing entry is no
	// surprise that a store's outage could explain.
	if doubtUntil > 0 && !have.Draining {
		s.Doubtful[r.ID] = doubtUntil
		return true
	}
	delete(s.ByID, r.ID)
	delete(s.Doubtful, r.ID)
	return true
}

// trim forgets the oldest removals.
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
