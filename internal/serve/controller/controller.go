// Package controller contains the controllers of one router. Each of them watches one source
// (membership, the platform's VM list, the configuration chain, the owned engines) and writes
// changes to the board. Controllers communicate with each other only through the board.
package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// runPeriodically calls f at once and then once a period until ctx ends. The period is jittered so
// that routers that started together don't stay synchronized.
func runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		if !pause.For(ctx, jitter(period)) {
			return
		}
	}
}

// jitterShare is the largest share by which a period is lengthened or shortened at random.
const jitterShare = 0.1

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*rand.Float64()-1)))
}

// Duties are assigned to live routers by rendezvous hashing.
var (
	dutyVMList = rendezvous.ID("duty/vm-list")
	dutyConfig = rendezvous.ID("duty/config-head")
	dutySweep  = rendezvous.ID("duty/claim-sweep")
)
