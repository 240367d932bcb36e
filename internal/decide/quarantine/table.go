package quarantine

import (
	"cmp"
	"time"
)

// Change is a change of a suspect, for the log.
type Change struct {
	Entry Entry
	Kind  ChangeKind
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	// Suspected means that requests with a part are sent to one engine only.
	Suspected   ChangeKind = "suspected"
	Quarantined ChangeKind = "quarantined"
	Lapsed      ChangeKind = "lapsed"
	Cleared     ChangeKind = "cleared"
)

// Table holds the suspects. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	entries map[Key]*row
	// ends holds the ends under any suspect, by engine.
	ends map[EngineStart]End
	// quarantined indexes the suspects in quarantine; nil if it must be determined anew.
	quarantined *quarantineIndex
	// likely holds, by engine, the suspects that are likely to have ended it; nil if it must be determined
	// anew.
	likely map[EngineStart][]*row
	// now is the time of the last change or of Advance.
	now time.Duration
	// revision is the revision of the last change that other routers need to know, and viewRevision that
	// of the last change of a status.
	revision, viewRevision uint64
}

// row is an entry with the local history of its changes.
type row struct {
	Entry
	// revision is that of the last change. source is the router that reported the entry in its
	// current state, or empty if no single router did.
	revision uint64
	source   string
	// open is the number of ends that no answer refutes, and verdict what was concluded about a part.
	open    int
	verdict verdict
	// status is that by the last judgement, and judged is set if nothing can have changed it since.
	status Status
	judged bool
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: make(map[Key]*row), ends: make(map[EngineStart]End)}
}

// Revision returns the revision of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// ViewRevision returns the revision of the last change that a View shows.
func (t *Table) ViewRevision() uint64 { return t.viewRevision }

// Entries returns all entries, without those that were cleared and the parts of which answers have
// refuted all ends.
func (t *Table) Entries() []Entry {
	var out []Entry
	for k, r := range t.entries {
		if len(r.Ends) > 0 && (!k.IsPart() || r.Quarantined || r.Lapsed > 0 || r.open > 0) {
			out = append(out, r.Entry)
		}
	}
	return out
}

// ChangedSince returns the entries, cleared ones included, that changed after a revision, except
// those that are as the router named by except reported them.
func (t *Table) ChangedSince(revision uint64, except string) []Entry {
	var out []Entry
	for _, r := range t.entries {
		if r.revision > revision && (except == "" || r.source != except) {
			out = append(out, r.Entry)
		}
	}
	return out
}

// OwnSince returns the entries that changed after a revision and that no other router reported in
// their current state.
func (t *Table) OwnSince(revision uint64) []Entry {
	var out []Entry
	for _, r := range t.entries {
		if r.revision > revision && r.source == "" {
			out = append(out, r.Entry)
		}
	}
	return out
}

// Cut is a request that an engine was executing when it ended.
type Cut struct {
	Request Suspect
	// Content is the Hash of the request's content, and CompletedAt when the newest answer to a request
	// with it began that the router knows to be complete; zero for none.
	Content     uint64
	CompletedAt time.Duration
	// Parts holds the parts of its prompt that may crash engines whatever else the request holds.
	Parts []CutPart
	// Answered is for how long the engine had answered the request, Exposure for how long it had had it.
	Answered, Exposure time.Duration
}

// CutPart is a part of the prompt of a request that was cut.
type CutPart struct {
	Part
	// CompletedAt is when the newest answer began that the router knows to be complete; zero for none.
	CompletedAt time.Duration
}

// RecordEnd records that an engine ended at a time while it executed requests.
func (t *Table) RecordEnd(end End, cuts []Cut, now time.Duration) []Change {
	byKey := make(map[Key]*Entry)
	var entries []*Entry
	add := func(s Suspect, end End) *Entry {
		e := byKey[s.Key()]
		if e == nil {
			e = &Entry{Suspect: s, ChangedAt: now}
			if r := t.entries[s.Key()]; r != nil {
				e.Generation = r.Generation
			}
			byKey[s.Key()] = e
			entries = append(entries, e)
		}
		e.mergeAccount(s.Account)
		e.addEnd(end)
		return e
	}
	for _, c := range cuts {
		own := end
		own.Answered, own.Exposure = c.Answered, c.Exposure
		add(c.Request, own).prove(c.CompletedAt, c.CompletedAt)
		own.Requests = []uint64{c.Request.hash()}
		for _, p := range c.Parts {
			add(Suspect{Part: p.Part, Account: c.Request.Account, Route: c.Request.Route}, own).prove(p.CompletedAt, p.CompletedAt)
		}
	}
	out := make([]Entry, len(entries))
	for i, e := range entries {
		out[i] = *e
	}
	return t.Merge(out, "", now)
}

