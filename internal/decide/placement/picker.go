package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// noIndex is the index of no engine or candidate.
const noIndex = -1

// Picker selects engines by predicted wait and cached prefix under the load bound. It reuses its
// list of candidates, so that a decision does not allocate.
type Picker struct {
	policy     Policy
	rng        *rand.Rand
	candidates []candidate
}

// candidate is an engine in service. It may take the request unless its cost is inadmissible.
type candidate struct {
	index  int
	cached int
	weight int64
	// cost is the predicted wait in seconds, or inadmissible.
	cost float64
	// overBound means that the request exceeds the load bound and is admitted nevertheless.
	overBound bool
}

// inadmissible is the cost of an engine that is full or would exceed the bound. Such engines stay
// in the list, since one of them may be the chat's preferred one.
const inadmissible = math.MaxFloat64

// NewPicker returns a Picker. The Picker uses rng for requests that it places by PowerOfTwo, see
// Policy.Spread; the same seed and arguments give the same decisions.
func NewPicker(p Policy, rng *rand.Rand) *Picker {
	p.PrefillRate = rate(p.PrefillRate, DefaultPrefillRate)
	p.DrainRate = rate(p.DrainRate, DefaultDrainRate)
	return &Picker{policy: p, rng: rng}
}

// Pick implements Strategy.
func (p *Picker) Pick(pool *Pool, req *Request) (Decision, error) {
	load, excluded := p.listCandidates(pool)
	admitted := p.computeCosts(pool, req, &load)
	if admitted == 0 {
		excluded.Bound = len(p.candidates) - excluded.Full
		return Decision{}, newRefusedError(load, excluded)
	}
	c, reason := p.selectCandidate(pool, req, admitted)
	return c.decision(reason), nil
}

// listCandidates lists the engines in service and sums up their load.
func (p *Picker) listCandidates(pool *Pool) (PoolLoad, Excluded) {
	load := newPoolLoad()
	var excluded Excluded
	p.candidates = slices.Grow(p.candidates[:0], len(pool.Engines))
	for i := range pool.Engines {
		e := &pool.Engines[i]
		r := e.filter()
		if r != passed {
			excluded.count(r)
		}
		if r.inService() {
			load.add(e)
			p.addCandidate(i)
		}
	}
	return load, excluded
}

// addCandidate adds the engine at index, as inadmissible until its cost is computed. It writes the
// fields in place: an append of the whole struct copied it twice, which took a third of the time of
// a decision.
func (p *Picker) addCandidate(index int) {
	n := len(p.candidates)
	p.candidates = p.candidates[:n+1]
	c := &p.candidates[n]
	c.index = index
	c.cost = inadmissible
}

// computeCosts computes the cost of the candidates that are not full and that the load bound
// admits, and returns their number.
func (p *Picker) computeCosts(pool *Pool, req *Request, load *PoolLoad) (admitted int) {
	uncachedWeight := p.policy.Weight(req, 0)
	for i := range p.candidates {
		c := &p.candidates[i]
		e := &pool.Engines[c.index]
		c.weight = uncachedWeight
		if c.cached = req.cachedTokens(e); c.cached > 0 {
			c.weight = p.policy.Weight(req, c.cached)
		}
		fits, overBound := load.admits(e, c.weight, pool.Bound)
		if e.Running >= e.MaxBatch || !fits && !overBound {
			continue
		}
		c.overBound = overBound
		c.cost = p.policy.cost(e, req, c.cached)
		admitted++
	}
	return admitted
}

// selectCandidate selects one of the candidates. An engine with a cached prefix is selected as long
// as its wait is near the best. Otherwise a returning chat follows its rendezvous order, since that
// is where it most likely was before, and where the next router will place it.
func (p *Picker) selectCandidate(pool *Pool, req *Request, admitted int) (*candidate, Reason) {
	best, cached := p.cheapest()
	if cached != nil && cached.cost <= best.cost+p.policy.EvidenceWait.Seconds() {
		return cached, ByEvidence
	}
	if req.Chat == 0 || req.EarlierTokens == 0 {
		// The first turn of a chat brings the chat's long documents, and no engine has cached any
		// of them. It is placed by load, and later turns follow it.
		return p.spread(best, admitted), ByLoad
	}
	return p.selectByRendezvous(pool, req, best.cost+p.policy.preferredSlack(req))
}

// cheapest returns the candidate with the least cost, and the one with the least cost among those
// with a cached prefix, or nil. The latter may be inadmissible.
func (p *Picker) cheapest() (best, cached *candidate) {
	for i := range p.candidates {
		c := &p.candidates[i]
		if best == nil || c.cost < best.cost {
			best = c
		}
		if c.cached > 0 && (cached == nil || c.cost < cached.cost) {
			cached = c
		}
	}
	return best, cached
}

// spread selects a candidate by load, for a request without a chat or for the first turn of one.
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
		if p.candidates[i].cost == inadmissible {
			continue
		}
		if n == 0 {
			return &p.candidates[i]
		}
		n--
	}
	return nil
}

// selectByRendezvous returns the first candidate in the chat's rendezvous order among those that
// cost at most limit seconds. The reason is Preferred if no engine in service precedes it.
func (p *Picker) selectByRendezvous(pool *Pool, req *Request, limit float64) (*candidate, Reason) {
	key := rendezvous.Mix(req.Chat)
	var overall, within topNode
	selected := noIndex
	for i := range p.candidates {
		c := &p.candidates[i]
		id := pool.Engines[c.index].ID
		score := key.Score(id)
		overall.offer(score, id)
		if c.cost <= limit && within.offer(score, id) {
			selected = i
		}
	}
	if overall == within {
		return &p.candidates[selected], Preferred
	}
	return &p.candidates[selected], Overflow
}

// topNode is the first node of a rendezvous order among those offered so far.
type topNode struct {
	score, node uint64
	set         bool
}

// offer reports whether a node precedes all nodes offered before, and if so retains it. Ties are
// broken by the identifier, since routers may list the engines in any order.
func (t *topNode) offer(score, node uint64) bool {
	if t.set && (score < t.score || score == t.score && node >= t.node) {
		return false
	}
	*t = topNode{score, node, true}
	return true
}

func (c *candidate) decision(reason Reason) Decision {
	return Decision{
		Index:     c.index,
		Weight:    c.weight,
		Cached:    c.cached,
		Reason:    reason,
		OverBound: c.overBound,
		Wait:      secondsToDuration(c.cost),
	}
}

func newRefusedError(load PoolLoad, excluded Excluded) error {
	if load.N == 0 {
		return &RefusedError{Cause: ErrNoEngine, Excluded: excluded}
	}
	return &RefusedError{Cause: ErrFull, Excluded: excluded}
}

// secondsToDuration converts seconds to a duration, limited to the longest one.
func secondsToDuration(s float64) time.Duration {
	ns := s * float64(time.Second)
	if ns >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}
