// Package pause sleeps until a time has passed or a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It reports whether the whole of d passed;
// if d is zero or negative it returns true at once.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
