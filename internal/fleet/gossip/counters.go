package gossip

import (
	"sync"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// packetOverhead is the IPv4 and UDP header of a packet, in bytes.
const packetOverhead = 20 + 8

// Traffic counts packets and their bytes, IP and UDP headers included.
type Traffic struct {
	Packets uint64
	Bytes   uint64
}

func (t *Traffic) add(payload int) {
	t.Packets++
	t.Bytes += uint64(payload + packetOverhead)
}

// Counters is what an endpoint has sent, received and refused since its start.
// Received packets that were refused count under Refused only.
type Counters struct {
	In      [membership.KindCount]Traffic
	Out     [membership.KindCount]Traffic
	Refused [reasonCount]Traffic
	// Unsent counts packets that could not be encoded or handed to the socket.
	Unsent uint64
	// Dropped counts received packets that found the driver's queue full.
	Dropped uint64
}

// Total sums the kinds.
func Total(kinds [membership.KindCount]Traffic) Traffic {
	var sum Traffic
	for _, t := range kinds {
		sum.Packets += t.Packets
		sum.Bytes += t.Bytes
	}
	return sum
}

// counterSet is Counters for use by several goroutines.
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
