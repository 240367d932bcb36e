package traffic

import (
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
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
	e := *httperr.From(err)
	e.RequestID = c.Response().Header().Get(wire.HeaderRequestID)
	httperr.SetHeaders(c.Response().Header(), e.Ran, e.RetryAfter)
	s.metrics.refused(e.Code)
	if e.Status >= http.StatusInternalServerError && e.Unwrap() != nil {
		s.log.Warn("request failed", "code", e.Code, "ran", e.Ran, "request", e.RequestID, "cause", e.Unwrap())
	}
	if werr := c.JSON(e.Status, errorBody{Error: &e}); werr != nil {
		s.log.Debug("refusal not delivered", "request", e.RequestID, "cause", werr)
	}
}

// notReady is the refusal of a router that has no configuration yet.
func notReady() *apierr.Error {
	return apierr.New(apierr.CodeNotReady, http.StatusServiceUnavailable, "no configuration in force yet").
		WithRetryAfter(time.Second)
}
