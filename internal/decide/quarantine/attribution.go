package quarantine

import (
	"math"
	"slices"
	"time"
)

// An engine may have ended because of a request, because of a part of its prompt, or for a reason of
// its own. All requests that it was executing and all parts of their prompts are suspects, and these
// rules tell them apart:
//
//   - An answer that began after an end, and that went on or was completed, refutes that end: a suspect
//     that crashes engines crashes each.
//   - Against a suspect that has been answered lately, an end counts only once later requests have had
//     the time to be answered.
//   - An end that a quarantined suspect explains does not count against the others, nor one that a suspect
//     without such answers is likelier to have caused.
//   - Ends that chance explains as well do not suffice, however many there are.
//   - A part is to blame only if no one or two requests explain its ends.
const (
	// Outlives is how long an engine must have been answering a request for the answer to show that the
	// request and its parts do not crash engines that begin to answer them.
	Outlives = 500 * time.Millisecond
	// provenFor is how long before an end an answer must have begun for the suspect to count as answered
	// lately.
	provenFor = 10 * time.Second
	// answerTime is the time in which requests that are sent after an end outlive it, if they are
	// answered at all, and longAnswerTime the time in which those with a part are completed, however long
	// their answers are.
	answerTime     = 1500 * time.Millisecond
	longAnswerTime = 10 * time.Second
	// proofInterval is how old a proof must be for a newer one that refutes nothing to be passed on to
	// other routers.
	proofInterval = 4 * time.Second
)

// refuted reports whether an answer shows that the suspect did not cause the end.
func (e *Entry) refuted(end End) bool { return e.proofFor(end) > end.At }

// proofFor returns the time of the newest answer that can refute an end: a suspect that crashes
// engines late in its answers is refuted only by complete ones.
func (e *Entry) proofFor(end End) time.Duration {
	if end.Answered <= Outlives {
		return e.OutlivedAt
	}
	return e.CompletedAt
}

// countsAt returns the time from which an end that is not refuted counts.
func (e *Entry) countsAt(end End) time.Duration {
	proof := e.proofFor(end)
	switch {
	case proof == 0 || end.At-proof > provenFor:
		return end.At
	case end.Answered <= Outlives:
		return end.At + answerTime
	case e.Key().IsPart():
		return end.At + longAnswerTime
	}
	return end.At + answerTime + 2*end.Answered
}

// prove adds answers that outlived the suspicion and complete ones, and reports whether other routers
// need to know.
func (e *Entry) prove(outlived, completed time.Duration) bool {
	outlived = max(outlived, completed)
	before := *e
	e.OutlivedAt, e.CompletedAt = max(e.OutlivedAt, outlived), max(e.CompletedAt, completed)
	if e.OutlivedAt-before.OutlivedAt >= proofInterval || e.CompletedAt-before.CompletedAt >= proofInterval {
		return true
	}
	return slices.ContainsFunc(e.Ends, func(end End) bool { return e.refuted(end) && !before.refuted(end) })
}

// countOpen returns the number of ends that no answer refutes.
func (e *Entry) countOpen() int {
	n := 0
	for _, end := range e.Ends {
		if !e.refuted(end) {
			n++
		}
	}
	return n
}

// answeredLately reports whether an end counts later since the suspect was answered shortly before.
func (e *Entry) answeredLately() bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool { return !e.refuted(end) && e.countsAt(end) > end.At })
}

// openEnds returns the ends that no answer refutes.
func (e *Entry) openEnds() []End {
	return slices.DeleteFunc(slices.Clone(e.Ends), e.refuted)
}

// verdict is what is concluded about a suspect.
type verdict uint8

const (
	// unknown means that there is too little evidence.
	unknown verdict = iota
	// suspected means that the suspect may be sent to one engine only.
	suspected
	// guilty means that it must not be sent to engines.
	guilty
)

// judgePart concludes on a part.
func (t *Table) judgePart(r *row, now time.Duration) verdict {
	if r.open < t.limits.PartSuspectEnds {
		return unknown
	}
	e := &r.Entry
	counted, explained := t.countedEnds(e, now)
	if len(counted) < t.limits.PartSuspectEnds {
		return unknown
	}
	if explained && minRequests(counted) < t.limits.PartRequests || len(t.coveredBy(r, t.index().rows)) > 0 {
		return unknown
	}
	score := t.chanceScore(e, counted, now)
	if len(counted) >= t.partEndsNeeded(e) && score >= t.limits.GuiltyScore && minRequests(counted) >= t.limits.PartRequests {
		return guilty
	}
	if e.Lapsed > 0 || score >= t.limits.SuspectScore {
		return suspected
	}
	return unknown
}

// countedEnds returns the ends that count against a part, and whether a request in quarantine with the
// part explains some of them.
func (t *Table) countedEnds(e *Entry, now time.Duration) (counted []End, explained bool) {
	for _, end := range e.openEnds() {
		if now < e.countsAt(end) || e.countsAt(end) > end.At && t.mayExplain(end, e, likelyEnds) {
			continue
		}
		excused, byRequest := t.excuse(e, end)
		if !excused {
			counted = append(counted, end)
			explained = explained || byRequest
		}
	}
	return counted, explained
}

