// Package controller holds the controllers of one router. Each one watches
// one source (membership, the platform's VM list, the configuration chain, the
// owned engines) and writes what it learns to the board; none of them talks to
// another except through the board.
package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// every calls f now and then once a period, until ctx ends. The period is
// jittered so that routers which started together do not stay in step.
func every(ctx context.Context, period time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		if !pause.For(ctx, jitter(period)) {
			return
		}
	}
}

// jitterShare is how far a period is lengthened or shortened at random.
const jitterShare = 0.1

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*rand.Float64()-1)))
}

// The duties that are spread over the live routers by rendezvous hashing.
var (
	dutyVMList = rendezvous.ID("duty/vm-list")
	dutyConfig = rendezvous.ID("duty/config-head")
	dutySweep  = rendezvous.ID("duty/claim-sweep")
)
