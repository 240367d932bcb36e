package feed

import (
	"sync"
	"time"
)

// Reports of loads go with pulls, six or seven a second to each router. One entry takes
// about 18 bytes, so that the loads of 850 engines would take 100 KB a second, on a
// control budget of 7. Beyond 75 engines a report therefore goes with some pulls only,
// and all but the first say only what has changed.
const (
	// paceEntry is the time between two reports for each of their entries.
	paceEntry = 2 * time.Millisecond
	// maxPace bounds the time between two reports; it leaves time for one more
	// before the last one stops to count.
	maxPace = 900 * time.Millisecond
)

// reporter says when a report is due to each of some routers, and what is new for it. It
// is safe for concurrent use.
type reporter struct {
	mu   sync.Mutex
	told map[string]*told
}

// told is what a router was told, and when.
type told struct {
	reported
	at time.Duration
}

// report returns the report that is due to a router at now, or nil. The router has the
// state have. Entries is how many a whole report has, about; present makes one.
func (r *reporter) report(to string, have uint64, entries int, now time.Duration, present func() LoadReport) *LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.told[to]
	if last != nil && now-last.at < min(time.Duration(entries)*paceEntry, maxPace) {
		return nil
	}
	if last == nil {
		last = r.add(to, now)
	}
	last.at = now
	out := last.next(have, present(), now)
	return &out
}

func (r *reporter) add(to string, now time.Duration) *told {
	if r.told == nil {
		r.told = make(map[string]*told)
	}
	r.forget(now)
	added := &told{}
	r.told[to] = added
	return added
}

// forget drops the routers that ask no more.
func (r *reporter) forget(now time.Duration) {
	for to, last := range r.told {
		if now-last.at > loadLifetime {
			delete(r.told, to)
		}
	}
}
