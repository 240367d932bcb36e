package crashmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// RunParts simulates a load.
func RunParts(d PartDesign, l PartLoad, seed uint64) PartResult {
	s := &partSimulation{PartDesign: d, PartLoad: l, rng: rand.New(rand.NewPCG(seed, 1)), counts: make(map[string]map[string]bool)}
	for range l.Routers {
		s.routers = append(s.routers, &partRouter{table: quarantine.NewTable(d.Limits), inFlight: make(map[quarantine.Part]int), proven: make(map[string]time.Duration)})
	}
	for range l.Engines {
		s.startEngine()
	}
	s.schedule()
	s.run(l.Length)
	return s.finish()
}

type partRouter struct {
	table    *quarantine.Table
	inFlight map[quarantine.Part]int
	// proven holds when the newest answer to each part began that this router saw to its end.
	proven  map[string]time.Duration
	shared  uint64
	sharing bool
}

type partSimulation struct {
	timeline
	PartDesign
	PartLoad
	rng     *rand.Rand
	routers []*partRouter
	engines []*partEngine
	names   int
	bad     []badPart
	// counts holds, for CountOnly, the ends under each part since the last complete answer.
	counts map[string]map[string]bool
	sound  []*partRequest
	result PartResult
}

// badPart counts what a bad part did.
type badPart struct {
	ends []time.Duration
	late int
}

type partEngine struct {
	id      string
	key     uint64
	running []*partRun
	ended   bool
}

type partRequest struct {
	content    quarantine.Content
	parts      []string
	bad        int
	repeatable bool
	attempts   int
	sentAt     time.Duration
	first      bool
}

// partRun is one execution of a request.
type partRun struct {
	*partRequest
	router   int
	began    time.Duration
	firstAt  time.Duration
	sends    int
	lead     quarantine.Part
	released bool
}

func (s *partSimulation) every(rate float64, do func()) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		do()
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// badFrom is when requests with bad parts begin to come.
const badFrom = 2 * time.Second

func (s *partSimulation) schedule() {
	s.every(s.Rate, func() {
		r := s.newRequest("base", s.document())
		s.sound = append(s.sound, r)
		s.admit(r)
	})
	if s.Companion {
		s.every(s.Rate/200, func() {
			r := s.newRequest("base", "companion")
			s.sound = append(s.sound, r)
			s.admit(r)
		})
	}
	s.bad = make([]badPart, s.Bad)
	for i := range s.Bad {
		s.after(badFrom, func() { s.every(s.BadRate, func() { s.admit(s.newBad(i)) }) })
	}
	if s.Repeated {
		s.bad = make([]badPart, 1)
		r := s.newRequest("base", "document1")
		r.bad = 0
		s.after(badFrom, func() { s.every(s.BadRate, func() { s.admit(r) }) })
	}
	s.every(s.Ends, func() {
		if len(s.engines) > 0 {
			s.end(s.engines[s.rng.IntN(len(s.engines))], -1)
		}
	})
	if s.MassEvery > 0 {
		var mass func()
		mass = func() {
			for _, e := range slices.Clone(s.engines) {
				if s.rng.Float64() < s.MassShare {
					s.end(e, -1)
				}
			}
			s.after(s.MassEvery, mass)
		}
		s.after(s.MassEvery, mass)
	}
	var tick func()
	tick = func() {
		for _, r := range s.routers {
			r.table.Advance(s.now)
		}
		s.after(100*time.Millisecond, tick)
	}
	s.after(0, tick)
}

// document returns a part that sound requests share; few of them are popular.
func (s *partSimulation) document() string {
	return fmt.Sprint("document", int(float64(s.Documents)*s.rng.Float64()*s.rng.Float64()))
}

func (s *partSimulation) newRequest(parts ...string) *partRequest {
	s.names++
	return &partRequest{
		content: quarantine.Content{Account: "a", Target: fmt.Sprint("/", s.names)},
		parts:   parts, bad: -1, repeatable: s.rng.IntN(2) == 0,
	}
}

func (s *partSimulation) newBad(i int) *partRequest {
	parts := []string{"base", fmt.Sprint("bad", i), s.document()}
	if s.Companion {
		parts = append(parts, "companion")
	}
	if s.Moving {
		parts = slices.Insert([]string{fmt.Sprint("x", s.names), fmt.Sprint("y", s.names)}, s.rng.IntN(3), parts[1])
	}
	r := s.newRequest(parts...)
	r.bad = i
	return r
}

func (s *partSimulation) startEngine() {
	s.names++
	id := fmt.Sprint("e", s.names)
	s.engines = append(s.engines, &partEngine{id: id, key: rendezvous.ID(id)})
}

func part(id string) quarantine.Part { return quarantine.NewPart("llm", id) }

func (r *partRequest) suspects() []quarantine.Part {
	var out []quarantine.Part
	for _, id := range r.parts {
		out = append(out, part(id))
	}
	return out
}

