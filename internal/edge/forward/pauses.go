package forward

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/backoff"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// SetRouters sets the function that returns the number of routers in the fleet. The default is one.
// It must be called before the first request.
func (p *Balancer) SetRouters(routers func() int) { p.routers = routers }

// startOf identifies the start of an engine in the table of pauses.
func startOf(e catalog.Engine) uint64 { return uint64(e.Born) }

// Pause records that an engine has rejected a request and asked for a pause. It returns the time for
// which the engine gets no requests, and whether that is longer than before. A rejection by a start
// that is over has no effect.
func (p *Balancer) Pause(e catalog.Engine, pause time.Duration) (left time.Duration, extended bool) {
	routers := p.routers()
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, known := p.states[e.ID]; known && state.engine.Born != e.Born {
		return 0, false
	}
	p.load(e.ID).limits.Observe(false, now)
	return p.pauses.Reject(e.ID, startOf(e), now, pause, routers, p.rng.Float64())
}

// Accepted records that the engine of the choice has accepted the request.
func (p *Balancer) Accepted(choice Choice) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	choice.returning.End(true, now)
	p.load(choice.Engine.ID).limits.Observe(true, now)
}

// avoids reports whether the router does not send a request to the engine because of what the engine
// rejects at other routers. A router that the engine has rejected itself goes by its own pause. The
// caller holds the mutex.
func (p *Balancer) avoids(e catalog.Engine, limits health.Evidence) bool {
	if limits.Bad < feed.MinRejections || p.pauses.Known(e.ID, startOf(e)) {
		return false
	}
	return p.rng.Float64() >= backoff.LoadShare(limits.Good, limits.Bad)
}

// withoutAvoided marks the avoided engines as taking no requests, unless no other engine takes any:
// an engine that rejects other routers may accept this one.
func withoutAvoided(engines []choose.Engine, avoided []int) []choose.Engine {
	if len(avoided) == 0 {
		return engines
	}
	out := slices.Clone(engines)
	for _, i := range avoided {
		out[i].Draining = true
	}
	if !slices.ContainsFunc(out, func(e choose.Engine) bool { return !e.Draining && e.Share > 0 }) {
		return engines
	}
	return out
}

// admits reports whether a request may be sent to the engine as far as pauses are concerned. The
// caller holds the mutex.
func (p *Balancer) admits(e catalog.Engine, now time.Duration) bool {
	ok, _ := p.pauses.Admits(e.ID, startOf(e), now)
	return ok
}

// Paused reports whether the engine has asked this router for a pause that has not ended.
func (p *Balancer) Paused(e catalog.Engine) bool {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Paused(e.ID, startOf(e), now)
}

// Pauses returns the remaining time of each pause by engine ID.
func (p *Balancer) Pauses() map[string]time.Duration {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Left(now)
}

// forgetPauses drops the pauses of engines that have restarted, and those of removed ones that are
// over: an entry may return before. The caller holds the mutex.
func (p *Balancer) forgetPauses(s *catalog.Snapshot, now time.Duration) {
	p.pauses.Prune(now, func(id string, start uint64, paused bool) bool {
		e, known := s.Engines.ByID[id]
		return known && startOf(e) == start || !known && paused
	})
}

// Availability is what keeps requests from the engines of some services.
type Availability struct {
	// Open is the number of engines to which a request may be sent.
	Open int
	// Paused is the number of engines that have asked this router for a pause, and ResumeIn the
	// time until requests return to the first of them.
	Paused   int
	ResumeIn time.Duration
	// Returning is how many of the paused ones have got their first requests after the pause and have
	// not accepted them yet.
	Returning int
	// Leaving is the number of engines that have announced that they will stop.
	Leaving int
}

// Availability describes the engines of the services, or only those of a version if that is not empty.
func (p *Balancer) Availability(s *catalog.Snapshot, services []string, version string) Availability {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Availability
	for _, service := range services {
		for _, e := range s.Engines.ForService(service) {
			if version == "" || e.Version == version {
				p.addTo(&out, s, e, now)
			}
		}
	}
	return out
}

// addTo adds an engine to the availability. The caller holds the mutex.
func (p *Balancer) addTo(out *Availability, s *catalog.Snapshot, e catalog.Engine, now time.Duration) {
	if s.Leaving.Has(e) {
		out.Leaving++
		return
	}
	if !s.TakesRequests(e) {
		return
	}
	ok, in := p.pauses.Admits(e.ID, startOf(e), now)
	if ok {
		out.Open++
		return
	}
	if in == 0 {
		out.Returning++
	}
	if out.Paused == 0 || in < out.ResumeIn {
		out.ResumeIn = in
	}
	out.Paused++
}
