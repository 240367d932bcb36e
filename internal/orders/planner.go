package orders

import (
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/wire"
)

// Planner remembers orders under way. It does no I/O and is not safe for
// concurrent use. A new leader starts with a new one.
type Planner struct {
	limits  Limits
	engines map[string]*engineState
	orders  uint64
}

// engineState is what a Planner remembers of an engine.
type engineState struct {
	draining bool
	drainAt  time.Duration
	// order is under way if its ID is set.
	order       wire.Order
	sentAt      time.Duration
	incarnation uint64
	failures    int
	notBefore   time.Duration
}

// NewPlanner returns a Planner without memory.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, engines: make(map[string]*engineState)}
}

// Draining reports whether routers must give the engine no new work.
func (p *Planner) Draining(engine string) bool { return p.engine(engine).draining }

// Failed notes that an engine refused its order, so that the next try need not
// wait for the order timeout.
func (p *Planner) Failed(engine string, now time.Duration) {
	p.engine(engine).fail(p.limits, now)
}

func (p *Planner) engine(name string) *engineState {
	e := p.engines[name]
	if e == nil {
		e = &engineState{}
		p.engines[name] = e
	}
	return e
}

// note compares an order under way with what the engine reports.
//
// An order, or the reply to it, can get lost, and an engine can say yes and do
// nothing. All are noticed alike: the report still differs when the time for
// the order is over. It is then given again, after a pause, as an engine that
// fails for good would otherwise keep its place at the weight store.
func (p *Planner) note(o Observation, next wire.Order, differs bool, now time.Duration) {
	e := p.engine(o.Status.Name)
	if e.order.ID == "" {
		return
	}
	achieved := !differs || next.Kind != e.order.Kind || next.Value != e.order.Value
	switch {
	case achieved:
		e.order = wire.Order{}
		e.failures = 0
		e.notBefore = 0
	case o.Status.Incarnation != e.incarnation:
		// The engine started again and has forgotten the order.
		e.order = wire.Order{}
	case now-e.sentAt >= p.limits.OrderTimeout:
		e.fail(p.limits, now)
	}
}

func (e *engineState) fail(l Limits, now time.Duration) {
	pause := l.BackOff
	for range e.failures {
		pause = min(2*pause, l.MaxBackOff)
	}
	e.order = wire.Order{}
	e.failures++
	e.notBefore = now + pause
}

// undrain ends the drain of an engine that serves what it should.
func (p *Planner) undrain(o Observation) bool {
	e := p.engine(o.Status.Name)
	was := e.draining
	e.draining = false
	return was
}

// ready says that something may be asked of the engine now.
func (p *Planner) ready(c candidate, now time.Duration) bool {
	e := p.engine(c.seen.Status.Name)
	return c.seen.Reachable && !c.seen.Status.Leaving && e.order.ID == "" && now >= e.notBefore
}

// drain begins to drain an engine unless its group needs it. No more are
// drained than can load at once: the others would idle in a queue.
func (p *Planner) drain(engine string, f *floor, now time.Duration) bool {
	if f.serving <= f.needed {
		f.refused = true
		return false
	}
	if f.draining >= p.limits.Loads {
		return false
	}
	f.serving--
	f.draining++
	e := p.engine(engine)
	e.draining = true
	e.drainAt = now
	return true
}

// drained says that a draining engine has no work and gets none.
//
// A report that is older than the drain can show an idle engine to which a
// router sent a request since, and the order would cut that request. The
// report must have been made after all routers knew.
func (p *Planner) drained(s wire.EngineStatus, now time.Duration) bool {
	made := now - time.Duration(s.ReportAgeMS)*time.Millisecond
	settled := made-p.engine(s.Name).drainAt >= p.limits.DrainSettle
	return settled && s.Running == 0 && s.Queued == 0
}

// forget drops engines that are gone. One that vanished while it loaded would
// otherwise hold its place at the weight store for ever, and loading stops
// once all places are held so. Its order is kept for the timeout, as a gap in
// the view doesn't end a load.
func (p *Planner) forget(observed []Observation, now time.Duration) {
	seen := make(map[string]bool, len(observed))
	for _, o := range observed {
		seen[o.Status.Name] = true
	}
	for name, e := range p.engines {
		underWay := e.order.ID != "" && now-e.sentAt < p.limits.OrderTimeout
		if !seen[name] && !underWay {
			delete(p.engines, name)
		}
	}
}

// loads counts the engines that may be fetching from the weight store.
func (p *Planner) loads() int {
	n := 0
	for _, e := range p.engines {
		if e.order.ID != "" && fetches(e.order.Kind) {
			n++
		}
	}
	return n
}

func (p *Planner) send(s wire.EngineStatus, o wire.Order, now time.Duration) string {
	p.orders++
	o.ID = s.Name + "-" + strconv.FormatUint(p.orders, 10)
	e := p.engine(s.Name)
	e.order = o
	e.sentAt = now
	e.incarnation = s.Incarnation
	return o.ID
}
