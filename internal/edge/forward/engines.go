package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/backoff"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/decide/room"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// Balancer tracks the requests of this router at each engine and how they end, and selects engines
// for requests. It is safe for concurrent use.
type Balancer struct {
	site string
	// otherLoads returns the loads reported by the other routers, by engine ID.
	otherLoads func() map[string]feed.EngineLoad
	// reportAge returns the time since otherLoads was updated.
	reportAge func(now time.Duration) time.Duration
	clock     func() time.Duration
	rng       *rand.Rand
	// release returns a permit to its gate.
	release func(*flow.Permit)

	mu       sync.Mutex
	ownLoads map[string]*ownLoad
	// ejections holds the engines that are ejected or on trial, by ID.
	ejections map[string]*health.Ejection
	// promptCaches records which prompt parts this router has sent to which engines.
	promptCaches promptCaches
	// states holds the last observation of each engine by ID. knownSince is the reading of the boot
	// clock when this router observed its first engine.
	states     map[string]engineState
	knownSince time.Duration
	// onRestart is called with the ID of each engine that has restarted.
	onRestart func(engine string)
	// coldLimits returns the limits on requests to cold engines.
	coldLimits func() ColdLimits
	// congestedUntil is, by service, the reading of the boot clock until which requests need a
	// permit. meanHolds is, by service, the mean time that a request occupies an engine.
	congestedUntil map[string]time.Duration
	meanHolds      map[string]time.Duration
	// overshoots tells, by service, how far engines exceed the operators' limit on their loads.
	overshoots map[string]*choose.Overshoot
	// meanNeeds is, by service, the mean memory that requests need.
	meanNeeds map[string]*room.Mean
	// pauses holds the engines that have asked this router for a pause, by ID, until the return of
	// requests to them is complete. routers returns the number of routers in the fleet.
	pauses  *backoff.Table[string]
	routers func() int
	// brittle holds the engines that have stated in a response to this router that they are brittle,
	// by ID.
	brittle map[string]brittleStatement
	// doubts tells which engines may run another version than their entries state; nil if all may be
	// relied on.
	doubts *RestartDoubts
	// established tells whether streams that can be resumed should begin at a version of a service.
	established func(service, version string) bool
}

// ownLoad is this router's requests at one engine and how they have ended.
type ownLoad struct {
	// inFlight is the number of requests in progress, and leased the number of these that hold a
	// permit.
	inFlight, leased int
	record           health.Record
	// unanswered records the failures in record for which the path to the engine may be the cause.
	unanswered health.Record
	// limits records which requests the engine has accepted, and which it has rejected and asked for
	// a pause.
	limits health.Record
	// suspects counts the requests in progress that may crash the engine, by their isolation key.
	suspects map[uint64]int
}

// hasOtherSuspect reports whether a request in progress may crash the engine, other than those with
// the isolation key.
func (l *ownLoad) hasOtherSuspect(key uint64) bool {
	for other := range l.suspects {
		if other != key {
			return true
		}
	}
	return false
}

// countSuspect adds n to the requests in progress with an isolation key.
func (l *ownLoad) countSuspect(key uint64, n int) {
	if key == 0 {
		return
	}
	if l.suspects == nil {
		l.suspects = make(map[uint64]int)
	}
	l.suspects[key] += n
	if l.suspects[key] <= 0 {
		delete(l.suspects, key)
	}
}

// NewBalancer returns a Balancer for a router in a site. The function others returns the loads
// reported by the other routers, by engine ID.
func NewBalancer(site string, others func() map[string]feed.EngineLoad, clock func() time.Duration, rng *rand.Rand) *Balancer {
	return &Balancer{
		site: site, otherLoads: others, clock: clock, rng: rng, promptCaches: newPromptCaches(),
		ownLoads:       make(map[string]*ownLoad),
		states:         make(map[string]engineState),
		ejections:      make(map[string]*health.Ejection),
		reportAge:      func(time.Duration) time.Duration { return 0 },
		coldLimits:     func() ColdLimits { return ColdLimits{} },
		congestedUntil: make(map[string]time.Duration), meanHolds: make(map[string]time.Duration), meanNeeds: make(map[string]*room.Mean), overshoots: make(map[string]*choose.Overshoot),
		pauses:  backoff.NewTable[string](),
		brittle: make(map[string]brittleStatement),
		routers: func() int { return 1 },

		established: func(string, string) bool { return true },
	}
}

// SetRelease sets the function that releases permits. It must be called before the first request.
func (p *Balancer) SetRelease(release func(*flow.Permit)) { p.release = release }