// Merge merges entries of another router, named by source.
func (t *Table) Merge(entries []Entry, source string, now time.Duration) []Change {
	t.now = max(t.now, now)
	var out []Change
	for _, e := range entries {
		if now-e.ChangedAt > t.lifetime(&e) {
			continue
		}
		if change, ok := t.mergeOne(e, source, now); ok {
			out = append(out, change)
		}
	}
	out = append(out, t.judge()...)
	t.evict()
	return out
}

// mergeOne merges an entry, and returns a change if the suspect is in quarantine since then.
func (t *Table) mergeOne(e Entry, source string, now time.Duration) (Change, bool) {
	r := t.entries[e.Key()]
	if r == nil {
		r = &row{Entry: Entry{Suspect: e.Suspect}}
		t.entries[e.Key()] = r
	}
	before := r.Quarantined
	if !r.merge(e) {
		return Change{}, false
	}
	for _, end := range e.Ends {
		if _, known := t.ends[end.Start()]; !known {
			t.ends[end.Start()] = end
		}
	}
	r.acquit(now)
	r.source = ""
	if sameState(r.Entry, e) {
		r.source = source
	}
	if !r.Key().IsPart() && !r.Quarantined && len(t.requestEnds(&r.Entry)) >= t.limits.ChanceEnds+int(r.Lapsed) {
		r.quarantine(now)
	}
	t.touch(r)
	return Change{Entry: r.Entry, Kind: Quarantined}, r.Quarantined && !before
}

// quarantine begins the quarantine of a suspect.
func (r *row) quarantine(now time.Duration) {
	r.Quarantined, r.QuarantinedAt, r.ChangedAt, r.source = true, now, now, ""
}

// judge brings the statuses up to date after changes, and returns the parts that are suspected or in
// quarantine since then.
func (t *Table) judge() []Change {
	t.likely = nil
	out := t.quarantineParts()
	for _, r := range t.entries {
		if r.judged {
			continue
		}
		before := r.status
		r.status, r.judged = t.statusOf(r), !t.undecided(r)
		if !r.status.equal(before) {
			t.viewRevision++
		}
		if r.status.Suspected && !before.Suspected {
			out = append(out, Change{Entry: r.Entry, Kind: Suspected})
		}
	}
	return out
}

// undecided reports whether the status of a suspect may change with time, or with what becomes of others.
func (t *Table) undecided(r *row) bool {
	if r.Quarantined {
		return r.Key().IsPart()
	}
	return r.open >= min(t.limits.PartSuspectEnds, t.limits.AccountEnds)
}

// quarantineParts puts the parts in quarantine that are to blame, and returns them. Each explains ends
// that then no longer count against the others, so that the likeliest comes first: one that was not
// answered lately, then the one under which most engines ended.
func (t *Table) quarantineParts() []Change {
	var out []Change
	for {
		var best *row
		for _, r := range t.entries {
			if !r.Key().IsPart() || r.Quarantined || r.judged {
				continue
			}
			if r.verdict = t.judgePart(r, t.now); r.verdict != guilty {
				continue
			}
			if best == nil || r.likelierThan(best) {
				best = r
			}
		}
		if best == nil {
			return out
		}
		best.quarantine(t.now)
		t.touch(best)
		out = append(out, Change{Entry: best.Entry, Kind: Quarantined})
	}
}

// likelierThan orders parts of which each may be to blame.
func (r *row) likelierThan(o *row) bool {
	late := func(r *row) bool { return r.answeredLately() }
	if late(r) != late(o) {
		return late(o)
	}
	return cmp.Or(cmp.Compare(r.open, o.open), o.Key().Compare(r.Key())) > 0
}

// sameState reports whether an entry equals another one that was merged into it.
func sameState(merged, e Entry) bool {
	return merged.Generation == e.Generation && len(merged.Ends) == len(e.Ends) && merged.Lapsed == e.Lapsed && merged.Quarantined == e.Quarantined &&
		merged.Account == e.Account && merged.OutlivedAt == e.OutlivedAt && merged.CompletedAt == e.CompletedAt
}

