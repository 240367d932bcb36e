package traffic

import (
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
)

// errorBody is the JSON body of every refusal.
type errorBody struct {
	Error *apierr.Error `json:"error"`
}

// handleError writes err to the caller. It is the only place where errors
// become responses, so that each one states whether the request was executed.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := *httperr.From(err)
	e.RequestID = c.Response().Header().Get(wire.HeaderRequestID)
	httperr.SetHeaders(c.Response().Header(), e.Ran, e.RetryAfter)
	s.metrics.countRefusal(e.Code)
	if e.Status >= http.StatusInternalServerError && e.Unwrap() != nil {
		s.log.Warn("request failed", "code", e.Code, "ran", e.Ran, "request", e.RequestID, "cause", e.Unwrap())
	}
	if writeErr := c.JSON(e.Status, errorBody{Error: &e}); writeErr != nil {
		s.log.Debug("refusal not delivered", "request", e.RequestID, "cause", writeErr)
	}
}

// notReadyError returns the refusal of a router that has no configuration yet.
func notReadyError() *apierr.Error {
	return apierr.New(apierr.CodeNotReady, http.StatusServiceUnavailable, "no configuration in force yet").
		WithRetryAfter(time.Second)
}