// OnRestart sets the function that is called with the ID of each restarted engine. The function
// runs while the mutex is held, so it must neither block nor call methods of p.
func (p *Balancer) OnRestart(restarted func(engine string)) { p.onRestart = restarted }

// OwnLoads returns this router's load and outcome counts by engine ID.
func (p *Balancer) OwnLoads() map[string]feed.EngineLoad {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]feed.EngineLoad, len(p.ownLoads))
	for id, l := range p.ownLoads {
		load := feed.EngineLoad{InFlight: l.inFlight, Leased: l.leased, Evidence: l.record.At(now)}
		load.SetLimits(l.limits.At(now))
		load.Brittle = p.brittle[id].report(now)
		out[id] = load
	}
	return out
}

// load returns the engine's load and creates it if needed. The caller holds the mutex.
func (p *Balancer) load(engine string) *ownLoad {
	return valueOf(p.ownLoads, engine)
}

// Pick selects an engine of the service and counts a request to it until Done is called. It skips
// cold engines, which require a permit. It returns false if there is no engine left.
func (p *Balancer) Pick(s *catalog.Snapshot, service string, q Query) (Choice, bool) {
	now := p.clock()
	others := p.reported()
	p.mu.Lock()
	defer p.mu.Unlock()
	engines, candidates := p.candidates(s, service, q, others, now)
	candidates = choose.WithoutCold(candidates)
	return p.commit(engines, candidates, p.placement(candidates, q), q, now)
}

// placement selects among the candidates. The caller holds the mutex.
func (p *Balancer) placement(candidates []choose.Engine, q Query) choose.Placement {
	switch {
	case q.Isolate != 0:
		return p.placementAt(candidates, choose.PickIsolated(candidates, q.Isolate, p.rng), q)
	case len(q.Shared) == 0:
		return choose.Placement{Engine: choose.PickPlain(candidates, p.rng), Holder: choose.NoEngine}
	}
	return choose.PlacePrompt(candidates, placementKey(q.Shared), p.rng)
}

// placementAt returns the placement at the i-th candidate. The caller holds the mutex.
func (p *Balancer) placementAt(candidates []choose.Engine, i int, q Query) choose.Placement {
	if i == choose.NoEngine || len(q.Shared) == 0 {
		return choose.Placement{Engine: i, Holder: choose.NoEngine}
	}
	return choose.PlacementAt(candidates, i, placementKey(q.Shared))
}

// placementKey returns the key by which the engines for a prompt are ranked.
func placementKey(shared []string) uint64 { return rendezvous.ID(shared[len(shared)-1]) }

// commit counts a request at the engine of a placement and records its prompt parts there. The
// caller holds the mutex.
func (p *Balancer) commit(engines []catalog.Engine, candidates []choose.Engine, placement choose.Placement, q Query, now time.Duration) (Choice, bool) {
	choice, ok := p.start(engines, placement.Engine, q, now)
	if !ok || len(q.Shared) == 0 {
		return choice, ok
	}
	choice.FetchFrom = p.fetchSource(engines, candidates, placement, q.Shared, now)
	p.promptCaches.add(choice.Engine.ID, q.Shared, now)
	return choice, true
}

// start counts a request at the i-th engine. The caller holds the mutex.
func (p *Balancer) start(engines []catalog.Engine, i int, q Query, now time.Duration) (Choice, bool) {
	if i == choose.NoEngine {
		return Choice{}, false
	}
	load := p.load(engines[i].ID)
	load.inFlight++
	load.countSuspect(q.Isolate, 1)
	return Choice{Engine: engines[i], isolate: q.Isolate, startedAt: now, hold: &hold{}, returning: p.pauses.Start(engines[i].ID, startOf(engines[i]))}, true
}

// fetchSource returns the address of the engine to fetch the prompt from. It returns an empty
// string if this router has already sent the last shared part, and with it the whole shared prefix,
// to the selected engine, because a fetch costs a few milliseconds. Otherwise it tries in this
// order: the engine to which this router last sent that part; the engine that had the prompt before
// according to the hash order, if the prompt has moved; and the engines to which this router last
// sent earlier parts that the selected engine lacks. If none qualifies, it falls back to the first
// other engine of the hash order. The caller holds the mutex.
func (p *Balancer) fetchSource(engines []catalog.Engine, candidates []choose.Engine, placement choose.Placement, shared []string, now time.Duration) string {
	selected := engines[placement.Engine].ID
	longest := len(shared) - 1
	if p.promptCaches.contains(selected, shared[longest], now) {
		return ""
	}
	if address, ok := p.sourceAddress(engines, candidates, selected, shared[longest], now); ok {
		return address
	}
	if placement.Holder != choose.NoEngine && placement.Moved {
		return engines[placement.Holder].Address
	}
	for i := longest - 1; i >= 0 && !p.promptCaches.contains(selected, shared[i], now); i-- {
		if address, ok := p.sourceAddress(engines, candidates, selected, shared[i], now); ok {
			return address
		}
	}
	if placement.Holder == choose.NoEngine {
		return ""
	}
	return engines[placement.Holder].Address
}

