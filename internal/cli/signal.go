package cli

import (
	"context"
	"os/signal"
	"syscall"

	"damaskrouter.example/damaskrouter/internal/base/hangup"
)

// onHangup calls f for each SIGHUP until the returned function is called. An
// operator who has replaced a key need not wait for the next check.
func onHangup(f func()) (stop func()) {
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

// secondSignal returns a context that ends with the next signal: an operator
// who asks again does not want to wait for the drain.
func secondSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// drainOnSignal waits for the signal that ends ctx and drains; a second signal
// ends the drain.
func drainOnSignal(ctx context.Context, drain func(context.Context)) {
	<-ctx.Done()
	again, stop := secondSignal()
	defer stop()
	drain(again)
}
