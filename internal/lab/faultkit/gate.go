package faultkit

import (
	"sync"

	"github.com/zeebo/errs"
)

// ErrKilled is what a killed process's operations return to it. Nothing of
// what it does afterwards has an effect outside.
var ErrKilled = errs.Class("faultkit: process killed")

// Gate stands between one process and everything outside it. While it is
// frozen, whatever the process does or receives waits; once it is killed,
// nothing passes any more.
type Gate struct {
	killed chan struct{}

	mu sync.Mutex
	// frozen is closed by Thaw; nil unless frozen.
	frozen chan struct{}
	dead   bool
	onKill []func()
}

// NewGate returns an open Gate.
func NewGate() *Gate { return &Gate{killed: make(chan struct{})} }

// Pass waits while the process is frozen. It fails once the process is killed.
func (g *Gate) Pass() error {
	for {
		g.mu.Lock()
		frozen, dead := g.frozen, g.dead
		g.mu.Unlock()
		if dead {
			return ErrKilled.New("")
		}
		if frozen == nil {
			return nil
		}
		select {
		case <-frozen:
		case <-g.killed:
		}
	}
}

// Freeze stops the process until Thaw.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen process go on.
func (g *Gate) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// Kill ends the process and everything that it holds open.
func (g *Gate) Kill() {
	g.mu.Lock()
	if g.dead {
		g.mu.Unlock()
		return
	}
	g.dead = true
	close(g.killed)
	hooks := g.onKill
	g.mu.Unlock()
	for _, f := range hooks {
		f()
	}
}

// OnKill adds a function that Kill calls; on a killed process it runs at once.
func (g *Gate) OnKill(f func()) {
	g.mu.Lock()
	dead := g.dead
	if !dead {
		g.onKill = append(g.onKill, f)
	}
	g.mu.Unlock()
	if dead {
		f()
	}
}

// Dead reports whether the process was killed.
func (g *Gate) Dead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead
}
