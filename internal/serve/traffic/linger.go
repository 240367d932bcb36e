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

// linger is a stream whose caller is gone. It is kept for a grace, during
// which the caller may come back to any router; then the engine is told to stop.
type linger struct {
	answer *answer
	timer  *time.Timer
}

// linger keeps the engine's stream alive for the resume grace.
func (s *Server) linger(a *answer) {
	a.stream.Close()
	a.cancel()
	s.metrics.callersGone.Add(1)
	s.inflight.Add(1)
	l := &linger{answer: a}
	s.lingerMu.Lock()
	defer s.lingerMu.Unlock()
	l.timer = time.AfterFunc(s.ResumeGrace, func() { s.endLinger(a.call.RequestID, l) })
	s.lingers[a.call.RequestID] = l
}

func (s *Server) endLinger(id string, l *linger) {
	if !s.takeLinger(id, l) {
		return
	}
	defer s.inflight.Done()
	l.answer.giveUp()
}

// takeLinger removes l and reports whether this call was the one to do it.
func (s *Server) takeLinger(id string, l *linger) bool {
	s.lingerMu.Lock()
	defer s.lingerMu.Unlock()
	if l == nil || s.lingers[id] != l {
		return false
	}
	delete(s.lingers, id)
	l.timer.Stop()
	return true
}

func (s *Server) findLinger(id string) *linger {
	s.lingerMu.Lock()
	defer s.lingerMu.Unlock()
	return s.lingers[id]
}

// resume serves GET /v1/chat/resume: a caller whose connection broke takes up
// its stream after the last chunk that it has, at any router.
func (s *Server) resume(c echo.Context) error {
	who, err := s.authenticate(c)
	if err != nil {
		return err
	}
	bad := apierr.New(apierr.CodeBadToken, http.StatusForbidden, "resume token is not valid").WithRan(apierr.RanUnknown)
	tok, err := s.Tokens.OpenResume(who.account.Name, c.Request().Header.Get(wire.HeaderResumeToken), time.Now())
	if err != nil {
		return bad.WithCause(err)
	}
	from, err := resumeFrom(c.Request().Header.Get(wire.HeaderLastEventID))
	if err != nil {
		return err
	}
	c.Response().Header().Set(wire.HeaderRequestID, tok.RequestID)
	a, err := s.takeUp(c.Request().Context(), tok.RequestID, tok.Engine, tok.Incarnation)
	if err != nil {
		return err
	}
	a.stream, err = s.Upstream.Resume(a.ctx, a.call, from)
	if err != nil {
		a.cancel()
		a.grant.Release()
		return apierr.New(apierr.CodeIncomplete, http.StatusBadGateway, "the stream can no longer be resumed").
			WithRan(apierr.RanYes).WithCause(err)
	}
	a.headRead = true
	return s.relay(c, a)
}

// takeUp gets hold of the permit of a stream that is to go on here.
func (s *Server) takeUp(ctx context.Context, id, engine string, incarnation uint64) (*answer, error) {
	sctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if l := s.findLinger(id); s.takeLinger(id, l) {
		s.inflight.Done()
		return &answer{s: s, grant: l.answer.grant, call: l.answer.call, ctx: sctx, cancel: cancel}, nil
	}
	g, err := s.Admitter.Adopt(ctx, id, engine, incarnation)
	if err != nil {
		cancel()
		return nil, err
	}
	a := &answer{s: s, grant: g, ctx: sctx, cancel: cancel}
	a.call.Address = g.Engine.Address
	a.call.Name = g.Engine.Name
	a.call.Incarnation = incarnation
	a.call.RequestID = id
	return a, nil
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
