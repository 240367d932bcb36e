package api

import (
	"fmt"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// Failure is the error of a request: the fields of apierr.Error and details that
// an operator needs to correct the request.
type Failure struct {
	Code    apierr.Code `json:"code"`
	Message string      `json:"message"`
	// Ran states whether the change took effect or may take effect.
	Ran          apierr.Ran `json:"ran"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	RequestID    string     `json:"request_id,omitempty"`
	// Problems are the problems of a rejected configuration.
	Problems []config.Problem `json:"problems,omitempty"`
	// Conflict describes the version that was accepted first.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Paths are the changed paths that the operator may not change.
	Paths []string `json:"paths,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`

	cause error
}

// Conflict describes the active version that conflicts with a rejected change.
type Conflict struct {
	Version int64  `json:"version"`
	Hash    string `json:"hash,omitempty"`
	Author  string `json:"author,omitempty"`
	// Expected is the version on which the rejected change was based.
	Expected int64 `json:"expected"`
}

// FailureReply is the body of an error response.
type FailureReply struct {
	Error *Failure `json:"error"`
}

// NewFailure returns a Failure with the fields and the cause of e.
func NewFailure(e *apierr.Error) *Failure {
	return &Failure{
		Code:         e.Code,
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMS: e.RetryAfterMS,
		RequestID:    e.RequestID,
		Status:       e.Status,
		cause:        e.Unwrap(),
	}
}

// RetryAfter returns how long to wait before a retry. 0 means that a retry is
// useless or needs no delay.
func (f *Failure) RetryAfter() time.Duration { return time.Duration(f.RetryAfterMS) * time.Millisecond }

// Unwrap returns the internal cause, which is not sent to the client.
func (f *Failure) Unwrap() error { return f.cause }

// Error implements error. The text has one line for each detail.
func (f *Failure) Error() string {
	lines := []string{fmt.Sprintf("%s: %s (took effect: %s)", f.Code, f.Message, f.Ran)}
	if f.Conflict != nil {
		lines = append(lines, f.Conflict.String())
	}
	for _, p := range f.Problems {
		lines = append(lines, p.String())
	}
	for _, p := range f.Paths {
		lines = append(lines, "not yours to change: "+p)
	}
	return strings.Join(lines, "\n")
}

// String describes the conflict for display in a terminal.
func (c *Conflict) String() string {
	s := fmt.Sprintf("made from version %d, but version %d", c.Expected, c.Version)
	if c.Author != "" {
		s += " by " + c.Author
	}
	if c.Hash != "" {
		s += " (" + c.Hash + ")"
	}
	return s + " is in force"
}
