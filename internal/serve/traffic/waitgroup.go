package traffic

import (
	"context"
	"sync"
)

// waitGroup counts requests and other work in progress. Unlike a sync.WaitGroup
// it allows Add during Wait: a draining router still responds to new requests,
// and a sync.WaitGroup panics if its count rises from zero during Wait.
type waitGroup struct {
	mu      sync.Mutex
	count   int
	waiters []chan struct{}
}

// Add adds n to the count.
func (g *waitGroup) Add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count += n
}

// Done subtracts one from the count.
func (g *waitGroup) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count > 0 {
		return
	}
	for _, ch := range g.waiters {
		close(ch)
	}
	g.waiters = nil
}

// Wait returns nil once the count is zero, or the error of ctx if that ends
// first.
func (g *waitGroup) Wait(ctx context.Context) error {
	select {
	case <-g.idleSignal():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *waitGroup) idleSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	ch := make(chan struct{})
	if g.count == 0 {
		close(ch)
		return ch
	}
	g.waiters = append(g.waiters, ch)
	return ch
}
