package admission

import (
	"context"
	"errors"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// ErrAsk is a question for a permit that got no usable answer.
var ErrAsk = errs.Class("admission: owner gave no answer")

// ServiceName is the RPC name under which Permits is registered.
const ServiceName = "Permits"

// Verdict is an owner's answer to a question for a permit.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the permit is counted at the owner.
	Granted Verdict = iota + 1
	// Full means that the engine has no room by the owner's count.
	Full
	// NotOwner means that the asked router does not own the engine, or has
	// not heard from it yet.
	NotOwner
	// Gone means that the engine's incarnation, or the permit, is over.
	Gone
)

// AcquireArgs asks the owner of an engine for a permit.
type AcquireArgs struct {
	// Engine is the engine's id; Incarnation the one meant, or 0.
	Engine      uint64
	Incarnation uint64
	// ID, Holder and Weight are those of the permit.
	ID     uuid.UUID
	Holder string
	Weight int64
	// Adapter says that the request needs an adapter of the pool.
	Adapter bool
	// Transfer asks to move the permit to Holder instead of granting one.
	Transfer bool
}

// AcquireReply is the owner's answer.
type AcquireReply struct {
	Verdict     Verdict
	Incarnation uint64
	// Loads is the asked engine's load and, with a refusal, that of the other
	// engines of the pool that the router owns.
	Loads []EngineLoad
}

// ReleaseArgs gives permits back. It may be delivered more than once.
type ReleaseArgs struct {
	Holder  string
	Permits []ReleasedPermit
}

// ReleasedPermit is one permit given back.
type ReleasedPermit struct {
	Engine uint64
	ID     uuid.UUID
}

// ReleaseReply lists, by their indexes, the permits that were not taken back.
type ReleaseReply struct {
	// Moved are no longer the holder's: another router has taken them over.
	Moved []int
	// NotOwned are permits of engines that the asked router does not own; they
	// are to be offered to whoever does.
	NotOwned []int
}

// ReportedPermit is one unfinished request in a holder's report.
type ReportedPermit struct {
	permit.Held
	Incarnation uint64
}

// ReportArgs tells an owner what the holder has unfinished at its engines.
type ReportArgs struct {
	Holder  string
	Seq     uint64
	Engines map[uint64][]ReportedPermit
}

// ReportReply is empty.
type ReportReply struct{}

// Permits is the RPC service of the engines' owners.
type Permits struct{ a *Admission }

// Service returns the RPC service, to be registered under ServiceName.
func (a *Admission) Service() *Permits { return &Permits{a: a} }

// Acquire answers a question for a permit.
func (p *Permits) Acquire(args AcquireArgs, reply *AcquireReply) error {
	a := p.a
	now := time.Now()
	key, ok := laneKeyOf(a.opts.Board.Snapshot(), args.Engine)
	l := a.lane(key)
	if !ok || l == nil {
		reply.Verdict = NotOwner
		return nil
	}
	l.subscribe(now, board.RouterOfHolder(args.Holder))
	got, err := l.serve(now, args)
	reply.Verdict = verdictOf(err)
	reply.Incarnation = got.Incarnation
	reply.Loads = l.owned(now)
	if reply.Verdict == Granted {
		reply.Loads = slices.DeleteFunc(reply.Loads, func(e EngineLoad) bool { return e.Engine != args.Engine })
	}
	return nil
}

// Release takes permits back.
func (p *Permits) Release(args ReleaseArgs, reply *ReleaseReply) error {
	now := time.Now()
	for i, r := range args.Permits {
		out, owned := p.a.releaseOwned(now, r, args.Holder)
		switch {
		case !owned:
			reply.NotOwned = append(reply.NotOwned, i)
		case out == permit.Moved:
			reply.Moved = append(reply.Moved, i)
		}
	}
	return nil
}

// Report takes in a holder's unfinished requests.
func (p *Permits) Report(args ReportArgs, _ *ReportReply) error {
	now := time.Now()
	for engine, list := range args.Engines {
		p.a.takeReport(now, engine, args, list)
	}
	return nil
}

