package admission

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/outlier"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// Observation is the outcome of one request at an engine.
type Observation = outlier.Observation

// health detects gray failures of engines: those that respond to health probes but
// stall their streams. Each router uses only its own observations.
type health struct {
	mu        sync.Mutex
	detectors map[groupKey]*outlier.Detector
	members   map[groupKey]map[uint64]bool
	ejections int64
}

func newHealth() *health {
	return &health{
		detectors: make(map[groupKey]*outlier.Detector),
		members:   make(map[groupKey]map[uint64]bool),
	}
}

// sync adds new engines to the detectors and removes those that are no longer listed.
func (h *health) sync(now time.Time, snap *board.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range snap.Groups() {
		h.syncGroup(now, g)
	}
}

func (h *health) syncGroup(now time.Time, g *board.Group) {
	key := groupKey{pool: g.Pool, region: g.Region}
	d := h.detectors[key]
	if d == nil {
		d = outlier.NewDetector(outlier.DefaultConfig())
		h.detectors[key] = d
	}
	present := make(map[uint64]bool, len(g.IDs))
	for i, id := range g.IDs {
		present[id] = !g.Engines[i].Leaving
	}
	previous := h.members[key]
	for id, inService := range present {
		if inService && !previous[id] {
			d.Join(id, now)
		}
	}
	for id, inService := range previous {
		if inService && !present[id] {
			d.Leave(id, now)
		}
	}
	h.members[key] = present
}

// state reports whether an engine is ejected, and returns the share of its
// normal load that it may take.
func (h *health) state(now time.Time, e *board.Engine) (ejected bool, ramp float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.detectors[groupKey{pool: e.Pool, region: e.Region}]
	if d == nil {
		return false, 1
	}
	return d.Ejected(e.ID, now), d.Ramp(e.ID, now)
}

func (h *health) observe(e *board.Engine, o Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.detectors[groupKey{pool: e.Pool, region: e.Region}]
	if d == nil {
		return
	}
	if d.Observe(o) != nil {
		h.ejections++
	}
}

// evaluate compares the engines of each group with each other. It is meant to
// be called about once a second.
func (h *health) evaluate(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.detectors {
		h.ejections += int64(len(d.Evaluate(now)))
	}
}

func (h *health) ejected() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ejections
}

// Observe records how an engine handled one request.
func (a *Admission) Observe(engine string, o Observation) {
	e, ok := a.opts.Board.Snapshot().Engines[engine]
	if !ok {
		return
	}
	o.Engine = e.ID
	o.Time = time.Now()
	a.health.observe(&e, o)
}

// Evaluate ejects engines that perform worse than the rest of their pool.
func (a *Admission) Evaluate() { a.health.evaluate(time.Now()) }
