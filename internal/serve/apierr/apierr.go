// Package apierr defines the errors that the router returns to callers and
// operators. Each one states the cause, whether the request was executed, and when
// the caller may retry.
//
// Internal packages return their own typed errors. The HTTP layers translate
// them into an *Error exactly once, at the boundary.
package apierr

import (
	"errors"
	"net/http"
	"time"
)

// Ran states what is known about the execution of a refused request.
type Ran string

const (
	// RanNo guarantees that no upstream executed any part of the request.
	RanNo Ran = "no"
	// RanUnknown means that an upstream may have executed the request.
	RanUnknown Ran = "unknown"
	// RanYes means that the request was executed, fully or in part.
	RanYes Ran = "yes"
)

// Code identifies an error for programs. The table in docs/API.md lists all
// codes.
type Code string

// Codes that callers and operators can receive.
const (
	CodeBadRequest          Code = "bad_request"
	CodeTooLarge            Code = "too_large"
	CodeUnauthorized        Code = "unauthorized"
	CodeForbidden           Code = "forbidden"
	CodeNotFound            Code = "not_found"
	CodeMethodNotAllowed    Code = "method_not_allowed"
	CodeUnknownModel        Code = "unknown_model"
	CodeBadHint             Code = "bad_hint"
	CodeBadToken            Code = "bad_token"
	CodeRateLimited         Code = "rate_limited"
	CodeConcurrencyLimited  Code = "concurrency_limited"
	CodeQueueFull           Code = "queue_full"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeNoUpstream          Code = "no_upstream"
	CodeNotReady            Code = "not_ready"
	CodeDraining            Code = "leaving"
	CodeStoreUnavailable    Code = "store_unavailable"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeKeyReused           Code = "idempotency_key_reused"
	CodeKeyMissing          Code = "idempotency_key_missing"
	CodeInProgress          Code = "in_progress"
	CodeUpstreamFailed      Code = "upstream_failed"
	CodeUpstreamRefused     Code = "upstream_refused"
	CodeIncomplete          Code = "incomplete_answer"
	CodeQuarantined         Code = "request_quarantined"
	CodePartQuarantined     Code = "prompt_part_quarantined"
	CodeHeld                Code = "request_held"
	CodeConflict            Code = "conflict"
	CodeInvalidConfig       Code = "invalid_config"
	CodeInternal            Code = "internal"
)

// Error is the error that callers and operators receive as JSON.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Ran states whether the request was executed.
	Ran Ran `json:"ran"`
	// RetryAfter is how long the caller should wait before it retries. Zero
	// means that a retry is pointless or needs no wait.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMS is RetryAfter in milliseconds, for the JSON body.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
	// RequestID is the id of the refused request.
	RequestID string `json:"request_id,omitempty"`

	cause error
}

// New returns an Error that guarantees that nothing was executed.
func New(code Code, status int, message string) *Error {
	return &Error{Code: code, Status: status, Message: message, Ran: RanNo}
}

// Error returns the code, the message and the cause, for logs.
func (e *Error) Error() string {
	text := string(e.Code) + ": " + e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the internal cause, which is never shown to a caller.
func (e *Error) Unwrap() error { return e.cause }

// WithCause returns a copy of e that wraps cause for the logs.
func (e *Error) WithCause(cause error) *Error {
	copied := *e
	copied.cause = cause
	return &copied
}

// WithRan returns a copy of e with r as its statement about execution.
func (e *Error) WithRan(r Ran) *Error {
	copied := *e
	copied.Ran = r
	return &copied
}

// WithRetryAfter returns a copy of e with d as the time after which the caller
// may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	copied.RetryAfterMS = d.Milliseconds()
	return &copied
}

// From returns the *Error in err's chain. Any other error becomes an internal
// error with RanUnknown, because an unforeseen failure must never be reported
// as "not executed".
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(CodeInternal, http.StatusInternalServerError, "internal error").
		WithRan(RanUnknown).WithCause(err)
}
