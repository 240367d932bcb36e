package fleet

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
)

const (
	// crashListed is how long the VM list still shows an engine that crashed.
	crashListed = 1500 * time.Millisecond
	// drainLimit bounds the wait for a leaving engine's last request.
	drainLimit = 30 * time.Second
	// flushTime lets connections carry the end of the last answers: the engine
	// counts a request as done before its reader has written the last chunk.
	flushTime = time.Second
)

// Churn carries out a script. It returns once all engines that went are back,
// or ctx has ended; told is called before each event.
func (f *Fleet) Churn(ctx context.Context, script []workload.ChurnEvent, told func(workload.ChurnEvent)) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, ev := range script {
		if !pause.For(ctx, ev.At-time.Since(start)) {
			return
		}
		told(ev)
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
		e.leave(ctx)
	case workload.ChurnCrash:
		e.fall(ctx)
	}
	if pause.For(ctx, ev.Absent) {
		e.Restart()
		e.join()
	}
}

// leave is a planned stop: listed as leaving, then gone once all work is done.
func (e *Engine) leave(ctx context.Context) {
	e.withdraw()
	e.listLeaving()
	e.Leave()
	// The end of the load doesn't end the drain: it would cut the last requests.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)
	defer cancel()
	select {
	case <-e.Drained():
		pause.For(ctx, flushTime)
	case <-ctx.Done():
	}
	e.Crash()
	e.gone()
}

// fall ends the engine at once; the VM list learns of it later.
func (e *Engine) fall(ctx context.Context) {
	e.withdraw()
	e.Crash()
	pause.For(ctx, crashListed)
	e.gone()
}
