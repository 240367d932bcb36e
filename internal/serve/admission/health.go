package admission

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/outlier"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// Observation is how an engine did on one request.
type Observation = outlier.Observation

// health watches the engines for grey failures: those that answer probes and
// starve their streams. Each router judges by what it saw itself.
type health struct {
	mu        sync.Mutex
	detectors map[laneKey]*outlier.Detector
	members   map[laneKey]map[uint64]bool
	ejections int64
}

func newHealth() *health {
	return &health{
		detectors: make(map[laneKey]*outlier.Detector),
		members:   make(map[laneKey]map[uint64]bool),
	}
}

// sync tells the detectors which engines joined and left.
func (h *health) sync(now time.Time, snap *board.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range snap.Groups() {
		h.syncGroup(now, g)
	}
}

func (h *health) syncGroup(now time.Time, g *board.Group) {
	key := laneKey{pool: g.Pool, region: g.Region}
	d := h.detectors[key]
	if d == nil {
		d = outlier.NewDetector(outlier.DefaultConfig())
		h.detectors[key] = d
	}
	present := make(map[uint64]bool, len(g.IDs))
	for i, id := range g.IDs {
		present[id] = !g.Engines[i].Leaving
	}
	before := h.members[key]
	for id, in := range present {
		if in && !before[id] {
			d.Join(id, now)
		}
	}
	for id, in := range before {
		if in && !present[id] {
			d.Leave(id, now)
		}
	}
	h.members[key] = present
}

// state says whether an engine is ejected, and its share of the normal load.
func (h *health) state(now time.Time, e *board.Engine) (ejected bool, ramp float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.detectors[laneKey{pool: e.Pool, region: e.Region}]
	if d == nil {
		return false, 1
	}
	return d.Ejected(e.ID, now), d.Ramp(e.ID, now)
}

func (h *health) observe(e *board.Engine, o Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.detectors[laneKey{pool: e.Pool, region: e.Region}]
	if d == nil {
		return
	}
	if d.Observe(o) != nil {
		h.ejections++
	}
}

// evaluate compares the engines with each other; to be called about once a second.
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

// Observe reports how an engine did on one request.
func (a *Admission) Observe(engine string, o Observation) {
	e, ok := a.opts.Board.Snapshot().Engines[engine]
	if !ok {
		return
	}
	o.Engine = e.ID
	o.Time = time.Now()
	a.health.observe(&e, o)
}

// Evaluate looks for engines that do worse than their pool.
func (a *Admission) Evaluate() { a.health.evaluate(time.Now()) }
