// Package choose picks the engine for a request. It is pure: what is known of
// the engines, and the random source, are arguments.
//
// A request goes through three steps: Eligible engines are filtered, ranked by
// the policy of the request's kind, and the first is taken. For prompts the
// rank is a hash of the part of the prompt that other requests share, so that
// all routers send the same prompt to the same engine without a message, and
// the engine's cache holds it; a bound on the load sends the excess of a hot
// prompt to the next engine of the same fixed order. Plain requests go to the
// engine with the least load for its size.
package choose

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

const (
	// loadFactor and loadSlack bound what a prompted engine may have in
	// flight: loadFactor times the mean over the service, and loadSlack.
	// Below twice the mean and three, which the operators allow for 97 of 100
	// requests, they leave room for what other routers send before their loads
	// are heard: 67 routers that followed a bound of 1.9 without the request
	// itself sent 3.1 of 100 beyond what is allowed.
	loadFactor = 1.8
	loadSlack  = 3
	// siteBonus is the load that a plain engine in another site must have
	// less, as a share of its slots, to be taken: bytes between sites cost.
	siteBonus = 0.1
	// coldLoad is the load, as a share of its slots, that a cold engine counts for beside
	// its own: it bears few requests, however empty it is.
	coldLoad = 1
)

// Engine is an engine as far as the choice depends on it.
type Engine struct {
	ID string
	// Key is the engine's place in the hashed order.
	Key uint64
	// InFlight is how many requests the whole fleet has at it, as known.
	InFlight int
	// Slots is how many requests it executes at once; zero if not known.
	Slots int
	// Near engines are in the router's own site.
	Near bool
	// Leaving engines get no new request; others can still fetch from their
	// cache.
	Leaving bool
	// Fresh engines came, or came back empty, a short time ago: other engines hold
	// the prompts that are theirs now. Came is when, in a time that all share.
	Fresh bool
	Came  time.Duration
	// Cold engines bear few requests a second: they get one only where it was granted.
	Cold bool
	// Share of its normal load that it may take, 0 to 1: less than 1 while it
	// returns from an ejection, 0 while it is ejected.
	Share float64
}

// CanGive says whether others may fetch from the engine's cache.
func (e Engine) CanGive() bool { return e.Share > 0 || e.Leaving }

// together is how far apart engines come that start at once.
const together = 2 * time.Second

// cameWith says whether the engine came along with another fresh one, or later: it has not held
// prompts in between.
func (e Engine) cameWith(other Engine) bool {
	return e.Fresh && e.Came > other.Came-together
}

// HasRoom says whether the engine takes requests and has a free place.
func (e Engine) HasRoom() bool {
	return !e.Leaving && !e.Cold && e.Share > 0 && e.InFlight < max(e.Slots, 1)
}

// Placement is where a prompt goes.
type Placement struct {
	// Engine is the index of the chosen engine, or None.
	Engine int
	// Holder is the index of the engine that most likely holds the prompt in
	// its cache, other than the chosen one, or None. An engine that leaves, or
	// is too busy, can still be that.
	Holder int
	// Moved means that the prompt has been at the holder, if anywhere: its own
	// engine is not the chosen one, or came a short time ago.
	Moved bool
}

// None is the index that stands for no engine.
const None = -1

// Prompted places a prompt whose shared part hashes to key.
//
// The engines stand in an order that depends only on the key and on who is
// there: the first one that may take the prompt gets it. If it is not the very
// first, that one is the holder. If it is, the second may have been the first
// until the chosen one came.
func Prompted(engines []Engine, key uint64, rng *rand.Rand) Placement {
	candidates := usable(engines)
	if len(candidates) == 0 {
		return Placement{Engine: None, Holder: None}
	}
	engine := within(engines, ranked(engines, key), loadBound(engines))
	if engine == None {
		engine = leastLoaded(engines, candidates, rng)
	}
	return At(engines, engine, key)
}

