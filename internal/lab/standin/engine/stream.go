package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
)

// staleID is the request id of the chunk that FaultStaleChunk inserts.
const staleID = "another-request"

// reader is a connection that reads a job.
type reader struct {
	e       *Engine
	c       echo.Context
	j       *job
	watch   chan struct{}
	crashed chan struct{}
	pos     int
	fault   Fault
	buf     []byte
}

func (e *Engine) attach(c echo.Context, j *job) *reader {
	r := &reader{e: e, c: c, j: j, watch: make(chan struct{}, 1)}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.crashed = e.crashed
	j.watchers = append(j.watchers, r.watch)
	return r
}

func (r *reader) detach() {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	j := r.j
	if i := slices.Index(j.watchers, r.watch); i >= 0 {
		j.watchers = slices.Delete(j.watchers, i, i+1)
	}
}

// progress returns the number of chunks produced and the job's state.
func (r *reader) progress() (produced int, state jobState) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.j.produced, r.j.state
}

// wait waits for progress of the job. It returns false when the client
// disconnected, and aborts the connection when the engine crashed.
func (r *reader) wait() bool {
	select {
	case <-r.crashed:
		panic(http.ErrAbortHandler)
	case <-r.c.Request().Context().Done():
		return false
	case <-r.watch:
		return true
	}
}

// hang sends nothing until the client disconnects or the engine crashes.
func (r *reader) hang() {
	select {
	case <-r.crashed:
	case <-r.c.Request().Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (e *Engine) stream(c echo.Context, j *job, from int, f Fault) error {
	h := c.Response().Header()
	h.Set(echo.HeaderContentType, protocol.TypeEvents)
	h.Set(wire.HeaderRequestID, j.id)
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	r := e.attach(c, j)
	defer r.detach()
	r.pos = from
	r.fault = f
	return r.run()
}

func (r *reader) run() error {
	for {
		produced, state := r.progress()
		for r.pos < produced {
			if r.applyFault() {
				return nil
			}
			r.writeChunk(r.pos)
		}
		r.flush()
		switch state {
		case jobFinished:
			return r.finish()
		case jobCanceled:
			panic(http.ErrAbortHandler)
		}
		if r.applyFault() || !r.wait() {
			return nil
		}
	}
}

// applyFault applies the fault once its chunk is reached, and reports whether
// the body ends here.
func (r *reader) applyFault() bool {
	if r.fault.Kind == "" || r.pos < r.fault.After {
		return false
	}
	r.flush()
	switch r.fault.Kind {
	case FaultHang:
		r.hang()
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultCrash:
		r.e.Crash()
		panic(http.ErrAbortHandler)
	case FaultNoEnd:
		return true
	case FaultStaleChunk:
		r.writeStale()
	}
	r.fault = Fault{}
	return false
}

func (r *reader) finish() error {
	if r.fault.Kind == FaultNoEnd {
		return nil
	}
	r.buf = append(r.buf, "data: "+wire.DoneMarker+"\n\n"...)
	r.flush()
	return nil
}

func (r *reader) writeChunk(offset int) {
	r.buf = append(r.buf, "id: "...)
	r.buf = strconv.AppendInt(r.buf, int64(offset), 10)
	r.buf = append(r.buf, "\ndata: "...)
	r.buf = r.j.appendChunk(r.buf, offset)
	r.buf = append(r.buf, "\n\n"...)
	r.pos++
}

func (r *reader) writeStale() {
	foreign := &job{
		seed:  r.j.seed,
		total: r.j.total,
		head:  chunkHead(staleID, r.j.req.Model),
	}
	r.buf = append(r.buf, "id: "...)
	r.buf = strconv.AppendInt(r.buf, int64(r.pos), 10)
	r.buf = append(r.buf, "\ndata: "...)
	r.buf = foreign.appendChunk(r.buf, r.pos)
	r.buf = append(r.buf, "\n\n"...)
}

// flush writes the buffered chunks. It ignores write errors, which mean that the
// client disconnected: the request's context reports that too.
func (r *reader) flush() {
	if len(r.buf) == 0 {
		return
	}
	_, _ = r.c.Response().Write(r.buf)
	r.buf = r.buf[:0]
	r.c.Response().Flush()
}

// wait blocks until j has finished. It returns false when the client
// disconnected, and aborts the connection when the job was canceled.
func (e *Engine) wait(c echo.Context, j *job) bool {
	r := e.attach(c, j)
	defer r.detach()
	for {
		_, state := r.progress()
		switch state {
		case jobFinished:
			return true
		case jobCanceled:
			panic(http.ErrAbortHandler)
		}
		if !r.wait() {
			return false
		}
	}
}

func (e *Engine) complete(c echo.Context, j *job) error {
	if !e.wait(c, j) {
		return nil
	}
	return c.JSON(http.StatusOK, wire.Completion{
		ID:     j.id,
		Object: protocol.ObjectCompletion,
		Model:  j.req.Model,
		Choices: []wire.CompletionChoice{{
			Message:      wire.Message{Role: roleAssistant, Content: AnswerText(j.req)},
			FinishReason: finishStop,
		}},
		Usage: j.usage(),
	})
}

// chunkHead returns the JSON of a chunk up to its offset.
func chunkHead(id, model string) []byte {
	b := append([]byte(`{"id":`), quote(id)...)
	b = append(b, `,"object":"`+protocol.ObjectChunk+`","model":`...)
	b = append(b, quote(model)...)
	return append(b, `,"offset":`...)
}

func quote(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}

func (j *job) usageJSON() []byte {
	b, _ := json.Marshal(j.usage())
	return b
}
