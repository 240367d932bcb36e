package traffic

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/apierr"
	"damaskrouter.example/damaskrouter/internal/wire"
	"github.com/labstack/echo/v4"
)

// errorBody is the JSON shape of every refusal.
type errorBody struct {
	Error *apierr.Error `json:"error"`
}

// handleError writes err to the caller. It is the only place where errors
// become answers, so that each says whether the request ran.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := *translate(err)
	e.RequestID = c.Response().Header().Get(wire.HeaderRequestID)
	h := c.Response().Header()
	h.Set(wire.HeaderRan, string(e.Ran))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	s.metrics.refused(e.Code)
	if e.Status >= http.StatusInternalServerError && e.Unwrap() != nil {
		s.log.Warn("request failed", "code", e.Code, "ran", e.Ran, "request", e.RequestID, "cause", e.Unwrap())
	}
	if werr := c.JSON(e.Status, errorBody{Error: &e}); werr != nil {
		s.log.Debug("refusal not delivered", "request", e.RequestID, "cause", werr)
	}
}

// translate turns echo's own errors, which arise before any handler ran, into
// typed ones.
func translate(err error) *apierr.Error {
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
		return apierr.New(apierr.CodeTooLarge, he.Code, "body too large")
	}
	if he.Code < http.StatusInternalServerError {
		return apierr.New(apierr.CodeBadRequest, he.Code, "malformed request")
	}
	return apierr.From(err)
}

func badRequest(message string) *apierr.Error {
	return apierr.New(apierr.CodeBadRequest, http.StatusBadRequest, message)
}

// notReady is the refusal of a router that has no configuration yet.
func notReady() *apierr.Error {
	return apierr.New(apierr.CodeNotReady, http.StatusServiceUnavailable, "no configuration in force yet").
		WithRetryAfter(time.Second)
}
