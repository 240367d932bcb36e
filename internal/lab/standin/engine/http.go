package engine

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

// Paths of the stand-in's control endpoints.
const (
	PathStats   = "/standin/books"
	PathFaults  = "/standin/faults"
	PathLeave   = "/standin/leave"
	PathRestart = "/standin/restart"
)

const (
	roleAssistant = "assistant"
	ranNo         = "no"
	bearerPrefix  = "Bearer "
	paramID       = "id"
	finishStop    = "stop"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := echo.New()
	r.POST(wire.PathChat, e.postChat)
	r.GET(wire.PathEngineStreams+":"+paramID, e.getStream)
	r.DELETE(wire.PathEngineStreams+":"+paramID, e.deleteStream)
	r.GET(wire.PathEngineStatus, e.getStatus)
	r.GET(wire.PathEngineEvents, e.getEvents, middleware.Gzip())
	r.POST(wire.PathEngineExport, e.postExport)
	r.POST(wire.PathEngineImport, e.postImport)
	r.GET(PathStats, e.getStats)
	r.POST(PathFaults, e.postFault)
	r.DELETE(PathFaults, e.deleteFaults)
	r.POST(PathLeave, e.postDrain)
	r.POST(PathRestart, e.postRestart)
	return e.guard(r)
}

