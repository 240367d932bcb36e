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

// relay streams a response to its caller.
func (s *Server) relay(c echo.Context, resp *chatResponse) error {
	if resp.request != nil {
		token, err := resp.resumeToken()
		if err != nil {
			resp.abort()
			return err
		}
		c.Response().Header().Set(wire.HeaderResumeToken, token)
	}
	if h := resp.prefixHint(); h != "" {
		c.Response().Header().Set(wire.HeaderPrefixHint, h)
	}
	c.Response().Header().Set(wire.HeaderStreamID, resp.call.RequestID)
	out := newEventWriter(c.Response(), s.Heartbeat)
	defer out.close()
	s.metrics.streamsOpen.Add(1)
	defer s.metrics.streamsOpen.Add(-1)
	stop := context.AfterFunc(c.Request().Context(), resp.cancel)
	defer stop()
	stopShutdown := context.AfterFunc(s.shutdownCtx, resp.cancel)
	defer stopShutdown()
	for {
		ev, err := resp.next()
		if err != nil {
			return s.streamFailed(c, resp, out, err)
		}
		if ev.Done {
			resp.finish()
			out.event(sse.NoID, []byte(wire.DoneMarker))
			return nil
		}
		s.metrics.chunks.Add(1)
		if !out.event(ev.Offset, ev.Data) {
			s.detach(resp)
			return nil
		}
	}
}

// streamFailed ends a relay whose stream could not be continued.
func (s *Server) streamFailed(c echo.Context, resp *chatResponse, out *eventWriter, err error) error {
	if s.shutdownCtx.Err() != nil {
		// The caller resumes at another router, which adopts the permit; the
		// engine must not be stopped.
		resp.stream.Close()
		return nil
	}
	if c.Request().Context().Err() != nil {
		s.detach(resp)
		return nil
	}
	resp.reportBroken(err)
	resp.abort()
	s.metrics.incompleteResponses.Add(1)
	s.log.Warn("stream broken", "request", resp.call.RequestID, "engine", resp.call.Name, "cause", err)
	e := incompleteError(err)
	e.RequestID = resp.call.RequestID
	// The status line has been sent already. The error is sent as an event
	// without an end marker, so that a partial response is never mistaken for a
	// complete one.
	data, marshalErr := json.Marshal(errorBody{Error: e})
	if marshalErr == nil {
		out.event(sse.NoID, data)
	}
	return nil
}

func incompleteError(err error) *apierr.Error {
	return apierr.New(apierr.CodeIncomplete, http.StatusBadGateway, "the engine did not finish its answer").
		WithRan(apierr.RanYes).WithRetryAfter(time.Second).WithCause(err)
}

// eventWriter writes events to one caller and keeps the connection alive with
// comments. A middlebox may drop the state of an idle connection; heartbeats
// prevent that, and show the caller that the connection is alive.
type eventWriter struct {
	mu       sync.Mutex
	w        *echo.Response
	buf      []byte
	interval time.Duration
	timer    *time.Timer
	failed   bool
	closed   bool
}

func newEventWriter(w *echo.Response, interval time.Duration) *eventWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	e := &eventWriter{w: w, interval: interval}
	e.timer = time.AfterFunc(interval, e.heartbeat)
	return e
}

// event writes one event. It reports whether the caller is still connected.
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
	e.timer.Reset(e.interval)
}

func (e *eventWriter) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.timer.Stop()
}

// collect sends a complete response to a caller that did not request a stream.
func (s *Server) collect(c echo.Context, resp *chatResponse) error {
	stop := context.AfterFunc(c.Request().Context(), resp.cancel)
	defer stop()
	var text strings.Builder
	var last wire.Chunk
	finishReason := ""
	for {
		ev, err := resp.next()
		if err != nil {
			resp.reportBroken(err)
			resp.abort()
			return incompleteError(err)
		}
		if ev.Done {
			break
		}
		var chunk wire.Chunk
		if err := json.Unmarshal(ev.Data, &chunk); err != nil {
			resp.abort()
			return incompleteError(err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
			if choice.FinishReason != nil {
				finishReason = *choice.FinishReason
			}
		}
		if chunk.Usage != nil {
			last.Usage = chunk.Usage
		}
	}
	resp.finish()
	if h := resp.prefixHint(); h != "" {
		c.Response().Header().Set(wire.HeaderPrefixHint, h)
	}
	return c.JSON(http.StatusOK, completion(resp, text.String(), finishReason, last.Usage))
}

func completion(resp *chatResponse, text, finishReason string, usage *wire.Usage) wire.Completion {
	out := wire.Completion{
		ID:     resp.call.RequestID,
		Object: "chat.completion",
		Model:  resp.request.body.Model,
		Choices: []wire.CompletionChoice{{
			Message:      wire.Message{Role: "assistant", Content: text},
			FinishReason: finishReason,
		}},
	}
	if usage != nil {
		out.Usage = *usage
	}
	return out
}
