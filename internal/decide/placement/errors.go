package placement

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("placement")

var (
	// ErrNoEngine means that no engine of the pool is in service. Waiting for
	// running requests to finish won't help.
	ErrNoEngine = Error.New("no engine of the pool is in service")
	// ErrFull means that engines are in service but none has room now. The
	// request may be queued.
	ErrFull = Error.New("every engine of the pool is full")
)

// Removed counts the engines that each filter took out.
type Removed struct {
	// Leaving, Unloaded, Ejected and Unreported engines aren't in service.
	Leaving, Unloaded, Ejected, Unreported int
	// Full engines have reached their batch limit.
	Full int
	// Bound counts engines whose load would go beyond the pool's bound.
	Bound int
}

// RefusedError says that a request can't be placed and which filters took the
// engines out. It wraps ErrNoEngine or ErrFull.
type RefusedError struct {
	Cause   error
	Removed Removed
}

// Error describes the refusal and its counts.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: %+v", e.Cause, e.Removed)
}

// Unwrap returns ErrNoEngine or ErrFull.
func (e *RefusedError) Unwrap() error {
	return e.Cause
}
