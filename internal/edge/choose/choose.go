// Package choose selects the engine that serves a request. It holds no state: the known state of
// the engines and the random source are arguments.
//
// Engines that accept no requests are filtered out, the rest are ranked, and the first is selected.
// Requests with a prompt rank engines by a rendezvous hash of the prompt's shared prefix, so that
// all routers send the same prompt to the same engine without coordination and that engine's cache
// holds it. A bound on the load sends the excess of a popular prompt to the next engine in the same
// order. Requests without a prompt go to the engine with the lowest load relative to its slots.
package choose

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/brittle"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

const (
	// loadFactor and loadSlack bound the requests in flight at an engine that is selected by
	// prompt: loadFactor times the mean of the service, plus loadSlack. Operators require that for
	// 97 of 100 requests the load of the selected engine stays below twice the mean plus three. The
	// lower factor leaves a margin for requests that other routers send before their load reports
	// arrive: with 67 routers, a factor of 1.9 and a mean that did not count the request being
	// placed, 3.1 of 100 requests exceeded the operators' limit.
	loadFactor = 1.8
	loadSlack  = 3
	// limitFactor and loadSlack are the operators' limit.
	limitFactor = 2
	// remoteSitePenalty is added to the load, relative to its slots, of an engine in another site,
	// because traffic between sites has a cost.
	remoteSitePenalty = 0.1
	// coldPenalty is added to the load, relative to its slots, of a cold engine, because it can
	// serve few requests even if it is idle.
	coldPenalty = 1
)

// Engine is the state of an engine that its selection depends on.
type Engine struct {
	ID string
	// Key is the engine's key in the rendezvous hash.
	Key uint64
	// Version is the version of the engine's software. Engines of another one can't use its cache.
	Version string
	// InFlight is the known number of requests in flight at the engine from all routers.
	InFlight int
	// Slots is the number of requests that the engine executes concurrently; zero if unknown.
	Slots int
	// Unreported is the variance of the load that is not reported yet, relative to the load; zero if the load
	// bound needs no margin for it. It is the same for all engines of a service; see Overshoot.
	Unreported float64
	// Room is how many requests of the mean length fit into the engine's memory; zero if unknown.
	Room int
	// SameSite is set for engines in the router's own site.
	SameSite bool
	// Draining is set for engines that get no new requests. Other engines can still fetch from their
	// cache.
	Draining bool
	// RecentlyAdded is set for engines that were recently added, restarted with an empty cache or
	// returned from an evacuation. The prompts that now map to such an engine are cached by other
	// engines. AddedAt is the time of the addition, restart or return, by the same clock for all
	// engines.
	RecentlyAdded bool
	AddedAt       time.Duration
	// Cold is set for engines that can serve few requests a second. They are sent a request only
	// after the owner of their gate has granted a slot.
	Cold bool
	// Share is the share of its normal load that the engine may get, from 0 to 1: 0 while it is
	// ejected and less than 1 while it recovers from an ejection.
	Share float64
	// Brittle is set for engines that fall over if they reject more than Tolerance requests within a
	// second.
	Brittle   bool
	Tolerance brittle.Tolerance
	// HasSuspect is set while the engine executes a request that may crash it, other than the one to
	// be placed.
	HasSuspect bool
}

// ServesCache reports whether other engines may fetch from the engine's cache.
func (e Engine) ServesCache() bool { return e.Share > 0 || e.Draining }

// simultaneousStart is the largest time between the additions of engines that were started
// together.
const simultaneousStart = 2 * time.Second

// addedWithOrAfter reports whether the engine was recently added, together with the other one or
// later. Such an engine has not cached the prompts that the other one lacks.
func (e Engine) addedWithOrAfter(other Engine) bool {
	return e.RecentlyAdded && e.AddedAt > other.AddedAt-simultaneousStart
}

// HasFreeSlot reports whether the engine has a free slot and is neither draining nor cold nor
// ejected.
func (e Engine) HasFreeSlot() bool {
	return !e.Draining && !e.Cold && e.Share > 0 && e.InFlight < max(e.Slots, 1)
}

