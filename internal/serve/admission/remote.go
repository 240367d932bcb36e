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

// ErrPermitRequest is the class of errors for permit requests that got no
// usable reply.
var ErrPermitRequest = errs.Class("admission: owner gave no answer")

// ServiceName is the RPC name under which Permits is registered.
const ServiceName = "Permits"

// AcquireResult is the outcome of a permit request.
type AcquireResult uint8

// Outcomes of a permit request.
const (
	// Granted means that the owner's ledger counts the permit.
	Granted AcquireResult = iota + 1
	// Full means that the engine is full according to its owner's count.
	Full
	// NotOwner means that the called router doesn't own the engine, or has no
	// report of it yet.
	NotOwner
	// Stale means that the engine was restarted since the given incarnation, or
	// that the permit has already been released.
	Stale
)

// AcquireArgs requests a permit from the owner of an engine.
type AcquireArgs struct {
	// Engine is the engine's ID. Incarnation is the expected one, or 0 for any.
	Engine      uint64
	Incarnation uint64
	// ID, Holder and Weight describe the permit.
	ID     uuid.UUID
	Holder string
	Weight int64
	// Adapter reports whether the request needs an adapter of the pool.
	Adapter bool
	// Transfer requests that an existing permit be transferred to Holder.
	Transfer bool
}

// AcquireReply is the owner's reply.
type AcquireReply struct {
	Verdict     AcquireResult
	Incarnation uint64
	// Loads is the engine's load. Unless the permit was granted, it includes
	// the other engines of the pool that the called router owns.
	Loads []EngineLoad
}

// ReleaseArgs releases permits. It may be delivered more than once.
type ReleaseArgs struct {
	Holder  string
	Permits []ReleasedPermit
}

// ReleasedPermit identifies a permit to release.
type ReleasedPermit struct {
	Engine uint64
	ID     uuid.UUID
}

// ReleaseReply lists, by index, the permits that were not released.
type ReleaseReply struct {
	// Moved are permits that have been transferred to another holder.
	Moved []int
	// NotOwned are permits of engines that the called router doesn't own; the
	// holder must release them at the current owner.
	NotOwned []int
}

// ReportedPermit is one unfinished request in a holder's report.
type ReportedPermit struct {
	permit.HeldRequest
	Incarnation uint64
}

// ReportArgs lists the holder's unfinished requests at the engines of one
// owner.
type ReportArgs struct {
	Holder  string
	Seq     uint64
	Engines map[uint64][]ReportedPermit
}

// ReportReply is empty.
type ReportReply struct{}

// Permits is the RPC service of an engine owner.
type Permits struct{ a *Admission }

// Service returns the RPC service, which the caller registers under
// ServiceName.
func (a *Admission) Service() *Permits { return &Permits{a: a} }

// Acquire handles a permit request. The outcome is in the reply; the error is
// always nil.
func (p *Permits) Acquire(args AcquireArgs, reply *AcquireReply) error {
	a := p.a
	now := time.Now()
	key, ok := groupKeyOf(a.opts.Board.Snapshot(), args.Engine)
	s := a.scheduler(key)
	if !ok || s == nil {
		reply.Verdict = NotOwner
		return nil
	}
	s.subscribe(now, board.RouterOfHolder(args.Holder))
	granted, err := s.serveAcquire(now, args)
	reply.Verdict = acquireResult(err)
	reply.Incarnation = granted.Incarnation
	reply.Loads = s.ownedLoads(now)
	if reply.Verdict == Granted {
		reply.Loads = slices.DeleteFunc(reply.Loads, func(e EngineLoad) bool { return e.Engine != args.Engine })
	}
	return nil
}

// Release releases permits. The error is always nil.
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

// Report applies a holder's report of its unfinished requests. The error is
// always nil.
func (p *Permits) Report(args ReportArgs, _ *ReportReply) error {
	now := time.Now()
	for engine, list := range args.Engines {
		p.a.applyReport(now, engine, args, list)
	}
	return nil
}

