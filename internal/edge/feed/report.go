package feed

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/brittle"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// EngineLoad is what some routers know of one engine from their own requests.
type EngineLoad struct {
	// InFlight is the number of their requests in progress at the engine.
	InFlight int
	// Leased is how many of these hold a lease of a gate; see package flow.
	Leased int
	// Evidence summarizes the recent outcomes of their requests at the engine.
	Evidence health.Evidence
	// Accepted and Rejected count their recent requests that the engine has accepted, and those that
	// it has rejected asking for a pause, both decayed like Evidence. They are zero while no router
	// knows of such rejections, and routers of earlier releases send neither. Plain numbers take no
	// bytes while they are zero.
	Accepted, Rejected float64
	// Leaving means that a start of the engine has announced that it will stop; LeavingBorn is its
	// catalog.LeavingStart.Born. Routers of earlier releases send neither.
	Leaving     bool
	LeavingBorn int64
	// RecordedLeaving means that only an earlier era of the store recorded the end of a start, which
	// an entry may refute; RecordedBorn is its catalog.LeavingStart.Born. Routers of earlier releases
	// send neither.
	RecordedLeaving bool
	RecordedBorn    int64
	// Proven is the number of routers, maxProven at most, that have a connection to the engine which
	// proves that the start that its entry states still runs. LostBorn is the start of which a router has
	// lost a connection, so that it may have ended; zero for none. Routers of earlier releases send
	// neither.
	Proven   int
	LostBorn int64
	// Brittle is what the engine has lately stated about being brittle. Routers of earlier releases
	// neither send nor pass it on.
	Brittle BrittleReport
}

// BrittleReport is what an engine has stated about being brittle: one more than its tolerance, or one
// of the constants.
type BrittleReport int

const (
	// ReportNothing means that the engine has lately stated nothing.
	ReportNothing BrittleReport = 0
	// ReportNotBrittle means that the engine is no longer brittle.
	ReportNotBrittle BrittleReport = -1
)

// ReportTolerance returns the report of an engine that is brittle.
func ReportTolerance(t brittle.Tolerance) BrittleReport { return BrittleReport(t) + 1 }

// Tolerance returns the tolerance of a brittle engine.
func (b BrittleReport) Tolerance() (t brittle.Tolerance, stated bool) {
	return brittle.Tolerance(max(b-1, 0)), b > 0
}

// merge returns the report that holds if routers have got different responses: that of the least
// tolerance.
func (b BrittleReport) merge(o BrittleReport) BrittleReport {
	switch {
	case b > 0 && o > 0:
		return min(b, o)
	case b > 0 || o > 0:
		return max(b, o)
	}
	return min(b, o)
}

// Limits returns Accepted and Rejected as evidence.
func (l EngineLoad) Limits() health.Evidence {
	return health.Evidence{Good: l.Accepted, Bad: l.Rejected}
}

// SetLimits sets Accepted and Rejected.
func (l *EngineLoad) SetLimits(e health.Evidence) { l.Accepted, l.Rejected = e.Good, e.Bad }

// maxProven is up to how many routers with a proof are counted. More change nothing, but would be
// reported again and again.
const maxProven = 2

// latestLeaving returns the announcement of the later of two starts, each of which may have none.
func latestLeaving(leaving bool, born int64, otherLeaving bool, otherBorn int64) (bool, int64) {
	switch {
	case !otherLeaving:
		return leaving, born
	case !leaving:
		return true, otherBorn
	}
	return true, max(born, otherBorn)
}

// starts returns the announcements of a load.
func (l EngineLoad) starts(id string) (out []catalog.LeavingStart) {
	if l.Leaving {
		out = append(out, catalog.LeavingStart{ID: id, Born: l.LeavingBorn})
	}
	if l.RecordedLeaving {
		out = append(out, catalog.LeavingStart{ID: id, Born: l.RecordedBorn, Refutable: true})
	}
	return out
}

