package admission

import (
	"context"
	"net/http"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/google/uuid"
)

// EngineReport applies the report of an engine. It has no effect unless this
// router owns the engine.
func (a *Admission) EngineReport(e *board.Engine, st wire.EngineStatus) {
	now := time.Now()
	snap := a.opts.Board.Snapshot()
	s := a.schedulerOfEngine(snap, e)
	if s == nil {
		return
	}
	owned := a.ledgers.applyEngineReport(now, e.ID, permit.EngineLoad{
		Incarnation: st.Incarnation,
		Age:         time.Duration(st.ReportAgeMS) * time.Millisecond,
		Count:       st.Running + st.Queued,
		Weight:      st.Weight,
		IDs:         st.RequestIDs,
	})
	if !owned {
		return
	}
	s.recordStatus(now, e, st)
}

// EngineState applies a report that doesn't list the unfinished requests. The
// report's count is ignored: without the request IDs, requests released here
// since the report was made can't be subtracted from it.
func (a *Admission) EngineState(e *board.Engine, st wire.EngineStatus) {
	s := a.schedulerOfEngine(a.opts.Board.Snapshot(), e)
	if s == nil || a.ledgers.find(e.ID) == nil {
		return
	}
	s.recordStatus(time.Now(), e, st)
}

// recordStatus records the parts of a report that the permit ledger doesn't keep.
func (s *scheduler) recordStatus(now time.Time, e *board.Engine, st wire.EngineStatus) {
	s.mu.Lock()
	k := s.loads[e.ID]
	k.Engine = e.ID
	k.Incarnation = st.Incarnation
	k.MaxBatch = int32(st.MaxBatch)
	k.Flags = 0
	if st.Leaving {
		k.Flags |= flagDraining
	}
	if s.pool.Model == "" || s.pool.Model == st.Model {
		// The version isn't compared: engines with the previous version keep
		// serving during a rollout. Excluding them would leave the pool without
		// engines as soon as a new version is accepted.
		k.Flags |= flagModel
	}
	if hasAdapters(s.pool, st) {
		k.Flags |= flagAdapters
	}
	k.updatedAt = now
	s.loads[e.ID] = k
	s.mu.Unlock()
	s.wake()
}

// hasAdapters reports whether the engine has all adapters of its pool.
func hasAdapters(p *config.Pool, st wire.EngineStatus) bool {
	for _, adapter := range p.Adapters {
		if !slices.Contains(st.Adapters, adapter) {
			return false
		}
	}
	return true
}

// Home returns the owner of the engine preferred for a chat of which no cached
// prefix is known: the first engine in the chat's rendezvous order that this
// router believes to be in service.
func (a *Admission) Home(p *config.Pool, chat uint64) (board.Router, bool) {
	snap := a.opts.Board.Snapshot()
	g := snap.Group(p.Name, snap.Config.Site.Region)
	if g == nil {
		return board.Router{}, false
	}
	s := a.schedulerFor(snap, p)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	best, bestScore := -1, uint64(0)
	for i := range g.Engines {
		e := s.engineView(now, &g.Engines[i], false)
		if e.Leaving || !e.Loaded || e.Ejected || g.Owners[i] < 0 {
			continue
		}
		if score := rendezvous.Score(chat, e.ID); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return board.Router{}, false
	}
	return snap.Routers[g.Owners[best]], true
}

// Admitted returns the number of admitted, unfinished requests of an engine as
// last reported by its owner; ok is false if no load is known.
func (a *Admission) Admitted(engine uint64) (n int, ok bool) {
	if load, own := a.ledgers.load(time.Now(), engine); own {
		return load.Count, true
	}
	for _, s := range a.allSchedulers() {
		if k, known := s.lastLoad(engine); known {
			return int(k.Count), true
		}
	}
	return 0, false
}

func (s *scheduler) lastLoad(engine uint64) (loadRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.loads[engine]
	return k, ok
}

// Adopt transfers the permit of a stream that is resumed at this router. It
// fails with an *apierr.Error if the engine is not in the snapshot or has no
// owner.
func (a *Admission) Adopt(ctx context.Context, id, engine string, incarnation uint64) (*Grant, error) {
	snap := a.opts.Board.Snapshot()
	notResumable := apierr.New(apierr.CodeIncomplete, http.StatusBadGateway, "the stream can no longer be resumed").
		WithRan(apierr.RanYes)
	e, ok := snap.Engines[engine]
	if !ok {
		return nil, notResumable
	}
	owner, ok := snap.EngineOwner(e.ID)
	s := a.schedulerOfEngine(snap, &e)
	if !ok || s == nil {
		return nil, notResumable
	}
	c := selection{engine: e, owner: owner, incarnation: incarnation}
	c.decision.Weight = s.transferPermit(ctx, c, id)
	return s.newGrant(id, c, incarnation), nil
}

