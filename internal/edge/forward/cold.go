package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// ColdLimits bound what a cold engine may get in one second: Over times the rate that its service
// states, and Slack.
type ColdLimits struct{ Over, Slack float64 }

// sighting is an engine as it was last seen, and when its present life was seen first.
type engineState struct {
	engine    catalog.Engine
	firstSeen time.Duration
	// evacuation is the revision of the newest evacuation of its site that was seen.
	evacuationRevision uint64
	// coldUntil is until when the engine is taken to be cold.
	coldUntil time.Duration
}

// chill notes how long an engine is cold: by its entry, and after the evacuation of its site has
// ended, since engines may have been emptied meanwhile and tell so only later. known says whether
// the engine was seen before: a router that starts knows nothing of when an evacuation ended. It
// returns whether the engine may have been emptied.
func (v *engineState) updateCold(s *catalog.Snapshot, coldStart, now time.Duration, known, entryChanged bool) (emptied bool) {
	if entryChanged {
		v.coldUntil = max(v.coldUntil, now+v.engine.ColdFor)
	}
	evacuation := s.Evacuations.Of(v.engine.Site)
	ended := evacuation.Revision > v.evacuationRevision && !evacuation.Active
	emptied = known && ended
	if emptied {
		v.coldUntil = max(v.coldUntil, now+coldStart)
		v.firstSeen = now
	}
	v.evacuationRevision = max(v.evacuationRevision, evacuation.Revision)
	return emptied
}

// SetColdLimits says what bounds the requests to cold engines. The default is the rate that their
// service states.
func (p *Engines) SetColdLimits(limits func() ColdLimits) { p.coldLimits = limits }

// coldLeft is how much longer an engine is cold, as far as this router knows, zero if it is not, or
// if its service does not say what a cold engine bears. The caller holds the mutex.
func (p *Engines) coldRemaining(service *catalog.Service, engine string, now time.Duration) time.Duration {
	if service == nil || service.ColdRate <= 0 {
		return 0
	}
	return max(p.states[engine].coldUntil-now, 0)
}

// Cold returns how much longer each cold engine is taken to be cold, by its ID.
func (p *Engines) Cold(s *catalog.Snapshot) map[string]time.Duration {
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

// paceOf is the pace at which an engine may be sent requests. The caller holds the mutex.
func (p *Engines) pace(service *catalog.Service, engine string, now time.Duration) gate.Pace {
	remaining := p.coldRemaining(service, engine, now)
	if remaining == 0 {
		return gate.Pace{}
	}
	limits := p.coldLimits()
	maxRate := max(limits.Over, 1)*service.ColdRate + limits.Slack
	return gate.PaceFor(maxRate, limits.Slack, remaining)
}

// coldStartOf is how long engines of a service are cold after their start.
func coldStartDuration(s *catalog.Snapshot, service string) time.Duration {
	if s.Config == nil {
		return 0
	}
	if config := s.Config.Service(service); config != nil {
		return config.ColdStart
	}
	return 0
}
