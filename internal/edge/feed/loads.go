package feed

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// loadLifetime is how long another router's report of its loads counts. Pulls
// come several times a second; three that are missed mean that the router is
// gone, and its requests with it.
const loadLifetime = 1500 * time.Millisecond

// EngineLoad is what some routers know of one engine by their own requests.
type EngineLoad struct {
	// InFlight is how many requests they have at it.
	InFlight int
	// Evidence is how their requests at it have ended lately.
	Evidence health.Evidence
}

func (l EngineLoad) add(o EngineLoad) EngineLoad {
	return EngineLoad{InFlight: l.InFlight + o.InFlight, Evidence: l.Evidence.Add(o.Evidence)}
}

// LoadReport is what some routers know of the engines, by the engine's ID.
type LoadReport struct {
	Engines map[string]EngineLoad
}

// add adds a report that was made age ago.
func (r *LoadReport) add(o LoadReport, age time.Duration) {
	for id, l := range o.Engines {
		l.Evidence = l.Evidence.After(age)
		r.Engines[id] = r.Engines[id].add(l)
	}
}

type heardReport struct {
	report LoadReport
	at     time.Duration
}

// Loads joins this router's loads with those that other routers report. It is
// safe for concurrent use.
type Loads struct {
	// own returns this router's present loads, in a map of the caller's.
	own func() map[string]EngineLoad

	mu     sync.Mutex
	below  map[string]heardReport
	above  heardReport
	others map[string]EngineLoad
}

// NewLoads returns a Loads; own is called for each report.
func NewLoads(own func() map[string]EngineLoad) *Loads {
	return &Loads{own: own, below: make(map[string]heardReport)}
}

// Heard takes the report of a router that asks this one.
func (l *Loads) Heard(from string, report LoadReport, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.below[from] = heardReport{report, now}
	l.refresh(now)
}

// FromParent takes what the router that this one asks says of the rest of the
// fleet.
func (l *Loads) FromParent(report LoadReport, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.above = heardReport{report, now}
	l.refresh(now)
}

// Below is this router's load and that of the routers which ask it.
func (l *Loads) Below(now time.Duration) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum("", now, false)
}

// Without is the load of the whole fleet less what one router reported.
func (l *Loads) Without(asker string, now time.Duration) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum(asker, now, true)
}

// Size is how many engines a report speaks of, about.
func (l *Loads) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.others)
}

// Others returns the load of all other routers, as last heard, by engine ID.
// The map must not be modified.
func (l *Loads) Others() map[string]EngineLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.others
}

func (l *Loads) sum(without string, now time.Duration, above bool) LoadReport {
	out := LoadReport{Engines: l.own()}
	l.addOthers(&out, without, now, above)
	out.coarsen()
	return out
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

func (l *Loads) addOthers(out *LoadReport, without string, now time.Duration, above bool) {
	for name, heard := range l.below {
		switch {
		case now-heard.at > loadLifetime:
			delete(l.below, name)
		case name != without:
			out.add(heard.report, now-heard.at)
		}
	}
	if above && now-l.above.at <= loadLifetime {
		out.add(l.above.report, now-l.above.at)
	}
}

func (l *Loads) refresh(now time.Duration) {
	out := LoadReport{Engines: make(map[string]EngineLoad)}
	l.addOthers(&out, "", now, true)
	l.others = out.Engines
}
