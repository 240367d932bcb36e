package feed

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// EngineLoad is what some routers know of one engine by their own requests.
type EngineLoad struct {
	// InFlight is how many requests they have at it.
	InFlight int
	// Leased is how many of these have a lease of a gate; see package flow.
	Leased int
	// Evidence is how their requests at it have ended lately.
	Evidence health.Evidence
}

func (l EngineLoad) add(o EngineLoad) EngineLoad {
	return EngineLoad{InFlight: l.InFlight + o.InFlight, Leased: l.Leased + o.Leased, Evidence: l.Evidence.Add(o.Evidence)}
}

const (
	// inFlightStep is the part by which a number of requests must have changed to be
	// reported again. With it an engine gets 1.98 times the mean at most where the
	// bound is 1.8; up to nine requests every change counts.
	inFlightStep = 0.1
	// goodStep is the same for good ends of requests, badStep for bad ones. Good ends
	// only matter against bad ones, and go with each report of those.
	goodStep = 0.5
	badStep  = 0.25
	// leastEnds is a change in ends that is too small to matter, as a number of
	// requests: an eighth of what an engine is taken to have served well before
	// anything is known of it.
	leastEnds = 0.25
)

// differs says whether a load is to be reported again after last was.
func (l EngineLoad) differs(last EngineLoad) bool {
	return changed(float64(l.InFlight), float64(last.InFlight), inFlightStep, 0) ||
		changed(float64(l.Leased), float64(last.Leased), inFlightStep, 0) ||
		changed(l.Evidence.Good, last.Evidence.Good, goodStep, leastEnds) ||
		changed(l.Evidence.Bad, last.Evidence.Bad, badStep, leastEnds)
}

// recountAfter is how long a number of requests that is only a little off may stand. Sums pass
// through several routers, and each of them may leave out a small change; what is off by less
// than a step on each way would otherwise be off by several for good.
const recountAfter = 500 * time.Millisecond

// miscounts says whether last is off by any number of requests.
func (l EngineLoad) miscounts(last EngineLoad) bool {
	return l.InFlight != last.InFlight || l.Leased != last.Leased
}

// changed says whether a value is more than a part of the last one, and more than
// least, away from it.
func changed(value, last, part, least float64) bool {
	return math.Abs(value-last) > math.Max(part*last, least)
}

// LoadReport is what some routers know of the engines, by the engine's ID.
type LoadReport struct {
	// Seq names the state that the reader has with this report, and Base the one that
	// it must have had before: a report says only what has changed since, and an entry
	// without requests is one that is gone. A Base of zero stands for nothing: the
	// report is whole.
	Base, Seq uint64
	Engines   map[string]EngineLoad
}

// add adds a report that was made age ago.
func (r *LoadReport) add(o LoadReport, age time.Duration) {
	for id, l := range o.Engines {
		l.Evidence = l.Evidence.After(age)
		r.Engines[id] = r.Engines[id].add(l)
	}
}

// coarsen drops what says nothing, and rounds: a report is half as long then.
func (r *LoadReport) coarsen() {
	for id, l := range r.Engines {
		l.Evidence = l.Evidence.Coarse()
		if l == (EngineLoad{}) {
			delete(r.Engines, id)
			continue
		}
		r.Engines[id] = l
	}
}

// reported is what another router has been told. The zero value is nothing.
type reported struct {
	seq     uint64
	engines map[string]EngineLoad
	// at is when each engine's load was told last.
	at map[string]time.Duration
}

// next returns the report that leads the other router from the state that it says it
// has to the present one, and takes it for told. If the state is not the one it was
// last told, because it has started anew or a report was lost, the report is whole.
func (t *reported) next(have uint64, present LoadReport, now time.Duration) LoadReport {
	if t.seq == 0 || have != t.seq {
		// A number that no earlier life of this router has used, and that leaves room
		// to count.
		t.seq = rand.Uint64()>>1 | 1
		t.engines = present.Engines
		t.at = make(map[string]time.Duration, len(present.Engines))
		for id := range present.Engines {
			t.at[id] = now
		}
		return LoadReport{Seq: t.seq, Engines: maps.Clone(present.Engines)}
	}
	out := LoadReport{Base: t.seq, Seq: t.seq + 1, Engines: make(map[string]EngineLoad)}
	for id, l := range present.Engines {
		last, ok := t.engines[id]
		if !ok || l.differs(last) || l.miscounts(last) && now-t.at[id] >= recountAfter {
			out.Engines[id] = l
			t.at[id] = now
		}
	}
	for id := range t.engines {
		if _, ok := present.Engines[id]; !ok {
			out.Engines[id] = EngineLoad{}
			delete(t.at, id)
		}
	}
	t.seq = out.Seq
	out.applyTo(t.engines)
	return out
}

// applyTo brings loads up to date.
func (r *LoadReport) applyTo(engines map[string]EngineLoad) {
	for id, l := range r.Engines {
		if l == (EngineLoad{}) {
			delete(engines, id)
			continue
		}
		engines[id] = l
	}
}

// heardReport is what another router has told, as of the last report.
type heardReport struct {
	report LoadReport
	at     time.Duration
}

// take takes a report that came at now. It returns false if the report leads on from a
// state that is not the one here; it then says nothing.
func (h *heardReport) take(report LoadReport, now time.Duration) bool {
	if report.Base != 0 && report.Base != h.report.Seq {
		return false
	}
	h.at = now
	if report.Base == 0 {
		h.report = report
		if h.report.Engines == nil {
			h.report.Engines = make(map[string]EngineLoad)
		}
		return true
	}
	report.applyTo(h.report.Engines)
	h.report.Seq = report.Seq
	return true
}
