package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/rendezvous"
)

// none is the index of no engine or candidate.
const none = -1

// Picker places requests by predicted wait and cached prefix under the load
// bound. It reuses its scratch space, so that a decision doesn't allocate.
type Picker struct {
	policy     Policy
	rng        *rand.Rand
	candidates []candidate
	passedOver ranking
}

// candidate is an engine that passed the filters and the bound.
type candidate struct {
	index  int
	cached int
	weight int64
	cost   float64
	lump   bool
}

// NewPicker returns a picker. Rng is needed for requests without a chat; the
// same seed and arguments give the same decisions.
func NewPicker(p Policy, rng *rand.Rand) *Picker {
	p.PrefillRate = rate(p.PrefillRate, DefaultPrefillRate)
	p.DrainRate = rate(p.DrainRate, DefaultDrainRate)
	return &Picker{policy: p, rng: rng}
}

// Pick implements Strategy.
func (p *Picker) Pick(pool *Pool, req *Request) (Decision, error) {
	census := TakeCensus(pool.Engines)
	removed := p.filter(pool, req, census)
	if len(p.candidates) == 0 {
		return Decision{}, refuse(census, removed)
	}
	c, reason := p.choose(pool, req)
	return c.decision(reason), nil
}

// filter collects the engines that may take the request, with their costs. Of
// the engines in service that may not, it remembers the one that comes first
// in the chat's rendezvous order, to tell an overflow from the preferred engine.
func (p *Picker) filter(pool *Pool, req *Request, census Census) Removed {
	var removed Removed
	p.candidates = p.candidates[:0]
	p.passedOver = ranking{}
	cold := p.policy.Weight(req, 0)
	for i := range pool.Engines {
		e := &pool.Engines[i]
		v := e.check()
		if v == passed && p.consider(e, i, req, cold, census, pool.Bound) {
			continue
		}
		removed.count(v)
		if v.inService() {
			p.passedOver.offer(req.Chat, e.ID)
		}
	}
	return removed
}

// consider adds engine e at index i to the candidates if the load bound admits
// the request, whose weight without any cached prefix is cold.
func (p *Picker) consider(e *Engine, i int, req *Request, cold int64, census Census, bound float64) bool {
	weight := cold
	cached := req.cachedTokens(e)
	if cached > 0 {
		weight = p.policy.Weight(req, cached)
	}
	fits, lump := census.admits(e, weight, bound)
	if !fits && !lump {
		return false
	}
	cost := p.policy.cost(e, req, cached)
	p.candidates = append(p.candidates, candidate{i, cached, weight, cost, lump})
	return true
}

// choose picks among the candidates. An engine with the prefix wins as long as
// its wait is near the best. Then a chat follows its rendezvous order, which
// is where it most likely was before, and where the next router will look.
func (p *Picker) choose(pool *Pool, req *Request) (*candidate, Reason) {
	best, warm := p.cheapest()
	if warm != nil && warm.cost <= best.cost+p.policy.KeepWait.Seconds() {
		return warm, ByEvidence
	}
	if req.Chat == 0 {
		return p.spread(best), ByLoad
	}
	return p.follow(pool, req, best.cost+p.policy.homeSlack(req))
}

// cheapest returns the candidate with the least cost, and the one with the
// least cost among those that hold a prefix, or nil.
func (p *Picker) cheapest() (best, warm *candidate) {
	for i := range p.candidates {
		c := &p.candidates[i]
		if best == nil || c.cost < best.cost {
			best = c
		}
		if c.cached > 0 && (warm == nil || c.cost < warm.cost) {
			warm = c
		}
	}
	return best, warm
}

// spread chooses for a request without a chat.
func (p *Picker) spread(best *candidate) *candidate {
	if p.policy.Spread == LeastWait {
		return best
	}
	a := &p.candidates[p.rng.IntN(len(p.candidates))]
	b := &p.candidates[p.rng.IntN(len(p.candidates))]
	if b.cost < a.cost {
		return b
	}
	return a
}

// follow takes the first candidate in the chat's rendezvous order among those
// that cost no more than limit seconds. It is the preferred one if no engine
// in service comes before it.
func (p *Picker) follow(pool *Pool, req *Request, limit float64) (*candidate, Reason) {
	overall := p.passedOver
	var within ranking
	at := none
	for i := range p.candidates {
		c := &p.candidates[i]
		id := pool.Engines[c.index].ID
		score := rendezvous.Score(req.Chat, id)
		overall.offerScore(score, id)
		if c.cost <= limit && within.offerScore(score, id) {
			at = i
		}
	}
	if overall == within {
		return &p.candidates[at], Preferred
	}
	return &p.candidates[at], Overflow
}

// ranking remembers the best node of a rendezvous order seen so far.
type ranking struct {
	score, node uint64
	any         bool
}

// offer says whether node is better than all nodes offered before.
func (r *ranking) offer(key, node uint64) bool {
	return r.offerScore(rendezvous.Score(key, node), node)
}

// offerScore is offer for a score at hand. Equal scores are broken by the
// identifier, since routers may list the same engines in different orders.
func (r *ranking) offerScore(score, node uint64) bool {
	if r.any && (score < r.score || score == r.score && node >= r.node) {
		return false
	}
	*r = ranking{score, node, true}
	return true
}

func (c *candidate) decision(why Reason) Decision {
	return Decision{
		Index:  c.index,
		Weight: c.weight,
		Cached: c.cached,
		Reason: why,
		Lump:   c.lump,
		Wait:   seconds(c.cost),
	}
}

func refuse(c Census, removed Removed) error {
	if c.N == 0 {
		return &RefusedError{Cause: ErrNoEngine, Removed: removed}
	}
	return &RefusedError{Cause: ErrFull, Removed: removed}
}

// seconds converts a span without overflow.
func seconds(s float64) time.Duration {
	ns := s * float64(time.Second)
	if ns >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}