// excuse reports whether a suspect in quarantine explains an end under a part: a request without the part,
// or another part, unless all ends of one of the two came under the other, so that either may be to blame.
// byRequest is set if a request with the part explains it.
func (t *Table) excuse(e *Entry, end End) (excused, byRequest bool) {
	for _, by := range t.index().byEngine[end.Start()] {
		switch {
		case by.Key() == e.Key():
		case by.Key().IsPart():
			excused = excused || !by.endsAreUnder(e) && !e.endsAreUnder(&by.Entry)
		case slices.Contains(end.Requests, by.hash()):
			byRequest = true
		default:
			excused = true
		}
	}
	return excused, byRequest
}

// coveredBy returns those of other parts that together explain all ends under a part, and nothing else; nil
// if they do not.
func (t *Table) coveredBy(r *row, others []*row) []Part {
	var out []Part
	covered := make(map[EngineStart]bool)
	for _, other := range others {
		if !other.Key().IsPart() || other == r || !other.endsAreUnder(&r.Entry) || r.endsAreUnder(&other.Entry) {
			continue
		}
		out = append(out, other.Part)
		for _, end := range other.Ends {
			covered[end.Start()] = true
		}
	}
	if len(covered) < len(r.Ends) {
		return nil
	}
	return out
}

// hash returns the hash by which the ends of parts name a request.
func (s Suspect) hash() uint64 { return s.Fingerprint.hash() }

// firstOf returns the time of the first end.
func firstOf(ends []End) time.Duration {
	first := ends[0].At
	for _, end := range ends {
		first = min(first, end.At)
	}
	return first
}

// minRequests returns how many requests are needed to explain ends, approximately: again and again the
// one that explains most of what is left. Ends without known requests need one each.
func minRequests(ends []End) int {
	left := slices.Clone(ends)
	n := 0
	for len(left) > 0 {
		counts := make(map[uint64]int)
		var best uint64
		for _, end := range left {
			for _, h := range end.Requests {
				if counts[h]++; counts[h] > counts[best] || counts[h] == counts[best] && h < best {
					best = h
				}
			}
		}
		if counts[best] <= 1 {
			return n + len(left)
		}
		n++
		left = slices.DeleteFunc(left, func(end End) bool { return slices.Contains(end.Requests, best) })
	}
	return n
}

const (
	// rateWindow is how long before the first end under a part the engines are counted that ended without
	// it.
	rateWindow = 10 * time.Second
	// minHazard is the lowest rate at which an engine is taken to end by itself, per second.
	minHazard = 0.01
	// exposureMargin is added to the time for which the engine had answered: ends are noticed late.
	exposureMargin = 100 * time.Millisecond
	// longExposure is the least exposure of a request that was cut late in its answer.
	longExposure = 5 * time.Second
	// unknownPeers is the number of engines of a service of unknown size.
	unknownPeers = 10
)

// chanceScore returns the negative logarithm of the probability that engines which end by themselves,
// as often as those without the part do, ended each just then: while they had the request, and no later
// after the answer began.
func (t *Table) chanceScore(e *Entry, counted []End, now time.Duration) float64 {
	rate := t.rateWithout(e, counted, now)
	score := 0.0
	for _, end := range counted {
		peers := end.Peers
		if peers == 0 {
			peers = unknownPeers
		}
		hazard := max(rate/float64(peers), minHazard)
		score -= math.Log(min(hazard*exposure(end).Seconds(), 1))
	}
	return score
}

// exposure returns how long the engine could have ended by chance so that it would look the same.
func exposure(end End) time.Duration {
	switch {
	case end.Answered > Outlives:
		return max(end.Exposure, longExposure)
	case end.Answered > 0:
		return end.Answered + exposureMargin
	}
	return end.Exposure + exposureMargin
}

// likelyEnds is the number of ends from which a suspect that was not answered lately is likelier to blame
// than one that was.
const likelyEnds = 2

// mayExplain reports whether an engine ended under a suspect that was not answered lately and under which
// at least some number of engines ended: another one than the given one, and no request with it.
func (t *Table) mayExplain(end End, except *Entry, ends int) bool {
	if t.likely == nil {
		t.likely = make(map[EngineStart][]*row)
		for _, r := range t.entries {
			if r.open < likelyEnds || r.answeredLately() {
				continue
			}
			for _, end := range r.Ends {
				t.likely[end.Start()] = append(t.likely[end.Start()], r)
			}
		}
	}
	return slices.ContainsFunc(t.likely[end.Start()], func(r *row) bool {
		return r.open >= ends && r.Key() != except.Key() && (r.Key().IsPart() || !slices.Contains(end.Requests, r.hash()))
	})
}

// likelyParts returns the parts in quarantine, and those that are likely to have ended engines.
func (t *Table) likelyParts() []*row {
	out := slices.Clone(t.index().rows)
	for k, r := range t.entries {
		if k.IsPart() && !r.Quarantined && r.open >= likelyEnds && !r.answeredLately() {
			out = append(out, r)
		}
	}
	return out
}

// rateWithout returns how many engines a second end without a part, around the time of the ends that
// count against it.
func (t *Table) rateWithout(e *Entry, counted []End, now time.Duration) float64 {
	first := firstOf(counted)
	from, others := first, 0
	for _, end := range t.ends {
		if end.At >= first-rateWindow && !e.endedUnder(end.Start()) && t.index().explanation(end.Start(), e) == nil && !t.mayExplain(end, e, t.limits.PartEnds-1) {
			others++
			from = min(from, end.At)
		}
	}
	// One more end than was seen is assumed: few ends say little about the rate.
	return float64(others)/max(now-from, time.Second).Seconds() + 1/rateWindow.Seconds()
}
