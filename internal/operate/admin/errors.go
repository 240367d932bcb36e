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

// storeRetry is when to come back after the store could not be used.
const storeRetry = 2 * time.Second

// forbiddenError reports a change of what belongs to others.
type forbiddenError struct {
	operator string
	paths    []string
}

// Error implements error.
func (e *forbiddenError) Error() string {
	return fmt.Sprintf("admin: %s may not change %d of the changed paths", e.operator, len(e.paths))
}

// handleError writes err to the operator. It is the only place where errors
// become answers, so that each says whether the change took effect.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	f := translate(err)
	if c.Request().Method == http.MethodGet {
		// A read changes nothing, whatever failed.
		f.Ran = apierr.RanNo
	}
	h := c.Response().Header()
	f.RequestID = h.Get(wire.HeaderRequestID)
	httperr.SetHeaders(h, f.Ran, f.RetryAfter())
	if f.Status == http.StatusUnauthorized {
		h.Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	if f.Status >= http.StatusInternalServerError {
		s.Log.Warn("administration call failed", "code", f.Code, "ran", f.Ran, "request", f.RequestID, "cause", err)
	}
	if werr := c.JSON(f.Status, api.FailureReply{Error: f}); werr != nil {
		s.Log.Debug("refusal not delivered", "request", f.RequestID, "cause", werr)
	}
}

// translate sorts an error by what it proves. What may have taken effect
// comes first: such an error often wraps one that, by itself, proves the
// opposite.
func translate(err error) *api.Failure {
	var known *apierr.Error
	if errors.As(err, &known) {
		return api.NewFailure(known)
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

// translateChange handles the refusals that carry details.
func translateChange(err error) *api.Failure {
	var invalid *config.InvalidError
	var lost *config.ConflictError
	var changed *platform.ConflictError
	var forbidden *forbiddenError
	switch {
	case errors.As(err, &invalid):
		f := api.NewFailure(apierr.New(apierr.CodeInvalidConfig, http.StatusUnprocessableEntity, "the configuration was refused"))
		f.Problems = invalid.Problems
		return f
	case errors.As(err, &lost):
		f := api.NewFailure(conflict("another version is in force"))
		f.Conflict = &api.Conflict{
			Version: int64(lost.Version), Hash: lost.Hash.String(), Author: lost.Author, Expected: int64(lost.Expected),
		}
		return f
	case errors.As(err, &changed):
		f := api.NewFailure(conflict("somebody else changed it first; read it again"))
		f.Conflict = &api.Conflict{Version: changed.Current.Version}
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
		return apierr.New(apierr.CodeStoreDown, http.StatusServiceUnavailable, "the table service can't be used now").
			WithRetryAfter(storeRetry)
	}
	return nil
}

func conflict(message string) *apierr.Error {
	return apierr.New(apierr.CodeConflict, http.StatusConflict, message)
}

func outcomeUnknown(err error) *apierr.Error {
	return apierr.New(apierr.CodeOutcomeUnknown, http.StatusServiceUnavailable,
		"the change may or may not have taken effect; the same call again settles it").
		WithRan(apierr.RanUnknown).WithRetryAfter(storeRetry).WithCause(err)
}
