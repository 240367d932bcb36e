package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
	"damaskrouter.example/damaskrouter/internal/outlier"
	"damaskrouter.example/damaskrouter/internal/rendezvous"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Engines is what a router knows of the engines by its own requests: how many it
// has at each, and which fail. It is safe for concurrent use.
type Engines struct {
	site string
	// others returns the other routers' loads by engine ID.
	others func() map[string]int
	rng    *rand.Rand

	mu       sync.Mutex
	own      map[string]int
	services map[string]*outlier.Detector
	// joined holds the engines that their service's detector knows, by ID.
	joined map[string]string
	// sent remembers when this router last sent a prompt to an engine.
	sent *lru.Cache[held, time.Time]
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

// healthConfig are the thresholds at which an engine is taken out of service.
// An outage of an engine lasts seconds, and a request's time limit is about as
// long: two requests without an answer are enough, and the first return is soon.
var healthConfig = outlier.Config{
	MaxEjected:   0.5,
	Consecutive:  2,
	SlowFactor:   4,
	SlowFloor:    300 * time.Millisecond,
	FailureShare: 0.4,
	MinSamples:   8,
	MinPeers:     3,
	Smoothing:    0.15,
	BaseEjection: 1500 * time.Millisecond,
	MaxEjection:  6 * time.Second,
	ForgetAfter:  10 * time.Second,
	RampTime:     time.Second,
	RampSteps:    4,
}

// NewEngines returns an Engines for a router in a site.
func NewEngines(site string, others func() map[string]int, rng *rand.Rand) *Engines {
	// The size is not negative, the only reason to fail.
	sent, _ := lru.New[held, time.Time](maxHeld)
	return &Engines{
		sent: sent,
		site: site, others: others, rng: rng,
		own:      make(map[string]int),
		services: make(map[string]*outlier.Detector),
		joined:   make(map[string]string),
	}
}

// Own returns how many requests this router has at each engine.
func (p *Engines) Own() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.own))
	for id, n := range p.own {
		out[id] = n
	}
	return out
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
func (p *Engines) Pick(s *catalog.Snapshot, service, sharedPart string, avoid map[string]bool, now time.Time) (Choice, bool) {
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
	p.own[choice.Engine.ID]++
	return choice, true
}

// newAt notes that the prompt goes to the engine, and says whether this router
// has not sent it there lately. An engine that has the prompt has nothing to
// fetch, and asking costs a few milliseconds.
func (p *Engines) newAt(engine, sharedPart string, now time.Time) bool {
	key := held{engine, sharedPart}
	last, ok := p.sent.Get(key)
	p.sent.Add(key, now)
	return !ok || now.Sub(last) > heldFor
}

func (p *Engines) candidates(s *catalog.Snapshot, service string, avoid map[string]bool, others map[string]int, now time.Time) ([]catalog.Engine, []choose.Engine) {
	det := p.detector(service)
	var engines []catalog.Engine
	var out []choose.Engine
	config := s.Config.Service(service)
	for _, e := range s.Engines.Of(service) {
		if avoid[e.ID] {
			continue
		}
		p.join(det, e, now)
		slots := e.Slots
		if slots == 0 && config != nil {
			slots = config.Slots
		}
		key := rendezvous.ID(e.ID)
		engines = append(engines, e)
		out = append(out, choose.Engine{
			ID: e.ID, Key: key, InFlight: p.own[e.ID] + others[e.ID], Slots: slots,
			Near: e.Site == p.site, Leaving: e.Draining, Share: det.Ramp(key, now),
		})
	}
	return engines, out
}

func (p *Engines) detector(service string) *outlier.Detector {
	det := p.services[service]
	if det == nil {
		det = outlier.NewDetector(healthConfig)
		p.services[service] = det
	}
	return det
}

func (p *Engines) join(det *outlier.Detector, e catalog.Engine, now time.Time) {
	if _, known := p.joined[e.ID]; !known {
		p.joined[e.ID] = e.Service
		det.Join(rendezvous.ID(e.ID), now)
	}
}

// Done ends the count of a request.
func (p *Engines) Done(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own[engine]--; p.own[engine] <= 0 {
		delete(p.own, engine)
	}
}

// Observe notes how an engine did.
func (p *Engines) Observe(e catalog.Engine, kind outlier.Kind, latency time.Duration, now time.Time) *outlier.Ejection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector(e.Service).Observe(outlier.Observation{
		Engine: rendezvous.ID(e.ID), Time: now, Kind: kind, Latency: latency,
	})
}

// Review compares the engines of each service, forgets those that have left,
// and returns who was ejected. It is called about once a second.
func (p *Engines) Review(s *catalog.Snapshot, now time.Time) []outlier.Ejection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, service := range p.joined {
		if _, present := s.Engines.ByID[id]; !present {
			p.detector(service).Leave(rendezvous.ID(id), now)
			delete(p.joined, id)
		}
	}
	var out []outlier.Ejection
	for _, det := range p.services {
		out = append(out, det.Evaluate(now)...)
	}
	return out
}

// Heard takes what an engine says of itself in an answer.
func (p *Engines) Heard(engine string, reply Reply) {}
