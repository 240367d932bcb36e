package catalog

import (
	"cmp"
	"maps"
	"slices"
)

// Evacuation is an operator's order to send no more requests to the engines of a site, or the end
// of such an order.
type Evacuation struct {
	Site string
	// Active is true while the order is active, and false once it was withdrawn.
	Active bool
	// Revision is the store's version of the change. Of two changes to a site in one era, the one
	// with the higher revision is newer.
	Revision uint64
}

// Revisions of evacuations that an earlier era of the store recorded and the first list of this era
// lacks. They are lower than all that the store assigns after the return from its copy.
const (
	keptRevision    = 1
	expiredRevision = 2
)

// EvacuationUpdate is a report of evacuations from a reader of the store or from another router:
// all of them, or the ones that changed.
type EvacuationUpdate struct {
	// Era is the era of all revisions in the update. Routers of earlier releases send none.
	Era Era
	// Full is set if sites that are not listed as active in Changes are not evacuated as of Upto.
	Full bool
	// Upto is the store's version of a full update.
	Upto    uint64
	Changes []Evacuation
}

// Evacuations is an immutable set of evacuations, including those that ended recently. The zero
// value is an empty set.
type Evacuations struct {
	// era is the era of all revisions in the set.
	era Era
	// revision is the newest revision of all changes.
	revision uint64
	// floor is the store version of the latest full update. A site that is not in bySite was not
	// evacuated at that version.
	floor  uint64
	bySite map[string]Evacuation
}

// maxEndedEvacuations bounds the ended evacuations that are retained. One is needed only until all
// routers have received it.
const maxEndedEvacuations = 256

// Active reports whether the site is evacuated.
func (e Evacuations) Active(site string) bool { return e.bySite[site].Active }

// ForSite returns the newest change to a site, or the zero value if none is known.
func (e Evacuations) ForSite(site string) Evacuation { return e.bySite[site] }

// Sites returns the evacuated sites, sorted.
func (e Evacuations) Sites() []string {
	var out []string
	for site, evacuation := range e.bySite {
		if evacuation.Active {
			out = append(out, site)
		}
	}
	slices.Sort(out)
	return out
}

// Era returns the era of the set.
func (e Evacuations) Era() Era { return e.era }

// Revision returns the newest revision in the set, zero if no change is known.
func (e Evacuations) Revision() uint64 { return e.revision }

// Upto returns the store version up to which the set is current, zero if nothing is known.
func (e Evacuations) Upto() uint64 { return max(e.revision, e.floor) }

// SinceEra is Since for a receiver whose set is of the given era. The result is a full update if the
// era is earlier than that of the set, and empty if it is later.
func (e Evacuations) SinceEra(era Era, version uint64) EvacuationUpdate {
	switch e.era.Compare(era) {
	case -1:
		return EvacuationUpdate{Era: e.era}
	case 1:
		u := e.Since(0)
		u.Era, u.Full, u.Upto = e.era, true, e.Upto()
		return u
	}
	return e.Since(version)
}

// Since returns all known evacuations, including ended ones, if the set is newer than the given
// store version, and an empty update otherwise. If the version is older than floor, the result is a
// full update: evacuations that ended before floor may be missing from the set, and only a full
// update tells the receiver that they ended. The result can be applied to any set.
func (e Evacuations) Since(version uint64) EvacuationUpdate {
	if e.Upto() <= version {
		return EvacuationUpdate{}
	}
	u := EvacuationUpdate{Era: e.era, Changes: slices.Collect(maps.Values(e.bySite))}
	if version < e.floor {
		u.Full, u.Upto = true, e.floor
	}
	slices.SortFunc(u.Changes, func(a, b Evacuation) int { return cmp.Compare(a.Site, b.Site) })
	return u
}

