package admission

import (
	"sync"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
)

// held is a permit that this router holds.
type held struct {
	engine      uint64
	name        string
	weight      int64
	incarnation uint64
	lane        laneKey
}

// heldPermits are the permits that this router holds, by id: what it reports
// to the owners, and what must be given back.
type heldPermits struct {
	mu  sync.Mutex
	all map[string]held
	seq atomic.Uint64
}

func newHeldPermits() *heldPermits {
	return &heldPermits{all: make(map[string]held)}
}

func (h *heldPermits) add(id string, p held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all[id] = p
}

func (h *heldPermits) remove(id string) (held, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.all[id]
	delete(h.all, id)
	return p, ok
}

// byEngine groups the permits for reports to the engines' owners.
func (h *heldPermits) byEngine() map[uint64][]ReportedPermit {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[uint64][]ReportedPermit)
	for id, p := range h.all {
		out[p.engine] = append(out[p.engine], ReportedPermit{
			Held:        permit.Held{ID: id, Weight: p.weight},
			Incarnation: p.incarnation,
		})
	}
	return out
}

// Len returns the number of permits held.
func (h *heldPermits) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.all)
}