// touch gives a row the next revision.
func (t *Table) touch(r *row) {
	t.revision++
	t.viewRevision++
	r.revision = t.revision
	r.open = r.countOpen()
	r.judged = false
	if r.Quarantined || t.quarantined.contains(r) {
		t.forgetQuarantined()
	}
}

// forgetQuarantined notes that suspects have entered or left quarantine, by which all others are judged.
func (t *Table) forgetQuarantined() {
	t.quarantined = nil
	for _, r := range t.entries {
		r.judged = false
	}
}

// Clear discards what is held against a suspect, because the request was completed or at an
// operator's order; with a part in quarantine also what is held against those that can't be told apart
// from it. It returns false if nothing is.
func (t *Table) Clear(k Key, now time.Duration) (Change, bool) {
	t.now = max(t.now, now)
	r := t.entries[k]
	if r == nil || len(r.Ends) == 0 {
		return Change{}, false
	}
	before := r.Entry
	with := r.status.With
	t.clearRow(r, now)
	for _, p := range with {
		if other := t.entries[Key{Part: p}]; other != nil {
			t.clearRow(other, now)
		}
	}
	t.judge()
	return Change{Entry: before, Kind: Cleared}, true
}

func (t *Table) clearRow(r *row, now time.Duration) {
	r.clear(now)
	r.source = ""
	t.touch(r)
}

// acquit clears a part whose quarantine, or a lapsed one, answers have refuted.
func (r *row) acquit(now time.Duration) bool {
	if !r.Key().IsPart() || !r.Quarantined && r.Lapsed == 0 || r.countOpen() > 0 {
		return false
	}
	r.clear(now)
	return true
}

// Prove records an answer that began at a time and has gone on for longer than Outlives; complete means
// that it has ended as it should. The answer refutes earlier ends of engines under the suspects. A part
// in quarantine, of which only single requests are tried, is cleared.
func (t *Table) Prove(suspects []Key, began time.Duration, complete bool, now time.Duration) []Change {
	t.now = max(t.now, now)
	completed := time.Duration(0)
	if complete {
		completed = began
	}
	var out []Change
	changed := false
	for _, k := range suspects {
		r := t.entries[k]
		if r == nil || len(r.Ends) == 0 || !r.prove(began, completed) {
			continue
		}
		before := r.Entry
		if r.acquit(now) {
			out = append(out, Change{Entry: before, Kind: Cleared})
		}
		r.source = ""
		t.touch(r)
		changed = true
	}
	if changed {
		out = append(out, t.judge()...)
	}
	return out
}

// Advance decides on the requests that were held, ends the quarantines that have lapsed and drops
// old entries. A request whose quarantine lapsed is quarantined again after one more engine has
// ended under it.
func (t *Table) Advance(now time.Duration) []Change {
	t.now = max(t.now, now)
	var out []Change
	for k, r := range t.entries {
		if kind, changed := t.advance(r, now); changed {
			r.source = ""
			t.touch(r)
			out = append(out, Change{Entry: r.Entry, Kind: kind})
		}
		if now-r.ChangedAt > t.lifetime(&r.Entry) {
			delete(t.entries, k)
			t.dropped(r)
		}
	}
	for id, end := range t.ends {
		if now-end.At > t.limits.Evidence {
			delete(t.ends, id)
		}
	}
	return append(out, t.judge()...)
}

// dropped notes that a row was dropped.
func (t *Table) dropped(r *row) {
	t.viewRevision++
	if r.Quarantined {
		t.forgetQuarantined()
	}
}

func (t *Table) advance(r *row, now time.Duration) (ChangeKind, bool) {
	if r.Quarantined {
		if now-r.QuarantinedAt < t.quarantineTime(r.Lapsed) {
			return "", false
		}
		r.Quarantined, r.ChangedAt = false, now
		r.Lapsed++
		return Lapsed, true
	}
	if r.Key().IsPart() {
		return "", false
	}
	decision := t.decisionAt(&r.Entry)
	if decision == 0 || now < decision || !t.shouldQuarantine(&r.Entry) {
		return "", false
	}
	r.quarantine(now)
	return Quarantined, true
}

// quarantineTime returns the duration of a quarantine after a number of lapsed ones.
func (t *Table) quarantineTime(lapsed uint32) time.Duration {
	out := t.limits.Quarantine
	for range min(lapsed, 32) {
		out = min(2*out, t.limits.MaxQuarantine)
	}
	return out
}
