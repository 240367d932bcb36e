package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// Engines is what a router knows of the engines by its own requests: how many it
// has at each, and which fail. It is safe for concurrent use.
type Engines struct {
	site string
	// others returns the other routers' loads by engine ID.
	otherLoads func() map[string]feed.EngineLoad
	clock      func() time.Duration
	rng        *rand.Rand
	// release gives a place back.
	release func(*flow.Permit)

	mu       sync.Mutex
	ownLoads map[string]*ownLoad
	// ejected holds the engines that get no requests, by ID, for the log.
	ejected map[string]bool
	// holders is which engines hold which parts of prompts, as far as this router
	// has sent them.
	promptCaches promptCaches
	// seen is each engine as it was last among the engines, and since when this router
	// knows any.
	states     map[string]engineState
	knownSince time.Duration
	// restarted is told of engines that have started again.
	onRestart func(engine string)
	// coldLimits bound the requests to cold engines.
	coldLimits func() ColdLimits
	// crowdedUntil is until when requests of a service ask for places, and holds how
	// long they have them in the mean.
	congestedUntil map[string]time.Duration
	meanHolds      map[string]time.Duration
}

// ownLoad is what this router knows of one engine by its own requests.
type ownLoad struct {
	// inFlight is how many requests are there, leased how many of them have a lease of
	// a gate.
	inFlight, leased int
	record           health.Record
}

// NewEngines returns an Engines for a router in a site.
func NewEngines(site string, others func() map[string]feed.EngineLoad, clock func() time.Duration, rng *rand.Rand) *Engines {
	return &Engines{
		site: site, otherLoads: others, clock: clock, rng: rng, promptCaches: newPromptCaches(),
		ownLoads:       make(map[string]*ownLoad),
		states:         make(map[string]engineState),
		ejected:        make(map[string]bool),
		coldLimits:     func() ColdLimits { return ColdLimits{} },
		congestedUntil: make(map[string]time.Duration), meanHolds: make(map[string]time.Duration),
	}
}

// ReleaseBy says how places are given back.
func (p *Engines) ReleaseBy(release func(*flow.Permit)) { p.release = release }

// OnRestart says who is told of engines that have started again. It must not block.
func (p *Engines) OnRestart(restarted func(engine string)) { p.onRestart = restarted }

// Own returns what this router knows of the engines.
func (p *Engines) Own() map[string]feed.EngineLoad {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]feed.EngineLoad, len(p.ownLoads))
	for id, l := range p.ownLoads {
		out[id] = feed.EngineLoad{InFlight: l.inFlight, Leased: l.leased, Evidence: l.record.At(now)}
	}
	return out
}

// of returns the engine's load. The caller holds the mutex.
func (p *Engines) load(engine string) *ownLoad {
	l := p.ownLoads[engine]
	if l == nil {
		l = &ownLoad{}
		p.ownLoads[engine] = l
	}
	return l
}

// Choice is where a request goes.
type Choice struct {
	Engine catalog.Engine
	// FetchFrom is the address of an engine from whose cache the chosen one
	// should fetch what it lacks of the prompt; empty for none. Fetching costs
	// less than reading the prompt again, in time and in load.
	FetchFrom string

	// permit is the place that was granted; nil if none was asked for.
	permit *flow.Permit
	// taken is the boot time since which the request counts.
	startedAt time.Duration
}

// Pick chooses an engine of the service and counts a request to it until Done.
// shared are the parts of the prompt that other requests may have too, in order.
// Engines in avoid are passed over, and cold ones, which need a grant. It returns false if there is
// none.
func (p *Engines) Pick(s *catalog.Snapshot, service string, shared []string, excluded map[string]bool) (Choice, bool) {
	now := p.clock()
	others := p.otherLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	engines, candidates := p.candidates(s, service, excluded, others, now)
	candidates = choose.WithoutCold(candidates)
	return p.commit(engines, candidates, p.placement(candidates, shared), shared, now)
}

