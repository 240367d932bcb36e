package admission

import (
	"sync"
	"sync/atomic"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
)

// heldPermit is a permit that this router holds.
type heldPermit struct {
	engine      uint64
	name        string
	weight      int64
	incarnation uint64
	group       groupKey
}

// heldPermits maps IDs to the permits that this router holds. They are reported
// to the engines' owners and must be released.
type heldPermits struct {
	mu        sync.Mutex
	permits   map[string]heldPermit
	reportSeq atomic.Uint64
}

func newHeldPermits() *heldPermits {
	return &heldPermits{permits: make(map[string]heldPermit)}
}

func (h *heldPermits) add(id string, p heldPermit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits[id] = p
}

func (h *heldPermits) remove(id string) (heldPermit, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.permits[id]
	delete(h.permits, id)
	return p, ok
}

// byEngine returns the permits by engine, for the reports to the engines'
// owners.
func (h *heldPermits) byEngine() map[uint64][]ReportedPermit {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[uint64][]ReportedPermit)
	for id, p := range h.permits {
		out[p.engine] = append(out[p.engine], ReportedPermit{
			HeldRequest: permit.HeldRequest{ID: id, Weight: p.weight},
			Incarnation: p.incarnation,
		})
	}
	return out
}

// Len returns the number of permits held.
func (h *heldPermits) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.permits)
}