// At is the placement of a prompt at an engine that is known already.
func At(engines []Engine, engine int, key uint64) Placement {
	order := ranked(engines, key)
	out := Placement{Engine: engine, Holder: None}
	came := order[0] == engine && engines[engine].Fresh
	out.Moved = order[0] != engine || came
	gives := func(i int) bool { return i != engine && engines[i].CanGive() }
	out.Holder = first(order, func(i int) bool { return gives(i) && !(came && engines[i].cameWith(engines[engine])) })
	if out.Holder == None {
		out.Holder = first(order, gives)
	}
	return out
}

// first returns the first index for which ok holds, or None.
func first(order []int, ok func(int) bool) int {
	if at := slices.IndexFunc(order, ok); at >= 0 {
		return order[at]
	}
	return None
}

// crowdedShare is the part of a service's places from which on its requests ask for one
// before they are sent. Reports of loads are a few tenths of a second old, in which a surge
// can take as many places again; asking costs a message each way.
const crowdedShare = 0.4

// Crowded says whether so many places of a service are taken that requests must ask.
func Crowded(engines []Engine) bool {
	taken, places := 0, 0
	for _, i := range usable(engines) {
		taken += engines[i].InFlight
		places += engines[i].Slots
	}
	return places > 0 && float64(taken) >= crowdedShare*float64(places)
}

// spare is how many requests more than it executes at once an engine may be sent: they are
// under way while a place becomes free.
const spare = 3

// Places is how many requests may be at an engine at once: what it executes, and no more
// than the bound on the load lets prompts have. An owner of a gate counts what is there, so that the
// bound needs no room for what others send meanwhile.
func Places(engines []Engine, i int) int {
	mean, _ := serviceLoad(engines)
	bound := loadFactor*mean + loadSlack
	return max(1, min(engines[i].Slots+spare, int(bound)))
}

const (
	// alternatives is how many engines are asked after the first one. Each of them costs
	// a message each way, and finds a place that the others know nothing of.
	alternatives = 2
	// alternativeSample is how many engines are compared for each of them: all routers
	// would take the same one if each took the best, by reports that all have.
	alternativeSample = 3
)

// Candidates returns the engines to ask for a place for a prompt whose shared part hashes to
// key, the first one first: the one that Prompted would take while there is room, then
// less loaded ones at random.
func Candidates(engines []Engine, key uint64, rng *rand.Rand) []int {
	var out []int
	usable := usable(engines)
	if home := within(engines, ranked(engines, key), loadBound(engines)); home != None {
		out = append(out, home)
	}
	return withAlternatives(out, engines, usable, rng)
}

// PlainCandidates is the same for a request without a prompt.
func PlainCandidates(engines []Engine, rng *rand.Rand) []int {
	return withAlternatives(nil, engines, usable(engines), rng)
}

func withAlternatives(out []int, engines []Engine, usable []int, rng *rand.Rand) []int {
	rest := slices.DeleteFunc(slices.Clone(usable), func(i int) bool { return slices.Contains(out, i) })
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for len(out) <= alternatives && len(rest) > 0 {
		best := leastLoaded(engines, rest[:min(alternativeSample, len(rest))], rng)
		out = append(out, best)
		rest = slices.DeleteFunc(rest, func(i int) bool { return i == best })
	}
	return out
}

// ranked returns the indexes of all engines in the order of the key.
func ranked(engines []Engine, key uint64) []int {
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	mixed := rendezvous.Mix(key)
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(mixed.Score(engines[b].Key), mixed.Score(engines[a].Key)),
			cmp.Compare(engines[a].ID, engines[b].ID))
	})
	return order
}

// leastShare is the share from which on an engine takes its prompts. A smaller
// load cannot be had by taking some of them: the rest would have to be read by
// another engine.
const leastShare = 0.5

