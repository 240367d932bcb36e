package node

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/pause"
)

const (
	// stayShare is the part of the time to stop for which the router stays at
	// least: callers that still have its address are served, or told to go
	// elsewhere, rather than find nobody.
	stayShare = 0.7
	// stopMargin is kept free at the end, for the process to exit: on a small
	// part of a core that takes its time. Where the time to stop is short it is
	// stopMarginShare of it: operators count what is cut before the last sixth.
	stopMargin      = 900 * time.Millisecond
	stopMarginShare = 0.125
	// drainPoll is how often the requests in progress are counted.
	drainPoll = 50 * time.Millisecond
)

// timeToStop is how long requests may go on where the process is killed after limit.
func timeToStop(limit time.Duration) time.Duration {
	return limit - min(stopMargin, time.Duration(stopMarginShare*float64(limit)))
}

// Leave takes the router out of service without cutting a request: callers are
// sent elsewhere first, their connections are closed after an answer, and what
// runs is let finish within the time to stop.
func (r *Router) Leave(ctx context.Context) {
	started := bootclock.Now()
	r.leaving.Store(true)
	r.log.Info("leaving", "in_flight", r.forwarder.InFlight())
	stop := timeToStop(time.Duration(r.set().Bounds.Stop))
	r.forwarder.Leave(stop)
	if err := r.gossip.Leave(); err != nil {
		r.log.Warn("leave not announced", "cause", err)
	}
	pause.For(ctx, time.Duration(stayShare*float64(stop)))
	for r.forwarder.InFlight() > 0 && bootclock.Now()-started < stop {
		if !pause.For(ctx, drainPoll) {
			break
		}
	}
	r.log.Info("stopped", "in_flight", r.forwarder.InFlight(), "took", bootclock.Now()-started)
}
