package claim

import (
	"fmt"

	"github.com/zeebo/errs"
)

var (
	// ErrBadKey is returned for an empty account or idempotency key.
	ErrBadKey = errs.Class("claim: bad key")
	// ErrOutcomeUnknown means that another request with the same key was
	// claimed and may have run, or may still run.
	ErrOutcomeUnknown = errs.Class("claim: outcome unknown")
	// ErrKeyReused means that the key belongs to a request with another body.
	ErrKeyReused = errs.Class("claim: idempotency key reused")
	// ErrAnswerLost means that the request ran, and its answer can't be shown
	// again: it was not kept, or the object store does not return it.
	ErrAnswerLost = errs.Class("claim: answer not available")
	// ErrSuperseded means that the row no longer belongs to this claim, or
	// that its state permits no such change.
	ErrSuperseded = errs.Class("claim: superseded")
	// ErrNotRecorded means that a change of state may not have been stored.
	// Calling again is safe.
	ErrNotRecorded = errs.Class("claim: not recorded")
	// ErrCorrupt is returned for a row that can't be decoded.
	ErrCorrupt = errs.Class("claim: corrupt row")
)

// NotRunError refuses a request of which nothing was sent. It speaks of this
// request only: an earlier one with the same key is not known to be unrun, so
// the caller should come back with the same key, never with a fresh one.
type NotRunError struct {
	// RowMayExist says that a claim may have been left behind. It blocks the
	// key until this router or an operator releases it.
	RowMayExist bool
	// Cause is the store's last error.
	Cause error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("claim: not run (row may exist: %t): %v", e.RowMayExist, e.Cause)
}

// Unwrap returns the store's error.
func (e *NotRunError) Unwrap() error { return e.Cause }
