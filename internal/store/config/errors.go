package config

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Errors of the configuration.
var (
	// ErrCorrupt means that stored or received data does not match its hash
	// or cannot be decoded.
	ErrCorrupt = errs.Class("config: corrupt")
	// ErrUnknownSite means that the configuration does not name the site.
	ErrUnknownSite = errs.Class("config: unknown site")
	// ErrBadChange means that a change has no valid id, has no author, or is
	// too large.
	ErrBadChange = errs.Class("config: bad change")
	// ErrNoVersion means that the chain has no such version.
	ErrNoVersion = errs.Class("config: no such version")
	// ErrNoRoute means that there is no such service, or that it does not allow
	// the path.
	ErrNoRoute = errs.Class("config: no route")
	// ErrMethodNotAllowed means that the service allows the path only with another
	// method.
	ErrMethodNotAllowed = errs.Class("config: method not allowed")
	// ErrBadPath means that a path is malformed or ambiguous.
	ErrBadPath = errs.Class("config: bad path")
)

// ConflictError reports that another change was accepted first.
type ConflictError struct {
	// Version, Hash and Author are those of the active version.
	Version uint64
	Hash    Hash
	Author  string
	// Expected is the version that the rejected change was based on.
	Expected uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: change is based on version %d, but version %d by %s is active",
		e.Expected, e.Version, e.Author)
}

// InvalidError reports a change that was rejected before anything was written.
type InvalidError struct {
	Problems Problems
}

// Error implements error.
func (e *InvalidError) Error() string { return "config: invalid:\n" + e.Problems.Error() }

// OutcomeUnknownError reports that a change may or may not have been accepted. A
// retry with the same change id resolves it.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("config: outcome of change %s unknown: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the last error of the table service.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ChangeIDReusedError reports a change id that was accepted with other content.
type ChangeIDReusedError struct {
	ChangeID string
	// Version is the version that the id was accepted as.
	Version uint64
}

// Error implements error.
func (e *ChangeIDReusedError) Error() string {
	return fmt.Sprintf("config: change id %s was used for version %d with other content", e.ChangeID, e.Version)
}

// ForkError reports two different contents for one version. The chain accepts
// only one content for each version, so one of the two did not come from the
// chain.
type ForkError struct {
	Version uint64
	// InForce is the hash of the active content, Offered that of the other.
	InForce, Offered Hash
}

// Error implements error.
func (e *ForkError) Error() string {
	return fmt.Sprintf("config: version %d is active with hash %s but was offered with hash %s",
		e.Version, e.InForce, e.Offered)
}

// RejectedError reports an offered version that was not activated.
type RejectedError struct {
	Version uint64
	Hash    Hash
	Cause   error
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("config: version %d rejected: %v", e.Version, e.Cause)
}

// Unwrap returns the cause of the rejection.
func (e *RejectedError) Unwrap() error { return e.Cause }
