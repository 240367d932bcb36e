package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Suspect is a request that an engine was executing when it ended, or a part of its prompt.
type Suspect struct {
	// Fingerprint identifies a request; it is zero for a part.
	Fingerprint Fingerprint
	// Part identifies a part; it is zero for a request.
	Part Part
	// Hint is the Hint of a request's content.
	Hint uint32
	// Account is the client account of the request. For a part it is that of all requests with the part
	// that engines were executing when they ended, or AnyAccount if there were several.
	Account string
	// Route tells operators whose request it is.
	Route string
}

// AnyAccount stands for several accounts.
const AnyAccount = "*"

// Key identifies a suspect.
type Key struct {
	Fingerprint Fingerprint
	Part        Part
}

// Key returns the key of the suspect.
func (s Suspect) Key() Key { return Key{s.Fingerprint, s.Part} }

// String returns the fingerprint or the part.
func (k Key) String() string {
	if k.IsPart() {
		return k.Part.String()
	}
	return k.Fingerprint.String()
}

// IsPart reports whether the key is that of a part.
func (k Key) IsPart() bool { return k.Part != Part{} }

// Compare orders keys: parts before requests.
func (k Key) Compare(o Key) int {
	return cmp.Or(slices.Compare(k.Fingerprint[:], o.Fingerprint[:]), strings.Compare(k.Part.Service, o.Part.Service), strings.Compare(k.Part.ID, o.Part.ID))
}

// EngineStart identifies one start of an engine. An engine may start again under its ID.
type EngineStart struct {
	ID string
	// Born is the time of the start by the engine's own clock, in Unix milliseconds, or zero if it is not
	// known. The engine then has another ID in each start, as far as is known.
	Born int64
}

// Compare orders starts by the ID, and those under one ID by their time.
func (s EngineStart) Compare(o EngineStart) int {
	return cmp.Or(strings.Compare(s.ID, o.ID), cmp.Compare(s.Born, o.Born))
}

// MayBe reports whether two starts may be the same, as far as their times are known.
func (s EngineStart) MayBe(o EngineStart) bool {
	return s.ID == o.ID && (s.Born == o.Born || s.Born == 0 || o.Born == 0)
}

// End is the unexpected end of an engine.
type End struct {
	// Engine is the ID of the engine, and Born the time of the start that ended; see EngineStart.
	Engine string
	Born   int64
	// Site is the site of the engine.
	Site string
	// At is the time, on the boot clock of this VM, at which the end was noticed.
	At time.Duration
	// Peers is the number of engines of the service at that time, this one included; zero if it is not
	// known.
	Peers int
	// Answered is for how long the engine had answered the request, Exposure for how long it had had
	// it. For a part these are the longest answer, and the exposure that goes with it, of the requests
	// with the part.
	Answered, Exposure time.Duration
	// Requests holds hashes of the requests with a part, at most maxEndRequests, in ascending order.
	Requests []uint64
}

// maxEndRequests is the number of requests that are told apart under the end of one engine.
const maxEndRequests = 4

// Start returns the start that ended.
func (e End) Start() EngineStart { return EngineStart{ID: e.Engine, Born: e.Born} }

// addRequests adds hashes of requests, and returns false if they are known.
func (e *End) addRequests(hashes []uint64) (changed bool) {
	for _, h := range hashes {
		i, known := slices.BinarySearch(e.Requests, h)
		if known || i >= maxEndRequests {
			continue
		}
		// The slice is shared with copies of the end.
		e.Requests = slices.Insert(slices.Clone(e.Requests), i, h)
		e.Requests = e.Requests[:min(len(e.Requests), maxEndRequests)]
		changed = true
	}
	return changed
}

// noticeTolerance is how much earlier another router must have noticed an end for that to matter.
const noticeTolerance = 100 * time.Millisecond

// merge adds what another report of the same end says of the suspect, and reports whether others need to
// know. The first notice counts.
func (e *End) merge(o End) (changed bool) {
	if o.At < e.At {
		changed = e.At-o.At > noticeTolerance
		e.At = o.At
	}
	if o.Answered > e.Answered || o.Answered == e.Answered && o.Exposure > e.Exposure {
		e.Answered, e.Exposure = o.Answered, o.Exposure
		changed = true
	}
	if o.Peers > e.Peers {
		e.Peers, changed = o.Peers, true
	}
	return e.addRequests(o.Requests) || changed
}