// applyReport applies a holder's report to the engine's ledger, separately for
// each incarnation in it.
func (a *Admission) applyReport(now time.Time, engine uint64, args ReportArgs, list []ReportedPermit) {
	byIncarnation := make(map[uint64][]permit.HeldRequest)
	for _, h := range list {
		byIncarnation[h.Incarnation] = append(byIncarnation[h.Incarnation], h.HeldRequest)
	}
	if len(list) == 0 {
		byIncarnation[0] = nil
	}
	for incarnation, permits := range byIncarnation {
		a.ledgers.applyHolderReport(now, engine, permit.HolderReport{
			Holder: args.Holder, Seq: args.Seq, Incarnation: incarnation, Held: permits,
		})
	}
}

func acquireResult(err error) AcquireResult {
	var released *permit.ReleasedError
	var incarnation *permit.IncarnationError
	switch {
	case err == nil:
		return Granted
	case errors.As(err, &incarnation), errors.As(err, &released):
		return Stale
	case errors.Is(placementError(err), placement.ErrFull):
		return Full
	}
	return NotOwner
}

// serveAcquire grants or transfers a permit of an engine that this router owns.
func (s *scheduler) serveAcquire(now time.Time, args AcquireArgs) (permit.Permit, error) {
	r := permit.Request{ID: args.ID.String(), Holder: args.Holder, Incarnation: args.Incarnation, Weight: args.Weight}
	if args.Transfer {
		return s.a.ledgers.transfer(now, args.Engine, r)
	}
	snap := s.a.opts.Board.Snapshot()
	group := snap.Group(s.key.pool, s.key.region)
	if group == nil {
		return permit.Permit{}, ErrNotOwner.New("pool %s", s.key.pool)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.poolView(now, snap, group, args.Adapter, nil)
	for i := range pool.Engines {
		if pool.Engines[i].ID == args.Engine {
			return s.acquireOwned(now, pool, i, r)
		}
	}
	return permit.Permit{}, ErrNotOwner.New("engine %x", args.Engine)
}

// requestPermit requests a permit from the router that owns the engine.
func (s *scheduler) requestPermit(ctx context.Context, c selection, req *Request) (*Grant, error) {
	reply, err := s.call(ctx, c, req.ID, AcquireArgs{Weight: c.decision.Weight, Adapter: req.Adapter})
	if err != nil {
		return nil, err
	}
	if reply.Verdict == Full {
		s.recordDenial(c.engine.ID)
	}
	if reply.Verdict != Granted {
		return nil, resultError(reply.Verdict)
	}
	return s.newGrant(req.ID, c, reply.Incarnation), nil
}

// recordDenial records that an engine's owner has just denied a permit.
func (s *scheduler) recordDenial(engine uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.loads[engine]; ok {
		k.deniedUntil = time.Now().Add(denialBackoff)
		s.loads[engine] = k
	}
}

func resultError(result AcquireResult) error {
	if result == Full {
		return placement.ErrFull
	}
	return ErrPermitRequest.New("verdict %d", result)
}

// call sends a permit request to the owner and applies the loads in the reply.
func (s *scheduler) call(ctx context.Context, c selection, id string, args AcquireArgs) (AcquireReply, error) {
	var err error
	if args.ID, err = uuid.Parse(id); err != nil {
		return AcquireReply{}, ErrPermitRequest.Wrap(err)
	}
	args.Engine = c.engine.ID
	args.Holder = s.a.holder
	callCtx, cancel := context.WithTimeout(ctx, s.a.opts.CallTimeout)
	defer cancel()
	var reply AcquireReply
	t := peer.Target{Name: c.owner.Name, Address: c.owner.Control}
	err = s.a.opts.Caller.Call(callCtx, t, ServiceName+".Acquire", args, &reply)
	s.a.Metrics.PermitRequests.Add(1)
	if err != nil {
		s.a.Metrics.PermitRequestsFailed.Add(1)
		if !peer.ErrNotSent.Has(err) && !args.Transfer {
			// The owner may have granted the permit. Without a release, it
			// would count against the engine until the next reconciliation.
			s.a.releases.add(ReleasedPermit{Engine: c.engine.ID, ID: args.ID})
		}
		return reply, ErrPermitRequest.Wrap(err)
	}
	s.receiveLoads(time.Now(), reply.Loads, true)
	return reply, nil
}
