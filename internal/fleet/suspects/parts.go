package suspects

import (
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"github.com/zeebo/xxh3"
)

const (
	// answeredSlots is the number of parts of which it is known when they were answered, and
	// answeredTick the resolution.
	answeredSlots = 1 << 12
	answeredTick  = 10 * time.Millisecond
)

// answeredParts holds when the newest complete answer to each part began. It is lossy: of two parts with
// one slot the later remains. Recording takes no lock, as each answer does it for each of its parts.
type answeredParts struct{ slots [answeredSlots]atomic.Uint64 }

// slot returns the slot of a part, and the tag that distinguishes it there.
func (a *answeredParts) slot(p quarantine.Part) (slot *atomic.Uint64, tag uint64) {
	h := xxh3.HashStringSeed(p.ID, xxh3.HashString(p.Service))
	return &a.slots[h%answeredSlots], h &^ (1<<32 - 1)
}

func (a *answeredParts) record(p quarantine.Part, began time.Duration) {
	slot, tag := a.slot(p)
	value := tag | uint64(uint32(began/answeredTick))
	if old := slot.Load(); old&^(1<<32-1) != tag || old < value {
		slot.Store(value)
	}
}

// at returns when the newest answer began, or zero if none is known.
func (a *answeredParts) at(p quarantine.Part) time.Duration {
	slot, tag := a.slot(p)
	value := slot.Load()
	if value&^(1<<32-1) != tag {
		return 0
	}
	return time.Duration(uint32(value)) * answeredTick
}