// within returns the first engine in order that stays within the bound, or None.
func within(engines []Engine, order []int, bound float64) int {
	for _, i := range order {
		e := engines[i]
		if !e.Leaving && e.Share >= leastShare && float64(e.InFlight)+1 <= bound {
			return i
		}
	}
	return None
}

// Plain picks an engine for a request without a prompt, or returns None.
func Plain(engines []Engine, rng *rand.Rand) int {
	candidates := usable(engines)
	if len(candidates) == 0 {
		return None
	}
	return leastLoaded(engines, sample(candidates, rng), rng)
}

// sampled is how many engines are compared for a plain request. Loads of other
// routers are heard late; if all routers took the engine that seemed best, it
// would be the worst a moment later.
const sampled = 2

func sample(candidates []int, rng *rand.Rand) []int {
	rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(sampled, len(candidates))]
}

// WithoutCold returns the engines with the cold ones as leaving: they get no request, and others
// may fetch from them.
func WithoutCold(engines []Engine) []Engine {
	out := slices.Clone(engines)
	for i := range out {
		out[i].Leaving = out[i].Leaving || out[i].Cold
	}
	return out
}

// OnlyCold says whether all engines that take requests are cold.
func OnlyCold(engines []Engine) bool {
	cold := false
	for _, e := range engines {
		if e.Leaving || e.Share == 0 {
			continue
		}
		if !e.Cold {
			return false
		}
		cold = true
	}
	return cold
}

// usable returns the engines that are not ejected; all of them if all are, since
// then the fault is elsewhere and refusing everything would only add to it.
func usable(engines []Engine) []int {
	var in, all []int
	for i, e := range engines {
		if e.Leaving {
			continue
		}
		all = append(all, i)
		if e.Share > 0 {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return all
	}
	return in
}

// loadBound is how many requests a prompted engine may have, by the mean of the engines that take
// requests, or of the whole service if that is less: operators count engines that leave as well,
// and these empty while the others fill. The fewer take requests, the more each of them gets of what
// other routers send before their loads are heard, and the more room the bound leaves for that.
func loadBound(engines []Engine) float64 {
	mean, part := serviceLoad(engines)
	factor, slack := loadFactor, float64(loadSlack)
	if part < 1 {
		factor = 1 + (loadFactor-1)*math.Sqrt(part)
		slack *= part
	}
	return math.Max(factor*mean+slack, 1)
}

// serviceLoad returns the mean load, with one more request, of the engines that take requests, or
// of these and the leaving ones if that is less; and which part of both takes requests. Where all
// are ejected, all take requests.
func serviceLoad(engines []Engine) (mean, part float64) {
	var taking, leaving, ejected group
	for _, e := range engines {
		switch {
		case e.Leaving:
			leaving.add(e)
		case e.Share > 0:
			taking.add(e)
		default:
			ejected.add(e)
		}
	}
	if taking.n == 0 {
		taking = ejected
	}
	if taking.n == 0 {
		return 0, 1
	}
	all := group{n: taking.n + leaving.n, load: taking.load + leaving.load}
	return min(taking.mean(), all.mean()), float64(taking.n) / float64(all.n)
}

// group is some engines and their requests.
type group struct{ n, load int }

func (g *group) add(e Engine) {
	g.n++
	g.load += e.InFlight
}

// mean is the mean load with one more request.
func (g *group) mean() float64 { return float64(g.load+1) / float64(g.n) }

func leastLoaded(engines []Engine, candidates []int, rng *rand.Rand) int {
	best, bestLoad := None, math.Inf(1)
	offset := rng.IntN(len(candidates))
	for k := range candidates {
		i := candidates[(k+offset)%len(candidates)]
		if load := weigh(engines[i]); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// weigh is the load of an engine for its size, with what its site costs.
func weigh(e Engine) float64 {
	load := float64(e.InFlight+1) / float64(max(e.Slots, 1))
	if e.Share > 0 {
		load /= e.Share
	}
	if !e.Near {
		load += siteBonus
	}
	if e.Cold {
		load += coldLoad
	}
	return load
}
