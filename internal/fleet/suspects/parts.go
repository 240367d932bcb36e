package suspects

import (
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"github.com/zeebo/xxh3"
)

const (
	// answeredSlots is the number of requests and parts of which it is known when they were answered, and
	// answeredTick the resolution.
	answeredSlots = 1 << 12
	answeredTick  = 10 * time.Millisecond
)

// answers holds when the newest complete answer to each request, or to one with each part, began, by a
// hash. It is lossy: of two hashes with one slot the later remains. Recording takes no lock, as each
// answer does it for each part of its prompt.
type answers struct{ slots [answeredSlots]atomic.Uint64 }

func hashPart(p quarantine.Part) uint64 { return xxh3.HashStringSeed(p.ID, xxh3.HashString(p.Service)) }

// slot returns the slot of a hash, and the tag that distinguishes it there.
func (a *answers) slot(hash uint64) (slot *atomic.Uint64, tag uint64) {
	return &a.slots[hash%answeredSlots], hash &^ (1<<32 - 1)
}

func (a *answers) record(hash uint64, began time.Duration) {
	slot, tag := a.slot(hash)
	value := tag | uint64(uint32(began/answeredTick))
	if old := slot.Load(); old&^(1<<32-1) != tag || old < value {
		slot.Store(value)
	}
}

// at returns when the newest answer began, or zero if none is known.
func (a *answers) at(hash uint64) time.Duration {
	slot, tag := a.slot(hash)
	value := slot.Load()
	if value&^(1<<32-1) != tag {
		return 0
	}
	return time.Duration(uint32(value)) * answeredTick
}
