package placement

import (
	"math/rand/v2"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// The baselines apply the same filters as Picker, including the batch limit, but ignore the load
// bound and, except for its effect on the weight, the cached prefix. They exist for comparison.
type (
	// Random selects a random engine with capacity.
	Random struct{ baseline }
	// RoundRobin selects the engines with capacity in turn.
	RoundRobin struct {
		baseline
		next int
	}
	// LeastLoad selects the engine with capacity that has the least load.
	LeastLoad struct{ baseline }
	// Modulo selects the engine at the chat's hash modulo the number of engines with capacity, and
	// so moves most chats whenever that number changes.
	Modulo struct{ baseline }
	// Unbounded follows the chat's rendezvous order regardless of the load.
	Unbounded struct{ baseline }
)

// baseline holds what all baselines share, with the indexes of the engines with capacity.
type baseline struct {
	policy    Policy
	rng       *rand.Rand
	available []int
}

// NewBaselines returns one of each baseline by name. They share rng.
func NewBaselines(p Policy, rng *rand.Rand) map[string]Strategy {
	b := baseline{policy: NewPicker(p, rng).policy, rng: rng}
	return map[string]Strategy{
		"random":      &Random{b},
		"round-robin": &RoundRobin{baseline: b},
		"least-load":  &LeastLoad{b},
		"modulo":      &Modulo{b},
		"unbounded":   &Unbounded{b},
	}
}

// Pick implements Strategy.
func (s *Random) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	return s.decide(pool, req, s.random(), ByLoad), nil
}

// Pick implements Strategy.
func (s *RoundRobin) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	s.next++
	return s.decide(pool, req, s.available[s.next%len(s.available)], ByLoad), nil
}

// Pick implements Strategy.
func (s *LeastLoad) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	least := s.available[0]
	for _, i := range s.available {
		if pool.Engines[i].Load < pool.Engines[least].Load {
			least = i
		}
	}
	return s.decide(pool, req, least, ByLoad), nil
}

// Pick implements Strategy.
func (s *Modulo) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	if req.Chat == 0 {
		return s.decide(pool, req, s.random(), ByLoad), nil
	}
	i := req.Chat % uint64(len(s.available))
	return s.decide(pool, req, s.available[i], Preferred), nil
}

// Pick implements Strategy.
func (s *Unbounded) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	if req.Chat == 0 {
		return s.decide(pool, req, s.random(), ByLoad), nil
	}
	key := rendezvous.Mix(req.Chat)
	var top topNode
	selected := noIndex
	for _, i := range s.available {
		id := pool.Engines[i].ID
		if top.offer(key.Score(id), id) {
			selected = i
		}
	}
	return s.decide(pool, req, selected, Preferred), nil
}

// collect lists the engines with capacity, and returns a *RefusedError if there are none.
func (b *baseline) collect(pool *Pool) error {
	load := newPoolLoad()
	var excluded Excluded
	b.available = b.available[:0]
	for i := range pool.Engines {
		e := &pool.Engines[i]
		r := e.filter()
		if r.inService() {
			load.add(e)
		}
		if r == passed {
			b.available = append(b.available, i)
			continue
		}
		excluded.count(r)
	}
	if len(b.available) == 0 {
		return newRefusedError(load, excluded)
	}
	return nil
}

func (b *baseline) random() int {
	return b.available[b.rng.IntN(len(b.available))]
}

func (b *baseline) decide(pool *Pool, req *Request, i int, reason Reason) Decision {
	e := &pool.Engines[i]
	cached := req.cachedTokens(e)
	return Decision{
		Index:  i,
		Weight: b.policy.Weight(req, cached),
		Cached: cached,
		Reason: reason,
		Wait:   secondsToDuration(b.policy.cost(e, req, cached)),
	}
}
