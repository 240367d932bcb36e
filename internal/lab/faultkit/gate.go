package faultkit

import (
	"sync"

	"github.com/zeebo/errs"
)

// ErrKilled is returned to the operations of a killed process. No action of the process after the
// kill has an effect outside of it.
var ErrKilled = errs.Class("faultkit: process killed")

// Gate controls all input and output of one simulated process. While the gate is
// frozen, operations block; after Kill, they fail.
type Gate struct {
	killed chan struct{}

	mu sync.Mutex
	// frozen is closed by Thaw and nil unless the gate is frozen.
	frozen chan struct{}
	dead   bool
	onKill []func()
}

// NewGate returns a Gate that lets operations pass.
func NewGate() *Gate { return &Gate{killed: make(chan struct{})} }

// Pass blocks while the process is frozen. It returns ErrKilled once the process is
// killed.
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

// Freeze blocks the operations of the process until Thaw or Kill.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

// Thaw lets the operations of a frozen process continue.
func (g *Gate) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// Kill fails all operations of the process from now on and calls the functions added by
// OnKill.
func (g *Gate) Kill() {
	g.mu.Lock()
	if g.dead {
		g.mu.Unlock()
		return
	}
	g.dead = true
	close(g.killed)
	callbacks := g.onKill
	g.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// OnKill adds a function that Kill calls. If the process is already killed, it is
// called at once.
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
