// Package httperr holds what the callers' interface and the administration API
// have in common when they refuse a request over HTTP.
package httperr

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
)

// From returns the *apierr.Error in err's chain. It turns echo's own errors,
// which arise before any handler ran, into typed ones that say "did not run".
// Anything else is an internal error whose outcome is unknown.
func From(err error) *apierr.Error {
	var he *echo.HTTPError
	if !errors.As(err, &he) {
		return apierr.From(err)
	}
	switch he.Code {
	case http.StatusNotFound:
		return apierr.New(apierr.CodeNotFound, he.Code, "no such path")
	case http.StatusMethodNotAllowed:
		return apierr.New(apierr.CodeMethod, he.Code, "method not allowed here")
	case http.StatusRequestEntityTooLarge:
		return TooLarge()
	}
	if he.Code < http.StatusInternalServerError {
		return apierr.New(apierr.CodeBadRequest, he.Code, "malformed request")
	}
	return apierr.From(err)
}

// BadRequest refuses a request that its sender must mend.
func BadRequest(message string) *apierr.Error {
	return apierr.New(apierr.CodeBadRequest, http.StatusBadRequest, message)
}

// TooLarge refuses a body beyond its bound.
func TooLarge() *apierr.Error {
	return apierr.New(apierr.CodeTooLarge, http.StatusRequestEntityTooLarge, "body too large")
}

// SetHeaders sets the headers of a refusal: what is known of execution and,
// unless retryAfter is zero, when to come back. Retry-After counts in whole
// seconds; rounded down, it would send callers back too early.
func SetHeaders(h http.Header, ran apierr.Ran, retryAfter time.Duration) {
	h.Set(wire.HeaderRan, string(ran))
	if retryAfter > 0 {
		h.Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}
