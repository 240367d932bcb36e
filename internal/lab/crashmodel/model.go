// Package crashmodel simulates requests that crash the engines they run on, among requests that do
// not and engines that end for other reasons. It compares ways to stop such requests by the engines
// that they end and by the other requests that are refused.
package crashmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// Design is a way to stop requests that crash engines.
type Design struct {
	Name string
	// Off disables it.
	Off bool
	// Local means that routers do not share suspects.
	Local bool
	// Limits are those of the routers' tables.
	Limits quarantine.Limits
	// Hold means that a request is held while its quarantine is decided.
	Hold bool
	// IsolateFrom is the number of ends from which a suspect is sent to an engine selected by its
	// fingerprint; zero for never. IsolateAmong limits the engines to the first ones for its prompt;
	// zero for no limit.
	IsolateFrom, IsolateAmong int
	// RetryUpTo is the number of ends up to which a router repeats a request by itself.
	RetryUpTo int
}

// Load is the requests and faults of a run.
type Load struct {
	Routers, Engines int
	// Rate is the number of ordinary requests a second, Prompts the number of prompts that they
	// share, and Duration their mean duration.
	Rate     float64
	Prompts  int
	Duration time.Duration
	// Crashing is the number of requests that crash engines. Each returns Pause after each answer.
	Crashing int
	Pause    time.Duration
	// CrashAfter is the time from the start of such a request to the end of its engine.
	CrashAfter time.Duration
	// Back is the time after which an engine that ended is replaced.
	Back time.Duration
	// Ends is the number of engines a second that end by themselves, one at a time. MassEvery is the
	// time between the ends of MassShare of all engines at once; zero for never.
	Ends      float64
	MassEvery time.Duration
	MassShare float64
	// RollEvery is the time between the ends of a site, one engine every RollPause; zero for never.
	RollEvery, RollPause time.Duration
	// Spread is the time until all routers know what one of them observed.
	Spread time.Duration
	// Length is the duration of the run.
	Length time.Duration
}

// sites is the number of sites of the engines.
const sites = 3

// bound is the time after the third end under a request from which its arrivals at engines count.
const bound = 3 * time.Second

// Result counts what happened in a run.
type Result struct {
	// CrashEnds is the number of engines that crashing requests ended, and LateArrivals how often
	// such requests reached an engine later than bound after the third one that they ended. MaxLate
	// is the same for the request that did so most often.
	CrashEnds, LateArrivals, MaxLate int
	// Requests is the number of ordinary requests, Cut how often one was cut by the end of an engine,
	// Failed how many were never served, Refused how many were refused as the cause of ends, and
	// Condemned how many were in quarantine at the end, whether they returned or not.
	Requests, Cut, Failed, Refused, Condemned int
}

// Run simulates a load.
func Run(d Design, l Load, seed uint64) Result {
	s := &simulation{Design: d, Load: l, rng: rand.New(rand.NewPCG(seed, 0))}
	for range l.Routers {
		s.tables = append(s.tables, quarantine.NewTable(d.Limits))
	}
	for range l.Engines {
		s.startEngine()
	}
	s.schedule()
	s.run(l.Length)
	for _, e := range s.tables[0].Entries() {
		if e.Quarantined && e.Route != crashingRoute {
			s.result.Condemned++
		}
	}
	return s.result
}

// crashingRoute marks the requests that crash engines.
const crashingRoute = "crashing"

type simulation struct {
	timeline
	Design
	Load
	rng     *rand.Rand
	tables  []*quarantine.Table
	engines []*engine
	names   int
	result  Result
}

type engine struct {
	site string
	id   string
	key  uint64
	// running holds the requests in the order of their arrival.
	running []*request
	ended   bool
}

type request struct {
	content  quarantine.Content
	suspect  quarantine.Suspect
	prompt   uint64
	duration time.Duration
	crashing bool
	// repeatable requests may be sent again by the router.
	repeatable bool
	router     int
	// attempt counts the attempts of the caller, and sends those of the router in it.
	attempt, sends int
	cutBy          []quarantine.EngineStart
	// ends holds the times at which engines ended under a crashing request, and late counts its
	// arrivals later than bound after the third.
	ends []time.Duration
	late int
}

