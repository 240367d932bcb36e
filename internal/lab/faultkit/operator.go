package faultkit

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config"
)

// Operator is a process through which an operator changes the configuration.
type Operator struct {
	Gate  *Gate
	Chain *config.Chain
	store *store
}

// NewOperator returns an Operator with a way to the store of its own.
func (w *World) NewOperator() *Operator {
	g := NewGate()
	s := &store{Table: w.Platform, gate: g}
	w.mu.Lock()
	w.gates = append(w.gates, g)
	w.mu.Unlock()
	return &Operator{Gate: g, store: s, Chain: config.NewChain(s, objects{w.Platform.Objects(), g}, time.Now)}
}

// OnStore adds a tap to the operator's calls of the table service.
func (o *Operator) OnStore(t StoreTap) { o.store.tap(t) }
