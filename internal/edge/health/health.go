// Package health judges engines by how their requests end. It is pure: evidence
// and the time are arguments.
//
// Health probes are not asked, since an engine may answer them well and fail its
// callers, or the reverse. One router of many sees too few requests to tell a
// bad engine from bad luck, so routers add up their evidence: it is a pair of
// sums that fade with time, and sums of different routers can be added.
package health

import (
	"math"
	"time"
)

// halfLife is the time after which evidence counts half. Outages last seconds:
// a longer memory would keep a recovered engine out, a shorter one would forget
// a dead engine before anyone has tried it again.
const halfLife = 1500 * time.Millisecond

// Evidence is how requests at an engine have ended lately. The zero value is no
// evidence.
type Evidence struct {
	Good, Bad float64
}

// Add returns the sum of two pieces of evidence of the same moment.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{Good: e.Good + o.Good, Bad: e.Bad + o.Bad}
}

// Sub returns what is left of e without o, at least nothing.
func (e Evidence) Sub(o Evidence) Evidence {
	return Evidence{Good: math.Max(0, e.Good-o.Good), Bad: math.Max(0, e.Bad-o.Bad)}
}

// After returns the evidence as it counts d later.
func (e Evidence) After(d time.Duration) Evidence {
	if d <= 0 {
		return e
	}
	f := math.Exp2(-float64(d) / float64(halfLife))
	return Evidence{Good: e.Good * f, Bad: e.Bad * f}
}

// coarse is the step that evidence is rounded to for other routers: a thirtieth of what
// the prior weighs.
const coarse = 1.0 / 16

// Coarse returns the evidence rounded, which takes few bytes to send.
func (e Evidence) Coarse() Evidence {
	return Evidence{Good: math.Round(e.Good/coarse) * coarse, Bad: math.Round(e.Bad/coarse) * coarse}
}

// prior is the number of good ends that every engine is taken to have had. It
// keeps one failure after a quiet time from condemning an engine; two do.
const prior = 2.0

// badness is the share of bad ends, from 0 to 1.
func (e Evidence) badness() float64 {
	return e.Bad / (e.Good + e.Bad + prior)
}

// Record is the fading evidence of one engine.
type Record struct {
	evidence Evidence
	at       time.Duration
}

// At returns the evidence as it counts at now.
func (r *Record) At(now time.Duration) Evidence { return r.evidence.After(now - r.at) }

// Note adds an end of a request.
func (r *Record) Note(good bool, now time.Duration) {
	r.evidence = r.At(now)
	r.at = now
	if good {
		r.evidence.Good++
	} else {
		r.evidence.Bad++
	}
}

const (
	// tolerated is by how much an engine's share of bad ends may be above that
	// of the rest of its service, before it gets less than its normal load.
	tolerated = 0.25
	// unbearable is the excess from which on it gets nothing.
	unbearable = 0.5
)

// Shares returns, for each engine of a service, the part of its normal load, 0
// to 1, that it should get. Engines are compared with the rest of their service:
// where all fail alike, the fault is elsewhere, and taking engines out would
// only put their load on the others.
func Shares(evidence []Evidence) []float64 {
	var total Evidence
	for _, e := range evidence {
		total = total.Add(e)
	}
	out := make([]float64, len(evidence))
	for i, e := range evidence {
		excess := e.badness() - total.Sub(e).badness()
		out[i] = min(max((unbearable-excess)/(unbearable-tolerated), 0), 1)
	}
	return out
}
