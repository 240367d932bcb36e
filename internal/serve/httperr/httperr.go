// Package httperr contains the error conversion and the headers of refusals
// that the traffic API and the administration API share.
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

// From returns the *apierr.Error in err's chain. Errors of echo that arise
// before a handler runs become typed ones that state that the request was not
// executed. Any other error becomes an internal error with unknown execution.
func From(err error) *apierr.Error {
	var httpErr *echo.HTTPError
	if !errors.As(err, &httpErr) {
		return apierr.From(err)
	}
	switch httpErr.Code {
	case http.StatusNotFound:
		return apierr.New(apierr.CodeNotFound, httpErr.Code, "no such path")
	case http.StatusMethodNotAllowed:
		return apierr.New(apierr.CodeMethodNotAllowed, httpErr.Code, "method not allowed here")
	case http.StatusRequestEntityTooLarge:
		return TooLarge()
	}
	if httpErr.Code < http.StatusInternalServerError {
		return apierr.New(apierr.CodeBadRequest, httpErr.Code, "malformed request")
	}
	return apierr.From(err)
}

// BadRequest returns the refusal of a request that its sender must correct.
func BadRequest(message string) *apierr.Error {
	return apierr.New(apierr.CodeBadRequest, http.StatusBadRequest, message)
}

// TooLarge returns the refusal of a body beyond its limit.
func TooLarge() *apierr.Error {
	return apierr.New(apierr.CodeTooLarge, http.StatusRequestEntityTooLarge, "body too large")
}

// SetHeaders sets the headers of a refusal: whether the request was executed
// and, unless retryAfter is zero, when to retry. Retry-After counts whole
// seconds and is rounded up, because rounded down it would make callers retry
// too early.
func SetHeaders(h http.Header, ran apierr.Ran, retryAfter time.Duration) {
	h.Set(wire.HeaderRan, string(ran))
	if retryAfter > 0 {
		h.Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}
