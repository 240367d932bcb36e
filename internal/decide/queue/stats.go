package queue

import "time"

// ClassStats describes the items that wait in one effective class, which includes those
// promoted into it by ageing.
type ClassStats struct {
	Class Class
	Items int
	// Work is the total weight of the items.
	Work int64
	// Accounts is the number of client accounts with waiting items.
	Accounts int
	// Oldest is how long the first of the items has been in this class.
	Oldest time.Duration
}

// Stats is a snapshot for metrics. It names no account, so that its size doesn't grow
// with the number of accounts.
type Stats struct {
	Classes []ClassStats
	// Overdue is the number of items past their deadline that Expire hasn't returned
	// yet.
	Overdue int
	// DrainRate is the estimated rate in weight per second; 0 means unknown.
	DrainRate float64
	// DrainTime is how long the whole backlog takes at that rate.
	DrainTime time.Duration
}

// Stats returns a snapshot of the queue.
func (q *Queue) Stats(now time.Time) Stats {
	q.advance(now)
	s := Stats{Overdue: len(q.overdue), DrainRate: q.drain.rate(), Classes: make([]ClassStats, len(q.levels))}
	for c, l := range q.levels {
		s.Classes[c] = l.stats(now)
	}
	last := Class(len(q.levels) - 1)
	s.DrainTime = q.drainTime(last, q.workUpTo(last))
	return s
}

// stats describes one level.
func (l *level) stats(now time.Time) ClassStats {
	s := ClassStats{Class: l.class, Items: l.byAge.Len(), Work: l.work}
	accounts := make(map[string]struct{}, len(l.active))
	for _, f := range l.active {
		accounts[f.key.account] = struct{}{}
	}
	s.Accounts = len(accounts)
	if front := l.byAge.Front(); front != nil {
		s.Oldest = now.Sub(front.Value.(*entry).entered)
	}
	return s
}

// rate returns the estimated drain rate in weight per second, 0 if unknown.
func (e *drainEstimator) rate() float64 {
	if e.busySeconds <= 0 {
		return 0
	}
	return e.completed / e.busySeconds
}
