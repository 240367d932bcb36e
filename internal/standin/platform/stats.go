package platform

import (
	"maps"
	"sync"

	api "damaskrouter.example/damaskrouter/internal/platform"
)

// Stats counts the calls that reached the stand-in, by use. Calls that a fault
// refused or dropped before they took effect count under Refused only.
type Stats struct {
	Reads  map[api.Use]uint64 `json:"reads"`
	Writes map[api.Use]uint64 `json:"writes"`
	// Rows counts the rows written, by use.
	Rows map[api.Use]uint64 `json:"rows"`
	// Throttled counts calls beyond the rate, Refused those hit by a fault.
	Throttled uint64 `json:"throttled"`
	Refused   uint64 `json:"refused"`
	// Delayed counts calls that a fault made slow, from their arrival.
	Delayed uint64 `json:"delayed"`
	// LostReplies counts writes that took effect without a reply.
	LostReplies uint64 `json:"lost_replies"`
	// RepeatedTxns counts transactions whose id had been seen before: the
	// sign of a client, or of something between, that re-sends silently.
	RepeatedTxns uint64 `json:"repeated_txns"`
	// WeightFetches counts the replies of the weight store.
	WeightFetches uint64 `json:"weight_fetches"`
}

// counters is a Stats behind a mutex.
type counters struct {
	mu sync.Mutex
	s  Stats
	// txns and older hold the transaction ids seen lately.
	txns, older map[string]bool
}

// maxTxns bounds the transaction ids in each of two generations.
const maxTxns = 1 << 16

func newCounters() *counters {
	return &counters{txns: map[string]bool{}, s: Stats{
		Reads:  map[api.Use]uint64{},
		Writes: map[api.Use]uint64{},
		Rows:   map[api.Use]uint64{},
	}}
}

// update runs f on the counts under the lock.
func (c *counters) update(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.s)
}

// seenTxn notes a transaction's id.
func (c *counters) seenTxn(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.txns[id] || c.older[id] {
		c.s.RepeatedTxns++
	}
	if len(c.txns) >= maxTxns {
		c.older = c.txns
		c.txns = map[string]bool{}
	}
	c.txns[id] = true
}

// snapshot returns a copy.
func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.s
	s.Reads = maps.Clone(s.Reads)
	s.Writes = maps.Clone(s.Writes)
	s.Rows = maps.Clone(s.Rows)
	return s
}
