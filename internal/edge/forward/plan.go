package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/brittle"
	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/room"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
)

const (
	// congestedFor is how long requests of a service still need permits after it was last
	// congested. Without this period, a service close to the threshold would switch back and forth.
	congestedFor = 2 * time.Second
	// meanHoldWeight is the weight of the newest request in the mean time that requests occupy an
	// engine.
	meanHoldWeight = 1.0 / 32
)

// Plan is the result of selecting an engine. If Ask is empty, the request goes to Choice. Otherwise
// a permit must be requested for the engines in Ask, in order.
type Plan struct {
	Choice Choice
	Ask    []PermitCandidate
	// Warm means that the only engine in Ask is cold, but not all engines of the service are. If no
	// permit is granted, the request goes to an engine that is not cold, without a permit.
	Warm bool
	// Hold is the mean time that a request of the service occupies an engine.
	Hold time.Duration
	// Need is that of the query.
	Need room.Need
}

// PermitCandidate is an engine for which a permit can be requested.
type PermitCandidate struct {
	Choice Choice
	// MaxInFlight is how many requests the engine may have in progress at once.
	MaxInFlight int
	// MostInFlight is the same if the engine itself states that it has free slots; zero for requests with
	// prompts, which run for long compared with their way.
	MostInFlight int
	// Memory is the memory of the engine, in tokens; zero if it is not known.
	Memory int
	// Pace limits the rate of requests to the engine while it is cold.
	Pace gate.Pace
	// Brittle means that the engine falls over if it rejects more than Tolerance requests within a
	// second. MaxInFlight is then its number of slots.
	Brittle   bool
	Tolerance brittle.Tolerance
}

// Plan selects an engine of the service. If the service is congested or the selected engine is
// cold, it returns the engines to request a permit for instead. It returns false if there is no
// engine left. If Ask is empty, Plan has counted the request, and Done must be called with Choice.
func (p *Balancer) Plan(s *catalog.Snapshot, service string, q Query) (Plan, bool) {
	now := p.clock()
	others := p.reported()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordNeed(service, q.Need)
	engines, candidates := p.candidates(s, service, q, others, now)
	plan := Plan{Hold: p.meanHolds[service], Need: q.Need}
	tolerance, isBrittle := serviceTolerance(candidates)
	var order []int
	switch placement := p.placement(candidates, q); {
	case p.congested(congestionKey(service, q.Version), candidates, now), isBrittle, choose.AllCold(candidates):
		order = p.permitOrder(candidates, placement, q)
	case placement.Engine != choose.NoEngine && candidates[placement.Engine].Cold:
		plan.Warm = true
		order = []int{placement.Engine}
	default:
		choice, ok := p.commit(engines, candidates, placement, q, now)
		return Plan{Choice: choice}, ok
	}
	config := s.Config.Service(service)
	var few map[string]bool
	if q.Version == "" {
		few = fewOfVersion(candidates)
	}
	for _, i := range order {
		candidate := PermitCandidate{
			Choice: p.candidateChoice(engines, candidates, i, q, now), MaxInFlight: choose.MaxInFlight(candidates, i),
			Pace: p.pace(config, engines[i].ID, now),
		}
		if config != nil {
			candidate.Memory = config.CacheTokens
		}
		if len(q.Shared) == 0 {
			candidate.MostInFlight = choose.MostInFlight(candidates, i)
		}
		if isBrittle {
			candidate.Brittle, candidate.Tolerance = true, tolerance
			candidate.Choice.brittle = true
		}
		if isBrittle || few[candidates[i].Version] {
			// Streams that are resumed have only the engines of their version. The room beyond the slots
			// is for them.
			candidate.MaxInFlight = max(min(candidate.MaxInFlight, candidates[i].Slots), 1)
			candidate.MostInFlight = 0
		}
		plan.Ask = append(plan.Ask, candidate)
	}
	return plan, len(plan.Ask) > 0
}

// permitOrder returns the indexes of the engines to request a permit for, in order. A request that
// may crash its engine is sent only to the engine of its placement.
func (p *Balancer) permitOrder(candidates []choose.Engine, placement choose.Placement, q Query) []int {
	switch {
	case q.Isolate != 0 && placement.Engine == choose.NoEngine:
		return nil
	case q.Isolate != 0:
		return []int{placement.Engine}
	case len(q.Shared) == 0:
		return choose.PlainCandidates(candidates, p.rng)
	}
	return choose.PromptCandidates(candidates, placementKey(q.Shared), p.rng)
}

