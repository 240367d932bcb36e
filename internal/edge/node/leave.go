package node

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/bootclock"
	"damaskrouter.example/damaskrouter/internal/pause"
)

const (
	// acceptShare is the part of the time to stop in which new requests are
	// still taken: callers keep an old address for a while. A request that
	// came later could not be sure to end in time.
	acceptShare = 0.6
	// stopMargin is kept free at the end, for the process to exit.
	stopMargin = 400 * time.Millisecond
	// drainPoll is how often the requests in progress are counted.
	drainPoll = 50 * time.Millisecond
)

// Leave takes the router out of service without cutting a request: callers are
// sent elsewhere first, their connections are closed after an answer, and what
// runs is let finish within the time to stop.
func (r *Router) Leave(ctx context.Context) {
	started := bootclock.Now()
	r.leaving.Store(true)
	r.log.Info("leaving", "in_flight", r.forwarder.InFlight())
	r.forwarder.StartLeaving()
	if err := r.gossip.Leave(); err != nil {
		r.log.Warn("leave not announced", "cause", err)
	}
	stop := time.Duration(r.set.Bounds.Stop)
	pause.For(ctx, time.Duration(acceptShare*float64(stop)))
	r.forwarder.RefuseNew()
	for r.forwarder.InFlight() > 0 && bootclock.Now()-started < stop-stopMargin {
		if !pause.For(ctx, drainPoll) {
			break
		}
	}
	r.log.Info("stopped", "in_flight", r.forwarder.InFlight(), "took", bootclock.Now()-started)
}
