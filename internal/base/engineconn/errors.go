// Package engineconn sends requests to engines and plain services over its own
// connection pool, and reports for each failure whether the request may have been
// executed. It never resends a request by itself. It replaces net/http's Transport
// because that resends requests after some failures, which could execute a
// non-idempotent request twice.
package engineconn

import (
	"errors"
	"io"
	"syscall"

	"github.com/zeebo/errs"
)

// Errors of Pool.Send and of reading a response.
var (
	// ErrNotSent means that no byte of the request left the router.
	ErrNotSent = errs.Class("engine: not sent")
	// ErrWithdrawn means that Request.Withdrawn returned true. It is wrapped in ErrNotSent.
	ErrWithdrawn = errs.Class("engine: request withdrawn")
	// ErrNoResponse means that the request was sent, wholly or in part, and the
	// connection ended or its deadline passed before a response began.
	ErrNoResponse = errs.Class("engine: no answer")
	// ErrReused wraps ErrNoResponse and ErrMalformed if the connection had carried
	// another request before. The connection may have died while it was idle, and
	// the other idle connections to the engine may have died too.
	ErrReused = errs.Class("engine: on a reused connection")
	// ErrMalformed means that the received bytes are not a response to the
	// request.
	ErrMalformed = errs.Class("engine: malformed response")
	// ErrTooLong means that a part of a response exceeds its limit. It is wrapped in ErrMalformed.
	ErrTooLong = errs.Class("engine: too long")
	// ErrTruncated means that a response ended before it was complete.
	ErrTruncated = errs.Class("engine: answer cut short")
)

// IsCut reports whether an error of Send or of reading a response means that the other end closed the
// connection. A timeout does not: a peer that became unreachable may still be running.
func IsCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