// congested reports whether requests with a key of congestionKey need a permit. The caller holds the
// mutex.
func (p *Balancer) congested(key string, candidates []choose.Engine, now time.Duration) bool {
	if choose.Crowded(candidates) {
		p.congestedUntil[key] = now + congestedFor
	}
	return now < p.congestedUntil[key]
}

// congestionKey returns the key of the requests that the same engines serve: all of a service, or those
// that resume streams of one version.
func congestionKey(service, version string) string {
	if version == "" {
		return service
	}
	return service + " " + version
}

// candidateChoice returns the choice of the i-th engine, to be used if a permit for it is granted.
// The caller holds the mutex.
func (p *Balancer) candidateChoice(engines []catalog.Engine, candidates []choose.Engine, i int, q Query, now time.Duration) Choice {
	choice := Choice{Engine: engines[i], isolate: q.Isolate}
	if len(q.Shared) > 0 {
		placement := choose.PlacementAt(candidates, i, placementKey(q.Shared))
		choice.FetchFrom = p.fetchSource(engines, candidates, placement, q.Shared, now)
	}
	return choice
}

// unownedShare is the share of its slots up to which an engine gets requests while the owner of its gate
// does not reply. Each router decides alone, by loads that are a few tenths of a second old, and the
// engine queues what comes at once.
const unownedShare = 0.75

// StartUnowned counts a request at the engine of a choice, without a permit, if the engine is warm and
// has room by the known loads. Done must be called with the result.
func (p *Balancer) StartUnowned(s *catalog.Snapshot, choice Choice, shared []string) (Choice, bool) {
	now := p.clock()
	others := p.reported()
	p.mu.Lock()
	defer p.mu.Unlock()
	engines, candidates := p.candidates(s, choice.Engine.Service, Query{Isolate: choice.isolate}, others, now)
	for i, e := range candidates {
		if e.ID != choice.Engine.ID {
			continue
		}
		limit := min(unownedShare*float64(max(e.Slots, 1)), float64(choose.MaxInFlight(candidates, i)))
		if e.Draining || e.Cold || e.Share <= 0 || float64(e.InFlight)+1 > limit {
			return Choice{}, false
		}
		started, ok := p.start(engines, i, Query{Isolate: choice.isolate}, now)
		started.FetchFrom = choice.FetchFrom
		if len(shared) > 0 {
			p.promptCaches.add(e.ID, shared, now)
		}
		return started, ok
	}
	return Choice{}, false
}

// StartLeased counts a request at an engine for which a permit was granted, until Done is called.
func (p *Balancer) StartLeased(choice Choice, shared []string) Choice {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.load(choice.Engine.ID)
	load.inFlight++
	load.leased++
	load.countSuspect(choice.isolate, 1)
	choice.startedAt, choice.hold = now, &hold{}
	choice.returning = p.pauses.Start(choice.Engine.ID, startOf(choice.Engine))
	if len(shared) > 0 {
		p.promptCaches.add(choice.Engine.ID, shared, now)
	}
	return choice
}

// recordNeed updates the mean memory that requests to the service need. The caller holds the mutex.
func (p *Balancer) recordNeed(service string, need room.Need) {
	if !need.Known() {
		return
	}
	valueOf(p.meanNeeds, service).Add(need)
}

// room returns how many requests of the mean need fit into the memory of an engine of the service; zero if
// that is not known. The caller holds the mutex.
func (p *Balancer) room(config *catalog.Service) int {
	if config == nil || p.meanNeeds[config.Name] == nil {
		return 0
	}
	return p.meanNeeds[config.Name].Requests(config.CacheTokens)
}

// recordHold updates the mean time that requests of the service occupy an engine. The caller holds
// the mutex.
func (p *Balancer) recordHold(service string, took time.Duration) {
	mean, ok := p.meanHolds[service]
	if !ok {
		p.meanHolds[service] = took
		return
	}
	p.meanHolds[service] = mean + time.Duration(meanHoldWeight*float64(took-mean))
}
