package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// none is the index of no engine or candidate.
const none = -1

// Picker places requests by predicted wait and cached prefix under the load
// bound. It reuses its scratch space, so that a decision doesn't allocate.
type Picker struct {
	policy     Policy
	rng        *rand.Rand
	candidates []candidate
}

// candidate is an engine in service and, where the cost is finite, one that
// may take the request.
type candidate struct {
	index  int
	cached int
	weight int64
	// cost is the predicted wait in seconds, or barred.
	cost float64
	lump bool
}

// barred is the cost of an engine that is full or beyond the bound. Such
// engines stay in the list, since one of them may be the chat's preferred one.
const barred = math.MaxFloat64

// NewPicker returns a picker. Rng is needed for requests without a chat; the
// same seed and arguments give the same decisions.
func NewPicker(p Policy, rng *rand.Rand) *Picker {
	p.PrefillRate = rate(p.PrefillRate, DefaultPrefillRate)
	p.DrainRate = rate(p.DrainRate, DefaultDrainRate)
	return &Picker{policy: p, rng: rng}
}

// Pick implements Strategy.
func (p *Picker) Pick(pool *Pool, req *Request) (Decision, error) {
	census, removed := p.survey(pool)
	admitted := p.assess(pool, req, &census)
	if admitted == 0 {
		removed.Bound = len(p.candidates) - removed.Full
		return Decision{}, refuse(census, removed)
	}
	c, reason := p.choose(pool, req, admitted)
	return c.decision(reason), nil
}

// survey lists the engines in service and sums them up.
func (p *Picker) survey(pool *Pool) (Census, Removed) {
	census := newCensus()
	var removed Removed
	p.candidates = slices.Grow(p.candidates[:0], len(pool.Engines))
	for i := range pool.Engines {
		e := &pool.Engines[i]
		v := e.check()
		if v != passed {
			removed.count(v)
		}
		if v.inService() {
			census.add(e)
			p.addCandidate(i)
		}
	}
	return census, removed
}

// addCandidate adds the engine at index, barred until it is assessed. It writes
// the fields in place: an append of the whole struct copied it twice, which was
// a third of the time of a decision.
func (p *Picker) addCandidate(index int) {
	n := len(p.candidates)
	p.candidates = p.candidates[:n+1]
	c := &p.candidates[n]
	c.index = index
	c.cost = barred
}

// assess works out the cost of the engines that have room and that the load
// bound admits, and returns their number.
func (p *Picker) assess(pool *Pool, req *Request, census *Census) (admitted int) {
	cold := p.policy.Weight(req, 0)
	for i := range p.candidates {
		c := &p.candidates[i]
		e := &pool.Engines[c.index]
		c.weight = cold
		if c.cached = req.cachedTokens(e); c.cached > 0 {
			c.weight = p.policy.Weight(req, c.cached)
		}
		fits, lump := census.admits(e, c.weight, pool.Bound)
		if e.Running >= e.MaxBatch || !fits && !lump {
			continue
		}
		c.lump = lump
		c.cost = p.policy.cost(e, req, c.cached)
		admitted++
	}
	return admitted
}

// choose picks among the candidates. An engine with the prefix wins as long as
// its wait is near the best. Then a chat follows its rendezvous order, which
// is where it most likely was before, and where the next router will look.
func (p *Picker) choose(pool *Pool, req *Request, admitted int) (*candidate, Reason) {
	best, warm := p.cheapest()
	if warm != nil && warm.cost <= best.cost+p.policy.KeepWait.Seconds() {
		return warm, ByEvidence
	}
	if req.Chat == 0 || req.EarlierTokens == 0 {
		// The first turn of a chat finds nothing cached anywhere, and brings the
		// whole dossier: it goes where there is room, and later turns follow it.
		return p.spread(best, admitted), ByLoad
	}
	return p.follow(pool, req, best.cost+p.policy.homeSlack(req))
}

// cheapest returns the candidate with the least cost, and the one with the
// least cost among those that hold a prefix, or nil. The latter may be barred.
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
func (p *Picker) spread(best *candidate, admitted int) *candidate {
	if p.policy.Spread == LeastWait {
		return best
	}
	a := p.nth(p.rng.IntN(admitted))
	b := p.nth(p.rng.IntN(admitted))
	if b.cost < a.cost {
		return b
	}
	return a
}

// nth returns the admitted candidate number n, counted from 0.
func (p *Picker) nth(n int) *candidate {
	for i := range p.candidates {
		if p.candidates[i].cost == barred {
			continue
		}
		if n == 0 {
			return &p.candidates[i]
		}
		n--
	}
	return nil
}

// follow takes the first candidate in the chat's rendezvous order among those
// that cost no more than limit seconds. It is the preferred one if no engine
// in service comes before it.
func (p *Picker) follow(pool *Pool, req *Request, limit float64) (*candidate, Reason) {
	key := rendezvous.Mix(req.Chat)
	var overall, within ranking
	at := none
	for i := range p.candidates {
		c := &p.candidates[i]
		id := pool.Engines[c.index].ID
		score := key.Score(id)
		overall.offer(score, id)
		if c.cost <= limit && within.offer(score, id) {
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

// offer says whether a node is better than all offered before. Equal scores are
// broken by the identifier, since routers may list the engines in any order.
func (r *ranking) offer(score, node uint64) bool {
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
