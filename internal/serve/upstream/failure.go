package upstream

import (
	"errors"
	"fmt"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"github.com/zeebo/errs"
)

// Sent states what is known about the execution of a call. The order matters:
// a larger value means that more may have happened.
type Sent int

// What is known after a call.
const (
	// NotSent means that no byte of the request was written.
	NotSent Sent = iota
	// RefusedBeforeExecuting means that the upstream stated, by the header
	// X-Request-Ran: no, that it executed nothing.
	RefusedBeforeExecuting
	// SentNoReply means that the upstream may have executed the request; its
	// reply is missing, incomplete, or an error that proves nothing.
	SentNoReply
	// Replied means that a whole reply arrived.
	Replied
)

// String returns the name used in logs.
func (s Sent) String() string {
	switch s {
	case NotSent:
		return "not_sent"
	case RefusedBeforeExecuting:
		return "refused_before_executing"
	case Replied:
		return "replied"
	default:
		return "sent_no_reply"
	}
}

// DidNotRun reports whether s proves that the upstream executed nothing.
func (s Sent) DidNotRun() bool { return s == NotSent || s == RefusedBeforeExecuting }

// Classes of the causes that a Failure wraps; test with Class.Has.
var (
	// ErrCall is a call that could not be built: bad address, path or header.
	ErrCall = errs.Class("upstream call")
	// ErrDial is a connection that could not be opened.
	ErrDial = errs.Class("upstream dial")
	// ErrTransport is a connection that broke before the reply's headers.
	ErrTransport = errs.Class("upstream transport")
	// ErrTimeout is a deadline that passed before the reply's headers.
	ErrTimeout = errs.Class("upstream timeout")
	// ErrIdle is a stream that stayed silent for longer than its idle gap.
	ErrIdle = errs.Class("upstream stream idle")
	// ErrIncomplete is a reply or stream that ended before its end marker.
	ErrIncomplete = errs.Class("upstream reply incomplete")
	// ErrMismatch is a reply that belongs to another request.
	ErrMismatch = errs.Class("upstream reply of another request")
	// ErrOffset is a stream whose chunks are not consecutive.
	ErrOffset = errs.Class("upstream chunk offset")
	// ErrMalformed is a reply that breaks the protocol's syntax.
	ErrMalformed = errs.Class("upstream reply malformed")
	// ErrTooLarge is a line, event or body beyond its bound.
	ErrTooLarge = errs.Class("upstream reply too large")
	// ErrIdentity is an upstream other than the one expected at the address.
	ErrIdentity = errs.Class("upstream identity")
	// ErrRefused is a status of 400 or above.
	ErrRefused = errs.Class("upstream refused")
	// ErrCanceled is a call that its caller gave up.
	ErrCanceled = errs.Class("upstream call canceled")
)

// Failure is the one error type of this package.
type Failure struct {
	// Op names the operation, such as "stream" or "order".
	Op string
	// Sent is what is known about execution.
	Sent Sent
	// Status is the HTTP status, or 0 where no reply arrived.
	Status int
	// Code is the reason the upstream gave, or empty.
	Code protocol.Code
	// Cause belongs to one of the classes above.
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s, status %d): %v", f.Op, f.Sent, f.Status, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// SentOf returns what err proves about execution. An error of unknown origin
// proves nothing, so it counts as SentNoReply.
func SentOf(err error) Sent {
	if err == nil {
		return Replied
	}
	var f *Failure
	if errors.As(err, &f) {
		return f.Sent
	}
	return SentNoReply
}
