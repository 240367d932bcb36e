package gossip

import (
	"sync"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// packetOverhead is the size of the IPv4 and UDP headers of a packet in bytes.
const packetOverhead = 20 + 8

// Traffic counts packets and their bytes, including IP and UDP headers.
type Traffic struct {
	Packets uint64
	Bytes   uint64
}

func (t *Traffic) add(payload int) {
	t.Packets++
	t.Bytes += uint64(payload + packetOverhead)
}

// Counters holds what an endpoint has sent, received and rejected since its start. A rejected
// packet counts only under Refused.
type Counters struct {
	In      [membership.KindCount]Traffic
	Out     [membership.KindCount]Traffic
	Refused [reasonCount]Traffic
	// Unsent counts packets that could not be encoded or written to the socket.
	Unsent uint64
	// Dropped counts received packets that were lost because the driver's queue was full.
	Dropped uint64
}

// Total returns the sum over all kinds.
func Total(kinds [membership.KindCount]Traffic) Traffic {
	var sum Traffic
	for _, t := range kinds {
		sum.Packets += t.Packets
		sum.Bytes += t.Bytes
	}
	return sum
}

// counterSet is Counters protected by a mutex.
type counterSet struct {
	mu sync.Mutex
	c  Counters
}

func (s *counterSet) update(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.c)
}

func (s *counterSet) snapshot() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c
}
