package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/health"
	"damaskrouter.example/damaskrouter/internal/rendezvous"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Engines is what a router knows of the engines by its own requests: how many it
// has at each, and which fail. It is safe for concurrent use.
type Engines struct {
	site string
	// others returns the other routers' loads by engine ID.
	others func() map[string]feed.EngineLoad
	clock  func() time.Duration
	rng    *rand.Rand

	mu  sync.Mutex
	own map[string]*ownLoad
	// ejected holds the engines that get no requests, by ID, for the log.
	ejected map[string]bool
	// sent remembers when this router last sent a prompt to an engine.
	sent *lru.Cache[held, time.Duration]
}

// ownLoad is what this router knows of one engine by its own requests.
type ownLoad struct {
	inFlight int
	record   health.Record
}

// held names a shared part of a prompt at an engine.
type held struct{ engine, part string }

const (
	// maxHeld bounds the remembered prompts; an entry takes about 150 bytes.
	maxHeld = 16384
	// heldFor is how long an engine is taken to keep a prompt that was sent to
	// it. Caches of today's engines turn over in about a minute.
	heldFor = 30 * time.Second
)

// NewEngines returns an Engines for a router in a site.
func NewEngines(site string, others func() map[string]feed.EngineLoad, clock func() time.Duration, rng *rand.Rand) *Engines {
	// The size is not negative, the only reason to fail.
	sent, _ := lru.New[held, time.Duration](maxHeld)
	return &Engines{
		site: site, others: others, clock: clock, rng: rng, sent: sent,
		own:     make(map[string]*ownLoad),
		ejected: make(map[string]bool),
	}
}

// Own returns what this router knows of the engines.
func (p *Engines) Own() map[string]feed.EngineLoad {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]feed.EngineLoad, len(p.own))
	for id, l := range p.own {
		out[id] = feed.EngineLoad{InFlight: l.inFlight, Evidence: l.record.At(now)}
	}
	return out
}

// of returns the engine's load. The caller holds the mutex.
func (p *Engines) of(engine string) *ownLoad {
	l := p.own[engine]
	if l == nil {
		l = &ownLoad{}
		p.own[engine] = l
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
}

// Pick chooses an engine of the service and counts a request to it until Done.
// Engines in avoid are passed over. It returns false if there is none.
func (p *Engines) Pick(s *catalog.Snapshot, service, sharedPart string, avoid map[string]bool) (Choice, bool) {
	now := p.clock()
	others := p.others()
	p.mu.Lock()
	defer p.mu.Unlock()
	engines, candidates := p.candidates(s, service, avoid, others, now)
	var choice Choice
	var i int
	if sharedPart == "" {
		i = choose.Plain(candidates, p.rng)
	} else {
		at := choose.Prompted(candidates, rendezvous.ID(sharedPart), p.rng)
		i = at.Engine
		if i != choose.None && at.Holder != choose.None && p.newAt(engines[i].ID, sharedPart, now) {
			choice.FetchFrom = engines[at.Holder].Address
		}
	}
	if i == choose.None {
		return Choice{}, false
	}
	choice.Engine = engines[i]
	p.of(choice.Engine.ID).inFlight++
	return choice, true
}

// newAt notes that the prompt goes to the engine, and says whether this router
// has not sent it there lately. An engine that has the prompt has nothing to
// fetch, and asking costs a few milliseconds.
func (p *Engines) newAt(engine, sharedPart string, now time.Duration) bool {
	key := held{engine, sharedPart}
	last, ok := p.sent.Get(key)
	p.sent.Add(key, now)
	return !ok || now-last > heldFor
}

func (p *Engines) candidates(s *catalog.Snapshot, service string, avoid map[string]bool, others map[string]feed.EngineLoad, now time.Duration) ([]catalog.Engine, []choose.Engine) {
	var engines []catalog.Engine
	var out []choose.Engine
	var evidence []health.Evidence
	config := s.Config.Service(service)
	for _, e := range s.Engines.Of(service) {
		if avoid[e.ID] {
			continue
		}
		slots := e.Slots
		if slots == 0 && config != nil {
			slots = config.Slots
		}
		load := others[e.ID]
		if own := p.own[e.ID]; own != nil {
			load.InFlight += own.inFlight
			load.Evidence = load.Evidence.Add(own.record.At(now))
		}
		engines = append(engines, e)
		evidence = append(evidence, load.Evidence)
		out = append(out, choose.Engine{
			ID: e.ID, Key: rendezvous.ID(e.ID), InFlight: load.InFlight, Slots: slots,
			Near: e.Site == p.site, Leaving: e.Draining,
		})
	}
	for i, share := range health.Shares(evidence) {
		out[i].Share = share
	}
	return engines, out
}

// Done ends the count of a request.
func (p *Engines) Done(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(engine).inFlight--
}

// Note adds how a request at an engine ended.
func (p *Engines) Note(engine string, good bool) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(engine).record.Note(good, now)
}

// Verdict is a change of the judgement on an engine.
type Verdict struct {
	Engine, Service string
	// Ejected engines get no requests.
	Ejected  bool
	Evidence health.Evidence
}

// Review forgets the engines that have left, and returns whose judgement has
// changed since the last call.
func (p *Engines) Review(s *catalog.Snapshot) []Verdict {
	others := p.others()
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.own {
		if _, present := s.Engines.ByID[id]; !present && l.inFlight == 0 {
			delete(p.own, id)
			delete(p.ejected, id)
		}
	}
	if s.Config == nil {
		return nil
	}
	var out []Verdict
	for i := range s.Config.Services {
		service := s.Config.Services[i].Name
		_, candidates := p.candidates(s, service, nil, others, now)
		for _, c := range candidates {
			if ejected := c.Share == 0; ejected != p.ejected[c.ID] {
				p.ejected[c.ID] = ejected
				evidence := others[c.ID].Evidence.Add(p.of(c.ID).record.At(now))
				out = append(out, Verdict{Engine: c.ID, Service: service, Ejected: ejected, Evidence: evidence})
			}
		}
	}
	return out
}
