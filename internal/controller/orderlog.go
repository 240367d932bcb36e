package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/audit"
	"damaskrouter.example/damaskrouter/internal/orders"
	"damaskrouter.example/damaskrouter/internal/pause"
	"damaskrouter.example/damaskrouter/internal/platform"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
)

const (
	// orderLogLength bounds the entries that wait for the table service. A
	// leader without it stops within a lease, so that even a fleet of 380
	// engines gives no more orders than this while the trail can't be written.
	orderLogLength = 1024
	// orderLogTimeout bounds one attempt to write an entry.
	orderLogTimeout = 5 * time.Second
	// orderLogPause is the wait after an attempt that failed.
	orderLogPause = 2 * time.Second
	// orderLogFlush bounds the writing of what waits when the router stops.
	orderLogFlush = time.Second
)

// OrderLogCounts are the figures of the audit trail of orders at one router.
type OrderLogCounts struct {
	Written int64 `json:"written"`
	// Waiting is how many entries are not in the trail yet.
	Waiting int64 `json:"waiting"`
	// Retried counts attempts that failed and were made again.
	Retried int64 `json:"retried"`
	// Dropped counts entries that the trail will never have: too many waited,
	// or the router stopped. The log has a line of each such order.
	Dropped int64 `json:"dropped"`
}

// OrderLog writes the leader's orders to the audit trail.
//
// Orders don't wait for it. What goes wrong if they do: the table service is
// slow or down, each order waits for its entry, and engines are brought to the
// configuration late or, after the lease has lapsed, not at all. So entries
// wait in memory instead, and are written in their order once the service
// answers.
type OrderLog struct {
	trail *audit.Trail
	self  string
	log   *log.Logger
	queue chan audit.Entry

	written, waiting, retried, dropped atomic.Int64
}

// NewOrderLog returns the log of the router named self; Run writes it.
func NewOrderLog(trail *audit.Trail, self string, logger *log.Logger) *OrderLog {
	return &OrderLog{trail: trail, self: self, log: logger, queue: make(chan audit.Entry, orderLogLength)}
}

// Record takes an entry on and never waits; it is a Leader.Record.
func (o *OrderLog) Record(r OrderResult) {
	o.waiting.Add(1)
	select {
	case o.queue <- o.entry(r):
	default:
		o.drop(r.Engine, nil)
	}
}

// Counts returns the figures so far.
func (o *OrderLog) Counts() OrderLogCounts {
	return OrderLogCounts{
		Written: o.written.Load(), Waiting: o.waiting.Load(),
		Retried: o.retried.Load(), Dropped: o.dropped.Load(),
	}
}

// Run writes entries until ctx ends, and then what waits, for a moment. Orders
// whose outcome comes later stand in the log only; a router that drains has
// none, since it gave the lease up before.
func (o *OrderLog) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case e := <-o.queue:
			o.write(ctx, e)
		case <-ctx.Done():
		}
	}
	o.flush(ctx)
}

// write tries until the entry is in the trail, or ctx ends.
func (o *OrderLog) write(ctx context.Context, e audit.Entry) {
	for {
		if o.try(ctx, &e, orderLogTimeout) == nil {
			return
		}
		if !pause.For(ctx, jitter(orderLogPause)) {
			break
		}
		o.retried.Add(1)
	}
	o.last(ctx, e)
}

// last is the only attempt that an entry gets once the router stops.
func (o *OrderLog) last(ctx context.Context, e audit.Entry) {
	if err := o.try(context.WithoutCancel(ctx), &e, orderLogFlush); err != nil {
		o.drop(e.Target, err)
	}
}

func (o *OrderLog) flush(ctx context.Context) {
	deadline := time.Now().Add(orderLogFlush)
	for {
		select {
		case e := <-o.queue:
			if time.Now().After(deadline) {
				o.drop(e.Target, context.DeadlineExceeded)
				continue
			}
			o.last(ctx, e)
		default:
			return
		}
	}
}

func (o *OrderLog) try(ctx context.Context, e *audit.Entry, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := o.put(ctx, e); err != nil {
		o.log.Debug("order not yet in the audit trail", "target", e.Target, "cause", err)
		return err
	}
	o.written.Add(1)
	o.waiting.Add(-1)
	return nil
}

// put writes e, unless the attempt before did after all. An attempt whose
// outcome is unknown leaves its number in e. Without the look at that number
// one order would stand in the trail twice whenever the service goes down
// between a transaction and its reply.
func (o *OrderLog) put(ctx context.Context, e *audit.Entry) error {
	if e.Number != 0 {
		written, err := o.trail.Written(ctx, *e)
		if written || err != nil {
			return err
		}
	}
	tried, err := o.trail.Record(ctx, *e)
	if platform.ErrOutcomeUnknown.Has(err) {
		e.Number = tried.Number
	}
	return err
}

func (o *OrderLog) drop(target string, cause error) {
	o.waiting.Add(-1)
	o.dropped.Add(1)
	o.log.Warn("order left out of the audit trail", "target", target, "cause", cause)
}

func (o *OrderLog) entry(r OrderResult) audit.Entry {
	return audit.Entry{
		ID:          uuid.NewString(),
		Time:        r.Ended,
		Actor:       fmt.Sprintf("router %s, fence %d", o.self, r.Order.Fence),
		Action:      audit.ActionEngineOrder,
		Outcome:     orderOutcome(r.Err),
		Target:      "engine " + r.Engine,
		FromVersion: int64(r.ConfigVersion),
		Detail:      fmt.Sprintf("%s %s", r.Order.Kind, r.Order.Value),
	}
}

// orderOutcome sorts taken, refused and open.
func orderOutcome(err error) audit.Outcome {
	switch {
	case err == nil:
		return audit.OutcomeDone
	case orders.ErrRefused.Has(err):
		return audit.OutcomeFailed
	}
	return audit.OutcomeUnknown
}