// Entry is what is known of a suspect. Entries of different routers are merged; see merge.
type Entry struct {
	Suspect
	// Generation is the number of times the suspect was cleared.
	Generation uint32
	// Ends holds the starts of engines that ended while they executed the request, or one with the part,
	// since it was last cleared, in order.
	Ends []End
	// OutlivedAt is when the newest answer began that went on for longer than Outlives or was completed,
	// and CompletedAt the same for completed ones; zero for none. The engine of that answer did not end
	// because it answered the suspect.
	OutlivedAt, CompletedAt time.Duration
	// Lapsed is the number of quarantines that have lapsed since the suspect was last cleared.
	Lapsed uint32
	// Quarantined is set while the suspect must not be sent to engines. QuarantinedAt is the time at
	// which this router learned of it.
	Quarantined   bool
	QuarantinedAt time.Duration
	// ChangedAt is the time of the last change that this router knows of.
	ChangedAt time.Duration
}

// Engines returns the IDs of the engines that have ended, once for each start.
func (e *Entry) Engines() []string {
	out := make([]string, len(e.Ends))
	for i, end := range e.Ends {
		out[i] = end.Engine
	}
	return out
}

// Requests returns how many different requests it takes to explain the ends under a part.
func (e *Entry) Requests() int { return minRequests(e.openEnds()) }

// find returns the position of a start in Ends, or where it belongs.
func (e *Entry) find(start EngineStart) (i int, found bool) {
	return slices.BinarySearchFunc(e.Ends, start, func(end End, s EngineStart) int { return end.Start().Compare(s) })
}

// endedUnder reports whether a start of an engine ended under the suspect, or may be one that did.
func (e *Entry) endedUnder(start EngineStart) bool {
	for i, _ := e.find(EngineStart{ID: start.ID}); i < len(e.Ends) && e.Ends[i].Engine == start.ID; i++ {
		if e.Ends[i].Start().MayBe(start) {
			return true
		}
	}
	return false
}

// endsAreUnder reports whether all engines that ended under the suspect ended under another one too.
func (e *Entry) endsAreUnder(o *Entry) bool {
	return !slices.ContainsFunc(e.Ends, func(end End) bool { return !o.endedUnder(end.Start()) })
}

// maxEnds bounds the ends of an entry: the first ones in order are kept, so that routers agree.
const maxEnds = 64

// addEnd adds the end of an engine, and returns false if nothing of it is new. An end whose start is not
// known may be any under the same ID, and is dropped once the start of one of these is known.
func (e *Entry) addEnd(end End) bool {
	i, known := e.find(end.Start())
	if !known && end.Born == 0 && i < len(e.Ends) && e.Ends[i].Engine == end.Engine {
		return false
	}
	if known {
		merged, refuted := e.Ends[i], e.refuted(e.Ends[i])
		changed := merged.merge(end)
		// The slice is shared with copies of the entry.
		e.Ends = slices.Clone(e.Ends)
		e.Ends[i] = merged
		return changed || e.refuted(merged) != refuted
	}
	if end.Born != 0 && i > 0 && e.Ends[i-1].Start() == (EngineStart{ID: end.Engine}) {
		e.Ends = slices.Delete(slices.Clone(e.Ends), i-1, i)
		i--
	}
	if i >= maxEnds {
		return false
	}
	e.Ends = slices.Insert(slices.Clone(e.Ends), i, end)
	e.Ends = e.Ends[:min(len(e.Ends), maxEnds)]
	return true
}

// merge adds what another entry of the same suspect knows, and reports whether that changed
// anything that other routers need to know. The result does not depend on the order of merges or on
// repetitions: a higher generation replaces a lower one, and within a generation ends are a set, while
// proofs, lapsed quarantines and the current one only advance.
func (e *Entry) merge(o Entry) bool {
	switch {
	case o.Generation < e.Generation:
		return false
	case o.Generation > e.Generation:
		o.Suspect = e.Suspect
		o.OutlivedAt, o.CompletedAt = max(o.OutlivedAt, e.OutlivedAt), max(o.CompletedAt, e.CompletedAt)
		*e = o
		return true
	}
	changed := e.mergeAccount(o.Account)
	for _, end := range o.Ends {
		changed = e.addEnd(end) || changed
	}
	if o.Lapsed > e.Lapsed || o.Lapsed == e.Lapsed && o.Quarantined && !e.Quarantined {
		e.Lapsed, e.Quarantined, e.QuarantinedAt = o.Lapsed, o.Quarantined, o.QuarantinedAt
		changed = true
	}
	changed = e.prove(o.OutlivedAt, o.CompletedAt) || changed
	if changed {
		e.ChangedAt = max(e.ChangedAt, o.ChangedAt)
	}
	return changed
}

// mergeAccount adds the account of a request with a part.
func (e *Entry) mergeAccount(account string) bool {
	if e.Part == (Part{}) || e.Account == account || e.Account == AnyAccount {
		return false
	}
	e.Account = AnyAccount
	return true
}

// clear discards what is held against the suspect.
func (e *Entry) clear(now time.Duration) {
	*e = Entry{Suspect: e.Suspect, Generation: e.Generation + 1, OutlivedAt: e.OutlivedAt, CompletedAt: e.CompletedAt, ChangedAt: now}
}
