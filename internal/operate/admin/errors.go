package admin

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/labstack/echo/v4"
)

// storeRetryAfter is the Retry-After of errors that the store caused.
const storeRetryAfter = 2 * time.Second

// forbiddenError reports a change of paths that the operator may not change.
type forbiddenError struct {
	operator string
	paths    []string
}

// Error implements error.
func (e *forbiddenError) Error() string {
	return fmt.Sprintf("admin: %s may not change %d of the changed paths", e.operator, len(e.paths))
}

// handleError writes the error response of err. All errors are converted here, so
// that every response states whether the change took effect.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	f := translate(err)
	if c.Request().Method == http.MethodGet {
		// A GET request changes nothing.
		f.Ran = apierr.RanNo
	}
	h := c.Response().Header()
	f.RequestID = h.Get(wire.HeaderRequestID)
	httperr.SetHeaders(h, f.Ran, f.RetryAfter())
	if f.Status == http.StatusUnauthorized {
		h.Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	if f.Status >= http.StatusInternalServerError {
		s.Log.Warn("admin API request failed", "code", f.Code, "ran", f.Ran, "request", f.RequestID, "cause", err)
	}
	if writeErr := c.JSON(f.Status, api.FailureReply{Error: f}); writeErr != nil {
		s.Log.Debug("cannot write the error response", "request", f.RequestID, "cause", writeErr)
	}
}

// translate converts an error to a Failure. Errors of changes that may have taken
// effect are checked first, since they often wrap an error that on its own would
// mean that the change did not take effect.
func translate(err error) *api.Failure {
	var apiErr *apierr.Error
	if errors.As(err, &apiErr) {
		return api.NewFailure(apiErr)
	}
	var unknown *config.OutcomeUnknownError
	if errors.As(err, &unknown) || platform.ErrOutcomeUnknown.Has(err) {
		return api.NewFailure(outcomeUnknown(err))
	}
	if f := translateChange(err); f != nil {
		return f
	}
	if e := translateAccess(err); e != nil {
		return api.NewFailure(e.WithCause(err))
	}
	if e := translateStore(err); e != nil {
		return api.NewFailure(e.WithCause(err))
	}
	return api.NewFailure(httperr.From(err))
}

// translateChange converts the errors that have details.
func translateChange(err error) *api.Failure {
	var invalid *config.InvalidError
	var versionConflict *config.ConflictError
	var rowConflict *platform.ConflictError
	var forbidden *forbiddenError
	switch {
	case errors.As(err, &invalid):
		f := api.NewFailure(apierr.New(apierr.CodeInvalidConfig, http.StatusUnprocessableEntity, "the configuration was refused"))
		f.Problems = invalid.Problems
		return f
	case errors.As(err, &versionConflict):
		f := api.NewFailure(conflict("another version is in force"))
		f.Conflict = &api.Conflict{
			Version: int64(versionConflict.Version), Hash: versionConflict.Hash.String(), Author: versionConflict.Author, Expected: int64(versionConflict.Expected),
		}
		return f
	case errors.As(err, &rowConflict):
		f := api.NewFailure(conflict("somebody else changed it first; read it again"))
		f.Conflict = &api.Conflict{Version: rowConflict.Current.Version}
		return f
	case errors.As(err, &forbidden):
		f := api.NewFailure(apierr.New(apierr.CodeForbidden, http.StatusForbidden, "the change reaches beyond your teams"))
		f.Paths = forbidden.paths
		return f
	}
	return nil
}

func translateAccess(err error) *apierr.Error {
	var denied *access.DeniedError
	switch {
	case access.ErrUnauthenticated.Has(err):
		return apierr.New(apierr.CodeUnauthorized, http.StatusUnauthorized, "missing, unknown, expired or revoked operator token")
	case errors.As(err, &denied):
		return apierr.New(apierr.CodeForbidden, http.StatusForbidden, denied.Error())
	case access.ErrOperator.Has(err):
		return httperr.BadRequest(err.Error())
	}
	return nil
}

func translateStore(err error) *apierr.Error {
	var reused *config.ChangeIDReusedError
	var verdict *claim.BadVerdictError
	switch {
	case errors.As(err, &reused):
		return apierr.New(apierr.CodeKeyReused, http.StatusUnprocessableEntity, reused.Error())
	case errors.As(err, &verdict):
		return conflict(verdict.Error())
	case config.ErrBadChange.Has(err), claim.ErrBadKey.Has(err), audit.ErrCursor.Has(err), platform.ErrInvalid.Has(err):
		return httperr.BadRequest(err.Error())
	case config.ErrNoVersion.Has(err):
		return apierr.New(apierr.CodeNotFound, http.StatusNotFound, "no such version")
	case platform.ErrNotFound.Has(err):
		return apierr.New(apierr.CodeNotFound, http.StatusNotFound, "nothing is stored under that name")
	case platform.ErrUnavailable.Has(err), platform.ErrBudget.Has(err), audit.ErrContended.Has(err):
		return apierr.New(apierr.CodeStoreUnavailable, http.StatusServiceUnavailable, "the table service can't be used now").
			WithRetryAfter(storeRetryAfter)
	}
	return nil
}

func conflict(message string) *apierr.Error {
	return apierr.New(apierr.CodeConflict, http.StatusConflict, message)
}

func outcomeUnknown(err error) *apierr.Error {
	return apierr.New(apierr.CodeOutcomeUnknown, http.StatusServiceUnavailable,
		"the change may or may not have taken effect; the same call again settles it").
		WithRan(apierr.RanUnknown).WithRetryAfter(storeRetryAfter).WithCause(err)
}
