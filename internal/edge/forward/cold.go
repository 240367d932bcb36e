package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// ColdLimits limit the requests that a cold engine may receive in one second: Over times the rate
// stated by its service, plus Slack.
type ColdLimits struct{ Over, Slack float64 }

// engineState is an engine as last observed. firstSeen is when this router first observed the
// engine's current start or its return from an evacuation, on the boot clock.
type engineState struct {
	engine    catalog.Engine
	firstSeen time.Duration
	// evacuation is the newest observed change to the evacuation of the engine's site, and
	// evacuationEra its era.
	evacuation    catalog.Evacuation
	evacuationEra catalog.Era
	// coldUntil is the reading of the boot clock until which the engine counts as cold; see
	// updateCold.
	coldUntil time.Duration
}

// updateCold updates how long the engine counts as cold. A new entry makes it cold for the period
// stated there. The end of an evacuation of its site makes it cold for coldStart, because engines'
// caches may have been emptied during the evacuation and the engines report that only later. known
// means that the engine was observed before: a router that has just started does not know how long
// ago an evacuation ended. entryChanged means that the entry is new or newer than the last one.
// updateCold reports whether the engine's cache may have been emptied.
func (e *engineState) updateCold(s *catalog.Snapshot, coldStart, now time.Duration, known, entryChanged bool) (emptied bool) {
	if entryChanged {
		e.coldUntil = max(e.coldUntil, now+e.engine.ColdFor)
	}
	ended := e.evacuationEnded(s)
	emptied = known && ended
	if emptied {
		e.coldUntil = max(e.coldUntil, now+coldStart)
		e.firstSeen = now
	}
	return emptied
}

// evacuationEnded records the evacuation of the engine's site and reports whether one has ended since
// the last observation. Across eras of the store, where revisions do not compare, only the end of one
// that was observed counts.
func (e *engineState) evacuationEnded(s *catalog.Snapshot) bool {
	last, lastEra := e.evacuation, e.evacuationEra
	next, era := s.Evacuations.ForSite(e.engine.Site), s.Evacuations.Era()
	if era == lastEra && next.Revision <= last.Revision || lastEra.After(era) {
		return false
	}
	e.evacuation, e.evacuationEra = next, era
	return !next.Active && (era == lastEra || last.Active)
}

// SetColdLimits sets the limits on requests to cold engines. The default is the rate stated by
// their service. It must be called before the first request.
func (p *Balancer) SetColdLimits(limits func() ColdLimits) { p.coldLimits = limits }

// coldRemaining returns how much longer an engine counts as cold, or zero if it is not cold or its
// service states no rate for cold engines. The caller holds the mutex.
func (p *Balancer) coldRemaining(service *catalog.Service, engine string, now time.Duration) time.Duration {
	if service == nil || service.ColdRate <= 0 {
		return 0
	}
	return max(p.states[engine].coldUntil-now, 0)
}

// ColdRemaining returns the remaining cold time of each cold engine by engine ID.
func (p *Balancer) ColdRemaining(s *catalog.Snapshot) map[string]time.Duration {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]time.Duration)
	for id, v := range p.states {
		if s.Config == nil {
			break
		}
		if remaining := p.coldRemaining(s.Config.Service(v.engine.Service), id, now); remaining > 0 {
			out[id] = remaining
		}
	}
	return out
}

// pace returns the rate limit for requests to an engine; the zero Pace means no limit. The caller
// holds the mutex.
func (p *Balancer) pace(service *catalog.Service, engine string, now time.Duration) gate.Pace {
	remaining := p.coldRemaining(service, engine, now)
	if remaining == 0 {
		return gate.Pace{}
	}
	limits := p.coldLimits()
	maxRate := max(limits.Over, 1)*service.ColdRate + limits.Slack
	return gate.PaceFor(maxRate, limits.Slack, remaining)
}

// coldStartDuration returns how long engines of a service are cold after their start.
func coldStartDuration(s *catalog.Snapshot, service string) time.Duration {
	if s.Config == nil {
		return 0
	}
	if config := s.Config.Service(service); config != nil {
		return config.ColdStart
	}
	return 0
}
