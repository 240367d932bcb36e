package cli

import (
	"context"
	"os/signal"
	"syscall"
)

// secondSignal returns a context that ends with the next signal: an operator
// who asks again does not want to wait for the drain.
func secondSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
