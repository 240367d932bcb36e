package node

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/pause"
)

const (
	// minDrainShare is the minimum share of the drain timeout for which the router continues to
	// serve: callers that still use its address are served or sent to another router, rather than
	// failing to connect.
	minDrainShare = 0.7
	// exitMargin is the part of the stop timeout that is reserved for the exit of the process,
	// which is slow on a small share of a core. If the stop timeout is short, the margin is
	// exitMarginShare of it, which is less than a sixth: operators count requests that are
	// truncated before the last sixth of the stop timeout.
	exitMargin      = 900 * time.Millisecond
	exitMarginShare = 0.125
	// answerTime is the part of exitMargin, and answerShare of a short one, in which requests that have no answer by
	// the end of the drain timeout get a final one.
	answerTime  = 100 * time.Millisecond
	answerShare = 0.25
	// drainPollInterval is how often the requests in progress are counted.
	drainPollInterval = 50 * time.Millisecond
	// originsTimeout bounds the wait until other routers have the records of this router's streams.
	originsTimeout = 300 * time.Millisecond
)

// drainTimeout returns how long requests may continue if the process is killed after stopTimeout.
func drainTimeout(stopTimeout time.Duration) time.Duration {
	return stopTimeout - min(exitMargin, time.Duration(exitMarginShare*float64(stopTimeout)))
}

// answerTimeAfter returns how long requests may take after the drain timeout to get a final answer.
func answerTimeAfter(stopTimeout time.Duration) time.Duration {
	return min(answerTime, time.Duration(answerShare*float64(stopTimeout-drainTimeout(stopTimeout))))
}

// Leave takes the router out of service without interrupting requests: it first sends callers to
// other routers, closes their connections after a response, and lets running requests finish within
// the drain timeout. Those that have no answer then get a final one, and streams are cut. Once it returns, no request of a caller is taken any more. It returns early if
// the context ends.
func (r *Router) Leave(ctx context.Context) {
	start := bootclock.Now()
	r.draining.Store(true)
	r.log.Info("leaving", "in_flight", r.forwarder.InFlight())
	stopTimeout := time.Duration(r.settings().Bounds.Stop)
	timeout := drainTimeout(stopTimeout)
	r.forwarder.Drain(timeout)
	r.relay.Leave()
	if err := r.gossip.Leave(); err != nil {
		r.log.Warn("failed to announce leaving", "cause", err)
	}
	r.leaveOrigins(ctx)
	pause.For(ctx, time.Duration(minDrainShare*float64(timeout))-(bootclock.Now()-start))
	for (r.forwarder.InFlight() > 0 || r.relay.Stats().Tunnels > 0) && bootclock.Now()-start < timeout {
		if !pause.For(ctx, drainPollInterval) {
			break
		}
	}
	ended := time.AfterFunc(timeout-(bootclock.Now()-start), r.forwarder.End)
	defer ended.Stop()
	// A request that arrived after the last check would be cut as the process ends.
	r.servers.shutDown(ctx, listenerCallers, timeout+answerTimeAfter(stopTimeout)-(bootclock.Now()-start))
	r.leaveOrigins(ctx)
	r.log.Info("stopped", "in_flight", r.forwarder.InFlight(), "took", bootclock.Now()-start)
}

// leaveOrigins sends the records of this router's streams to other routers: callers may resume the
// streams there.
func (r *Router) leaveOrigins(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	r.origins.Leave(ctx)
}
