// Package engineconn sends requests to engines and plain services over
// connections of its own, and says of each failure whether the request may have
// executed. It never sends a request a second time by itself: net/http's
// Transport does so after some failures, which would execute a non-idempotent
// request twice.
package engineconn

import "github.com/zeebo/errs"

// Errors of Pool.Send and of reading an answer.
var (
	// ErrNotSent means that no byte of the request left the router.
	ErrNotSent = errs.Class("engine: not sent")
	// ErrNoAnswer means that the request was sent, wholly or in part, and the
	// connection ended or its deadline passed before an answer began.
	ErrNoAnswer = errs.Class("engine: no answer")
	// ErrReused is around ErrNoAnswer and ErrMalformed where the connection had carried
	// another request before: it may have gone silent since, and others with it.
	ErrReused = errs.Class("engine: on a connection used before")
	// ErrMalformed means that what came back is not an answer to the request.
	ErrMalformed = errs.Class("engine: malformed answer")
	// ErrCut means that an answer ended before it was complete.
	ErrCut = errs.Class("engine: answer cut short")
)
