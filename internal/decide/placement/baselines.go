package placement

import (
	"math/rand/v2"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// The baselines pass the same filters as Picker, batch limit included, but
// know neither the load bound nor, except for its effect on the weight, the
// cached prefix. They exist to be measured against.
type (
	// Random takes any engine with room.
	Random struct{ base }
	// RoundRobin takes the engines with room in turn.
	RoundRobin struct {
		base
		next int
	}
	// LeastLoad takes the engine with room that carries least.
	LeastLoad struct{ base }
	// Modulo takes the engine at the chat's hash modulo the number of engines
	// with room, and so moves most chats whenever that number changes.
	Modulo struct{ base }
	// Unbounded follows the chat's rendezvous order whatever the loads.
	Unbounded struct{ base }
)

// base collects the engines with room, as indexes.
type base struct {
	policy Policy
	rng    *rand.Rand
	room   []int
}

// NewBaselines returns one of each baseline by name. They share rng.
func NewBaselines(p Policy, rng *rand.Rand) map[string]Strategy {
	b := base{policy: NewPicker(p, rng).policy, rng: rng}
	return map[string]Strategy{
		"random":      &Random{b},
		"round-robin": &RoundRobin{base: b},
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
	return s.decide(pool, req, s.any(), ByLoad), nil
}

// Pick implements Strategy.
func (s *RoundRobin) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	s.next++
	return s.decide(pool, req, s.room[s.next%len(s.room)], ByLoad), nil
}

// Pick implements Strategy.
func (s *LeastLoad) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	least := s.room[0]
	for _, i := range s.room {
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
		return s.decide(pool, req, s.any(), ByLoad), nil
	}
	at := req.Chat % uint64(len(s.room))
	return s.decide(pool, req, s.room[at], Preferred), nil
}

// Pick implements Strategy.
func (s *Unbounded) Pick(pool *Pool, req *Request) (Decision, error) {
	if err := s.collect(pool); err != nil {
		return Decision{}, err
	}
	if req.Chat == 0 {
		return s.decide(pool, req, s.any(), ByLoad), nil
	}
	key := rendezvous.Mix(req.Chat)
	var top ranking
	at := none
	for _, i := range s.room {
		id := pool.Engines[i].ID
		if top.offer(key.Score(id), id) {
			at = i
		}
	}
	return s.decide(pool, req, at, Preferred), nil
}

// collect lists the engines with room, or refuses.
func (b *base) collect(pool *Pool) error {
	census := newCensus()
	var removed Removed
	b.room = b.room[:0]
	for i := range pool.Engines {
		e := &pool.Engines[i]
		v := e.check()
		if v.inService() {
			census.add(e)
		}
		if v == passed {
			b.room = append(b.room, i)
			continue
		}
		removed.count(v)
	}
	if len(b.room) == 0 {
		return refuse(census, removed)
	}
	return nil
}

func (b *base) any() int {
	return b.room[b.rng.IntN(len(b.room))]
}

func (b *base) decide(pool *Pool, req *Request, i int, why Reason) Decision {
	e := &pool.Engines[i]
	cached := req.cachedTokens(e)
	return Decision{
		Index:  i,
		Weight: b.policy.Weight(req, cached),
		Cached: cached,
		Reason: why,
		Wait:   seconds(b.policy.cost(e, req, cached)),
	}
}