// callerAttempts is how often a caller sends an ordinary request, and routerSends how often a router
// sends a repeatable one.
const (
	callerAttempts = 2
	routerSends    = 2
	callerPause    = 100 * time.Millisecond
)

func (s *simulation) every(mean time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		s.after(time.Duration(s.rng.ExpFloat64()*float64(mean)), next)
	}
	s.after(time.Duration(s.rng.ExpFloat64()*float64(mean)), next)
}

// schedule schedules the first events.
func (s *simulation) schedule() {
	s.every(time.Duration(float64(time.Second)/s.Rate), s.arrive)
	if s.Ends > 0 {
		s.every(time.Duration(float64(time.Second)/s.Ends), s.endAny)
	}
	if s.MassEvery > 0 {
		var mass func()
		mass = func() {
			for _, e := range append([]*engine(nil), s.engines...) {
				if s.rng.Float64() < s.MassShare {
					s.end(e)
				}
			}
			s.after(s.MassEvery, mass)
		}
		s.after(s.MassEvery, mass)
	}
	if s.RollEvery > 0 {
		s.after(s.RollEvery, s.roll)
	}
	for i := range s.Crashing {
		r := s.newRequest(fmt.Sprint("crash", i))
		r.suspect.Route = crashingRoute
		r.crashing, r.repeatable = true, i%2 == 0
		s.after(2*time.Second+time.Duration(i)*137*time.Millisecond, func() { s.admit(r) })
	}
	var tick func()
	tick = func() {
		for _, t := range s.tables {
			t.Advance(s.now)
		}
		s.after(100*time.Millisecond, tick)
	}
	s.after(0, tick)
}

// roll ends the engines of a site, one after the other.
func (s *simulation) roll() {
	var site []*engine
	for _, e := range s.engines {
		if e.site == s.engines[0].site {
			site = append(site, e)
		}
	}
	for i, e := range site {
		s.after(time.Duration(i)*s.RollPause, func() { s.end(e) })
	}
	s.after(s.RollEvery, s.roll)
}

// endAny ends any engine.
func (s *simulation) endAny() {
	if len(s.engines) > 0 {
		s.end(s.engines[s.rng.IntN(len(s.engines))])
	}
}

func (s *simulation) newRequest(name string) *request {
	c := quarantine.Content{Account: "a", Target: "/" + name}
	return &request{
		content: c, suspect: quarantine.Suspect{Fingerprint: c.Fingerprint(), Hint: c.Hint()},
		prompt:     rendezvous.ID(fmt.Sprint("prompt", s.rng.IntN(s.Prompts))),
		duration:   time.Duration(s.rng.ExpFloat64() * float64(s.Duration)),
		repeatable: s.rng.IntN(2) == 0,
	}
}

func (s *simulation) arrive() {
	s.result.Requests++
	s.admit(s.newRequest(fmt.Sprint(s.result.Requests)))
}

func (s *simulation) startEngine() {
	s.names++
	id := fmt.Sprint("e", s.names)
	s.engines = append(s.engines, &engine{id: id, site: fmt.Sprint("site", s.names%sites), key: rendezvous.ID(id)})
}

// admit begins an attempt of a caller at a random router.
func (s *simulation) admit(r *request) {
	r.router, r.sends, r.cutBy = s.rng.IntN(s.Routers), 0, nil
	r.attempt++
	s.send(r)
}

// send sends a request to an engine, unless it is refused.
func (s *simulation) send(r *request) {
	status := s.status(r)
	if status.Quarantined || s.Hold && s.now < status.HeldUntil {
		s.refuse(r)
		return
	}
	if len(s.engines) == 0 {
		s.fail(r)
		return
	}
	e := s.choose(r, status)
	r.sends++
	e.running = append(e.running, r)
	if r.crashing {
		if len(r.ends) >= 3 && s.now > r.ends[2]+bound {
			s.result.LateArrivals++
			r.late++
			s.result.MaxLate = max(s.result.MaxLate, r.late)
		}
		s.after(s.CrashAfter, func() { s.crash(e, r) })
		return
	}
	s.after(r.duration, func() { s.complete(e, r) })
}

