package orders

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"damaskrouter.example/damaskrouter/internal/lease"
	"damaskrouter.example/damaskrouter/internal/wire"
)

var (
	// ErrTooEarly means that a former leader's orders may still be under way.
	ErrTooEarly = errs.Class("orders: too early in this leader's term")
	// ErrRefused is returned by a Sender for an order that the engine refused.
	ErrRefused = errs.Class("orders: refused by the engine")
)

// Sender sends one order to an engine. An error other than ErrRefused leaves
// open whether the engine took the order. Send must not return before the
// order can no longer leave this VM, even when its context ends.
type Sender interface {
	Send(ctx context.Context, engine string, o wire.Order) error
}

// Lease says whether this router leads. *lease.Runner implements it.
type Lease interface {
	Valid() (lease.Grant, error)
}

// Executor sends orders while this router leads.
type Executor struct {
	sender  Sender
	lease   Lease
	clock   lease.Clock
	ttl     time.Duration
	timeout time.Duration
}

// NewExecutor returns an Executor. ttl is the lease's; timeout bounds how long
// an order may be under way, and must be the same on all routers.
func NewExecutor(s Sender, l Lease, clock lease.Clock, ttl, timeout time.Duration) *Executor {
	return &Executor{sender: s, lease: l, clock: clock, ttl: ttl, timeout: timeout}
}

// FirstOrderAt returns when a leader may give its first order to engines.
//
// An engine that ignores fences obeys whoever comes last. A former leader may
// have checked its lease just before it ended, and its order is then under way
// for up to orderTimeout. Given earlier, the new leader's order could arrive
// first and be undone.
func FirstOrderAt(takenAt, ttl, orderTimeout time.Duration, checksFence bool) time.Duration {
	if checksFence {
		return takenAt
	}
	return takenAt + ttl + orderTimeout
}

// Execute sends the order of a step. Errors: lease.ErrNotHeld and ErrTooEarly,
// where nothing was sent; ErrRefused; any other means that the outcome is open
// and shows in the engine's reports.
func (e *Executor) Execute(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	order := s.Order
	// The lease is checked last. A router that was frozen since it planned
	// would otherwise give orders beside the new leader, and two models would
	// be loaded in turn for ever.
	grant, err := e.lease.Valid()
	if err != nil {
		return err
	}
	if e.clock() < FirstOrderAt(grant.TakenAt, e.ttl, e.timeout, s.Target.ChecksFence) {
		return ErrTooEarly.New("fence %d", grant.Fence)
	}
	order.Fence = grant.Fence
	return e.sender.Send(ctx, s.Engine, order)
}
