package feed

import (
	"sync"
	"time"
)

// Load reports are carried by pulls, six or seven a second to each router. One entry takes about 18
// bytes, so the loads of 850 engines would take 100 KB/s, while the budget for control traffic is 7
// KB/s. Reports on more than 75 engines are therefore carried by some pulls only, and all but the
// first contain only changes.
const (
	// intervalPerEntry is the time between two reports per entry.
	intervalPerEntry = 2 * time.Millisecond
	// maxReportInterval bounds the time between two reports. One more report can follow before the
	// last one expires.
	maxReportInterval = 900 * time.Millisecond
)

// reporter decides when a report to each router is due and what it contains. It is safe for
// concurrent use.
type reporter struct {
	mu   sync.Mutex
	sent map[string]*sentReport
}

// sentReport is what was last reported to a router and when.
type sentReport struct {
	reportState
	sentAt time.Duration
}

// report returns the report due to a router at now, or nil for none. have is the sequence number
// that the router holds, entries the approximate size of a full report. A report is due at once if
// there was none since urgentAt. current builds a full report.
func (r *reporter) report(to string, have uint64, entries int, urgentAt, now time.Duration, current func() LoadReport) *LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.sent[to]
	if last != nil && last.sentAt > urgentAt && now-last.sentAt < min(time.Duration(entries)*intervalPerEntry, maxReportInterval) {
		return nil
	}
	if last == nil {
		last = r.add(to, now)
	}
	last.sentAt = now
	out := last.next(have, current(), now)
	return &out
}

func (r *reporter) add(to string, now time.Duration) *sentReport {
	if r.sent == nil {
		r.sent = make(map[string]*sentReport)
	}
	r.forget(now)
	added := &sentReport{}
	r.sent[to] = added
	return added
}

// forget drops routers that no longer exchange loads.
func (r *reporter) forget(now time.Duration) {
	for to, last := range r.sent {
		if now-last.sentAt > loadLifetime {
			delete(r.sent, to)
		}
	}
}
