package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/brittle"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
)

const (
	// brittleFor is how long a statement that an engine is brittle holds if no response at any router
	// confirms or ends it, as while the engine gets no requests.
	brittleFor = 30 * time.Second
	// freshFor is how long a statement is told to other routers. endedFor is the same for the end of
	// being brittle, which is told for longer than the statements before it.
	freshFor = 3 * time.Second
	endedFor = 2 * freshFor
)

// brittleStatement is what the last response of an engine states, if it is or was brittle.
type brittleStatement struct {
	stated    bool
	tolerance brittle.Tolerance
	at        time.Duration
}

// report returns the statement as it is told to other routers.
func (b brittleStatement) report(now time.Duration) feed.BrittleReport {
	switch age := now - b.at; {
	case b.stated && age <= freshFor:
		return feed.ReportTolerance(b.tolerance)
	case !b.stated && age <= endedFor:
		return feed.ReportNotBrittle
	}
	return feed.ReportNothing
}

// SetBrittle records whether an engine states in a response that it is brittle, and returns whether it
// stated something else before.
func (p *Balancer) SetBrittle(engine string, tolerance brittle.Tolerance, stated bool) (changed bool) {
	now := p.clock()
	others := p.otherLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	last, known := p.brittle[engine]
	if !stated && !known {
		// The end is told to other routers also if only they know of the statement.
		if _, reported := others[engine].Brittle.Tolerance(); !reported {
			return false
		}
		last.stated = true
	}
	changed = stated != last.stated || tolerance != last.tolerance
	if stated || changed {
		p.brittle[engine] = brittleStatement{stated, tolerance, now}
	}
	return changed
}

// statedTolerance returns what this router's own responses or others' reports state about an engine.
// The caller holds the mutex.
func (p *Balancer) statedTolerance(engine string, reported feed.EngineLoad, now time.Duration) (t brittle.Tolerance, stated bool) {
	own := p.brittle[engine]
	age := now - own.at
	switch t, stated := reported.Brittle.Tolerance(); {
	case own.stated && age <= freshFor:
		return own.tolerance, true
	case stated:
		return t, true
	case own.stated && reported.Brittle == feed.ReportNotBrittle:
		// The report of the end lasts shorter than this router's own statement.
		delete(p.brittle, engine)
	case own.stated && age <= brittleFor:
		return own.tolerance, true
	}
	return 0, false
}

// serviceTolerance returns the least tolerance that an engine of the service states. It holds for all
// of them: one that has just fallen over states nothing.
func serviceTolerance(engines []choose.Engine) (t brittle.Tolerance, stated bool) {
	for _, e := range engines {
		if e.Brittle && (!stated || e.Tolerance < t) {
			t, stated = e.Tolerance, true
		}
	}
	return t, stated
}

// withHeadroom marks brittle engines that may be full as taking no requests, for a request that no
// gate has admitted.
func withHeadroom(engines []choose.Engine) {
	for i, e := range engines {
		if e.InFlight >= max(e.Slots/2, 1) {
			engines[i].Draining = true
		}
	}
}

// Brittle reports whether engines of the service are known to be brittle.
func (p *Balancer) Brittle(ids []string) bool {
	others := p.otherLoads()
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if _, stated := p.statedTolerance(id, others[id], now); stated {
			return true
		}
	}
	return false
}

// BrittleEngines returns the tolerance of each engine that is known to be brittle.
func (p *Balancer) BrittleEngines() map[string]int {
	others := p.otherLoads()
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int)
	for id := range p.states {
		if t, stated := p.statedTolerance(id, others[id], now); stated {
			out[id] = int(t)
		}
	}
	return out
}

// abandonedHolds is for how many times the mean hold a brittle engine is assumed to go on with a request
// that the router has left.
const abandonedHolds = 1.5

// abandonedHold returns the time after its start for which the permit of an abandoned request is kept.
func abandonedHold(mean time.Duration) time.Duration {
	return time.Duration(abandonedHolds * float64(mean))
}

// Abandon records that the request of the choice has been left before the end of its response. A brittle
// engine may not notice that: if another request got the place of this one at once, it might be rejected.
func (p *Balancer) Abandon(choice Choice) {
	if !choice.brittle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	choice.hold.abandoned = true
}

// reject records at the permit of the request that the engine has rejected it.
func (c Choice) reject() {
	if c.permit != nil {
		c.permit.Rejected = true
	}
}
