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

// NewOperator returns an Operator with a gate and store access of its own.
func (cl *Cluster) NewOperator() *Operator {
	g := NewGate()
	s := &store{Table: cl.Platform, gate: g}
	cl.mu.Lock()
	cl.gates = append(cl.gates, g)
	cl.mu.Unlock()
	return &Operator{Gate: g, store: s, Chain: config.NewChain(s, objects{cl.Platform.Objects(), g}, time.Now)}
}

// OnStore adds a trigger to the operator's calls of the table service.
func (o *Operator) OnStore(t StoreTrigger) { o.store.addTrigger(t) }
