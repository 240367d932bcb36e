// Package permit keeps the exact count of admitted, unfinished work of one
// engine at the router that owns the engine.
//
// A Book grants a permit for each request before it is sent. It bounds the
// engine's load against the mean of its pool, and stays right through lost,
// repeated and late messages, dead routers, changes of owner and restarts of
// the engine. What it knows comes from three sides: its own grants, the
// holders' reports and the engine's report; the largest counts.
//
// A Book is not safe for concurrent use and reads no clock; the caller passes
// the time, which must not run backwards.
package permit

import "time"

// Request asks for a permit. Its delivery may be repeated.
type Request struct {
	// ID is unique per attempt at the engine and never used again.
	ID string
	// Holder is the asking router, named so that a restarted one differs.
	Holder string
	// Incarnation is the engine incarnation the holder means; 0 means any.
	Incarnation uint64
	// Weight is the request's work; less than 1 counts as 1.
	Weight int64
	// PoolTotal and PoolN are the load and the number of engines of the pool.
	PoolTotal int64
	PoolN     int
	// LeastLoaded says that no engine of the pool has less load. Such an
	// engine may exceed the bound, since the work would weigh as much anywhere.
	LeastLoaded bool
}

// Permit is the right to have one request unfinished at the engine.
type Permit struct {
	ID          string
	Holder      string
	Weight      int64
	Incarnation uint64
}

// Outcome says what a release did.
type Outcome string

// The outcomes of a release.
const (
	// Released means that the permit was counted until now.
	Released Outcome = "released"
	// AlreadyReleased means that an earlier release had ended it.
	AlreadyReleased Outcome = "already_released"
	// Moved means that another router has taken the permit over.
	Moved Outcome = "moved"
	// NotHeld means that the book did not know the permit. It will not grant
	// the id afterwards: the release may have overtaken its request.
	NotHeld Outcome = "not_held"
)

// Held is one unfinished request in a holder's report.
type Held struct {
	ID     string
	Weight int64
}

// HolderReport lists all that a router has unfinished at the engine.
type HolderReport struct {
	Holder string
	// Seq grows with each report of the holder.
	Seq uint64
	// Incarnation is the engine incarnation the report is about.
	Incarnation uint64
	Held        []Held
}

// EngineLoad is an engine's report of itself.
type EngineLoad struct {
	Incarnation uint64
	// Age is how old the figures are.
	Age time.Duration
	// Count and Weight sum up the unfinished requests, running or queued.
	Count  int
	Weight int64
	// IDs lists them; it is empty if the engine does not say.
	IDs []string
}

// listed reports whether the engine names its requests.
func (l *EngineLoad) listed() bool { return len(l.IDs) > 0 || l.Count == 0 }

// Load is what the book knows about the engine.
type Load struct {
	Count  int
	Weight int64
}

// Reconciled says what a report changed in the book.
type Reconciled struct {
	// Stale means that the report was out of date and changed nothing.
	Stale bool
	// Adopted counts permits that the book learned of.
	Adopted int
	// Dropped counts permits whose release must have been lost.
	Dropped int
}

// Admissible is the bounded-load rule: an engine of a pool of n with the given
// total load takes work of weight w while its load stays within c times the
// mean.
func Admissible(load, w, total int64, n int, c float64) bool {
	if n < 1 {
		return false
	}
	bound := c * float64(total+w) / float64(n)
	return float64(load+w) <= bound
}
