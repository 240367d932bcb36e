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

// EngineReport takes in the report of an engine that this router owns.
func (a *Admission) EngineReport(e *board.Engine, st wire.EngineStatus) {
	now := time.Now()
	snap := a.opts.Board.Snapshot()
	l := a.laneOf(snap, e)
	if l == nil {
		return
	}
	owned := a.keeper.report(now, e.ID, permit.EngineLoad{
		Incarnation: st.Incarnation,
		Age:         time.Duration(st.ReportAgeMS) * time.Millisecond,
		Count:       st.Running + st.Queued,
		Weight:      st.Weight,
		IDs:         st.RequestIDs,
	})
	if !owned {
		return
	}
	l.heard(now, e, st)
}

// EngineState takes in a report that does not name the unfinished requests.
// Its count says nothing new: without the names it can't be told apart from
// what has been released here since the report was made.
func (a *Admission) EngineState(e *board.Engine, st wire.EngineStatus) {
	l := a.laneOf(a.opts.Board.Snapshot(), e)
	if l == nil || a.keeper.entry(e.ID) == nil {
		return
	}
	l.heard(time.Now(), e, st)
}

// heard records the parts of a report that the book does not keep.
func (l *lane) heard(now time.Time, e *board.Engine, st wire.EngineStatus) {
	l.mu.Lock()
	k := l.loads[e.ID]
	k.Engine = e.ID
	k.Incarnation = st.Incarnation
	k.MaxBatch = int32(st.MaxBatch)
	k.Flags = 0
	if st.Leaving {
		k.Flags |= flagLeaving
	}
	if l.pool.Model == "" || l.pool.Model == st.Model {
		// The version is not looked at: while a new one is rolled out, engines
		// with the old one go on serving. Were they taken out, an accepted
		// change of version would leave the pool without engines at once.
		k.Flags |= flagModel
	}
	if hasAdapters(l.pool, st) {
		k.Flags |= flagAdapters
	}
	k.at = now
	l.loads[e.ID] = k
	l.mu.Unlock()
	l.wake()
}

// hasAdapters says whether an engine has all adapters of its pool.
func hasAdapters(p *config.Pool, st wire.EngineStatus) bool {
	for _, adapter := range p.Adapters {
		if !slices.Contains(st.Adapters, adapter) {
			return false
		}
	}
	return true
}

// Home is the owner of the engine that a chat without evidence goes to: the
// first in its rendezvous order that is in service, as far as is known here.
func (a *Admission) Home(p *config.Pool, chat uint64) (board.Router, bool) {
	snap := a.opts.Board.Snapshot()
	g := snap.Group(p.Name, snap.Config.Site.Region)
	if g == nil {
		return board.Router{}, false
	}
	l := a.laneFor(snap, p)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	best, bestScore := -1, uint64(0)
	for i := range g.Engines {
		e := l.describe(now, &g.Engines[i], false)
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

// Admitted is the number of an engine's admitted, unfinished requests, as its
// owner told last; ok is false where nothing was heard.
func (a *Admission) Admitted(engine uint64) (n int, ok bool) {
	if load, own := a.keeper.load(time.Now(), engine); own {
		return load.Count, true
	}
	for _, l := range a.allLanes() {
		if k, heard := l.lastHeard(engine); heard {
			return int(k.Count), true
		}
	}
	return 0, false
}

func (l *lane) lastHeard(engine uint64) (known, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.loads[engine]
	return k, ok
}

// Adopt takes over the permit of a stream that is resumed at this router.
func (a *Admission) Adopt(ctx context.Context, id, engine string, incarnation uint64) (*Grant, error) {
	snap := a.opts.Board.Snapshot()
	gone := apierr.New(apierr.CodeIncomplete, http.StatusBadGateway, "the stream can no longer be resumed").
		WithRan(apierr.RanYes)
	e, ok := snap.Engines[engine]
	if !ok {
		return nil, gone
	}
	owner, ok := snap.EngineOwner(e.ID)
	l := a.laneOf(snap, &e)
	if !ok || l == nil {
		return nil, gone
	}
	c := choice{engine: e, owner: owner, inc: incarnation}
	c.decision.Weight = l.moveHere(ctx, c, id)
	return l.grant(id, c, incarnation), nil
}

// moveHere asks the engine's owner to move a permit to this router, and returns
// its weight as far as it is known. The stream may be read whatever comes back.
//
// What goes wrong otherwise: a router is lost, and with it the owner of its
// callers' engines. For the seconds until that is known, each of them would be
// told that its answer is gone, while the engine still has it. Or a router has
// relayed the rest into a connection that the path has forgotten, and given the
// permit back. Reading what an engine has adds no work to it, its own report
// counts it, and the next holder's report brings the owner's book up to date.
// An engine that has no such stream, or was restarted, says so.
func (l *lane) moveHere(ctx context.Context, c choice, id string) (weight int64) {
	if c.owner.Name == l.a.opts.Self {
		r := permit.Request{ID: id, Holder: l.a.holder, Incarnation: c.inc}
		p, _ := l.a.keeper.transfer(time.Now(), c.engine.ID, r)
		return p.Weight
	}
	if _, err := l.call(ctx, c, id, AcquireArgs{Incarnation: c.inc, Transfer: true}); err != nil {
		l.a.Metrics.AdoptedUnasked.Add(1)
	}
	return 0
}

// giveUp ends a permit whose caller did not come back, and reports whether it
// was still this router's. Where the owner can't be asked the answer is no: a
// stream that goes on for nobody ends by itself, one that is stopped under a
// caller does not come back.
func (a *Admission) giveUp(ctx context.Context, id string) bool {
	h, ok := a.held.remove(id)
	if !ok {
		return false
	}
	if l := a.lane(h.lane); l != nil {
		defer l.finished(h)
	}
	if out, _, owned := a.keeper.release(time.Now(), h.engine, id, a.holder); owned {
		return out != permit.Moved
	}
	return a.giveUpRemote(ctx, h, id)
}

func (a *Admission) giveUpRemote(ctx context.Context, h held, id string) bool {
	owner, ok := a.outbox.owner(h.engine)
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
		a.outbox.add(p)
		return false
	}
	return len(reply.Moved) == 0
}

// Reports returns, for each owner, what this router has unfinished at its
// engines. Owners compare it with their books: a release that was lost for
// good, or a permit that a new owner does not know, shows here.
func (a *Admission) Reports() map[string]ReportArgs {
	snap := a.opts.Board.Snapshot()
	seq := a.held.seq.Add(1)
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

// SendReports delivers the reports; an owner that can't be reached gets the next.
func (a *Admission) SendReports(ctx context.Context) {
	snap := a.opts.Board.Snapshot()
	moved := a.moves.take(snap)
	for name, args := range a.Reports() {
		if name == a.opts.Self {
			_ = a.Service().Report(args, nil)
			continue
		}
		r, ok := snap.Router(name)
		if !ok || !moved[name] && !worthTelling(args) {
			continue
		}
		a.sendReport(ctx, r, args)
	}
}

// worthTelling leaves out reports of nothing: an owner that hears nothing
// drops nothing.
func worthTelling(args ReportArgs) bool {
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
