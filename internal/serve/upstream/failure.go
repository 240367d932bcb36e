package upstream

import (
	"errors"
	"fmt"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"github.com/zeebo/errs"
)

// Sent states what is known about the execution of a call. The values are
// ordered: a larger one means that the call may have progressed further.
type Sent int

// The values of Sent.
const (
	// NotSent means that no byte of the request was written.
	NotSent Sent = iota
	// RefusedBeforeExecuting means that the upstream stated that it executed
	// nothing, with the header X-Request-Ran: no.
	RefusedBeforeExecuting
	// SentNoReply means that the upstream may have executed the request: its
	// response is missing, incomplete, or an error that doesn't rule it out.
	SentNoReply
	// Replied means that a complete response arrived.
	Replied
)

// String returns the name of s in logs.
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

// NotExecuted reports whether s proves that the upstream executed nothing.
func (s Sent) NotExecuted() bool { return s == NotSent || s == RefusedBeforeExecuting }

// Classes of the causes that a Failure wraps. Class.Has tests for them.
var (
	// ErrCall means that the request could not be built, because of an invalid
	// address, method, path, header or request id.
	ErrCall = errs.Class("upstream call")
	// ErrDial means that no connection could be opened.
	ErrDial = errs.Class("upstream dial")
	// ErrTransport means that the connection broke before the response headers.
	ErrTransport = errs.Class("upstream transport")
	// ErrTimeout means that a timeout or the caller's deadline passed.
	ErrTimeout = errs.Class("upstream timeout")
	// ErrIdle means that no event of a stream arrived within FirstChunk or IdleGap.
	ErrIdle = errs.Class("upstream stream idle")
	// ErrIncomplete means that a response or stream ended before its end marker,
	// or that a body has neither a length nor chunked framing.
	ErrIncomplete = errs.Class("upstream reply incomplete")
	// ErrMismatch means that a response belongs to another request.
	ErrMismatch = errs.Class("upstream reply of another request")
	// ErrOffset means that the chunks of a stream are not consecutive.
	ErrOffset = errs.Class("upstream chunk offset")
	// ErrMalformed means that a response violates the protocol.
	ErrMalformed = errs.Class("upstream reply malformed")
	// ErrTooLarge means that a line, event or body exceeds its limit.
	ErrTooLarge = errs.Class("upstream reply too large")
	// ErrIdentity means that another upstream or incarnation than the expected one
	// runs at the address.
	ErrIdentity = errs.Class("upstream identity")
	// ErrRefused means that the upstream responded with an error status.
	ErrRefused = errs.Class("upstream refused")
	// ErrCanceled means that the caller canceled the call.
	ErrCanceled = errs.Class("upstream call canceled")
)

// Failure is the error type that all calls of this package return.
type Failure struct {
	// Op names the operation, such as "stream" or "cancel".
	Op string
	// Sent states what is known about the execution.
	Sent Sent
	// Status is the HTTP status, or 0 if no response arrived.
	Status int
	// Code is the reason in the upstream's response, or empty.
	Code protocol.Code
	// RetryAfter is the value of the Retry-After header of a refusal by the upstream that was meant,
	// or empty.
	RetryAfter string
	// Cause is of one of the classes above.
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s, status %d): %v", f.Op, f.Sent, f.Status, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// SentOf returns what err states about the execution. An error that is not a
// *Failure proves nothing, so it counts as SentNoReply.
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