// Placement is the selected engine for a prompt and the engine to fetch its cache from.
type Placement struct {
	// Engine is the index of the selected engine, or NoEngine.
	Engine int
	// Holder is the index of the engine, other than the selected one, that most likely has the
	// prompt in its cache, or NoEngine. It may be draining or over its load bound.
	Holder int
	// Moved is set if the selected engine is not the first in the prompt's order or was recently
	// added, so that the prompt is more likely cached at Holder.
	Moved bool
}

// NoEngine is the index that stands for no engine.
const NoEngine = -1

// PlacePrompt selects an engine for a prompt whose shared prefix hashes to key: the first engine in
// the rendezvous order of the key that stays within the load bound, or the least loaded one if none
// does. The order depends only on the key and the set of engines.
func PlacePrompt(engines []Engine, key uint64, rng *rand.Rand) Placement {
	candidates := usableEngines(engines)
	if len(candidates) == 0 {
		return Placement{Engine: NoEngine, Holder: NoEngine}
	}
	engine := firstWithinBound(engines, ranked(engines, key), loadBound(engines))
	if engine == NoEngine {
		engine = leastLoaded(engines, candidates, rng)
	}
	return PlacementAt(engines, engine, key)
}

// PlacementAt returns the placement of a prompt at an engine that is already selected. The holder
// is the first other engine in the prompt's order that can serve its cache. If the selected engine
// is the first in that order and was recently added, an engine that was added with it or later
// becomes the holder only if there is no other.
func PlacementAt(engines []Engine, engine int, key uint64) Placement {
	order := ranked(engines, key)
	out := Placement{Engine: engine, Holder: NoEngine}
	recentlyAdded := order[0] == engine && engines[engine].RecentlyAdded
	out.Moved = order[0] != engine || recentlyAdded
	canServe := func(i int) bool {
		return i != engine && engines[i].Version == engines[engine].Version && engines[i].ServesCache()
	}
	out.Holder = firstMatch(order, func(i int) bool {
		return canServe(i) && !(recentlyAdded && engines[i].addedWithOrAfter(engines[engine]))
	})
	if out.Holder == NoEngine {
		out.Holder = firstMatch(order, canServe)
	}
	return out
}

// firstMatch returns the first element of order for which ok holds, or NoEngine.
func firstMatch(order []int, ok func(int) bool) int {
	if at := slices.IndexFunc(order, ok); at >= 0 {
		return order[at]
	}
	return NoEngine
}

// congestedUtilization is the share of a service's slots in use at or above which its requests must
// acquire a slot before they are sent. It is far below 1 because load reports are a few tenths of a
// second old, and a surge can occupy as many slots again in that time. It is not lower because
// acquiring a slot costs a round trip.
const congestedUtilization = 0.4

// congestedMemory is the same for the memory of a service. It is higher because the estimate counts parts
// that several requests share once for each.
const congestedMemory = 0.5

// Crowded reports whether requests to the service must acquire a slot before they are sent.
func Crowded(engines []Engine) bool {
	inFlight, slots, room := 0, 0, 0
	for _, i := range usableEngines(engines) {
		inFlight += engines[i].InFlight
		slots += engines[i].Slots
		room += engines[i].Room
	}
	return slots > 0 && float64(inFlight) >= congestedUtilization*float64(slots) ||
		room > 0 && float64(inFlight) >= congestedMemory*float64(room)
}

// extraInFlight is the number of requests beyond its slots that an engine may be sent. These
// requests are in transit to the engine while its slots become free.
const extraInFlight = 3

// MaxInFlight returns the number of requests that may be in flight at an engine: its slots and
// extraInFlight, at most the load bound for prompts, and at least one. The owner of the engine's
// gate counts these requests, so the bound needs no margin for requests from other routers.
func MaxInFlight(engines []Engine, i int) int {
	return max(1, min(engines[i].Slots+extraInFlight, gateBound(engines)))
}

// MostInFlight returns the number of requests that may be in flight at an engine at most, if it states that
// it has free slots while requests wait at its gate: twice its slots, at most the load bound.
func MostInFlight(engines []Engine, i int) int {
	return max(1, min(2*engines[i].Slots, gateBound(engines)))
}

