package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// SetReportAge sets the function that returns the time since the loads of other routers were last
// updated. The default is zero. It must be called before the first request.
func (p *Balancer) SetReportAge(age func(now time.Duration) time.Duration) { p.reportAge = age }

// reportedLoads are the loads reported by the other routers, by engine ID, and the time since they were
// updated.
type reportedLoads struct {
	byEngine map[string]feed.EngineLoad
	age      time.Duration
}

// reported returns the loads reported by the other routers.
func (p *Balancer) reported() reportedLoads {
	return reportedLoads{byEngine: p.otherLoads(), age: p.reportAge(p.clock())}
}

// evidence returns the evidence of all routers on an engine. The caller holds the mutex.
func (p *Balancer) evidence(engine string, others reportedLoads, now time.Duration) health.Evidence {
	out := others.byEngine[engine].Evidence.After(others.age)
	if own := p.ownLoads[engine]; own != nil {
		out = out.Add(own.record.At(now))
	}
	return out
}

// judgedEvidence returns the part of the evidence on an engine that counts. The caller holds the mutex.
func (p *Balancer) judgedEvidence(engine string, others reportedLoads, now time.Duration) health.Evidence {
	out := p.evidence(engine, others, now)
	if x := p.ejections[engine]; x != nil {
		out = x.Judged(out, now)
	}
	return out
}

// limitTrials marks the engines on trial that execute a request of this router as ejected: until one
// succeeds, they get single requests. The caller holds the mutex.
func (p *Balancer) limitTrials(candidates []choose.Engine) {
	if len(p.ejections) == 0 {
		return
	}
	for i, c := range candidates {
		x, own := p.ejections[c.ID], p.ownLoads[c.ID]
		if x != nil && x.Unproven() && own != nil && own.inFlight > 0 {
			candidates[i].Share = 0
		}
	}
}

// EjectionChange reports that an engine was ejected or restored.
type EjectionChange struct {
	Engine, Service string
	// Ejected engines get no requests.
	Ejected  bool
	Evidence health.Evidence
}

// EjectionChanges drops the state of removed engines, begins the trials of engines that were ejected for
// long, and returns the engines that were ejected or restored since the last call.
func (p *Balancer) EjectionChanges(s *catalog.Snapshot) []EjectionChange {
	others := p.reported()
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.ownLoads {
		if _, present := s.Engines.ByID[id]; !present && l.inFlight == 0 {
			delete(p.ownLoads, id)
		}
	}
	for id := range p.ejections {
		if _, present := s.Engines.ByID[id]; !present {
			delete(p.ejections, id)
		}
	}
	for id := range p.states {
		if _, ok := s.Engines.ByID[id]; !ok {
			delete(p.states, id)
			delete(p.brittle, id)
			p.promptCaches.remove(id)
		}
	}
	var out []EjectionChange
	if s.Config != nil {
		for i := range s.Config.Services {
			out = append(out, p.reviewEjections(s, s.Config.Services[i].Name, others, now)...)
		}
	}
	// The review has moved the pauses that outlive a restart.
	p.forgetPauses(s, now)
	return out
}

// reviewEjections reviews the engines of a service. The caller holds the mutex.
func (p *Balancer) reviewEjections(s *catalog.Snapshot, service string, others reportedLoads, now time.Duration) (out []EjectionChange) {
	engines := s.Engines.ForService(service)
	judged := make([]health.Evidence, len(engines))
	for i, e := range engines {
		p.observe(s, e, now)
		judged[i] = p.judgedEvidence(e.ID, others, now)
	}
	for i, share := range health.LoadShares(judged) {
		id := engines[i].ID
		x, known := p.ejections[id]
		if !known && share > 0 {
			continue
		}
		if !known {
			x = &health.Ejection{}
			p.ejections[id] = x
		}
		was, evidence := x.Ejected(), p.evidence(id, others, now)
		if !x.Review(share, evidence, now) {
			delete(p.ejections, id)
		}
		if x.Ejected() != was {
			out = append(out, EjectionChange{Engine: id, Service: service, Ejected: x.Ejected(), Evidence: evidence})
		}
	}
	return out
}
