package quarantine

import (
	"slices"
	"time"
)

// View is an immutable copy of a table, for lookups by requests.
type View struct {
	byHint map[uint32][]viewEntry
	parts  map[Part]Status
	// restricted is the number of parts that are suspected or in quarantine.
	restricted int
}

type viewEntry struct {
	fingerprint Fingerprint
	status      Status
}

// Status is what is known of a suspect. The zero value is that of a request or part that is none.
type Status struct {
	// Ends holds the engines that have ended under a request. For a part they are those that no answer
	// refutes.
	Ends []End
	// Quarantined is set while the suspect must not be sent to engines.
	Quarantined bool
	// HeldUntil is the time on the boot clock until which the request must not be sent to engines
	// because its quarantine is being decided, or zero.
	HeldUntil time.Duration

	// The following are of parts only.

	// Suspected is set while requests with the part may be sent to one engine only.
	Suspected bool
	// Account is the account of all requests that were cut, or AnyAccount.
	Account string
	// With holds the other parts that may be to blame in place of this one: those in quarantine under which
	// the same engines ended, and perhaps more, and those that together are likely to have ended all of them.
	With []Part
	// AnsweredLately is set if the part was answered shortly before the last of the ends.
	AnsweredLately bool
	// ProvenAt is the time of the newest answer that outlived the suspicion.
	ProvenAt time.Duration
	// isPart is set for a part that is a suspect, or was one shortly before.
	isPart bool
}

// EndsWithout returns the number of starts of engines that have ended under the request, without those
// that may be one of the given ones.
func (s Status) EndsWithout(starts []EngineStart) int {
	n := 0
	for _, end := range s.Ends {
		if !slices.ContainsFunc(starts, end.Start().MayBe) {
			n++
		}
	}
	return n
}

// ProvenBy reports whether it matters that an answer which began at a time speaks for the part.
func (s Status) ProvenBy(began time.Duration) bool {
	if !s.isPart {
		return false
	}
	if began-s.ProvenAt >= proofInterval {
		return true
	}
	return slices.ContainsFunc(s.Ends, func(end End) bool { return end.At < began })
}

func (s Status) equal(o Status) bool {
	return s.Quarantined == o.Quarantined && s.HeldUntil == o.HeldUntil && s.Suspected == o.Suspected && s.Account == o.Account &&
		s.AnsweredLately == o.AnsweredLately && s.ProvenAt == o.ProvenAt && len(s.Ends) == len(o.Ends) && slices.Equal(s.With, o.With)
}

// View returns the current state of the table.
func (t *Table) View() *View {
	v := &View{byHint: make(map[uint32][]viewEntry), parts: make(map[Part]Status)}
	for k, r := range t.entries {
		switch {
		case len(r.Ends) == 0:
		case k.IsPart():
			v.parts[k.Part] = r.status
			if r.status.Quarantined || r.status.Suspected {
				v.restricted++
			}
		default:
			v.byHint[r.Hint] = append(v.byHint[r.Hint], viewEntry{k.Fingerprint, r.status})
		}
	}
	return v
}

// Status returns the status of a suspect.
func (t *Table) Status(k Key) Status {
	r := t.entries[k]
	if r == nil {
		return Status{}
	}
	return r.status
}

// statusOf determines the status of a suspect.
func (t *Table) statusOf(r *row) Status {
	if !r.Key().IsPart() {
		out := Status{Ends: r.Ends, Quarantined: r.Quarantined}
		if decision := t.decisionAt(&r.Entry); decision > 0 {
			out.HeldUntil = decision + decisionMargin
		}
		return out
	}
	out := Status{Ends: r.openEnds(), Quarantined: r.Quarantined, Account: r.Account, ProvenAt: r.OutlivedAt, isPart: true}
	if r.Quarantined {
		out.With = append(t.partsWithEndsOf(r), t.coveredBy(r, t.likelyParts())...)
		return out
	}
	out.AnsweredLately = r.answeredLately()
	out.Suspected = r.verdict == suspected
	return out
}

// partsWithEndsOf returns the other parts in quarantine under which all engines ended that ended under
// this one.
func (t *Table) partsWithEndsOf(r *row) []Part {
	var out []Part
	for _, other := range t.index().rows {
		if other.Key().IsPart() && other.Part != r.Part && r.endsAreUnder(&other.Entry) {
			out = append(out, other.Part)
		}
	}
	return out
}

// Empty reports whether there are no suspects.
func (v *View) Empty() bool { return len(v.byHint) == 0 && len(v.parts) == 0 }

// Restricts reports whether parts are suspected or in quarantine.
func (v *View) Restricts() bool { return v.restricted > 0 }

// HasParts reports whether there are suspected parts.
func (v *View) HasParts() bool { return len(v.parts) > 0 }

// Part returns the status of a part.
func (v *View) Part(p Part) Status { return v.parts[p] }

// Find returns the status of the request with the content. Only content with the hint of a suspect
// is hashed; the returned fingerprint is nil otherwise.
func (v *View) Find(c Content) (Status, *Fingerprint) {
	if len(v.byHint) == 0 {
		return Status{}, nil
	}
	entries := v.byHint[c.Hint()]
	if len(entries) == 0 {
		return Status{}, nil
	}
	f := c.Fingerprint()
	for _, e := range entries {
		if e.fingerprint == f {
			return e.status, &f
		}
	}
	return Status{}, &f
}

// Status returns the status of a request by its fingerprint.
func (v *View) Status(hint uint32, f Fingerprint) Status {
	for _, e := range v.byHint[hint] {
		if e.fingerprint == f {
			return e.status
		}
	}
	return Status{}
}
