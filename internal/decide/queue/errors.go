package queue

import (
	"fmt"
	"time"
)

// ClassError reports a name that is no priority class.
type ClassError struct {
	Name string
}

// Error implements error.
func (e *ClassError) Error() string {
	return fmt.Sprintf("queue: unknown priority class %q", e.Name)
}

// Scope identifies the limit that a rejected item would have exceeded.
type Scope string

// The limits on the number of waiting items: of the queue, of the queue for an item of
// a class (see namedFillLimits), and of one client account.
const (
	ScopeQueue   Scope = "queue"
	ScopeClass   Scope = "class"
	ScopeAccount Scope = "account"
)

// FullError reports that a limit on waiting items is reached. The item isn't in the
// queue.
type FullError struct {
	Scope Scope
	// RetryAfter is the suggested time until a retry, with jitter.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue: %s full, retry after %v", e.Scope, e.RetryAfter)
}

// DeadlineError reports that the item would wait beyond its deadline. The item isn't in
// the queue.
type DeadlineError struct {
	// PredictedWait is how long the item would have waited.
	PredictedWait time.Duration
	// RetryAfter is the suggested time until a retry, with jitter.
	RetryAfter time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("queue: predicted wait %v exceeds the deadline, retry after %v",
		e.PredictedWait, e.RetryAfter)
}

// DuplicateError reports that an item with the same ID is already waiting.
type DuplicateError struct {
	ID string
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("queue: item %q is already waiting", e.ID)
}
