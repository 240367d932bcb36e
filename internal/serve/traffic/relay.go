package traffic

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/sse"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
)

// relay streams an answer to its caller.
func (s *Server) relay(c echo.Context, a *answer) error {
	if a.turn != nil {
		tok, err := a.resumeToken()
		if err != nil {
			a.abandon()
			return err
		}
		c.Response().Header().Set(wire.HeaderResumeToken, tok)
	}
	if h := a.hint(); h != "" {
		c.Response().Header().Set(wire.HeaderPrefixHint, h)
	}
	c.Response().Header().Set(wire.HeaderStreamID, a.call.RequestID)
	out := newEventWriter(c.Response(), s.Heartbeat)
	defer out.close()
	s.metrics.streamsOpen.Add(1)
	defer s.metrics.streamsOpen.Add(-1)
	stop := context.AfterFunc(c.Request().Context(), a.cancel)
	defer stop()
	stopCut := context.AfterFunc(s.cut, a.cancel)
	defer stopCut()
	for {
		ev, err := a.next()
		if err != nil {
			return s.broken(c, a, out, err)
		}
		if ev.Done {
			a.finish()
			out.event(sse.NoID, []byte(wire.DoneMarker))
			return nil
		}
		s.metrics.chunks.Add(1)
		if !out.event(ev.Offset, ev.Data) {
			s.linger(a)
			return nil
		}
	}
}

// broken ends a relay whose stream could not be continued.
func (s *Server) broken(c echo.Context, a *answer, out *eventWriter, err error) error {
	if s.cut.Err() != nil {
		// The caller resumes at another router, which takes the permit over;
		// the engine must not be stopped.
		a.stream.Close()
		return nil
	}
	if c.Request().Context().Err() != nil {
		s.linger(a)
		return nil
	}
	a.abandon()
	s.metrics.incomplete.Add(1)
	s.log.Warn("stream broken", "request", a.call.RequestID, "engine", a.call.Name, "cause", err)
	e := incomplete(err)
	e.RequestID = a.call.RequestID
	// The status line is gone already. The error goes out as an event and the
	// end marker is left out, so that half an answer is never taken for whole.
	data, merr := json.Marshal(errorBody{Error: e})
	if merr == nil {
		out.event(sse.NoID, data)
	}
	return nil
}

func incomplete(err error) *apierr.Error {
	return apierr.New(apierr.CodeIncomplete, http.StatusBadGateway, "the engine did not finish its answer").
		WithRan(apierr.RanYes).WithRetryAfter(time.Second).WithCause(err)
}

// eventWriter writes events to one caller and keeps the connection alive with
// comments. A caller's connection may be forgotten on the way while it is
// silent; heartbeats keep it known, and show a caller that it is not.
type eventWriter struct {
	mu     sync.Mutex
	w      *echo.Response
	buf    []byte
	every  time.Duration
	timer  *time.Timer
	failed bool
	closed bool
}

func newEventWriter(w *echo.Response, every time.Duration) *eventWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	e := &eventWriter{w: w, every: every}
	e.timer = time.AfterFunc(every, e.heartbeat)
	return e
}

// event writes one event; it reports whether the caller still reads.
func (e *eventWriter) event(id int, data []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = sse.AppendEvent(e.buf[:0], id, data)
	e.write(e.buf)
	return !e.failed
}

func (e *eventWriter) heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.failed {
		return
	}
	e.write([]byte(sse.Heartbeat))
}

func (e *eventWriter) write(p []byte) {
	if e.failed || e.closed {
		return
	}
	if _, err := e.w.Write(p); err != nil {
		e.failed = true
		return
	}
	e.w.Flush()
	e.timer.Reset(e.every)
}

func (e *eventWriter) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.timer.Stop()
}

// collect gathers a whole answer for a caller that did not ask for a stream.
func (s *Server) collect(c echo.Context, a *answer) error {
	stop := context.AfterFunc(c.Request().Context(), a.cancel)
	defer stop()
	var text strings.Builder
	var last wire.Chunk
	finish := ""
	for {
		ev, err := a.next()
		if err != nil {
			a.abandon()
			return incomplete(err)
		}
		if ev.Done {
			break
		}
		var ch wire.Chunk
		if err := json.Unmarshal(ev.Data, &ch); err != nil {
			a.abandon()
			return incomplete(err)
		}
		for _, choice := range ch.Choices {
			text.WriteString(choice.Delta.Content)
			if choice.FinishReason != nil {
				finish = *choice.FinishReason
			}
		}
		if ch.Usage != nil {
			last.Usage = ch.Usage
		}
	}
	a.finish()
	if h := a.hint(); h != "" {
		c.Response().Header().Set(wire.HeaderPrefixHint, h)
	}
	return c.JSON(http.StatusOK, completion(a, text.String(), finish, last.Usage))
}

func completion(a *answer, text, finish string, usage *wire.Usage) wire.Completion {
	out := wire.Completion{
		ID:     a.call.RequestID,
		Object: "chat.completion",
		Model:  a.turn.body.Model,
		Choices: []wire.CompletionChoice{{
			Message:      wire.Message{Role: "assistant", Content: text},
			FinishReason: finish,
		}},
	}
	if usage != nil {
		out.Usage = *usage
	}
	return out
}
