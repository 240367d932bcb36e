// Package signalmodel compares designs for what routers do when engines announce that they will stop,
// or reject requests and state for how long. It simulates routers and engines on a virtual clock in
// steps of a millisecond; pauses are decided by package backoff.
package signalmodel

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/backoff"
	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// Options is the size of a simulated fleet.
type Options struct {
	Routers, Engines int
	// Rate is the number of requests a second at all routers together.
	Rate float64
	Seed uint64
}

// step is the resolution of the simulation.
const step = time.Millisecond

// Sharing is how routers learn that an engine has announced its leaving.
type Sharing int

// The ways of sharing.
const (
	// Ignored is the design in which nobody reads the announcement.
	Ignored Sharing = iota
	// OwnResponses is the design in which each router learns it from its own responses.
	OwnResponses
	// StoreEntry is the design in which routers learn it from the store, which is unavailable.
	StoreEntry
	// LoadReports is the design in which a router that learns it tells the others with its load
	// reports.
	LoadReports
)

const (
	// drainBound is how long after it was told a router may still send requests.
	drainBound = 2 * time.Second
	// storeOutage is how long the store is unavailable from the announcement on.
	storeOutage = 12 * time.Second
	// exchangeInterval is the time between two load exchanges, and treeDepth the number of exchanges
	// between any two routers.
	exchangeInterval = 150 * time.Millisecond
	treeDepth        = 4
)

// LeavingResult is the outcome of a run with an engine that leaves.
type LeavingResult struct {
	// Late counts the requests later than drainBound after the engine had told their router.
	Late int
	// Arrivals counts the requests that reached the engine after its announcement, and Last is the
	// time from the announcement to the last of them.
	Arrivals int
	Last     time.Duration
}

// Leaving simulates ten seconds in which one engine has announced its leaving.
func Leaving(o Options, sharing Sharing) LeavingResult {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	told := make([]time.Duration, o.Routers)
	knows := make([]time.Duration, o.Routers)
	for i := range told {
		told[i], knows[i] = never, never
	}
	if sharing == StoreEntry {
		for i := range knows {
			knows[i] = storeOutage
		}
	}
	var out LeavingResult
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for range arrivals(rng, o.Rate) {
			router, engine := rng.IntN(o.Routers), rng.IntN(o.Engines)
			if engine != 0 || now >= knows[router] {
				continue
			}
			out.Arrivals++
			out.Last = now
			if now > told[router] && now-told[router] > drainBound {
				out.Late++
			}
			told[router] = min(told[router], now)
			learn(rng, knows, router, now, sharing)
		}
	}
	return out
}

const never = time.Hour

// learn records that a router was told at now.
func learn(rng *rand.Rand, knows []time.Duration, router int, now time.Duration, sharing Sharing) {
	if sharing != OwnResponses && sharing != LoadReports {
		return
	}
	knows[router] = min(knows[router], now+step)
	if sharing == OwnResponses {
		return
	}
	for i := range knows {
		delay := time.Duration(0)
		for range treeDepth {
			delay += time.Duration(rng.Int64N(int64(exchangeInterval)))
		}
		knows[i] = min(knows[i], now+delay)
	}
}

