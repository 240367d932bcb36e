package httperr

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"
)

// An unexpected error of a handler proves nothing about execution. Reported as
// "not executed", the failure would make callers repeat a request that was
// executed.
func TestFromReportsNotExecutedOnlyIfProven(t *testing.T) {
	for _, c := range []struct {
		err  error
		code apierr.Code
		ran  apierr.Ran
	}{
		{echo.ErrNotFound, apierr.CodeNotFound, apierr.RanNo},
		{echo.ErrMethodNotAllowed, apierr.CodeMethodNotAllowed, apierr.RanNo},
		{echo.ErrStatusRequestEntityTooLarge, apierr.CodeTooLarge, apierr.RanNo},
		{echo.ErrUnsupportedMediaType, apierr.CodeBadRequest, apierr.RanNo},
		{echo.ErrInternalServerError, apierr.CodeInternal, apierr.RanUnknown},
		{errors.New("unforeseen"), apierr.CodeInternal, apierr.RanUnknown},
		{BadRequest("x"), apierr.CodeBadRequest, apierr.RanNo},
	} {
		e := From(c.err)
		require.Equal(t, c.code, e.Code, "%v", c.err)
		require.Equal(t, c.ran, e.Ran, "%v", c.err)
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	h := http.Header{}
	SetHeaders(h, apierr.RanNo, 1001*time.Millisecond)
	require.Equal(t, "2", h.Get("Retry-After"))
	require.Equal(t, string(apierr.RanNo), h.Get(wire.HeaderRan))
	h = http.Header{}
	SetHeaders(h, apierr.RanUnknown, 0)
	require.Empty(t, h.Values("Retry-After"))
}
