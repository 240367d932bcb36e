package fleet

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
)

const (
	// crashListingDelay is how long the VM list still shows an engine that crashed.
	crashListingDelay = 1500 * time.Millisecond
	// drainTimeout bounds the wait for the last request of a draining engine.
	drainTimeout = 30 * time.Second
	// flushDelay lets connections deliver the end of the last responses: the
	// engine counts a request as done before the last chunk has been written.
	flushDelay = time.Second
)

// Churn executes a churn script. It returns when all stopped engines have
// restarted, or when ctx ends. It calls notify before each event.
func (f *Fleet) Churn(ctx context.Context, script []workload.ChurnEvent, notify func(workload.ChurnEvent)) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, ev := range script {
		if !pause.For(ctx, ev.At-time.Since(start)) {
			return
		}
		notify(ev)
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.Engines[ev.Engine].churn(ctx, ev)
		}()
	}
}

func (e *Engine) churn(ctx context.Context, ev workload.ChurnEvent) {
	switch ev.Kind {
	case workload.ChurnRestart:
		e.Restart()
		return
	case workload.ChurnLeave:
		e.drainAndStop(ctx)
	case workload.ChurnCrash:
		e.crashAndDelist(ctx)
	}
	if pause.For(ctx, ev.Absent) {
		e.Restart()
		e.join()
	}
}

// drainAndStop performs a planned stop: it marks the engine as draining in the VM
// list, and stops it when the engine has finished its requests.
func (e *Engine) drainAndStop(ctx context.Context) {
	e.endService()
	e.markDraining()
	e.Drain()
	// The drain outlives the end of the load; otherwise it would abort the last requests.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	select {
	case <-e.Drained():
		pause.For(ctx, flushDelay)
	case <-ctx.Done():
	}
	e.Crash()
	e.delist()
}

// crashAndDelist stops the engine at once and updates the VM list later.
func (e *Engine) crashAndDelist(ctx context.Context) {
	e.endService()
	e.Crash()
	pause.For(ctx, crashListingDelay)
	e.delist()
}