// sourceAddress returns the address of the engine, other than the selected one, to which this
// router last sent the part. It returns false if that engine is ejected, because the request would
// wait for an engine that does not respond. The caller holds the mutex.
func (p *Balancer) sourceAddress(engines []catalog.Engine, candidates []choose.Engine, selected, part string, now time.Duration) (string, bool) {
	holder, ok := p.promptCaches.otherEngine(selected, part, now)
	if !ok {
		return "", false
	}
	version := ""
	for _, e := range engines {
		if e.ID == selected {
			version = e.Version
		}
	}
	for i, e := range engines {
		if e.ID == holder {
			return e.Address, e.Version == version && candidates[i].ServesCache()
		}
	}
	return "", false
}

// candidates returns the engines of the service that are not excluded, and the same engines in the
// same order as package choose needs them. It calls observe for each of them. The caller holds the
// mutex.
func (p *Balancer) candidates(s *catalog.Snapshot, service string, q Query, others reportedLoads, now time.Duration) ([]catalog.Engine, []choose.Engine) {
	var engines []catalog.Engine
	var out []choose.Engine
	var avoided []int
	var evidence []health.Evidence
	config := s.Config.Service(service)
	requests := p.room(config)
	for _, e := range s.Engines.ForService(service) {
		if q.Excluded[e.ID] {
			continue
		}
		p.observe(s, e, now)
		slots := e.Slots
		if slots == 0 && config != nil {
			slots = config.Slots
		}
		load := others.byEngine[e.ID]
		if own := p.ownLoads[e.ID]; own != nil {
			load.InFlight += own.inFlight
			if load.Rejected > 0 || own.limits.HasFailures() {
				load.SetLimits(load.Limits().Add(own.limits.At(now)))
			}
		}
		if p.avoids(e, load.Limits()) || q.Resumable && !p.established(service, e.Version) {
			avoided = append(avoided, len(engines))
		}
		engines = append(engines, e)
		evidence = append(evidence, p.judgedEvidence(e.ID, others, now))
		tolerance, stated := p.statedTolerance(e.ID, load, now)
		out = append(out, choose.Engine{
			Brittle: stated, Tolerance: tolerance, Version: e.Version,
			ID: e.ID, Key: rendezvous.ID(e.ID), InFlight: load.InFlight, Slots: slots, Room: requests,
			SameSite: e.Site == p.site, Draining: !s.TakesRequests(e) || !p.admits(e, now), RecentlyAdded: p.recentlyStarted(e.ID, now),
			AddedAt:    p.states[e.ID].firstSeen,
			Cold:       p.coldRemaining(config, e.ID, now) > 0,
			HasSuspect: p.ownLoads[e.ID] != nil && p.ownLoads[e.ID].hasOtherSuspect(q.Isolate),
		})
	}
	for i, share := range health.LoadShares(evidence) {
		out[i].Share = share
	}
	p.limitTrials(out)
	p.setUnreported(service, out, now)
	if q.Resumable && now >= p.congestedUntil[service] {
		avoided = append(avoided, loneOfVersion(out)...)
	}
	out = withoutAvoided(out, avoided)
	if q.Version != "" {
		engines, out = p.onlyVersion(engines, out, q.Version)
	}
	if _, brittle := serviceTolerance(out); brittle && q.Unadmitted {
		withHeadroom(out)
	}
	return engines, out
}

// setUnreported sets the margin of the service's load bound. The caller holds the mutex.
func (p *Balancer) setUnreported(service string, engines []choose.Engine, now time.Duration) {
	overshoot := valueOf(p.overshoots, service)
	overshoot.Observe(now, engines)
	unreported := overshoot.Unreported(p.meanHolds[service])
	for i := range engines {
		engines[i].Unreported = unreported
	}
}

