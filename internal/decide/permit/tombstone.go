package permit

import "time"

const (
	// tombstoneTTL is how long a released ID is remembered. It must exceed the time that a message
	// can be in transit.
	tombstoneTTL = time.Minute
	// maxTombstones bounds the memory. An engine gets 6 requests per second at the planned size of
	// the fleet, so that the bound is not reached within the TTL.
	maxTombstones = 2048
)

// tombstone records the release of a permit.
type tombstone struct {
	weight     int64
	releasedAt time.Time
}

// tombstones remembers released IDs, so that a request or a report that was overtaken by the
// release does not restore the permit. Nobody would release such a permit, and the count would
// drift upwards permanently.
type tombstones struct {
	byID map[string]tombstone
	fifo []string
}

// add records the release of id and forgets entries beyond the TTL or the maximum number.
func (t *tombstones) add(now time.Time, id string, weight int64) {
	if t.byID == nil {
		t.byID = map[string]tombstone{}
	}
	t.trim(now)
	t.byID[id] = tombstone{weight: weight, releasedAt: now}
	t.fifo = append(t.fifo, id)
}

func (t *tombstones) trim(now time.Time) {
	for len(t.fifo) > 0 {
		oldest := t.byID[t.fifo[0]]
		if len(t.fifo) < maxTombstones && now.Sub(oldest.releasedAt) < tombstoneTTL {
			return
		}
		delete(t.byID, t.fifo[0])
		t.fifo = t.fifo[1:]
	}
}

func (t *tombstones) get(id string) (tombstone, bool) {
	entry, ok := t.byID[id]
	return entry, ok
}