// gateBound returns the load bound that the owners of gates keep.
func gateBound(engines []Engine) int {
	mean, _ := serviceLoad(engines)
	return int(loadFactor*mean + loadSlack)
}

const (
	// maxFurtherCandidates is the number of engines at which a slot is requested after the first
	// one. Each further request for a slot costs a round trip, but finds free slots that the load
	// reports don't show.
	maxFurtherCandidates = 2
	// candidateSample is the number of engines compared for each further candidate. Routers have
	// the same load reports and would all select the same engine if each compared all of them.
	candidateSample = 3
)

// PromptCandidates returns the indexes of the engines at which to request a slot, in order, for a
// prompt whose shared prefix hashes to key: the engine that PlacePrompt selects within the load
// bound, then the least loaded ones of random samples.
func PromptCandidates(engines []Engine, key uint64, rng *rand.Rand) []int {
	var out []int
	candidates := usableEngines(engines)
	if preferred := firstWithinBound(engines, ranked(engines, key), loadBound(engines)); preferred != NoEngine {
		out = append(out, preferred)
	}
	return withFurtherCandidates(out, engines, candidates, rng)
}

// PlainCandidates returns the indexes of the engines at which to request a slot, in order, for a
// request without a prompt.
func PlainCandidates(engines []Engine, rng *rand.Rand) []int {
	return withFurtherCandidates(nil, engines, usableEngines(engines), rng)
}

func withFurtherCandidates(out []int, engines []Engine, candidates []int, rng *rand.Rand) []int {
	rest := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return slices.Contains(out, i) })
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for len(out) <= maxFurtherCandidates && len(rest) > 0 {
		best := leastLoaded(engines, rest[:min(candidateSample, len(rest))], rng)
		out = append(out, best)
		rest = slices.DeleteFunc(rest, func(i int) bool { return i == best })
	}
	return out
}

// ranked returns the indexes of all engines in the rendezvous order of the key.
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

// minPromptShare is the minimum load share of an engine that is selected by prompt. An engine with
// a lower share gets no prompts at all: if it got only some, the other prompts that map to it would
// have to be prefilled at another engine anyway.
const minPromptShare = 0.5

// firstWithinBound returns the first engine in order that stays within the bound, or NoEngine.
func firstWithinBound(engines []Engine, order []int, bound float64) int {
	for _, i := range order {
		e := engines[i]
		if !e.Draining && e.Share >= minPromptShare && float64(e.InFlight)+1 <= bound {
			return i
		}
	}
	return NoEngine
}

// PickPlain selects an engine for a request without a prompt, or returns NoEngine.
func PickPlain(engines []Engine, rng *rand.Rand) int {
	candidates := usableEngines(engines)
	if len(candidates) == 0 {
		return NoEngine
	}
	return leastLoaded(engines, sampleCandidates(candidates, rng), rng)
}

// PickIsolated selects an engine for a request that may crash it, whose content hashes to key, or
// returns NoEngine. It is the first one in the rendezvous order of the key that is within the load
// bound and warm and executes no other such request, as far as there is one: if two of them were at
// an engine as it ended, its end would not tell which of them is the cause.
func PickIsolated(engines []Engine, key uint64, rng *rand.Rand) int {
	order, bound := ranked(engines, key), loadBound(engines)
	warm := func(i int) bool { return !engines[i].Cold }
	alone := func(i int) bool { return warm(i) && !engines[i].HasSuspect }
	for _, suits := range []func(int) bool{alone, warm} {
		suitable := slices.DeleteFunc(slices.Clone(order), func(i int) bool { return !suits(i) })
		if i := firstWithinBound(engines, suitable, bound); i != NoEngine {
			return i
		}
	}
	candidates := usableEngines(engines)
	if len(candidates) == 0 {
		return NoEngine
	}
	return leastLoaded(engines, candidates, rng)
}