// admit begins an attempt of a caller at a random router.
func (s *partSimulation) admit(r *partRequest) {
	if r.attempts++; r.attempts == 1 {
		r.sentAt = s.now
	}
	s.send(&partRun{partRequest: r, router: s.rng.IntN(s.Routers)}, s.now)
}

const (
	// heldFor is how long a request waits while another one with its part is tried, and heldPoll how
	// often it looks.
	heldFor  = 300 * time.Millisecond
	heldPoll = 10 * time.Millisecond
)

// send sends a run to an engine, unless it is refused.
func (s *partSimulation) send(x *partRun, waitingSince time.Duration) {
	lead, refused := s.check(x)
	if refused {
		s.refuse(x)
		return
	}
	if lead != (quarantine.Part{}) && s.Single && s.routers[x.router].inFlight[lead] > 0 {
		if waitingSince == s.now && x.bad < 0 {
			s.result.Held++
		}
		if s.now-waitingSince >= heldFor {
			s.refuse(x)
			return
		}
		s.after(heldPoll, func() { s.send(x, waitingSince) })
		return
	}
	if len(s.engines) == 0 {
		s.fail(x)
		return
	}
	x.lead = lead
	s.routers[x.router].inFlight[lead]++
	e := s.choose(x)
	x.began, x.firstAt, x.released = s.now, 0, false
	x.sends++
	e.running = append(e.running, x)
	if x.bad >= 0 {
		if b := &s.bad[x.bad]; len(b.ends) >= partProof && s.now > b.ends[partProof-1]+bound {
			b.late++
		}
	}
	s.after(time.Duration(float64(s.First)*(0.5+s.rng.ExpFloat64()/2)), func() { s.answer(e, x) })
}

// partProof is the number of ends that prove a part to be bad.
const partProof = 5

// check returns the suspected part by which the engine is selected, if any, and whether the request is
// refused.
func (s *partSimulation) check(x *partRun) (lead quarantine.Part, refused bool) {
	if s.Off {
		return lead, false
	}
	if s.CountOnly {
		return lead, slices.ContainsFunc(x.parts, func(p string) bool { return len(s.counts[p]) >= s.Limits.PartEnds })
	}
	table := s.routers[x.router].table
	if table.Status(quarantine.Key{Fingerprint: x.content.Fingerprint()}).Quarantined {
		return lead, true
	}
	parts := x.suspects()
	for _, p := range parts {
		status := table.Status(quarantine.Key{Part: p})
		if status.Quarantined && !slices.ContainsFunc(status.With, func(o quarantine.Part) bool { return !slices.Contains(parts, o) }) {
			return lead, true
		}
		if (status.Quarantined || status.Suspected) && lead == (quarantine.Part{}) {
			lead = p
		}
	}
	return lead, false
}

// choose selects the engine of a run.
func (s *partSimulation) choose(x *partRun) *partEngine {
	key := rendezvous.ID(x.parts[len(x.parts)-1])
	if x.lead != (quarantine.Part{}) && s.Isolate {
		key = rendezvous.ID(x.lead.String())
	} else if s.PlaceUnproven {
		if i := slices.IndexFunc(x.parts, func(p string) bool { return s.routers[x.router].proven[p] == 0 }); i >= 0 {
			key = rendezvous.ID(x.parts[i])
		}
	}
	var best *partEngine
	load := float64(0)
	for _, e := range s.engines {
		load += float64(len(e.running))
	}
	limit := int(1.5*load/float64(len(s.engines))) + 3
	for _, e := range s.engines {
		if len(e.running) < limit && (best == nil || rendezvous.Score(key, e.key) > rendezvous.Score(key, best.key)) {
			best = e
		}
	}
	return best
}

// answer is the first token of a run.
func (s *partSimulation) answer(e *partEngine, x *partRun) {
	if e.ended {
		return
	}
	x.firstAt = s.now
	if x.bad >= 0 {
		s.after(s.CrashAfter, func() { s.end(e, x.bad) })
		return
	}
	length := time.Duration(s.rng.ExpFloat64() * float64(s.Answer))
	if length > quarantine.Outlives {
		s.after(quarantine.Outlives, func() {
			if !e.ended {
				s.prove(x, false)
			}
		})
	}
	s.after(length, func() { s.complete(e, x) })
}

func (s *partSimulation) release(x *partRun) {
	if !x.released {
		x.released = true
		s.routers[x.router].inFlight[x.lead]--
	}
}

func (s *partSimulation) prove(x *partRun, complete bool) {
	router := s.routers[x.router]
	if complete {
		for _, p := range x.parts {
			router.proven[p] = max(router.proven[p], x.firstAt)
		}
	}
	s.release(x)
	if s.Off || s.CountOnly {
		return
	}
	keys := []quarantine.Key{}
	for _, p := range x.suspects() {
		keys = append(keys, quarantine.Key{Part: p})
	}
	router.table.Prove(keys, x.firstAt, complete, s.now)
	if complete {
		router.table.Clear(quarantine.Key{Fingerprint: x.content.Fingerprint()}, s.now)
	}
	s.share(x.router)
}