// placement chooses among candidates. The caller holds the mutex.
func (p *Engines) placement(candidates []choose.Engine, shared []string) choose.Placement {
	if len(shared) == 0 {
		return choose.Placement{Engine: choose.Plain(candidates, p.rng), Holder: choose.None}
	}
	return choose.Prompted(candidates, rendezvous.ID(shared[len(shared)-1]), p.rng)
}

// settle takes a placement. The caller holds the mutex.
func (p *Engines) commit(engines []catalog.Engine, candidates []choose.Engine, placement choose.Placement, shared []string, now time.Duration) (Choice, bool) {
	choice, ok := p.start(engines, placement.Engine, now)
	if !ok || len(shared) == 0 {
		return choice, ok
	}
	choice.FetchFrom = p.fetchSource(engines, candidates, placement, shared, now)
	p.promptCaches.add(choice.Engine.ID, shared, now)
	return choice, true
}

// take counts a request to an engine.
func (p *Engines) start(engines []catalog.Engine, i int, now time.Duration) (Choice, bool) {
	if i == choose.None {
		return Choice{}, false
	}
	p.load(engines[i].ID).inFlight++
	return Choice{Engine: engines[i], startedAt: now}, true
}

// fetchFrom returns the address of the engine that holds most of the prompt, or
// nothing if the chosen engine has it: asking costs a few milliseconds. What this
// router has sent goes before what the order of the engines says, and that before
// shorter parts.
func (p *Engines) fetchSource(engines []catalog.Engine, candidates []choose.Engine, placement choose.Placement, shared []string, now time.Duration) string {
	chosen := engines[placement.Engine].ID
	longest := len(shared) - 1
	if p.promptCaches.contains(chosen, shared[longest], now) {
		return ""
	}
	if address, ok := p.sourceAddress(engines, candidates, chosen, shared[longest], now); ok {
		return address
	}
	if placement.Holder != choose.None && placement.Moved {
		return engines[placement.Holder].Address
	}
	for i := longest - 1; i >= 0 && !p.promptCaches.contains(chosen, shared[i], now); i-- {
		if address, ok := p.sourceAddress(engines, candidates, chosen, shared[i], now); ok {
			return address
		}
	}
	if placement.Holder == choose.None {
		return ""
	}
	return engines[placement.Holder].Address
}

// addressOf returns the address of the engine, other than the chosen one, that this
// router last sent the part to, unless it is ejected: a request would wait for an
// engine that gives nothing.
func (p *Engines) sourceAddress(engines []catalog.Engine, candidates []choose.Engine, chosen, part string, now time.Duration) (string, bool) {
	holder, ok := p.promptCaches.otherEngine(chosen, part, now)
	if !ok {
		return "", false
	}
	for i, e := range engines {
		if e.ID == holder {
			return e.Address, candidates[i].CanGive()
		}
	}
	return "", false
}

func (p *Engines) candidates(s *catalog.Snapshot, service string, excluded map[string]bool, others map[string]feed.EngineLoad, now time.Duration) ([]catalog.Engine, []choose.Engine) {
	var engines []catalog.Engine
	var out []choose.Engine
	var evidence []health.Evidence
	config := s.Config.Service(service)
	for _, e := range s.Engines.Of(service) {
		if excluded[e.ID] {
			continue
		}
		p.observe(s, e, now)
		slots := e.Slots
		if slots == 0 && config != nil {
			slots = config.Slots
		}
		load := others[e.ID]
		if own := p.ownLoads[e.ID]; own != nil {
			load.InFlight += own.inFlight
			load.Evidence = load.Evidence.Add(own.record.At(now))
		}
		engines = append(engines, e)
		evidence = append(evidence, load.Evidence)
		out = append(out, choose.Engine{
			ID: e.ID, Key: rendezvous.ID(e.ID), InFlight: load.InFlight, Slots: slots,
			Near: e.Site == p.site, Leaving: !s.TakesRequests(e), Fresh: p.recentlyStarted(e.ID, now),
			Came: p.states[e.ID].firstSeen,
			Cold: p.coldRemaining(config, e.ID, now) > 0,
		})
	}
	for i, share := range health.Shares(evidence) {
		out[i].Share = share
	}
	return engines, out
}

