package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// clearedLifetime is how long a cleared suspect is remembered. Older reports of the ends that it
// was cleared of arrive within seconds.
const clearedLifetime = time.Minute

// lifetime returns how long an entry is kept after its last change. After a quarantine it is kept
// for as long as the next one would last, so that a request that returns later still costs only one
// engine.
func (t *Table) lifetime(e *Entry) time.Duration {
	switch {
	case len(e.Ends) == 0:
		return clearedLifetime
	case e.Quarantined || e.Lapsed > 0:
		return max(t.limits.Evidence, t.quarantineTime(e.Lapsed)+clearedLifetime)
	}
	return t.limits.Evidence
}

// evict drops the entries that matter least while there are too many: suspects in quarantine are
// kept longest, then those under which most engines ended, then the newest.
func (t *Table) evict() {
	requests, parts := 0, 0
	for k := range t.entries {
		if k.IsPart() {
			parts++
		} else {
			requests++
		}
	}
	t.evictKind(false, requests, t.limits.Entries)
	t.evictKind(true, parts, t.limits.PartEntries)
}

// evictShare is the share of the entries of a kind that are dropped at once: ordering them all takes long.
const evictShare = 8

func (t *Table) evictKind(parts bool, count, limit int) {
	if count <= limit {
		return
	}
	excess := count - limit + limit/evictShare
	var rows []*row
	for k, r := range t.entries {
		if k.IsPart() == parts {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *row) int {
		return cmp.Or(
			compareBools(a.Quarantined, b.Quarantined),
			cmp.Compare(a.open, b.open),
			cmp.Compare(a.ChangedAt, b.ChangedAt),
			a.Key().Compare(b.Key()))
	})
	for _, r := range rows[:excess] {
		delete(t.entries, r.Key())
		t.dropped(r)
	}
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