func (s *partSimulation) complete(e *partEngine, x *partRun) {
	if e.ended {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(o *partRun) bool { return o == x })
	for _, p := range x.parts {
		delete(s.counts, p)
	}
	s.prove(x, true)
	x.first = x.attempts == 1
}

// end ends an engine, because of a bad part or, with a negative one, by itself.
func (s *partSimulation) end(e *partEngine, bad int) {
	if e.ended {
		return
	}
	e.ended = true
	peers := len(s.engines)
	s.engines = slices.DeleteFunc(s.engines, func(o *partEngine) bool { return o == e })
	s.after(s.Back, s.startEngine)
	if bad >= 0 {
		s.bad[bad].ends = append(s.bad[bad].ends, s.now)
	}
	byRouter := make(map[int][]quarantine.Cut)
	for _, x := range e.running {
		c := quarantine.Cut{
			Request:  quarantine.Suspect{Fingerprint: x.content.Fingerprint(), Hint: x.content.Hint(), Account: x.content.Account},
			Exposure: s.now - x.began,
		}
		for i, p := range x.suspects() {
			c.Parts = append(c.Parts, quarantine.CutPart{Part: p, CompletedAt: s.routers[x.router].proven[x.parts[i]]})
		}
		if x.firstAt > 0 {
			c.Answered = s.now - x.firstAt
		}
		byRouter[x.router] = append(byRouter[x.router], c)
		for _, p := range x.parts {
			if s.counts[p] == nil {
				s.counts[p] = make(map[string]bool)
			}
			s.counts[p][e.id] = true
		}
	}
	end := quarantine.End{Engine: e.id, Site: fmt.Sprint(e.key % sites), At: s.now, Peers: peers}
	for i, cuts := range byRouter {
		if !s.Off && !s.CountOnly {
			s.routers[i].table.RecordEnd(end, cuts, s.now)
			s.share(i)
		}
	}
	for _, x := range e.running {
		s.release(x)
		s.cut(e, x)
	}
}

// share brings what a router knows to the others.
func (s *partSimulation) share(from int) {
	router := s.routers[from]
	if router.sharing || router.table.Revision() == router.shared {
		return
	}
	router.sharing = true
	s.after(s.Spread, func() {
		entries := router.table.OwnSince(router.shared)
		router.shared, router.sharing = router.table.Revision(), false
		for i, r := range s.routers {
			if i != from {
				r.table.Merge(entries, "x", s.now)
			}
		}
		if from != 0 {
			s.result.Records += len(entries)
		}
	})
}

func (s *partSimulation) cut(e *partEngine, x *partRun) {
	if x.repeatable && x.sends == 1 && !s.NoRetry && (s.Off || s.CountOnly || !s.likelyCause(x, e.id)) {
		s.after(time.Millisecond, func() { s.send(x, s.now) })
		return
	}
	s.fail(x)
}

// likelyCause reports whether the router must not repeat a request: a second engine has ended under it or
// under a part that was not answered lately.
func (s *partSimulation) likelyCause(x *partRun, engine string) bool {
	table := s.routers[x.router].table
	if table.Status(quarantine.Key{Fingerprint: x.content.Fingerprint()}).EndsWithout([]quarantine.EngineStart{{ID: engine}}) > 0 {
		return true
	}
	return slices.ContainsFunc(x.suspects(), func(p quarantine.Part) bool {
		status := table.Status(quarantine.Key{Part: p})
		return status.Suspected || status.Quarantined || !status.AnsweredLately && status.EndsWithout([]quarantine.EngineStart{{ID: engine}}) > 0
	})
}

// fail ends an attempt. Callers repeat it once.
func (s *partSimulation) fail(x *partRun) {
	if x.attempts < callerAttempts || s.Repeated && x.bad >= 0 {
		s.after(callerPause, func() { s.admit(x.partRequest) })
	}
}

func (s *partSimulation) refuse(x *partRun) {
	if x.bad < 0 {
		s.result.Refused++
		s.fail(x)
	}
}

func (s *partSimulation) finish() PartResult {
	last := time.Duration(0)
	for _, b := range s.bad {
		s.result.Ended, s.result.Late = max(s.result.Ended, len(b.ends)), max(s.result.Late, b.late)
		if len(b.ends) > 0 {
			last = max(last, b.ends[min(len(b.ends), partProof)-1])
		}
	}
	for _, r := range s.sound {
		if r.sentAt > s.Length-3*time.Second {
			continue
		}
		s.result.Sound++
		after := r.sentAt > last+2*bound
		if after {
			s.result.AfterSound++
		}
		if r.first {
			s.result.First++
			if after {
				s.result.AfterFirst++
			}
		}
	}
	for _, e := range s.routers[0].table.Entries() {
		if e.Quarantined && e.Key().IsPart() && e.Part.ID[:3] != "bad" {
			s.result.Condemned++
		}
	}
	return s.result
}