// Apply returns the set after an update, and whether a different set of sites is evacuated. The
// newest change to each site applies, in whatever order updates arrive: routers receive the same
// change by several paths, and a reader may start from an old version.
//
// Updates of an earlier era are ignored, and only a full update enters a later one.
func (e Evacuations) Apply(u EvacuationUpdate) (Evacuations, bool) {
	switch order := u.Era.Compare(e.era); {
	case order > 0 && u.Full:
		return e.applyNextEra(u)
	case order != 0:
		return e, false
	}
	next := Evacuations{era: e.era, revision: e.revision, floor: e.floor, bySite: maps.Clone(e.bySite)}
	if next.bySite == nil {
		next.bySite = make(map[string]Evacuation)
	}
	changed := false
	listed := make(map[string]bool, len(u.Changes))
	for _, change := range u.Changes {
		listed[change.Site] = change.Active
		changed = next.put(change) || changed
	}
	if u.Full {
		for site, previous := range e.bySite {
			if previous.Active && !previous.kept() && !listed[site] {
				changed = next.put(Evacuation{Site: site, Revision: u.Upto}) || changed
			}
		}
		next.floor = max(next.floor, u.Upto)
	}
	next.trim()
	return next, changed
}

// applyNextEra returns the set after a full update of a later era. A site that is evacuated in the
// set before, and not in the update, stays evacuated: the operator may not have written the order
// again yet. The order of the update to evacuate a site applies at once, since nothing tells whether
// it was written since the return.
func (e Evacuations) applyNextEra(u EvacuationUpdate) (Evacuations, bool) {
	next := Evacuations{era: u.Era, floor: u.Upto, bySite: make(map[string]Evacuation)}
	for _, change := range u.Changes {
		next.put(change)
	}
	for site, previous := range e.bySite {
		if _, listed := next.bySite[site]; previous.Active && !listed {
			next.bySite[site] = Evacuation{Site: site, Active: true, Revision: keptRevision}
		}
	}
	return next, !slices.Equal(e.Sites(), next.Sites())
}

// kept reports whether only an earlier era of the store recorded the order.
func (e Evacuation) kept() bool { return e.Active && e.Revision == keptRevision }

// hasKept reports whether the set has orders that only an earlier era recorded.
func (e Evacuations) hasKept() bool {
	for _, evacuation := range e.bySite {
		if evacuation.kept() {
			return true
		}
	}
	return false
}

// withoutKept returns the set in which orders that only an earlier era recorded have ended.
func (e Evacuations) withoutKept() Evacuations {
	next := Evacuations{era: e.era, revision: e.revision, floor: e.floor, bySite: maps.Clone(e.bySite)}
	for site, evacuation := range e.bySite {
		if evacuation.kept() {
			next.bySite[site] = Evacuation{Site: site, Revision: expiredRevision}
		}
	}
	return next
}

// StateChanges returns the changes that start or end the evacuation of a site if the update is
// applied, sorted by site.
func (e Evacuations) StateChanges(u EvacuationUpdate) []Evacuation {
	next, changed := e.Apply(u)
	if !changed {
		return nil
	}
	var out []Evacuation
	for site, change := range next.bySite {
		if change.Active != e.Active(site) {
			out = append(out, change)
		}
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Site, b.Site) })
	return out
}

// put stores a change that is newer than the known one of its site, and reports whether this starts
// or ends an evacuation. It ignores changes without a site.
func (e *Evacuations) put(change Evacuation) bool {
	previous := e.bySite[change.Site]
	if change.Site == "" || change.Revision <= previous.Revision {
		return false
	}
	e.bySite[change.Site] = change
	e.revision = max(e.revision, change.Revision)
	return previous.Active != change.Active
}

// trim discards the oldest ended evacuations beyond maxEndedEvacuations.
func (e *Evacuations) trim() {
	var ended []Evacuation
	for _, evacuation := range e.bySite {
		if !evacuation.Active {
			ended = append(ended, evacuation)
		}
	}
	slices.SortFunc(ended, func(a, b Evacuation) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, oldest := range ended[min(len(ended), maxEndedEvacuations):] {
		delete(e.bySite, oldest.Site)
	}
}
