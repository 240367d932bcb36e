package queue

import "time"

// ClassStats describes the items that wait in one effective class, which is
// where ageing has brought them.
type ClassStats struct {
	Class Class
	Items int
	// Work is their summed weight.
	Work int64
	// Accounts is the number of client accounts with waiting items.
	Accounts int
	// Oldest is how long the first of them has been in this class.
	Oldest time.Duration
}

// Stats is a snapshot for metrics. It names no account, so that its size does
// not grow with their number.
type Stats struct {
	Classes []ClassStats
	// Overdue counts items past their deadline that Expire has not returned yet.
	Overdue int
	// DrainRate is the observed rate in weight per second; 0 means unknown.
	DrainRate float64
	// DrainTime is how long the whole backlog takes at that rate.
	DrainTime time.Duration
}

// Stats returns a snapshot of the queue.
func (q *Queue) Stats(now time.Time) Stats {
	q.advance(now)
	s := Stats{Overdue: len(q.overdue), DrainRate: q.est.rate(), Classes: make([]ClassStats, len(q.levels))}
	for c, l := range q.levels {
		s.Classes[c] = l.stats(now)
	}
	last := Class(len(q.levels) - 1)
	s.DrainTime = q.wait(last, q.workUpTo(last))
	return s
}

// stats describes one level.
func (l *level) stats(now time.Time) ClassStats {
	s := ClassStats{Class: l.class, Items: l.ages.Len(), Work: l.work}
	accounts := make(map[string]struct{}, len(l.active))
	for _, f := range l.active {
		accounts[f.key.account] = struct{}{}
	}
	s.Accounts = len(accounts)
	if front := l.ages.Front(); front != nil {
		s.Oldest = now.Sub(front.Value.(*entry).entered)
	}
	return s
}

// rate returns the observed drain rate in weight per second, 0 if unknown.
func (e *estimate) rate() float64 {
	if e.seconds <= 0 {
		return 0
	}
	return e.work / e.seconds
}
