// Package health detects failing engines by the outcomes of their requests. It reads no clock:
// evidence and the time are arguments.
//
// It uses no health probes, because an engine may pass them and fail its requests, or the reverse.
// One router of many sends too few requests to distinguish a failing engine from chance, so routers
// add up their evidence. Evidence is a pair of exponentially decaying counts, and the counts of
// different routers can be added.
package health

import (
	"math"
	"time"
)

// halfLife is the half-life of evidence. Outages last seconds: with a longer half-life, recovered
// engines would stay ejected; with a shorter one, a dead engine would return to service too early.
const halfLife = 1500 * time.Millisecond

// Evidence is the decayed number of requests at an engine that succeeded and failed. The zero value
// is no evidence.
type Evidence struct {
	Good, Bad float64
}

// Add returns the sum of two pieces of evidence. Both must be decayed to the same time.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{Good: e.Good + o.Good, Bad: e.Bad + o.Bad}
}

// Sub returns e without o. Its counts are not less than zero.
func (e Evidence) Sub(o Evidence) Evidence {
	return Evidence{Good: math.Max(0, e.Good-o.Good), Bad: math.Max(0, e.Bad-o.Bad)}
}

// After returns the evidence decayed by d. A negative d leaves it unchanged.
func (e Evidence) After(d time.Duration) Evidence {
	if d <= 0 || e == (Evidence{}) {
		return e
	}
	factor := math.Exp2(-float64(d) / float64(halfLife))
	return Evidence{Good: e.Good * factor, Bad: e.Bad * factor}
}

// roundingStep is the step to which evidence for other routers is rounded: about a thirtieth of
// priorSuccesses.
const roundingStep = 1.0 / 16

// Rounded returns the evidence rounded to multiples of roundingStep, which need fewer bytes to send.
func (e Evidence) Rounded() Evidence {
	return Evidence{Good: math.Round(e.Good/roundingStep) * roundingStep, Bad: math.Round(e.Bad/roundingStep) * roundingStep}
}

// priorSuccesses is the number of successes added to the evidence of every engine. After a time
// without requests, one failure does not eject an engine, and two do.
const priorSuccesses = 2.0

// failureRate returns the share of failures among the outcomes and priorSuccesses, from 0 to 1.
func (e Evidence) failureRate() float64 {
	return e.Bad / (e.Good + e.Bad + priorSuccesses)
}

// Record accumulates the evidence of one engine. The zero value is ready to use. It is not safe for
// concurrent use.
type Record struct {
	evidence  Evidence
	updatedAt time.Duration
}

// At returns the evidence decayed to now.
func (r *Record) At(now time.Duration) Evidence { return r.evidence.After(now - r.updatedAt) }

// HasFailures reports whether any failure was ever observed.
func (r *Record) HasFailures() bool { return r.evidence.Bad > 0 }

// Observe adds the outcome of a request that ended at now.
func (r *Record) Observe(good bool, now time.Duration) {
	r.evidence = r.At(now)
	r.updatedAt = now
	if good {
		r.evidence.Good++
	} else {
		r.evidence.Bad++
	}
}

// Discard removes evidence, decayed to now, that has turned out to be of something else.
func (r *Record) Discard(e Evidence, now time.Duration) {
	r.evidence = r.At(now).Sub(e)
	r.updatedAt = now
}

const (
	// toleratedExcess is how far an engine's failure rate may exceed that of the rest of its
	// service before the engine gets less than its normal load.
	toleratedExcess = 0.25
	// ejectionExcess is the excess of the failure rate at which the engine is ejected.
	ejectionExcess = 0.5
)

// LoadShares returns the share of its normal load that each engine of a service should get, from 0
// to 1, in the order of the evidence. It compares each engine with the rest of its service: if all
// engines fail at the same rate, the cause is elsewhere, and ejecting some would only move their
// load to the others.
func LoadShares(evidence []Evidence) []float64 {
	var total Evidence
	for _, e := range evidence {
		total = total.Add(e)
	}
	out := make([]float64, len(evidence))
	for i, e := range evidence {
		excess := e.failureRate() - total.Sub(e).failureRate()
		out[i] = min(max((ejectionExcess-excess)/(ejectionExcess-toleratedExcess), 0), 1)
	}
	return out
}