// transferPermit requests from the engine's owner that it transfer a permit to
// this router, and returns the permit's weight, or 0 if unknown. The caller may
// read the stream even if the transfer fails.
//
// The transfer can fail in two cases although the engine still has the
// response. First, callers are directed to the router that owns their engine.
// When that router dies, the engine has no working owner until the fleet
// notices, seconds later, and its callers would get an error for a lost
// response. Second, a router may have relayed the rest of the stream into a
// connection that the network had dropped, and may then have released the
// permit. Reading existing output adds no work to the engine. The engine's own
// report counts the stream, and the next holder report corrects the owner's
// ledger. An engine that no longer has the stream, or was restarted, returns an
// error.
func (s *scheduler) transferPermit(ctx context.Context, c selection, id string) (weight int64) {
	if c.owner.Name == s.a.opts.Self {
		r := permit.Request{ID: id, Holder: s.a.holder, Incarnation: c.incarnation}
		p, _ := s.a.ledgers.transfer(time.Now(), c.engine.ID, r)
		return p.Weight
	}
	if _, err := s.call(ctx, c, id, AcquireArgs{Incarnation: c.incarnation, Transfer: true}); err != nil {
		s.a.Metrics.AdoptedUnconfirmed.Add(1)
	}
	return 0
}

// abort ends a permit whose caller did not resume the stream, and reports
// whether this router still held it. If the owner can't be reached the result
// is false, so that the request is not canceled at the engine: a stream without
// a reader ends by itself, but a stream stopped while its caller reads it can't
// be recovered.
func (a *Admission) abort(ctx context.Context, id string) bool {
	h, ok := a.held.remove(id)
	if !ok {
		return false
	}
	if s := a.scheduler(h.group); s != nil {
		defer s.recordFinished(h)
	}
	if out, _, owned := a.ledgers.release(time.Now(), h.engine, id, a.holder); owned {
		return out != permit.Moved
	}
	return a.abortRemote(ctx, h, id)
}

func (a *Admission) abortRemote(ctx context.Context, h heldPermit, id string) bool {
	owner, ok := a.releases.owner(h.engine)
	parsed, err := uuid.Parse(id)
	if !ok || err != nil {
		return false
	}
	p := ReleasedPermit{Engine: h.engine, ID: parsed}
	ctx, cancel := context.WithTimeout(ctx, a.opts.CallTimeout)
	defer cancel()
	var reply ReleaseReply
	args := ReleaseArgs{Holder: a.holder, Permits: []ReleasedPermit{p}}
	t := peer.Target{Name: owner.Name, Address: owner.Control}
	if err := a.opts.Caller.Call(ctx, t, ServiceName+".Release", args, &reply); err != nil {
		a.releases.add(p)
		return false
	}
	return len(reply.Moved) == 0
}

// Reports returns this router's unfinished requests by owner and engine. Owners
// compare the reports with their ledgers, which reveals releases that were lost
// and permits that a new owner doesn't know.
func (a *Admission) Reports() map[string]ReportArgs {
	snap := a.opts.Board.Snapshot()
	seq := a.held.reportSeq.Add(1)
	byEngine := a.held.byEngine()
	out := make(map[string]ReportArgs)
	for _, e := range snap.Engines {
		owner, ok := snap.EngineOwner(e.ID)
		if !ok {
			continue
		}
		args, ok := out[owner.Name]
		if !ok {
			args = ReportArgs{Holder: a.holder, Seq: seq, Engines: make(map[uint64][]ReportedPermit)}
		}
		args.Engines[e.ID] = byEngine[e.ID]
		out[owner.Name] = args
	}
	return out
}

// SendReports sends the reports to the owners. A report that can't be delivered
// is not retried; the next one replaces it.
func (a *Admission) SendReports(ctx context.Context) {
	snap := a.opts.Board.Snapshot()
	newOwners := a.ownerChanges.take(snap)
	for name, args := range a.Reports() {
		if name == a.opts.Self {
			_ = a.Service().Report(args, nil)
			continue
		}
		r, ok := snap.Router(name)
		if !ok || !newOwners[name] && !hasPermits(args) {
			continue
		}
		a.sendReport(ctx, r, args)
	}
}

// hasPermits reports whether a report lists any permit. Empty reports are
// normally not sent: an owner that gets no message from a holder drops none
// of its permits until permit.Config.SilenceTimeout, and then only those that the
// engine's report shows to have ended.
func hasPermits(args ReportArgs) bool {
	for _, list := range args.Engines {
		if len(list) > 0 {
			return true
		}
	}
	return false
}

func (a *Admission) sendReport(ctx context.Context, r board.Router, args ReportArgs) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CallTimeout)
	defer cancel()
	var reply ReportReply
	t := peer.Target{Name: r.Name, Address: r.Control}
	if err := a.opts.Caller.Call(ctx, t, ServiceName+".Report", args, &reply); err != nil {
		a.Metrics.ReportsFailed.Add(1)
	}
}