// plainSample is the number of engines compared for a request without a prompt. Load reports of
// other routers arrive late: if all routers selected the engine that seemed best, it would soon
// have the highest load.
const plainSample = 2

func sampleCandidates(candidates []int, rng *rand.Rand) []int {
	rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(plainSample, len(candidates))]
}

// WithoutCold returns a copy of the engines in which cold ones are marked as draining: they get no
// requests, but other engines may fetch from their cache.
func WithoutCold(engines []Engine) []Engine {
	out := slices.Clone(engines)
	for i := range out {
		out[i].Draining = out[i].Draining || out[i].Cold
	}
	return out
}

// AllCold reports whether there are engines that accept requests and all of them are cold.
func AllCold(engines []Engine) bool {
	cold := false
	for _, e := range engines {
		if e.Draining || e.Share == 0 {
			continue
		}
		if !e.Cold {
			return false
		}
		cold = true
	}
	return cold
}

// usableEngines returns the indexes of the engines that are neither draining nor ejected. If all
// are ejected, it ignores ejections: the cause is then outside the engines, and refusing all
// requests would make it worse.
func usableEngines(engines []Engine) []int {
	var available, all []int
	for i, e := range engines {
		if e.Draining {
			continue
		}
		all = append(all, i)
		if e.Share > 0 {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return all
	}
	return available
}

// loadBound returns the maximum number of requests in flight at an engine that is selected by
// prompt. It follows the mean load of the engines that accept requests, or of the whole service if
// that is lower: the operators' limit counts draining engines too, whose load falls while that of
// the others rises. The fewer engines accept requests, the more requests other routers send to each
// of them before load reports arrive, so the bound is reduced by a margin for these.
func loadBound(engines []Engine) float64 {
	mean, activeFraction := serviceLoad(engines)
	factor, slack := loadFactor, float64(loadSlack)
	if activeFraction < 1 {
		factor = 1 + (loadFactor-1)*math.Sqrt(activeFraction)
		slack *= activeFraction
	}
	bound := factor*mean + slack
	if len(engines) > 0 && engines[0].Unreported > 0 {
		limit := limitFactor*mean + loadSlack
		bound = min(bound, max(limit-math.Sqrt(engines[0].Unreported*limit), mean+1))
	}
	return math.Max(bound, 1)
}

// serviceLoad returns the mean load, with one more request, of the engines that accept requests, or
// of these and the draining ones if that is lower. activeFraction is the fraction of both that
// accepts requests. If all engines are ejected, they count as accepting requests.
func serviceLoad(engines []Engine) (mean, activeFraction float64) {
	var active, draining, ejected loadSum
	for _, e := range engines {
		switch {
		case e.Draining:
			draining.add(e)
		case e.Share > 0:
			active.add(e)
		default:
			ejected.add(e)
		}
	}
	if active.count == 0 {
		active = ejected
	}
	if active.count == 0 {
		return 0, 1
	}
	all := loadSum{count: active.count + draining.count, load: active.load + draining.load}
	return min(active.mean(), all.mean()), float64(active.count) / float64(all.count)
}

// loadSum is a number of engines and the sum of their requests in flight.
type loadSum struct{ count, load int }

func (s *loadSum) add(e Engine) {
	s.count++
	s.load += e.InFlight
}

// mean returns the mean load with one more request.
func (s *loadSum) mean() float64 { return float64(s.load+1) / float64(s.count) }

func leastLoaded(engines []Engine, candidates []int, rng *rand.Rand) int {
	best, bestLoad := NoEngine, math.Inf(1)
	offset := rng.IntN(len(candidates))
	for k := range candidates {
		i := candidates[(k+offset)%len(candidates)]
		if load := weightedLoad(engines[i]); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// weightedLoad returns the load of an engine relative to its slots and load share, plus the
// penalties for another site and for a cold engine.
func weightedLoad(e Engine) float64 {
	load := float64(e.InFlight+1) / float64(max(e.Slots, 1))
	if e.Share > 0 {
		load /= e.Share
	}
	if !e.SameSite {
		load += remoteSitePenalty
	}
	if e.Cold {
		load += coldPenalty
	}
	return load
}
