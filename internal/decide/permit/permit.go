// Package permit keeps the exact count of the granted, unfinished requests of one engine, at the
// router that owns the engine.
//
// A Ledger grants a permit for each request before the request is sent. It bounds the engine's load
// relative to the mean of its pool. The count stays right when messages are lost, repeated or late,
// when routers die, when the owner changes and when the engine restarts. The count is based on the
// owner's own grants and the reports of the holders; the load also includes what the engine reports
// beyond them.
//
// A Ledger is not safe for concurrent use and reads no clock; the times passed to it must not run
// backwards.
package permit

import "time"

// Request is a request for a permit. It may be delivered more than once.
type Request struct {
	// ID is unique per attempt at the engine and never used again.
	ID string
	// Holder is the requesting router. A restarted router has a different name.
	Holder string
	// Incarnation is the incarnation of the engine that the request is for; 0 means any.
	Incarnation uint64
	// Weight is the work of the request; less than 1 counts as 1.
	Weight int64
	// PoolTotal is the load of the pool, and PoolEngines its number of engines.
	PoolTotal   int64
	PoolEngines int
	// LeastLoaded means that no engine of the pool has less load. Such an engine may exceed the
	// bound, since the request would weigh as much at any other engine.
	LeastLoaded bool
}

// Permit is the right to have one unfinished request at the engine.
type Permit struct {
	ID          string
	Holder      string
	Weight      int64
	Incarnation uint64
}

// Outcome is the result of a release.
type Outcome string

// Outcomes of a release.
const (
	// Released means that this release ended the permit.
	Released Outcome = "released"
	// AlreadyReleased means that an earlier release ended the permit.
	AlreadyReleased Outcome = "already_released"
	// Moved means that another router holds the permit now.
	Moved Outcome = "moved"
	// NotHeld means that the permit was unknown. Its ID will not be granted afterwards, since the
	// release may have overtaken the request.
	NotHeld Outcome = "not_held"
)

// HeldRequest is one unfinished request in the report of a holder.
type HeldRequest struct {
	ID     string
	Weight int64
}

// HolderReport lists all unfinished requests of a router at the engine.
type HolderReport struct {
	Holder string
	// Seq grows with each report of the holder.
	Seq uint64
	// Incarnation is the incarnation of the engine that the report is about.
	Incarnation uint64
	Held        []HeldRequest
}

// EngineLoad is the load that an engine reports.
type EngineLoad struct {
	Incarnation uint64
	// Age is how old the figures are.
	Age time.Duration
	// Count is the number of unfinished requests, running or queued, and Weight their total work.
	Count  int
	Weight int64
	// IDs lists the IDs of these requests; it is empty if the engine reports only their number.
	IDs []string
}

// listsRequests reports whether the report lists all requests of the engine.
func (l *EngineLoad) listsRequests() bool { return len(l.IDs) > 0 || l.Count == 0 }

// Load is the number and the total weight of unfinished requests.
type Load struct {
	Count  int
	Weight int64
}

// Changes describes what a report changed.
type Changes struct {
	// Stale means that the report was outdated and changed nothing.
	Stale bool
	// Adopted counts the permits that were unknown before the report.
	Adopted int
	// Dropped counts the permits whose release must have been lost.
	Dropped int
}

// Admissible implements the bounded-load rule. It reports whether an engine with the given load, in
// a pool of n engines with the given total load, may take a request of the given weight: with it,
// the engine's load must be at most factor times the mean.
func Admissible(load, weight, total int64, n int, factor float64) bool {
	if n < 1 {
		return false
	}
	bound := factor * float64(total+weight) / float64(n)
	return float64(load+weight) <= bound
}
