package api

import (
	"fmt"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// Failure is the error of every call: what apierr.Error says, and what an
// operator needs to go on.
type Failure struct {
	Code    apierr.Code `json:"code"`
	Message string      `json:"message"`
	// Ran says whether the change took effect, or still may.
	Ran          apierr.Ran `json:"ran"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	RequestID    string     `json:"request_id,omitempty"`
	// Problems are the faults of a configuration that was refused.
	Problems []config.Problem `json:"problems,omitempty"`
	// Conflict is the version that won.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Paths are those that the operator may not change.
	Paths []string `json:"paths,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`

	cause error
}

// Conflict describes what is in force instead of a refused change.
type Conflict struct {
	Version int64  `json:"version"`
	Hash    string `json:"hash,omitempty"`
	Author  string `json:"author,omitempty"`
	// Expected is the version that the refused change was made from.
	Expected int64 `json:"expected"`
}

// FailureReply is the body of every refusal.
type FailureReply struct {
	Error *Failure `json:"error"`
}

// NewFailure returns the failure that e describes.
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

// RetryAfter is how long to wait before asking again; 0 means that asking
// again is pointless or needs no wait.
func (f *Failure) RetryAfter() time.Duration { return time.Duration(f.RetryAfterMS) * time.Millisecond }

// Unwrap returns the internal cause, which is never sent.
func (f *Failure) Unwrap() error { return f.cause }

// Error implements error, in as many lines as an operator needs.
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

// String names the winner for a terminal.
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
