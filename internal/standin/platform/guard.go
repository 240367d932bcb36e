package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	api "damaskrouter.example/damaskrouter/internal/platform"
)

// access tells reads from writes.
type access bool

const (
	read  access = false
	write access = true
)

// retryAfter is what a refused client is told to wait, in seconds.
const retryAfter = 1

// guard applies faults and rates before a call takes effect.
func (s *Server) guard(k Kind, a access) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if err := takeBody(c); err != nil {
				return err
			}
			f := s.faults.next(k, bool(a))
			if f.Down {
				s.counts.update(func(st *Stats) { st.Refused++ })
				return refuse(c, http.StatusServiceUnavailable, api.CodeDown)
			}
			if f.DropRequests > 0 {
				s.counts.update(func(st *Stats) { st.Refused++ })
				return hangUp(c)
			}
			if !s.allow(k, a) {
				s.counts.update(func(st *Stats) { st.Throttled++ })
				return refuse(c, throttleStatus(k), api.CodeOverloaded)
			}
			s.delay(f)
			if f.LoseReplies > 0 {
				return s.loseReply(c, next)
			}
			return next(c)
		}
	}
}

// takeBody reads the whole request. A call that a fault then delays or drops
// has arrived, and takes effect late even when the client's end is gone.
func takeBody(c echo.Context) error {
	req := c.Request()
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), req.Body, maxBody))
	if err != nil {
		return api.ErrInvalid.Wrap(err)
	}
	req.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// allow counts a call against its rate. The VM list has none.
func (s *Server) allow(k Kind, a access) bool {
	switch {
	case k == KindVMs:
		return true
	case k == KindWeights:
		return s.weights.AllowN(s.now(), 1)
	case a == write:
		return s.writes.AllowN(s.now(), 1)
	default:
		return s.reads.AllowN(s.now(), 1)
	}
}

func throttleStatus(k Kind) int {
	if k == KindWeights {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// delay waits for the service's slowness. It doesn't end with the client's
// connection: a real store executes late what it has accepted, and the effect
// then appears after the client has read back and found nothing.
func (s *Server) delay(f Faults) {
	if f.SlowMS <= 0 {
		return
	}
	s.counts.update(func(st *Stats) { st.Delayed++ })
	t := time.NewTimer(time.Duration(f.SlowMS) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.stopped:
	}
}

// refuse answers that the call was not executed.
func refuse(c echo.Context, status int, code api.ErrorCode) error {
	h := c.Response().Header()
	h.Set(api.HeaderNotExecuted, api.NotExecuted)
	h.Set("Retry-After", strconv.Itoa(retryAfter))
	return c.JSON(status, api.ErrorReply{Code: code, Message: "not executed"})
}

// hangUp closes the connection without a reply.
func hangUp(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

// discard takes a reply that nobody will see.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// loseReply lets the call take effect and hangs up instead of replying.
func (s *Server) loseReply(c echo.Context, next echo.HandlerFunc) error {
	answer := c.Response()
	c.SetResponse(echo.NewResponse(discard{http.Header{}}, s.echo))
	// The error would have become the reply.
	_ = next(c)
	c.SetResponse(answer)
	s.counts.update(func(st *Stats) { st.LostReplies++ })
	return hangUp(c)
}

// replyError answers with the status that the protocol gives a typed error.
func replyError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var conflict *api.ConflictError
	var httpErr *echo.HTTPError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &conflict):
		_ = c.JSON(http.StatusConflict, api.ErrorReply{Code: api.CodeExists, Message: err.Error()})
	case api.ErrNotFound.Has(err):
		_ = c.JSON(http.StatusNotFound, api.ErrorReply{Code: api.CodeNotFound, Message: err.Error()})
	case api.ErrInvalid.Has(err), errors.As(err, &syntax):
		_ = c.JSON(http.StatusBadRequest, api.ErrorReply{Code: api.CodeInvalid, Message: err.Error()})
	case errors.As(err, &httpErr):
		_ = c.JSON(httpErr.Code, api.ErrorReply{Message: err.Error()})
	default:
		_ = c.JSON(http.StatusInternalServerError, api.ErrorReply{Message: err.Error()})
	}
}
