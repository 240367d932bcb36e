package claim

import (
	"fmt"

	"github.com/zeebo/errs"
)

var (
	// ErrBadKey means that the account or the idempotency key is empty.
	ErrBadKey = errs.Class("claim: bad key")
	// ErrOutcomeUnknown means that another request with the same key was
	// claimed and may have been executed, or may still be.
	ErrOutcomeUnknown = errs.Class("claim: outcome unknown")
	// ErrKeyReused means that the key belongs to a request with another body.
	ErrKeyReused = errs.Class("claim: idempotency key reused")
	// ErrResponseLost means that the request was executed, but its response is
	// not available: it was not stored, or the object store doesn't return it.
	ErrResponseLost = errs.Class("claim: answer not available")
	// ErrSuperseded means that the row no longer belongs to this claim, or
	// that its state doesn't allow the change.
	ErrSuperseded = errs.Class("claim: superseded")
	// ErrNotRecorded means that a change of state may not have been stored.
	// The call may be repeated.
	ErrNotRecorded = errs.Class("claim: not recorded")
	// ErrCorrupt means that a row can't be decoded.
	ErrCorrupt = errs.Class("claim: corrupt row")
)

// NotExecutedError is the refusal of a request that was not executed, since no part of it was sent.
// Earlier requests with the same key may have been executed, so the caller should retry with the
// same key, never with a new one.
type NotExecutedError struct {
	// RowMayExist reports that a claim row may remain. The row blocks the key
	// until this router or an operator releases it.
	RowMayExist bool
	// Cause is the last error of the store.
	Cause error
}

// Error implements error.
func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("claim: not run (row may exist: %t): %v", e.RowMayExist, e.Cause)
}

// Unwrap returns the cause.
func (e *NotExecutedError) Unwrap() error { return e.Cause }
