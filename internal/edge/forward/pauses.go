package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/backoff"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// enginePause is the pause that one start of an engine has asked this router for.
type enginePause struct {
	backoff.Backoff
	born int64
}

// SetRouters sets the function that returns the number of routers in the fleet. The default is one.
// It must be called before the first request.
func (p *Balancer) SetRouters(routers func() int) { p.routers = routers }

// Pause records that an engine has rejected a request and asked for a pause. It returns the time for
// which the engine gets no requests, and whether that is longer than before.
func (p *Balancer) Pause(e catalog.Engine, pause time.Duration) (left time.Duration, extended bool) {
	routers := p.routers()
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.pauses[e.ID]
	if pause <= 0 || !p.isCurrentStart(e) {
		return 0, false
	}
	if state == nil || state.born != e.Born {
		state = &enginePause{born: e.Born}
		p.pauses[e.ID] = state
	}
	extended = state.Reject(now, pause, routers, p.rng.Float64())
	return state.ResumeAt() - now, extended
}

// isCurrentStart reports whether no later start of the engine is known. The caller holds the mutex.
func (p *Balancer) isCurrentStart(e catalog.Engine) bool {
	state, known := p.states[e.ID]
	return !known || state.engine.Born == e.Born
}

// Accepted records that the engine of the choice has accepted the request.
func (p *Balancer) Accepted(choice Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endReturn(choice, true)
}

// startReturn counts a request to an engine that requests return to, and returns nil if there was no
// pause. The caller holds the mutex.
func (p *Balancer) startReturn(e catalog.Engine) *returningRequest {
	state := p.pauses[e.ID]
	if state == nil || state.born != e.Born || !state.Start() {
		return nil
	}
	return &returningRequest{pause: state}
}

// endReturn ends the count of startReturn, once. The caller holds the mutex.
func (p *Balancer) endReturn(choice Choice, accepted bool) {
	if choice.returning == nil || choice.returning.ended {
		return
	}
	choice.returning.ended = true
	state := choice.returning.pause
	state.End(accepted, p.clock())
	if state.ResumeAt() == 0 && p.pauses[choice.Engine.ID] == state {
		delete(p.pauses, choice.Engine.ID)
	}
}

// returningRequest is a request that is counted while requests return to its engine.
type returningRequest struct {
	pause *enginePause
	ended bool
}

// admits reports whether the engine is not paused, or requests return to it and one more may be
// sent. The caller holds the mutex.
func (p *Balancer) admits(e catalog.Engine, now time.Duration) bool {
	state := p.pauses[e.ID]
	return state == nil || state.born != e.Born || state.Admits(now)
}

// Admits reports whether a request may be sent to the engine as far as pauses are concerned.
func (p *Balancer) Admits(e catalog.Engine) bool {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admits(e, now)
}

// Paused reports whether the engine has asked this router for a pause that has not ended.
func (p *Balancer) Paused(e catalog.Engine) bool {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.pauses[e.ID]
	return state != nil && state.born == e.Born && state.Paused(now)
}

// Pauses returns the remaining time of each pause by engine ID.
func (p *Balancer) Pauses() map[string]time.Duration {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]time.Duration)
	for id, state := range p.pauses {
		if state.Paused(now) {
			out[id] = state.ResumeAt() - now
		}
	}
	return out
}

// forgetPauses drops the pauses of engines that are no longer registered, or that have restarted. The
// caller holds the mutex.
func (p *Balancer) forgetPauses(s *catalog.Snapshot, now time.Duration) {
	for id, state := range p.pauses {
		e, registered := s.Engines.ByID[id]
		if registered && e.Born == state.born || !registered && state.Paused(now) {
			continue
		}
		delete(p.pauses, id)
	}
}

// Availability is what keeps requests from the engines of some services.
type Availability struct {
	// Open is the number of engines to which a request may be sent.
	Open int
	// Paused is the number of engines that have asked this router for a pause, and ResumeIn the
	// time until requests return to the first of them.
	Paused   int
	ResumeIn time.Duration
	// Leaving is the number of engines that have announced that they will stop.
	Leaving int
}

// Availability describes the engines of the services.
func (p *Balancer) Availability(s *catalog.Snapshot, services []string) Availability {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Availability
	for _, service := range services {
		for _, e := range s.Engines.ForService(service) {
			p.addTo(&out, s, e, now)
		}
	}
	return out
}

// addTo adds an engine to the availability. The caller holds the mutex.
func (p *Balancer) addTo(out *Availability, s *catalog.Snapshot, e catalog.Engine, now time.Duration) {
	switch {
	case s.Leaving.Has(e):
		out.Leaving++
	case !s.TakesRequests(e):
	case p.admits(e, now):
		out.Open++
	default:
		left := max(p.pauses[e.ID].ResumeAt()-now, 0)
		if out.Paused == 0 || left < out.ResumeIn {
			out.ResumeIn = left
		}
		out.Paused++
	}
}
