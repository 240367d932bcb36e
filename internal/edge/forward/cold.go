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
type sighting struct {
	engine catalog.Engine
	first  time.Duration
	// evacuation is the revision of the newest evacuation of its site that was seen.
	evacuation uint64
	// coldUntil is until when the engine is taken to be cold.
	coldUntil time.Duration
}

// chill notes how long an engine is cold: by its entry, and after the evacuation of its site has
// ended, since engines may have been emptied meanwhile and tell so only later. known says whether
// the engine was seen before: a router that starts knows nothing of when an evacuation ended. It
// returns whether the engine may have been emptied.
func (v *sighting) chill(s *catalog.Snapshot, start, now time.Duration, known, news bool) (emptied bool) {
	if news {
		v.coldUntil = max(v.coldUntil, now+v.engine.ColdFor)
	}
	evacuation := s.Evacuations.Of(v.engine.Site)
	ended := evacuation.Revision > v.evacuation && !evacuation.Active
	emptied = known && ended
	if emptied {
		v.coldUntil = max(v.coldUntil, now+start)
		v.first = now
	}
	v.evacuation = max(v.evacuation, evacuation.Revision)
	return emptied
}

// SetColdLimits says what bounds the requests to cold engines. The default is the rate that their
// service states.
func (p *Engines) SetColdLimits(limits func() ColdLimits) { p.coldLimits = limits }

// coldLeft is how much longer an engine is cold, as far as this router knows, zero if it is not, or
// if its service does not say what a cold engine bears. The caller holds the mutex.
func (p *Engines) coldLeft(service *catalog.Service, engine string, now time.Duration) time.Duration {
	if service == nil || service.ColdRate <= 0 {
		return 0
	}
	return max(p.seen[engine].coldUntil-now, 0)
}

// Cold returns how much longer each cold engine is taken to be cold, by its ID.
func (p *Engines) Cold(s *catalog.Snapshot) map[string]time.Duration {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]time.Duration)
	for id, v := range p.seen {
		if s.Config == nil {
			break
		}
		if left := p.coldLeft(s.Config.Service(v.engine.Service), id, now); left > 0 {
			out[id] = left
		}
	}
	return out
}

// paceOf is the pace at which an engine may be sent requests. The caller holds the mutex.
func (p *Engines) paceOf(service *catalog.Service, engine string, now time.Duration) gate.Pace {
	left := p.coldLeft(service, engine, now)
	if left == 0 {
		return gate.Pace{}
	}
	limits := p.coldLimits()
	most := max(limits.Over, 1)*service.ColdRate + limits.Slack
	return gate.PaceFor(most, limits.Slack, left)
}

// coldStartOf is how long engines of a service are cold after their start.
func coldStartOf(s *catalog.Snapshot, service string) time.Duration {
	if s.Config == nil {
		return 0
	}
	if config := s.Config.Service(service); config != nil {
		return config.ColdStart
	}
	return 0
}
