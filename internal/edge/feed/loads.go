package feed

import (
	"sync"
	"time"
)

// loadLifetime is how long another router's report of its loads counts. Pulls
// come several times a second; three that are missed mean that the router is
// gone, and its requests with it.
const loadLifetime = 1500 * time.Millisecond

// LoadReport is the number of requests that some routers have at each engine,
// by the engine's ID.
type LoadReport struct {
	InFlight map[string]int
	// Routers is how many routers the report speaks for.
	Routers int
}

func (r *LoadReport) add(o LoadReport) {
	for id, n := range o.InFlight {
		r.InFlight[id] += n
	}
	r.Routers += o.Routers
}

type heardReport struct {
	report LoadReport
	at     time.Duration
}

// Loads joins this router's loads with those that other routers report. It is
// safe for concurrent use.
type Loads struct {
	// own returns this router's present loads.
	own func() map[string]int

	mu     sync.Mutex
	below  map[string]heardReport
	above  heardReport
	others map[string]int
}

// NewLoads returns a Loads; own is called for each report.
func NewLoads(own func() map[string]int) *Loads {
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

// Others returns the load of all other routers, as last heard, by engine ID.
// The map must not be modified.
func (l *Loads) Others() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.others
}

// Routers is how many routers are known to carry traffic, this one included.
func (l *Loads) Routers(now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum("", now, true).Routers
}

func (l *Loads) sum(without string, now time.Duration, above bool) LoadReport {
	out := LoadReport{InFlight: make(map[string]int), Routers: 1}
	for id, n := range l.own() {
		out.InFlight[id] += n
	}
	l.addOthers(&out, without, now, above)
	return out
}

func (l *Loads) addOthers(out *LoadReport, without string, now time.Duration, above bool) {
	for name, heard := range l.below {
		switch {
		case now-heard.at > loadLifetime:
			delete(l.below, name)
		case name != without:
			out.add(heard.report)
		}
	}
	if above && now-l.above.at <= loadLifetime {
		out.add(l.above.report)
	}
}

func (l *Loads) refresh(now time.Duration) {
	out := LoadReport{InFlight: make(map[string]int)}
	l.addOthers(&out, "", now, true)
	l.others = out.InFlight
}
