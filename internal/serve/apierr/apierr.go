// Package apierr defines the errors that leave the router: each one says what
// went wrong, whether the request ran, and when the caller may come back.
//
// Internal packages return their own typed errors; the HTTP layers translate
// them into an *Error exactly once, at the edge.
package apierr

import (
	"errors"
	"net/http"
	"time"
)

// Ran states what the system knows about the execution of a refused request.
type Ran string

const (
	// RanNo is a promise: no upstream executed any part of the request.
	RanNo Ran = "no"
	// RanUnknown means that an upstream may have executed the request.
	RanUnknown Ran = "unknown"
	// RanYes means that the request executed, wholly or in part.
	RanYes Ran = "yes"
)

// Code names an error for programs. The table in docs/API.md lists them all.
type Code string

// The codes that callers can receive.
const (
	CodeBadRequest      Code = "bad_request"
	CodeTooLarge        Code = "too_large"
	CodeUnauthorized    Code = "unauthorized"
	CodeForbidden       Code = "forbidden"
	CodeNotFound        Code = "not_found"
	CodeMethod          Code = "method_not_allowed"
	CodeUnknownModel    Code = "unknown_model"
	CodeBadHint         Code = "bad_hint"
	CodeBadToken        Code = "bad_token"
	CodeRateLimited     Code = "rate_limited"
	CodeConcurrency     Code = "concurrency_limited"
	CodeQueueFull       Code = "queue_full"
	CodeDeadline        Code = "deadline_unreachable"
	CodeNoUpstream      Code = "no_upstream"
	CodeNotReady        Code = "not_ready"
	CodeLeaving         Code = "leaving"
	CodeStoreDown       Code = "store_unavailable"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeKeyMissing      Code = "idempotency_key_missing"
	CodeInProgress      Code = "in_progress"
	CodeUpstreamFailed  Code = "upstream_failed"
	CodeUpstreamRefused Code = "upstream_refused"
	CodeIncomplete      Code = "incomplete_answer"
	CodeConflict        Code = "conflict"
	CodeInvalidConfig   Code = "invalid_config"
	CodeInternal        Code = "internal"
)

// Error is the one error shape that callers and operators see.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Ran says whether the request executed.
	Ran Ran `json:"ran"`
	// RetryAfter is how long the caller should wait before it asks again;
	// zero means that asking again is pointless or needs no wait.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMS is RetryAfter in milliseconds, for the JSON body.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
	// RequestID repeats the id of the refused request.
	RequestID string `json:"request_id,omitempty"`

	cause error
}

// New returns an Error that promises that nothing ran.
func New(code Code, status int, message string) *Error {
	return &Error{Code: code, Status: status, Message: message, Ran: RanNo}
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Code) + ": " + e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the internal cause, which is never shown to a caller.
func (e *Error) Unwrap() error { return e.cause }

// WithCause returns a copy that wraps cause for the logs.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.cause = cause
	return &c
}

// WithRan returns a copy with another statement about execution.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// From finds the *Error in err's chain. Anything else becomes an internal
// error whose outcome is unknown: an unforeseen failure must never be reported
// as "did not run".
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(CodeInternal, http.StatusInternalServerError, "internal error").
		WithRan(RanUnknown).WithCause(err)
}
