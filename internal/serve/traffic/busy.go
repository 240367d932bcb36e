package traffic

import (
	"context"
	"sync"
)

// busy counts what is in progress. Unlike a sync.WaitGroup it may be waited on
// while more begins: a draining router still answers newcomers, and a group
// whose count rises from zero during Wait panics.
type busy struct {
	mu   sync.Mutex
	n    int
	idle []chan struct{}
}

// Add notes the beginning of n things.
func (b *busy) Add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.n += n
}

// Done notes the end of one.
func (b *busy) Done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.n--
	if b.n > 0 {
		return
	}
	for _, c := range b.idle {
		close(c)
	}
	b.idle = nil
}

// Wait returns once nothing is in progress, or the error of ctx once that ends.
func (b *busy) Wait(ctx context.Context) error {
	select {
	case <-b.whenIdle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *busy) whenIdle() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := make(chan struct{})
	if b.n == 0 {
		close(c)
		return c
	}
	b.idle = append(b.idle, c)
	return c
}