// sight notes an engine that is there. One that has started again under its ID holds
// nothing, and how its requests ended before says nothing of it. The caller holds the mutex.
func (p *Engines) observe(s *catalog.Snapshot, e catalog.Engine, now time.Duration) {
	if len(p.states) == 0 {
		p.knownSince = now
	}
	previous, known := p.states[e.ID]
	restarted := known && e.RestartOf(previous.engine)
	current := previous
	current.engine = e
	if !known || restarted {
		current.firstSeen = now
	}
	entryChanged := !known || e.Revision > previous.engine.Revision
	emptied := current.updateCold(s, coldStartDuration(s, e.Service), now, known, entryChanged)
	p.states[e.ID] = current
	if emptied {
		p.promptCaches.markEmpty(e.ID, now)
	}
	if !restarted {
		return
	}
	p.load(e.ID).record = health.Record{}
	p.promptCaches.markEmpty(e.ID, now)
	if p.onRestart != nil {
		p.onRestart(e.ID)
	}
}

// fresh says whether an engine came a short time ago, and not before this router
// did. The caller holds the mutex.
func (p *Engines) recentlyStarted(engine string, now time.Duration) bool {
	firstSeen := p.states[engine].firstSeen
	return firstSeen > p.knownSince+startupSettleTime && now-firstSeen <= promptCacheTTL
}

// HasRoom says whether an engine of the service, other than those in avoid, takes
// requests and has a free place.
func (p *Engines) HasFreeSlot(s *catalog.Snapshot, service string, excluded map[string]bool) bool {
	others := p.otherLoads()
	p.mu.Lock()
	defer p.mu.Unlock()
	_, candidates := p.candidates(s, service, excluded, others, p.clock())
	return slices.ContainsFunc(candidates, choose.Engine.HasRoom)
}

// Done ends the count of a request, and gives its place back.
func (p *Engines) Done(choice Choice) {
	if choice.permit != nil {
		p.release(choice.permit)
	}
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.load(choice.Engine.ID)
	load.inFlight--
	if choice.permit != nil {
		load.leased--
	}
	p.recordHold(choice.Engine.Service, now-choice.startedAt)
}

// Known is what this router and the others' reports say of an engine's load.
func (p *Engines) Known(engine string) flow.Known {
	load := p.otherLoads()[engine]
	p.mu.Lock()
	defer p.mu.Unlock()
	if own := p.ownLoads[engine]; own != nil {
		load.InFlight += own.inFlight
		load.Leased += own.leased
	}
	return flow.Known{Unasked: max(load.InFlight-load.Leased, 0), Leased: load.Leased}
}

// Note adds how a request at an engine ended.
func (p *Engines) RecordOutcome(engine string, good bool) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load(engine).record.Note(good, now)
}

// Verdict is a change of the judgement on an engine.
type EjectionChange struct {
	Engine, Service string
	// Ejected engines get no requests.
	Ejected  bool
	Evidence health.Evidence
}

// Review forgets the engines that have left, and returns whose judgement has
// changed since the last call.
func (p *Engines) Review(s *catalog.Snapshot) []EjectionChange {
	others := p.otherLoads()
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.ownLoads {
		if _, present := s.Engines.ByID[id]; !present && l.inFlight == 0 {
			delete(p.ownLoads, id)
			delete(p.ejected, id)
		}
	}
	for id := range p.states {
		if _, ok := s.Engines.ByID[id]; !ok {
			delete(p.states, id)
			p.promptCaches.remove(id)
		}
	}
	if s.Config == nil {
		return nil
	}
	var out []EjectionChange
	for i := range s.Config.Services {
		service := s.Config.Services[i].Name
		_, candidates := p.candidates(s, service, nil, others, now)
		for _, c := range candidates {
			if ejected := c.Share == 0; ejected != p.ejected[c.ID] {
				p.ejected[c.ID] = ejected
				evidence := others[c.ID].Evidence.Add(p.load(c.ID).record.At(now))
				out = append(out, EjectionChange{Engine: c.ID, Service: service, Ejected: ejected, Evidence: evidence})
			}
		}
	}
	return out
}