// arrivals returns the number of requests in one step.
func arrivals(rng *rand.Rand, rate float64) int {
	mean := rate * step.Seconds()
	n := int(mean)
	if rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// Pausing is what routers do with a rejection that states for how long.
type Pausing int

// The ways of pausing.
const (
	// Retry is the design in which a rejection counts for its request only.
	Retry Pausing = iota
	// ReturnAtOnce is the design in which the rejected router pauses the engine, and returns with all
	// requests when the time is over.
	ReturnAtOnce
	// ReturnGradually is package backoff: routers return at different times, one request first.
	ReturnGradually
	// PauseAll is ReturnGradually for all routers, whichever the engine has rejected.
	PauseAll
	// ShareRejections is ReturnGradually, and routers that the engine has not rejected send it less,
	// the more of the fleet's requests it rejects.
	ShareRejections
)

const (
	// pauseAsked is the time that rejections state.
	pauseAsked = 3 * time.Second
	// responseTime is the time until the engine has accepted a request.
	responseTime = 100 * time.Millisecond
	// retryRatio limits the retries of all routers together, relative to their requests.
	retryRatio = 0.2
	// maxSends is how many engines may reject a request before it is refused.
	maxSends = 3
	// reportDelay is the time between two reports of outcomes to all routers.
	reportDelay = 450 * time.Millisecond
	// settle is how long after a rejection requests under way may arrive.
	settle = 500 * time.Millisecond
	// burst is the time after the end of the overload in which arrivals are compared with the usual.
	burst = 4 * time.Second
)

// PauseResult is the outcome of a run with engines that reject requests.
type PauseResult struct {
	// Rejected counts the rejected sends, and Refused the requests refused to callers although other
	// engines were open.
	Rejected, Refused int
	// InPause is the largest number of requests of one router in one pause, later than settle.
	InPause int
	// Idle is the share of the requests that the rejecting engines would get after their overload,
	// and did not, in the time of burst. Peak is the most requests that an engine got in a tenth of a
	// second in that time, relative to the usual number.
	Idle, Peak float64
}

// Overload is when and how engines reject requests.
type Overload struct {
	// Engines is the number of engines that reject, from the first second until End.
	Engines int
	End     time.Duration
	// Share is the share of requests that they reject: less than one for an engine that limits its
	// load and still wants some.
	Share float64
}

// Pauses simulates an overload of some engines.
func Pauses(o Options, overload Overload, pausing Pausing) PauseResult {
	s := newPauseRun(o, overload, pausing)
	for s.now = 0; s.now < overload.End+burst; s.now += step {
		s.finish()
		if s.now%reportDelay == 0 {
			s.report()
		}
		for range arrivals(s.rng, o.Rate) {
			s.request(s.rng.IntN(o.Routers))
		}
	}
	return s.result()
}

// pauseRun is the state of one simulation.
type pauseRun struct {
	o        Options
	overload Overload
	pausing  Pausing
	rng      *rand.Rand
	now      time.Duration
	// tables holds the pauses known to each router, and pausedUntil those of ReturnAtOnce by router
	// and engine.
	tables      []*backoff.Table[int]
	pausedUntil map[[2]int]time.Duration
	// accepted holds the requests that return to an engine and whose acceptance is due, by time.
	accepted map[time.Duration][]*backoff.Return[int]
	// outcomes holds the accepted and rejected requests of the fleet at each engine, and reported
	// what routers know of them.
	outcomes []health.Record
	reported []health.Evidence
	// requests and retries count for the budget.
	requests, retries int
	// rejections holds the last rejection of each router by each engine, and inPause the requests
	// since that came later than settle.
	rejections map[[2]int]time.Duration
	inPause    map[[2]int]int
	// afterwards counts the arrivals at rejecting engines after the overload by tenth of a second.
	afterwards map[[2]int]int
	out        PauseResult
}

func newPauseRun(o Options, overload Overload, pausing Pausing) *pauseRun {
	s := &pauseRun{
		o: o, overload: overload, pausing: pausing, rng: rand.New(rand.NewPCG(o.Seed, 2)),
		accepted: make(map[time.Duration][]*backoff.Return[int]), pausedUntil: make(map[[2]int]time.Duration), rejections: make(map[[2]int]time.Duration),
		inPause: make(map[[2]int]int), afterwards: make(map[[2]int]int),
	}
	s.outcomes, s.reported = make([]health.Record, o.Engines), make([]health.Evidence, o.Engines)
	for range o.Routers {
		s.tables = append(s.tables, backoff.NewTable[int]())
	}
	return s
}

// finish ends the waits for responses that are due.
func (s *pauseRun) finish() {
	for _, r := range s.accepted[s.now] {
		r.End(true, s.now)
	}
	delete(s.accepted, s.now)
}

// report makes the outcomes known to all routers.
func (s *pauseRun) report() {
	for e := range s.outcomes {
		s.reported[e] = s.outcomes[e].At(s.now)
	}
}

// request sends a request of a router to engines until one accepts it.
func (s *pauseRun) request(router int) {
	s.requests++
	tried := make(map[int]bool)
	for sends := 0; sends < maxSends; sends++ {
		if sends > 0 && !s.spend() {
			break
		}
		engine, ok := s.pick(router, tried)
		if !ok {
			return
		}
		tried[engine] = true
		if s.send(router, engine) {
			return
		}
	}
	s.out.Refused++
}

// spend takes a retry from the budget of the fleet.
func (s *pauseRun) spend() bool {
	if float64(s.retries+1) > retryRatio*float64(s.requests) {
		return false
	}
	s.retries++
	return true
}

// pick selects an engine that is open for the router.
func (s *pauseRun) pick(router int, tried map[int]bool) (int, bool) {
	var open []int
	for e := range s.o.Engines {
		admitted, _ := s.tables[router].Admits(e, 0, s.now)
		if admitted && s.now >= s.pausedUntil[[2]int{router, e}] && !tried[e] && s.tries(router, e) {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		return 0, false
	}
	return open[s.rng.IntN(len(open))], true
}

// tries reports whether a router sends a request to an engine, given what the engine rejects.
func (s *pauseRun) tries(router, engine int) bool {
	if s.pausing != ShareRejections || s.tables[router].Known(engine, 0) {
		return true
	}
	return s.rng.Float64() < backoff.LoadShare(s.reported[engine].Good, s.reported[engine].Bad)
}

// send sends a request to an engine and reports whether the engine has accepted it.
func (s *pauseRun) send(router, engine int) bool {
	key := [2]int{router, engine}
	if at, rejected := s.rejections[key]; rejected && s.now-at > settle && s.now-at < pauseAsked {
		s.inPause[key]++
		s.out.InPause = max(s.out.InPause, s.inPause[key])
	}
	overloaded := engine < s.overload.Engines && s.now >= time.Second && s.now < s.overload.End
	if overloaded && s.rng.Float64() < s.overload.Share {
		s.outcomes[engine].Observe(false, s.now)
		s.reject(router, engine)
		return false
	}
	s.outcomes[engine].Observe(true, s.now)
	if engine < s.overload.Engines && s.now >= s.overload.End {
		s.afterwards[[2]int{engine, int((s.now - s.overload.End) / (100 * time.Millisecond))}]++
	}
	if returning := s.tables[router].Start(engine, 0); returning != nil {
		at := s.now + responseTime
		s.accepted[at] = append(s.accepted[at], returning)
	}
	return true
}

func (s *pauseRun) reject(router, engine int) {
	s.out.Rejected++
	key := [2]int{router, engine}
	if at, rejected := s.rejections[key]; !rejected || s.now-at >= pauseAsked {
		s.rejections[key], s.inPause[key] = s.now, 0
	}
	switch s.pausing {
	case ReturnAtOnce:
		s.pausedUntil[key] = s.now + pauseAsked
	case ReturnGradually, ShareRejections:
		s.tables[router].Reject(engine, 0, s.now, pauseAsked, s.o.Routers, s.rng.Float64())
	case PauseAll:
		for _, t := range s.tables {
			t.Reject(engine, 0, s.now, pauseAsked, s.o.Routers, s.rng.Float64())
		}
	}
}

// result computes what engines got after the overload, relative to an even share.
func (s *pauseRun) result() PauseResult {
	usual := s.o.Rate / float64(s.o.Engines) / 10
	got := 0
	for _, n := range s.afterwards {
		got += n
		s.out.Peak = max(s.out.Peak, float64(n)/usual)
	}
	expected := usual * 10 * burst.Seconds() * float64(s.overload.Engines)
	s.out.Idle = max(0, 1-float64(got)/expected)
	return s.out
}