func (s *simulation) status(r *request) quarantine.Status {
	if s.Off {
		return quarantine.Status{}
	}
	return s.tables[r.router].Status(r.suspect.Key())
}

// choose selects the engine of a request.
func (s *simulation) choose(r *request, status quarantine.Status) *engine {
	ends := status.EndsWithout(r.cutBy) + len(r.cutBy)
	order := s.ranked(r.prompt)
	if s.IsolateFrom == 0 || ends < s.IsolateFrom {
		return order[0]
	}
	if s.IsolateAmong > 0 {
		order = order[:min(s.IsolateAmong, len(order))]
	}
	key := rendezvous.ID(string(r.suspect.Fingerprint[:]))
	best := order[0]
	for _, e := range order {
		if rendezvous.Score(key, e.key) > rendezvous.Score(key, best.key) {
			best = e
		}
	}
	return best
}

// ranked returns the first engines in the order of a key: all that choose may need.
func (s *simulation) ranked(key uint64) []*engine {
	keys := make([]uint64, len(s.engines))
	for i, e := range s.engines {
		keys[i] = e.key
	}
	var out []*engine
	for _, i := range rendezvous.Order(nil, key, keys) {
		out = append(out, s.engines[i])
	}
	return out
}

func (s *simulation) complete(e *engine, r *request) {
	if e.ended {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(o *request) bool { return o == r })
	if !s.Off && len(s.status(r).Ends) > 0 {
		s.tables[r.router].Clear(r.suspect.Key(), s.now)
		s.share(r.router)
	}
}

func (s *simulation) crash(e *engine, r *request) {
	if e.ended {
		return
	}
	s.result.CrashEnds++
	r.ends = append(r.ends, s.now)
	s.end(e)
}

// end ends an engine and cuts its requests.
func (s *simulation) end(e *engine) {
	if e.ended {
		return
	}
	e.ended = true
	for i, other := range s.engines {
		if other == e {
			s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
			break
		}
	}
	s.after(s.Back, s.startEngine)
	byRouter := make([][]quarantine.Cut, s.Routers)
	for _, r := range e.running {
		r.cutBy = append(r.cutBy, quarantine.EngineStart{ID: e.id})
		byRouter[r.router] = append(byRouter[r.router], quarantine.Cut{Request: r.suspect})
	}
	for i, cuts := range byRouter {
		if len(cuts) > 0 && !s.Off {
			s.tables[i].RecordEnd(quarantine.End{Engine: e.id, Site: e.site, At: s.now}, cuts, s.now)
			s.share(i)
		}
	}
	for _, r := range e.running {
		s.cut(r)
	}
}

// share brings what a router knows to the others.
func (s *simulation) share(from int) {
	if s.Local {
		return
	}
	s.after(s.Spread, func() {
		entries := s.tables[from].ChangedSince(0, "")
		for i, t := range s.tables {
			if i != from {
				t.Merge(entries, "", s.now)
			}
		}
	})
}

func (s *simulation) cut(r *request) {
	if !r.crashing {
		s.result.Cut++
	}
	status := s.status(r)
	ends := status.EndsWithout(r.cutBy) + len(r.cutBy)
	if r.repeatable && r.sends < routerSends && (s.Off || ends <= s.RetryUpTo) {
		s.after(time.Millisecond, func() { s.send(r) })
		return
	}
	s.answer(r)
}

// answer ends an attempt that was not served. The caller repeats it.
func (s *simulation) answer(r *request) {
	switch {
	case r.crashing:
		s.after(s.Pause, func() { s.admit(r) })
	case r.attempt < callerAttempts:
		s.after(callerPause, func() { s.admit(r) })
	default:
		s.fail(r)
	}
}

func (s *simulation) refuse(r *request) {
	if !r.crashing {
		s.result.Refused++
	}
	s.answer(r)
}

func (s *simulation) fail(r *request) {
	if r.crashing {
		s.answer(r)
		return
	}
	s.result.Failed++
}
