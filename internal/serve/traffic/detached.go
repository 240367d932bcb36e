package traffic

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
)

// detachedStream is a stream whose caller has disconnected. It is kept for the
// resume grace, during which the caller may resume it at any router. If the
// caller does not, the request is then canceled at the engine.
type detachedStream struct {
	response *chatResponse
	timer    *time.Timer
}

// detach keeps the engine's stream alive for the resume grace.
func (s *Server) detach(resp *chatResponse) {
	resp.stream.Close()
	resp.cancel()
	s.metrics.callersDisconnected.Add(1)
	s.inFlight.Add(1)
	d := &detachedStream{response: resp}
	s.detachedMu.Lock()
	defer s.detachedMu.Unlock()
	d.timer = time.AfterFunc(s.ResumeGrace, func() { s.expireDetached(resp.call.RequestID, d) })
	s.detached[resp.call.RequestID] = d
}

func (s *Server) expireDetached(id string, d *detachedStream) {
	if !s.removeDetached(id, d) {
		return
	}
	defer s.inFlight.Done()
	d.response.expire()
}

// removeDetached removes d and reports whether it was still registered under
// id.
func (s *Server) removeDetached(id string, d *detachedStream) bool {
	s.detachedMu.Lock()
	defer s.detachedMu.Unlock()
	if d == nil || s.detached[id] != d {
		return false
	}
	delete(s.detached, id)
	d.timer.Stop()
	return true
}

func (s *Server) findDetached(id string) *detachedStream {
	s.detachedMu.Lock()
	defer s.detachedMu.Unlock()
	return s.detached[id]
}

// resume serves GET /v1/chat/resume. A caller whose connection broke resumes
// its stream after the last chunk that it has received, at any router.
func (s *Server) resume(c echo.Context) error {
	caller, err := s.authenticate(c)
	if err != nil {
		return err
	}
	invalidToken := apierr.New(apierr.CodeBadToken, http.StatusForbidden, "resume token is not valid").WithRan(apierr.RanUnknown)
	token, err := s.Tokens.OpenResume(caller.account.Name, c.Request().Header.Get(wire.HeaderResumeToken), time.Now())
	if err != nil {
		return invalidToken.WithCause(err)
	}
	offset, err := resumeFrom(c.Request().Header.Get(wire.HeaderLastEventID))
	if err != nil {
		return err
	}
	c.Response().Header().Set(wire.HeaderRequestID, token.RequestID)
	resp, err := s.adoptStream(c.Request().Context(), token.RequestID, token.Engine, token.Incarnation)
	if err != nil {
		return err
	}
	resp.stream, err = s.Upstream.Resume(resp.ctx, resp.call, offset)
	if err != nil {
		resp.cancel()
		resp.grant.Release()
		return apierr.New(apierr.CodeIncomplete, http.StatusBadGateway, "the stream can no longer be resumed").
			WithRan(apierr.RanYes).WithCause(err)
	}
	resp.firstConsumed = true
	return s.relay(c, resp)
}

// adoptStream acquires the permit of a stream that is to be resumed here.
func (s *Server) adoptStream(ctx context.Context, id, engine string, incarnation uint64) (*chatResponse, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if d := s.findDetached(id); s.removeDetached(id, d) {
		s.inFlight.Done()
		return &chatResponse{s: s, grant: d.response.grant, call: d.response.call, ctx: streamCtx, cancel: cancel}, nil
	}
	grant, err := s.Admitter.Adopt(ctx, id, engine, incarnation)
	if err != nil {
		cancel()
		return nil, err
	}
	resp := &chatResponse{s: s, grant: grant, ctx: streamCtx, cancel: cancel}
	resp.call.Address = grant.Engine.Address
	resp.call.Name = grant.Engine.Name
	resp.call.Incarnation = incarnation
	resp.call.RequestID = id
	return resp, nil
}

func resumeFrom(lastEventID string) (int, error) {
	if lastEventID == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(lastEventID)
	if err != nil || n < 0 {
		return 0, httperr.BadRequest("malformed " + wire.HeaderLastEventID)
	}
	return n + 1, nil
}
