// Package pause waits within a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It reports whether the whole time passed;
// a d of zero or less has passed at once.
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
