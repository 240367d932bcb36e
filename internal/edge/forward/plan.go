package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
)

const (
	// crowdedFor is how long requests of a service go on asking for places after it was
	// last crowded: a service at the limit would otherwise change its ways all the time.
	congestedFor = 2 * time.Second
	// holdWeight is the weight of the newest request in the mean of how long they last.
	meanHoldWeight = 1.0 / 32
)

// Plan says where a request may go. Either Choice is taken, or the engines of Ask are to be
// asked for a place, in order.
type Plan struct {
	Choice Choice
	Ask    []PermitCandidate
	// Warm means that the engines of Ask are cold and others are not: where these refuse,
	// a request goes to the others without asking.
	Warm bool
	// Hold is how long requests of the service have a place in the mean.
	Hold time.Duration
}

// Alternative is an engine that may take a request.
type PermitCandidate struct {
	Choice Choice
	// Places is how many requests may be there at once.
	MaxInFlight int
	// Pace bounds how often requests may be sent there, if it is cold.
	Pace gate.Pace
}

// Plan chooses an engine of the service, or several to ask if the service is crowded, for a
// request with the given shared parts of a prompt. Engines in avoid are passed over. It
// returns false if there is none. A choice that is taken must be given back by Done.
func (p *Engines) Plan(s *catalog.Snapshot, service string, shared []string, excluded map[string]bool) (Plan, bool) {
	now := p.clock()
	others := p.otherLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	engines, candidates := p.candidates(s, service, excluded, others, now)
	plan := Plan{Hold: p.meanHolds[service]}
	var order []int
	switch placement := p.placement(candidates, shared); {
	case p.congested(service, candidates, now), choose.OnlyCold(candidates):
		order = p.permitOrder(candidates, shared)
	case placement.Engine != choose.None && candidates[placement.Engine].Cold:
		plan.Warm = true
		order = []int{placement.Engine}
	default:
		choice, ok := p.commit(engines, candidates, placement, shared, now)
		return Plan{Choice: choice}, ok
	}
	config := s.Config.Service(service)
	for _, i := range order {
		plan.Ask = append(plan.Ask, PermitCandidate{
			Choice: p.candidateChoice(engines, candidates, i, shared, now), MaxInFlight: choose.Places(candidates, i),
			Pace: p.pace(config, engines[i].ID, now),
		})
	}
	return plan, len(plan.Ask) > 0
}

// order returns the engines to ask for a place, the first one first.
func (p *Engines) permitOrder(candidates []choose.Engine, shared []string) []int {
	if len(shared) == 0 {
		return choose.PlainCandidates(candidates, p.rng)
	}
	return choose.Candidates(candidates, rendezvous.ID(shared[len(shared)-1]), p.rng)
}

// crowded says whether requests of the service ask for places. The caller holds the mutex.
func (p *Engines) congested(service string, candidates []choose.Engine, now time.Duration) bool {
	if choose.Crowded(candidates) {
		p.congestedUntil[service] = now + congestedFor
	}
	return now < p.congestedUntil[service]
}

// choiceOf is the choice of an engine that asking may lead to.
func (p *Engines) candidateChoice(engines []catalog.Engine, candidates []choose.Engine, i int, shared []string, now time.Duration) Choice {
	choice := Choice{Engine: engines[i]}
	if len(shared) > 0 {
		placement := choose.At(candidates, i, rendezvous.ID(shared[len(shared)-1]))
		choice.FetchFrom = p.fetchSource(engines, candidates, placement, shared, now)
	}
	return choice
}

// TakeLeased counts a request to an engine that has granted it a place, until Done.
func (p *Engines) StartLeased(choice Choice, shared []string) Choice {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.load(choice.Engine.ID)
	load.inFlight++
	load.leased++
	choice.startedAt = now
	if len(shared) > 0 {
		p.promptCaches.add(choice.Engine.ID, shared, now)
	}
	return choice
}

// noteHold adds how long a request had a place. The caller holds the mutex.
func (p *Engines) recordHold(service string, took time.Duration) {
	mean, ok := p.meanHolds[service]
	if !ok {
		p.meanHolds[service] = took
		return
	}
	p.meanHolds[service] = mean + time.Duration(meanHoldWeight*float64(took-mean))
}