// takeReport hands a report to the engine's book, by incarnation.
func (a *Admission) takeReport(now time.Time, engine uint64, args ReportArgs, list []ReportedPermit) {
	byIncarnation := make(map[uint64][]permit.Held)
	for _, h := range list {
		byIncarnation[h.Incarnation] = append(byIncarnation[h.Incarnation], h.Held)
	}
	if len(list) == 0 {
		byIncarnation[0] = nil
	}
	for inc, heldThere := range byIncarnation {
		a.keeper.holdings(now, engine, permit.HolderReport{
			Holder: args.Holder, Seq: args.Seq, Incarnation: inc, Held: heldThere,
		})
	}
}

func verdictOf(err error) Verdict {
	var released *permit.ReleasedError
	var inc *permit.IncarnationError
	switch {
	case err == nil:
		return Granted
	case errors.As(err, &inc), errors.As(err, &released):
		return Gone
	case errors.Is(full(err), placement.ErrFull):
		return Full
	}
	return NotOwner
}

// serve grants or moves a permit of an engine owned here.
func (l *lane) serve(now time.Time, args AcquireArgs) (permit.Permit, error) {
	r := permit.Request{ID: args.ID.String(), Holder: args.Holder, Incarnation: args.Incarnation, Weight: args.Weight}
	if args.Transfer {
		return l.a.keeper.transfer(now, args.Engine, r)
	}
	snap := l.a.opts.Board.Snapshot()
	group := snap.Group(l.key.pool, l.key.region)
	if group == nil {
		return permit.Permit{}, ErrNotOwner.New("pool %s", l.key.pool)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.view(now, snap, group, args.Adapter, nil)
	for i := range pool.Engines {
		if pool.Engines[i].ID == args.Engine {
			return l.acquire(now, pool, i, r)
		}
	}
	return permit.Permit{}, ErrNotOwner.New("engine %x", args.Engine)
}

// ask asks another router, the engine's owner, for a permit.
func (l *lane) ask(ctx context.Context, c choice, req *Request) (*Grant, error) {
	reply, err := l.call(ctx, c, req.ID, AcquireArgs{Weight: c.decision.Weight, Adapter: req.Adapter})
	if err != nil {
		return nil, err
	}
	if reply.Verdict == Full {
		l.deny(c.engine.ID)
	}
	if reply.Verdict != Granted {
		return nil, refusedBy(reply.Verdict)
	}
	return l.grant(req.ID, c, reply.Incarnation), nil
}

// deny remembers that the owner of an engine has just refused.
func (l *lane) deny(engine uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.loads[engine]; ok {
		k.deniedUntil = time.Now().Add(denial)
		l.loads[engine] = k
	}
}

func refusedBy(v Verdict) error {
	if v == Full {
		return placement.ErrFull
	}
	return ErrAsk.New("verdict %d", v)
}

// call sends a question to the owner and takes in the loads that it tells.
func (l *lane) call(ctx context.Context, c choice, id string, args AcquireArgs) (AcquireReply, error) {
	var err error
	if args.ID, err = uuid.Parse(id); err != nil {
		return AcquireReply{}, ErrAsk.Wrap(err)
	}
	args.Engine = c.engine.ID
	args.Holder = l.a.holder
	cctx, cancel := context.WithTimeout(ctx, l.a.opts.CallTimeout)
	defer cancel()
	var reply AcquireReply
	t := peer.Target{Name: c.owner.Name, Address: c.owner.Control}
	err = l.a.opts.Caller.Call(cctx, t, ServiceName+".Acquire", args, &reply)
	l.a.Metrics.Asked.Add(1)
	if err != nil {
		l.a.Metrics.AskFailed.Add(1)
		if !peer.ErrNotSent.Has(err) && !args.Transfer {
			// The owner may have granted it. Without this, a permit that nobody
			// holds would count against the engine until it is reconciled.
			l.a.outbox.add(ReleasedPermit{Engine: c.engine.ID, ID: args.ID})
		}
		return reply, ErrAsk.Wrap(err)
	}
	l.learn(time.Now(), reply.Loads, true)
	return reply, nil
}