// addStart adds an announcement to the load.
func (l *EngineLoad) addStart(start catalog.LeavingStart) {
	if start.Refutable {
		l.RecordedLeaving, l.RecordedBorn = latestLeaving(l.RecordedLeaving, l.RecordedBorn, true, start.Born)
		return
	}
	l.Leaving, l.LeavingBorn = latestLeaving(l.Leaving, l.LeavingBorn, true, start.Born)
}

func (l EngineLoad) add(o EngineLoad) EngineLoad {
	out := EngineLoad{InFlight: l.InFlight + o.InFlight, Leased: l.Leased + o.Leased, Evidence: l.Evidence.Add(o.Evidence)}
	out.SetLimits(l.Limits().Add(o.Limits()))
	out.Leaving, out.LeavingBorn = latestLeaving(l.Leaving, l.LeavingBorn, o.Leaving, o.LeavingBorn)
	out.Brittle = l.Brittle.merge(o.Brittle)
	out.Proven, out.LostBorn = min(l.Proven+o.Proven, maxProven), max(l.LostBorn, o.LostBorn)
	out.RecordedLeaving, out.RecordedBorn = latestLeaving(l.RecordedLeaving, l.RecordedBorn, o.RecordedLeaving, o.RecordedBorn)
	return out
}

const (
	// inFlightChange is the relative change of a request count above which it is reported again.
	// With a value of 0.1, an engine gets at most 1.98 times the mean load where the bound is 1.8.
	// Up to nine requests, every change is reported.
	inFlightChange = 0.1
	// goodChange is the relative change for successful requests, badChange for failed ones.
	// Successes matter only in relation to failures and are sent with each report of those.
	goodChange = 0.5
	badChange  = 0.25
	// minOutcomeChange is the change in an engine's successes or failures, in requests, below which
	// no report is sent. It is an eighth of priorSuccesses in package health, the successes assumed
	// for an engine without any recorded outcome.
	minOutcomeChange = 0.25
)

// needsReport reports whether a load must be reported again after last was reported.
func (l EngineLoad) needsReport(last EngineLoad) bool {
	return l.Leaving != last.Leaving || l.LeavingBorn != last.LeavingBorn ||
		l.Brittle != last.Brittle || l.Proven != last.Proven || l.LostBorn != last.LostBorn ||
		l.RecordedLeaving != last.RecordedLeaving || l.RecordedBorn != last.RecordedBorn ||
		exceedsChange(float64(l.InFlight), float64(last.InFlight), inFlightChange, 0) ||
		exceedsChange(float64(l.Leased), float64(last.Leased), inFlightChange, 0) ||
		evidenceChanged(l.Evidence, last.Evidence) || evidenceChanged(l.Limits(), last.Limits())
}

// evidenceChanged reports whether evidence must be reported again after last was reported.
func evidenceChanged(e, last health.Evidence) bool {
	return exceedsChange(e.Good, last.Good, goodChange, minOutcomeChange) || exceedsChange(e.Bad, last.Bad, badChange, minOutcomeChange)
}

// smallChangeDelay is how long a request count may differ slightly from the reported one. Sums pass
// through several routers, each of which may leave out a small change, and these differences would
// otherwise add up and persist.
const smallChangeDelay = 500 * time.Millisecond

// countsDiffer reports whether any request count differs from last.
func (l EngineLoad) countsDiffer(last EngineLoad) bool {
	return l.InFlight != last.InFlight || l.Leased != last.Leased
}

// exceedsChange reports whether value differs from last by more than a share of last and by more
// than minimum.
func exceedsChange(value, last, share, minimum float64) bool {
	return math.Abs(value-last) > math.Max(share*last, minimum)
}

// LoadReport is what some routers know of the engines, by engine ID.
type LoadReport struct {
	// Seq numbers the state that the receiver holds after applying this report, and Base the state
	// that it must hold before. A report contains only changes; an entry with a zero load removes
	// an engine. With a Base of zero the report is full.
	Base, Seq uint64
	Engines   map[string]EngineLoad
	// Accounts holds the rates of the accounts at congested services. A zero entry removes one. Routers
	// of earlier releases neither send nor pass it on.
	Accounts AccountRates
}

