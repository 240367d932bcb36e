package quarantine

import (
	"slices"
	"time"
)

const (
	// reportTime is the time in which a router learns of the engines that ended at others.
	reportTime = 200 * time.Millisecond
	// decisionMargin is how much longer a request is held: routers decide at intervals, and not all
	// of them at the same moment.
	decisionMargin = 250 * time.Millisecond
	// chanceOthers is the number of other engines that must end at the same time for an end to count
	// as explained by chance.
	chanceOthers = 2
)

// requestEnds returns the ends that count against a request. Those that a part in quarantine explains do
// not, and if the request was answered lately, neither do those that a likelier suspect explains.
func (t *Table) requestEnds(e *Entry) []End {
	return slices.DeleteFunc(e.openEnds(), func(end End) bool {
		if t.now < e.countsAt(end) {
			return true
		}
		by := t.index().explanation(end.Start(), e)
		lately := e.countsAt(end) > end.At
		return by != nil && (by.Key().IsPart() || lately) || lately && t.mayExplain(end, e, likelyEnds)
	})
}

// decisionAt returns when the quarantine of a request is decided, or zero if it is not due.
func (t *Table) decisionAt(e *Entry) time.Duration {
	ends := t.requestEnds(e)
	if e.Quarantined || len(ends) < t.endsNeeded(e) {
		return 0
	}
	last := time.Duration(0)
	for _, end := range ends {
		last = max(last, end.At)
	}
	window := t.limits.ChanceWindow
	if oneSite(ends) {
		window = max(window, t.limits.SiteWindow)
	}
	return last + window + reportTime
}

// oneSite reports whether all engines were in the same site.
func oneSite(ends []End) bool {
	return !slices.ContainsFunc(ends, func(e End) bool { return e.Site != ends[0].Site })
}

// endsNeeded returns the number of ends after which the quarantine of a request is decided.
func (t *Table) endsNeeded(e *Entry) int {
	needed := t.limits.Ends
	if len(e.Ends) >= t.limits.AccountEnds && t.isOffender(e) {
		needed = t.limits.AccountEnds
	}
	return needed + int(e.Lapsed)
}

// partEndsNeeded returns the number of ends after which a part is quarantined.
func (t *Table) partEndsNeeded(e *Entry) int {
	needed := t.limits.PartEnds
	if len(e.Ends) >= t.limits.AccountPartEnds && t.isOffender(e) {
		needed = t.limits.AccountPartEnds
	}
	return needed + int(e.Lapsed)
}

// isOffender reports whether many suspects of the same kind and account are in quarantine.
func (t *Table) isOffender(e *Entry) bool {
	if e.Account == "" || e.Account == AnyAccount {
		return false
	}
	return t.index().offences[offender{e.Account, e.Key().IsPart()}] >= t.limits.AccountQuarantined
}

// shouldQuarantine decides on a request that was held.
func (t *Table) shouldQuarantine(e *Entry) bool {
	ends := t.requestEnds(e)
	return len(ends)-t.endsByChance(e, ends) >= t.endsNeeded(e)
}

// endsByChance returns how many of the ends under a request came while other engines ended without
// it.
func (t *Table) endsByChance(e *Entry, ends []End) int {
	others := t.endsWithout(e)
	inOneSite := oneSite(ends)
	n := 0
	for _, end := range ends {
		near, nearInSite := 0, 0
		for _, other := range others {
			distance := max(other.At-end.At, end.At-other.At)
			if distance <= t.limits.ChanceWindow {
				near++
			}
			if inOneSite && other.Site == end.Site && distance <= t.limits.SiteWindow {
				nearInSite++
			}
		}
		if max(near, nearInSite) >= chanceOthers {
			n++
		}
	}
	return n
}

// endsWithout returns the ends that did not come under a request and that no suspect in quarantine
// explains.
func (t *Table) endsWithout(e *Entry) []End {
	var out []End
	for _, end := range t.ends {
		if !e.endedUnder(end.Start()) && t.index().explanation(end.Start(), e) == nil {
			out = append(out, end)
		}
	}
	return out
}