// observe records an engine of the current snapshot. For an engine that has restarted under the
// same ID, it discards the prompt parts and outcomes recorded before the restart. The caller holds
// the mutex.
func (p *Balancer) observe(s *catalog.Snapshot, e catalog.Engine, now time.Duration) {
	if len(p.states) == 0 {
		p.knownSince = now
	}
	previous, known := p.states[e.ID]
	restarted := known && e.RestartOf(previous.engine)
	current := previous
	current.engine = e
	if !known || restarted {
		current.firstSeen = now
	}
	entryChanged := !known || e.ChangedSince(previous.engine)
	emptied := current.updateCold(s, coldStartDuration(s, e.Service), now, known, entryChanged)
	p.states[e.ID] = current
	if emptied {
		p.promptCaches.markEmpty(e.ID, now)
	}
	if !restarted {
		return
	}
	p.load(e.ID).record = health.Record{}
	p.load(e.ID).unanswered = health.Record{}
	if x := p.ejections[e.ID]; x != nil {
		x.Restart()
	}
	if lostAt, lost := p.doubts.LostAt(previous.engine); lost {
		p.pauses.Restart(e.ID, startOf(previous.engine), startOf(e), lostAt)
	}
	delete(p.brittle, e.ID)
	p.load(e.ID).limits = health.Record{}
	p.promptCaches.markEmpty(e.ID, now)
	if p.onRestart != nil {
		p.onRestart(e.ID)
	}
}

// recentlyStarted reports whether the engine was added, was restarted or returned from an
// evacuation within the last promptCacheTTL. Engines that this router found at its own start do not
// count. The caller holds the mutex.
func (p *Balancer) recentlyStarted(engine string, now time.Duration) bool {
	firstSeen := p.states[engine].firstSeen
	return firstSeen > p.knownSince+startupSettleTime && now-firstSeen <= promptCacheTTL
}

// HasFreeSlot reports whether any engine of the service, other than those in excluded, accepts
// requests and has a free slot.
func (p *Balancer) HasFreeSlot(s *catalog.Snapshot, service string, excluded map[string]bool) bool {
	others := p.reported()
	p.mu.Lock()
	defer p.mu.Unlock()
	_, candidates := p.candidates(s, service, Query{Excluded: excluded}, others, p.clock())
	return slices.ContainsFunc(candidates, choose.Engine.HasFreeSlot)
}

// Done ends the count of a request and releases its permit. It must be called once for each choice
// that Pick, Plan or StartLeased has counted.
func (p *Balancer) Done(choice Choice) {
	now := p.clock()
	p.mu.Lock()
	choice.returning.End(false, now)
	p.load(choice.Engine.ID).countSuspect(choice.isolate, -1)
	first := p.endHold(choice)
	var left time.Duration
	switch {
	case first && choice.hold.abandoned:
		left = choice.startedAt + abandonedHold(p.meanHolds[choice.Engine.Service]) - now
	case first:
		p.recordHold(choice.Engine.Service, now-choice.startedAt)
	}
	p.mu.Unlock()
	switch {
	case !first || choice.permit == nil:
	case left > 0:
		time.AfterFunc(left, func() { p.release(choice.permit) })
	default:
		p.release(choice.permit)
	}
}

// Unreached ends the count of a request, and its permit, before its response: it has most likely not
// reached the engine. It may be called more than once.
func (p *Balancer) Unreached(choice Choice) {
	p.mu.Lock()
	first := p.endHold(choice)
	p.mu.Unlock()
	if first && choice.permit != nil {
		p.release(choice.permit)
	}
}

// endHold ends the count of a request and reports whether it was counted until now. The caller holds
// the mutex.
func (p *Balancer) endHold(choice Choice) bool {
	if choice.hold == nil || choice.hold.released {
		return false
	}
	choice.hold.released = true
	load := p.load(choice.Engine.ID)
	load.inFlight--
	if choice.permit != nil {
		load.leased--
	}
	return true
}

// KnownLoad returns an engine's load from this router's own requests and the reports of the others.
func (p *Balancer) KnownLoad(engine string) flow.ReportedLoad {
	load := p.otherLoads()[engine]
	p.mu.Lock()
	defer p.mu.Unlock()
	if own := p.ownLoads[engine]; own != nil {
		load.InFlight += own.inFlight
		load.Leased += own.leased
	}
	return flow.ReportedLoad{Unleased: max(load.InFlight-load.Leased, 0), Leased: load.Leased}
}

// RecordOutcome records whether a request at an engine succeeded.
func (p *Balancer) RecordOutcome(engine string, good bool) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load(engine).record.Observe(good, now)
	if x := p.ejections[engine]; good && x != nil {
		x.Succeed()
	}
}

// RecordNoResponse records that an engine did not respond to a request, for which the path to it may
// be the cause.
func (p *Balancer) RecordNoResponse(engine string) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.load(engine)
	l.record.Observe(false, now)
	l.unanswered.Observe(false, now)
}

// PathLost records that the path from this router to an engine is lost. The failures that may be due
// to it no longer count against the engine.
func (p *Balancer) PathLost(engine string) {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.load(engine)
	l.record.Discard(l.unanswered.At(now), now)
	l.unanswered = health.Record{}
}
