package cli

import (
	"context"
	"os/signal"
	"syscall"

	"damaskrouter.example/damaskrouter/internal/base/hangup"
)

// onSIGHUP calls f on each SIGHUP until the returned function is called, which must
// happen only once. The signal lets an operator who has replaced a key reload it
// before the next periodic check.
func onSIGHUP(f func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangup.Signals():
				f()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// secondSignalContext returns a context that ends with the next SIGINT or SIGTERM.
// An operator who sends a second signal does not want to wait for the drain.
func secondSignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// drainOnSignal waits for the signal that ends ctx, and then drains until drain
// returns. A second signal ends the context of drain.
func drainOnSignal(ctx context.Context, drain func(context.Context)) {
	<-ctx.Done()
	second, stop := secondSignalContext()
	defer stop()
	drain(second)
}
