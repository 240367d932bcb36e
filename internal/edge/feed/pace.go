package feed

import (
	"sync"
	"time"
)

// Reports of loads go with pulls, three a second to each router. One entry takes about
// 18 bytes, so that the loads of 850 engines would take 50 KB a second, on a control
// budget of 7. Beyond 150 engines a report therefore goes with some pulls only.
const (
	// paceEntry is the time between two reports for each of their entries.
	paceEntry = 2 * time.Millisecond
	// maxPace bounds the time between two reports; it leaves time for one more
	// before the last one stops to count.
	maxPace = 900 * time.Millisecond
)

// pacer says when a report is due. It is safe for concurrent use.
type pacer struct {
	mu sync.Mutex
	// sent is when each router got its last report.
	sent map[string]time.Duration
}

// due says whether a report of so many entries is to go to a router now, and notes it.
func (p *pacer) due(to string, entries int, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil {
		p.sent = make(map[string]time.Duration)
	}
	last, known := p.sent[to]
	if known && now-last < min(time.Duration(entries)*paceEntry, maxPace) {
		return false
	}
	p.sent[to] = now
	p.forget(now)
	return true
}

// maxPaced is how many routers are remembered before those are dropped that ask no
// more: five times the routers that the fleet is planned for.
const maxPaced = 2000

func (p *pacer) forget(now time.Duration) {
	if len(p.sent) <= maxPaced {
		return
	}
	for to, at := range p.sent {
		if now-at > maxPace {
			delete(p.sent, to)
		}
	}
}
