package permit

import "time"

const (
	// tombstoneTTL is how long a released id is remembered. It must exceed
	// the time that a message can be under way.
	tombstoneTTL = time.Minute
	// maxTombstones bounds the memory; at the 6 requests a second that an
	// engine sees at the planned size it is not reached within the TTL.
	maxTombstones = 2048
)

// tombstone remembers a released permit.
type tombstone struct {
	weight int64
	at     time.Time
}

// tombstones remembers released ids, so that a request or a report which was
// overtaken by the release does not bring the permit back. Such a permit would
// have nobody to release it, and the count would drift upwards for good.
type tombstones struct {
	byID map[string]tombstone
	fifo []string
}

// add remembers id and forgets what is too old or too much.
func (t *tombstones) add(now time.Time, id string, weight int64) {
	if t.byID == nil {
		t.byID = map[string]tombstone{}
	}
	t.trim(now)
	t.byID[id] = tombstone{weight: weight, at: now}
	t.fifo = append(t.fifo, id)
}

func (t *tombstones) trim(now time.Time) {
	for len(t.fifo) > 0 {
		oldest := t.byID[t.fifo[0]]
		if len(t.fifo) < maxTombstones && now.Sub(oldest.at) < tombstoneTTL {
			return
		}
		delete(t.byID, t.fifo[0])
		t.fifo = t.fifo[1:]
	}
}

func (t *tombstones) get(id string) (tombstone, bool) {
	x, ok := t.byID[id]
	return x, ok
}
