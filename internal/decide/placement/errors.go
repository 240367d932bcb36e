package placement

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("placement")

var (
	// ErrNoEngine means that no engine of the pool is in service. Waiting for running requests to
	// finish does not help.
	ErrNoEngine = Error.New("no engine of the pool is in service")
	// ErrFull means that engines are in service, but none can take the request now. The request may
	// be queued.
	ErrFull = Error.New("every engine of the pool is full")
)

// Excluded counts the engines that each filter excluded. Its field names appear in the text of
// RefusedError.
type Excluded struct {
	// Leaving counts draining engines. Leaving, Unloaded, Ejected and Unreported engines are not in
	// service.
	Leaving, Unloaded, Ejected, Unreported int
	// Full counts engines that have reached their batch limit.
	Full int
	// Bound counts engines whose load would exceed the pool's bound.
	Bound int
}

// RefusedError is returned when no engine may take a request. It wraps ErrNoEngine or ErrFull.
type RefusedError struct {
	Cause    error
	Excluded Excluded
}

// Error returns the cause and the number of engines that each filter excluded.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %+v", e.Cause, e.Excluded)
}

// Unwrap returns ErrNoEngine or ErrFull.
func (e *RefusedError) Unwrap() error {
	return e.Cause
}
