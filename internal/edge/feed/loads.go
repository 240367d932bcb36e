package feed

import (
	"sync"
	"time"
)

// loadLifetime is how long another router's report of its loads counts. Pulls
// come several times a second; three that are missed mean that the router is
// gone, and its requests with it.
const loadLifetime = 1500 * time.Millisecond

// Loads joins this router's loads with those that other routers report. It is
// safe for concurrent use.
type Loads struct {
	// own returns this router's present loads, in a map of the caller's.
	own func() map[string]EngineLoad

	mu     sync.Mutex
	below  map[string]*heardReport
	above  heardReport
	others map[string]EngineLoad
}

// NewLoads returns a Loads; own is called for each report.
func NewLoads(own func() map[string]EngineLoad) *Loads {
	return &Loads{own: own, below: make(map[string]*heardReport)}
}

// Heard takes the report of a router that asks this one. It returns false if a whole
// report is needed.
func (l *Loads) Heard(from string, report LoadReport, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := l.below[from]
	if heard == nil {
		heard = &heardReport{}
		l.below[from] = heard
	}
	ok := heard.take(report, now)
	l.refresh(now)
	return ok
}

// FromParent takes what the router that this one asks says of the rest of the
// fleet. It returns false if a whole report is needed.
func (l *Loads) FromParent(report LoadReport, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.above.take(report, now)
	l.refresh(now)
	return ok
}

// Forget takes a router's report for gone.
func (l *Loads) Forget(from string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.below, from)
	l.refresh(now)
}

// ForgetAbove takes what the router above has told for gone.
func (l *Loads) ForgetAbove() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.above = heardReport{}
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
