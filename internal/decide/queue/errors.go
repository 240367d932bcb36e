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

// Scope names the bound that a refused item ran into.
type Scope string

// The bounds on the number of waiting items.
const (
	ScopeQueue   Scope = "queue"
	ScopeClass   Scope = "class"
	ScopeAccount Scope = "account"
)

// FullError reports that no room was left. The item did not enter the queue.
type FullError struct {
	Scope Scope
	// RetryAfter suggests when to ask again, jittered.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue: %s full, retry after %v", e.Scope, e.RetryAfter)
}

// DeadlineError reports that the item would wait beyond its deadline. The item
// did not enter the queue.
type DeadlineError struct {
	// PredictedWait is how long the item would have waited.
	PredictedWait time.Duration
	// RetryAfter suggests when to ask again, jittered.
	RetryAfter time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("queue: predicted wait %v exceeds the deadline, retry after %v",
		e.PredictedWait, e.RetryAfter)
}

// DuplicateError reports that an item with the same id is already waiting.
type DuplicateError struct {
	ID string
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("queue: item %q is already waiting", e.ID)
}