// guard aborts every connection while the engine is down, except for the
// control endpoints to restart it and to read its stats.
func (e *Engine) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := e.down
		w.Header().Set(wire.HeaderIncarnation, strconv.FormatUint(e.incarnation, 10))
		e.mu.Unlock()
		w.Header().Set(protocol.HeaderName, e.opts.Name)
		if down && r.URL.Path != PathRestart && r.URL.Path != PathStats {
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get(wire.HeaderRequestID); id != "" {
			w.Header().Set(wire.HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

// refuse refuses a request that was not executed, with the header that proves
// it. It reads the body first: a response sent while the client is still
// writing the body may be lost, with the proof, when the connection closes.
func refuse(c echo.Context, status int, code protocol.Code) error {
	_, _ = io.Copy(io.Discard, c.Request().Body)
	c.Response().Header().Set(wire.HeaderRan, ranNo)
	return c.JSON(status, protocol.Refusal{Code: code})
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(code protocol.Code) int {
	switch code {
	case protocol.CodeQueueFull:
		return http.StatusTooManyRequests
	case protocol.CodeWrongIdentity:
		return http.StatusConflict
	case protocol.CodeModelNotLoaded, protocol.CodeUnknownStream, protocol.CodeUnknownPrefix:
		return http.StatusNotFound
	case protocol.CodeBadRequest:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// wrongIdentity reports whether the request is addressed to another engine or
// incarnation.
func (e *Engine) wrongIdentity(c echo.Context) bool {
	h := c.Request().Header
	if name := h.Get(protocol.HeaderName); name != "" && name != e.opts.Name {
		return true
	}
	want := h.Get(wire.HeaderIncarnation)
	if want == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return want != strconv.FormatUint(e.incarnation, 10)
}

func (e *Engine) postChat(c echo.Context) error {
	req, code := e.readChat(c)
	if code != "" {
		return refuse(c, refusalStatus(code), code)
	}
	if f, ok := e.takeFault(FaultRefuse, FaultErrorBefore); ok {
		e.countRefusal()
		return failBefore(c, f)
	}
	j := newJob(c.Request().Header.Get(wire.HeaderRequestID), c.Request().Header.Get(wire.HeaderPriority), req)
	if code, ok := e.accept(j); !ok {
		return refuse(c, refusalStatus(code), code)
	}
	if _, ok := e.takeFault(FaultErrorAfter); ok {
		return e.failAfter(c, j)
	}
	if _, ok := e.takeFault(FaultSilent); ok {
		e.attach(c, j).hang()
	}
	if !req.Stream {
		return e.complete(c, j)
	}
	f, _ := e.takeFault(FaultHang, FaultCut, FaultNoEnd, FaultStaleChunk, FaultCrash)
	return e.stream(c, j, 0, f)
}

func (e *Engine) readChat(c echo.Context) (wire.ChatRequest, protocol.Code) {
	var req wire.ChatRequest
	if e.wrongIdentity(c) {
		return req, protocol.CodeWrongIdentity
	}
	err := json.NewDecoder(c.Request().Body).Decode(&req)
	if err != nil || c.Request().Header.Get(wire.HeaderRequestID) == "" {
		return req, protocol.CodeBadRequest
	}
	return req, ""
}

func (e *Engine) countRefusal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.stats.Refused++
}

func failBefore(c echo.Context, f Fault) error {
	if f.Kind == FaultRefuse {
		if f.RetryAfter != "" {
			c.Response().Header().Set("Retry-After", f.RetryAfter)
		}
		return refuse(c, http.StatusServiceUnavailable, cmp.Or(f.Code, protocol.CodeFault))
	}
	return c.JSON(http.StatusInternalServerError, protocol.Refusal{Code: protocol.CodeFault})
}

func (e *Engine) failAfter(c echo.Context, j *job) error {
	if !e.wait(c, j) {
		return nil
	}
	return c.JSON(http.StatusInternalServerError, protocol.Refusal{Code: protocol.CodeFault})
}

func (e *Engine) getStream(c echo.Context) error {
	from, err := strconv.Atoi(c.QueryParam(protocol.QueryFrom))
	if c.QueryParam(protocol.QueryFrom) == "" {
		from, err = 0, nil
	}
	e.mu.Lock()
	j, ok := e.jobs[c.Param(paramID)]
	e.mu.Unlock()
	if !ok {
		return refuseWithoutProof(c, protocol.CodeUnknownStream)
	}
	if err != nil || from < 0 || from > j.total {
		return refuseWithoutProof(c, protocol.CodeBadRequest)
	}
	return e.stream(c, j, from, Fault{})
}

// refuseWithoutProof refuses a request that is not a chat request itself, without
// the header that proves non-execution: a resume or a cancel concerns an earlier
// chat request, which may have been executed.
func refuseWithoutProof(c echo.Context, code protocol.Code) error {
	return c.JSON(refusalStatus(code), protocol.Refusal{Code: code})
}

func (e *Engine) deleteStream(c echo.Context) error {
	if !e.cancel(c.Param(paramID)) {
		return refuseWithoutProof(c, protocol.CodeUnknownStream)
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) getStatus(c echo.Context) error {
	st := e.Status()
	if c.QueryParam(protocol.QueryBrief) != "" {
		st.RequestIDs = nil
	}
	return c.JSON(http.StatusOK, st)
}

func (e *Engine) getEvents(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(protocol.QueryAfter), 10, 64)
	if c.QueryParam(protocol.QueryAfter) != "" && err != nil {
		return refuseWithoutProof(c, protocol.CodeBadRequest)
	}
	if e.wrongIdentity(c) {
		return refuse(c, http.StatusConflict, protocol.CodeWrongIdentity)
	}
	e.mu.Lock()
	page := wire.CacheEvents{Incarnation: e.incarnation}
	page.Events, page.Next = e.events.after(after)
	e.mu.Unlock()
	return c.JSON(http.StatusOK, page)
}

func (e *Engine) getStats(c echo.Context) error { return c.JSON(http.StatusOK, e.Stats()) }

func (e *Engine) postFault(c echo.Context) error {
	var f Fault
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return refuseWithoutProof(c, protocol.CodeBadRequest)
	}
	e.Inject(f)
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) deleteFaults(c echo.Context) error {
	e.ClearFaults()
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) postDrain(c echo.Context) error {
	e.Drain()
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) postRestart(c echo.Context) error {
	e.Restart()
	return c.NoContent(http.StatusNoContent)
}