// add adds a report that was created age ago.
func (r *LoadReport) add(o LoadReport, age time.Duration) {
	for id, l := range o.Engines {
		l.Evidence = l.Evidence.After(age)
		l.SetLimits(l.Limits().After(age))
		r.Engines[id] = r.Engines[id].add(l)
	}
	if len(o.Accounts) > 0 {
		if r.Accounts == nil {
			r.Accounts = make(AccountRates)
		}
		r.Accounts.add(o.Accounts)
	}
}

// round drops zero loads and rounds the others, which halves the size of a report.
func (r *LoadReport) round() {
	for id, l := range r.Engines {
		l.Evidence = l.Evidence.Rounded()
		l.SetLimits(l.Limits().Rounded())
		if l == (EngineLoad{}) {
			delete(r.Engines, id)
			continue
		}
		r.Engines[id] = l
	}
	r.Accounts.round()
}

// reportState is the state that was reported to another router. The zero value means that nothing
// was reported.
type reportState struct {
	seq     uint64
	engines map[string]EngineLoad
	// sentAt is when the load of each engine was last sent.
	sentAt   map[string]time.Duration
	accounts AccountRates
}

// next returns the report that takes the other router from the state have to the current one, and
// records it as sent. If have is not the last state sent, because the other router restarted or a
// report was lost, the report is full.
func (s *reportState) next(have uint64, current LoadReport, now time.Duration) LoadReport {
	if s.seq == 0 || have != s.seq {
		// A random number does not match one from before a restart of this router. Half of the
		// range remains for later increments.
		s.seq = rand.Uint64()>>1 | 1
		s.engines = current.Engines
		s.sentAt = make(map[string]time.Duration, len(current.Engines))
		for id := range current.Engines {
			s.sentAt[id] = now
		}
		s.accounts = current.Accounts
		return LoadReport{Seq: s.seq, Engines: maps.Clone(current.Engines), Accounts: maps.Clone(current.Accounts)}
	}
	out := LoadReport{Base: s.seq, Seq: s.seq + 1, Engines: make(map[string]EngineLoad), Accounts: current.Accounts.changesFrom(s.accounts)}
	s.accounts = s.accounts.after(out.Accounts)
	for id, l := range current.Engines {
		last, ok := s.engines[id]
		if !ok || l.needsReport(last) || l.countsDiffer(last) && now-s.sentAt[id] >= smallChangeDelay {
			out.Engines[id] = l
			s.sentAt[id] = now
		}
	}
	for id := range s.engines {
		if _, ok := current.Engines[id]; !ok {
			out.Engines[id] = EngineLoad{}
			delete(s.sentAt, id)
		}
	}
	s.seq = out.Seq
	out.applyTo(s.engines)
	return out
}

// applyTo updates the loads with the changes of the report.
func (r *LoadReport) applyTo(engines map[string]EngineLoad) {
	for id, l := range r.Engines {
		if l == (EngineLoad{}) {
			delete(engines, id)
			continue
		}
		engines[id] = l
	}
}

// receivedReport is the state reported by another router.
type receivedReport struct {
	report     LoadReport
	receivedAt time.Duration
}

// apply applies a report that arrived at now. It returns false and has no effect if the report is
// based on another state than the one held.
func (r *receivedReport) apply(report LoadReport, now time.Duration) bool {
	if report.Base != 0 && report.Base != r.report.Seq {
		return false
	}
	r.receivedAt = now
	if report.Base == 0 {
		r.report = report
		if r.report.Engines == nil {
			r.report.Engines = make(map[string]EngineLoad)
		}
		return true
	}
	report.applyTo(r.report.Engines)
	r.report.Accounts = r.report.Accounts.after(report.Accounts)
	r.report.Seq = report.Seq
	return true
}
