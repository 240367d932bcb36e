package controller

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/board"
)

// drainTTL is how long an engine stays drained without the leader's word: a
// leader that was lost must not leave engines idle for ever.
const drainTTL = 30 * time.Second

// ObserveArgs are the leader's words to the owner of engines.
type ObserveArgs struct {
	// Fence is the leader's fencing number.
	Fence uint64
	// Drain lists the engines that are to get no new work, because an order
	// for them needs them idle. It replaces what the leader said before.
	Drain []string
}

// ObserveReply is what the owner knows of its engines.
type ObserveReply struct {
	// StaleFence is set where a newer leader has spoken; nothing was done.
	StaleFence bool
	Engines    []ObservedEngine
}

// ObservedEngine is one owned engine as its owner sees it.
type ObservedEngine struct {
	Name string
	Pool string
	Site string
	// Known is false for an engine that has not reported yet.
	Known  bool
	Report EngineReport
}

// EngineReport is the part of an engine's report that orders are about.
type EngineReport struct {
	// Incarnation grows with each restart of the engine.
	Incarnation uint64
	// Model, Version, Role and Adapters are what is loaded now.
	Model    string
	Version  string
	Role     string
	Adapters []string
	// Running and Queued count the engine's unfinished requests.
	Running int
	Queued  int
	// Age is how long ago the owner got the report.
	Age time.Duration
}

// Drains keeps the engines of this router idle that the leader asks for.
type Drains struct {
	Board   *board.Board
	Engines *Engines

	mu sync.Mutex
	// fence is the highest one that a leader has shown.
	fence uint64
	// until says, by engine, when a drain lapses.
	until map[string]time.Time
}

// Observe answers the leader.
func (d *Drains) Observe(args ObserveArgs) ObserveReply {
	d.mu.Lock()
	if args.Fence < d.fence {
		d.mu.Unlock()
		return ObserveReply{StaleFence: true}
	}
	d.fence = args.Fence
	d.until = make(map[string]time.Time, len(args.Drain))
	for _, name := range args.Drain {
		d.until[name] = time.Now().Add(drainTTL)
	}
	d.mu.Unlock()
	d.apply()
	return ObserveReply{Engines: d.Engines.Observed()}
}

// Run lets drains lapse that the leader does not renew, until ctx ends.
func (d *Drains) Run(ctx context.Context) {
	every(ctx, drainTTL/10, func(context.Context) { d.apply() })
}

// apply brings the board in line with what is drained now.
func (d *Drains) apply() {
	d.mu.Lock()
	now := time.Now()
	drained := make(map[string]bool, len(d.until))
	for name, until := range d.until {
		if now.Before(until) {
			drained[name] = true
		}
	}
	d.mu.Unlock()
	if !d.differs(drained) {
		return
	}
	d.Board.Update(func(s *board.State) {
		for name, e := range s.Engines {
			if e.Drained != drained[name] {
				e.Drained = drained[name]
				s.Engines[name] = e
			}
		}
	})
}

func (d *Drains) differs(drained map[string]bool) bool {
	for name, e := range d.Board.Snapshot().Engines {
		if e.Drained != drained[name] {
			return true
		}
	}
	return false
}
