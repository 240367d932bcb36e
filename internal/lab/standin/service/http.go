package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
)

// Paths of the service and of the stand-in's control endpoints.
const (
	PathReceipts  = "/receipts"
	PathHandovers = "/handovers"
	PathStatus    = "/status/"
	PathChecks    = "/checks/"
	PathStats     = "/standin/books"
	PathFaults    = "/standin/faults"
	PathLeave     = "/standin/leave"
)

const (
	ranNo   = "no"
	paramID = "id"
)

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := echo.New()
	r.POST(PathReceipts, s.operation("receipts"), s.echoIdentity)
	r.POST(PathHandovers, s.operation("handovers"), s.echoIdentity)
	r.GET(PathStatus+":"+paramID, s.lookup("status"), s.echoIdentity)
	r.GET(PathChecks+":"+paramID, s.lookup("checks"), s.echoIdentity)
	r.GET(wire.PathEngineStatus, s.getReport, s.echoIdentity)
	r.GET(PathStats, s.getStats)
	r.POST(PathFaults, s.postFault)
	r.DELETE(PathFaults, s.deleteFaults)
	r.POST(PathLeave, s.postDrain)
	return r
}

// echoIdentity sets the headers that identify the service and the request. It
// reads the body to its end, since net/http detects a disconnected client only
// after that.
func (s *Service) echoIdentity(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Response().Header()
		h.Set(protocol.HeaderName, s.opts.Name)
		h.Set(wire.HeaderIncarnation, strconv.FormatUint(s.opts.Incarnation, 10))
		if id := c.Request().Header.Get(wire.HeaderRequestID); id != "" {
			h.Set(wire.HeaderRequestID, id)
		}
		if _, err := io.Copy(io.Discard, c.Request().Body); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return next(c)
	}
}

// operation handles a kind of non-idempotent call.
func (s *Service) operation(kind string) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer s.beginCall(c.Request().Header.Get(wire.HeaderRequestID))()
		if done, err := s.beforeExecution(c); done {
			return err
		}
		r := s.execute(kind, c.Request().Header.Get(wire.HeaderIdempotencyKey))
		if f, ok := s.takeFault(FaultReplyLost, FaultHang, FaultErrorAfter); ok {
			return failAfter(c, f)
		}
		return c.JSON(http.StatusCreated, r)
	}
}

// lookup handles a kind of idempotent call.
func (s *Service) lookup(kind string) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer s.beginCall(c.Request().Header.Get(wire.HeaderRequestID))()
		if done, err := s.beforeExecution(c); done {
			return err
		}
		s.mu.Lock()
		s.stats.Lookups++
		s.mu.Unlock()
		if f, ok := s.takeFault(FaultReplyLost, FaultHang, FaultErrorAfter); ok {
			return failAfter(c, f)
		}
		id := c.Param(paramID)
		return c.JSON(http.StatusOK, Lookup{Kind: kind, ID: id, State: LookupState(kind, id)})
	}
}

// beforeExecution checks the call and applies the faults that precede its
// execution. It reports whether it has responded.
func (s *Service) beforeExecution(c echo.Context) (bool, error) {
	if s.wrongIdentity(c) {
		return true, s.refuse(c, http.StatusConflict, protocol.CodeWrongIdentity)
	}
	if s.isDraining() {
		return true, s.refuse(c, http.StatusServiceUnavailable, protocol.CodeLeaving)
	}
	if f, ok := s.takeFault(FaultRefuse, FaultErrorBefore); ok {
		if f.Kind == FaultRefuse {
			return true, s.refuse(c, http.StatusServiceUnavailable, protocol.CodeFault)
		}
		return true, c.JSON(http.StatusInternalServerError, protocol.Refusal{Code: protocol.CodeFault})
	}
	wait := s.opts.Latency
	if f, ok := s.takeFault(FaultSlow); ok {
		wait += f.Delay
	}
	// The sleep ignores the request's context: the execution continues after the
	// client disconnects, so that the outcome of a timeout is unknown.
	if wait > 0 {
		time.Sleep(wait)
	}
	return false, nil
}

// wrongIdentity reports whether the call is addressed to another service or
// incarnation.
func (s *Service) wrongIdentity(c echo.Context) bool {
	h := c.Request().Header
	name := h.Get(protocol.HeaderName)
	if name != "" && name != s.opts.Name {
		return true
	}
	want := h.Get(wire.HeaderIncarnation)
	return want != "" && want != strconv.FormatUint(s.opts.Incarnation, 10)
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// refuse refuses a call that was not executed, with the header that proves it.
func (s *Service) refuse(c echo.Context, status int, code protocol.Code) error {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	c.Response().Header().Set(wire.HeaderRan, ranNo)
	return c.JSON(status, protocol.Refusal{Code: code})
}

func failAfter(c echo.Context, f Fault) error {
	if f.Kind == FaultErrorAfter {
		return c.JSON(http.StatusInternalServerError, protocol.Refusal{Code: protocol.CodeFault})
	}
	if f.Kind == FaultHang {
		<-c.Request().Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// Report returns the service's status report.
func (s *Service) Report() wire.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.EngineStatus{
		Name:        s.opts.Name,
		Incarnation: s.opts.Incarnation,
		Leaving:     s.draining,
		Running:     s.calls,
		Weight:      int64(s.calls),
		MaxBatch:    s.opts.MaxRunning,
		RequestIDs:  slices.Sorted(maps.Keys(s.running)),
	}
}

func (s *Service) getReport(c echo.Context) error { return c.JSON(http.StatusOK, s.Report()) }

func (s *Service) getStats(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) }

func (s *Service) postFault(c echo.Context) error {
	var f Fault
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return c.JSON(http.StatusBadRequest, protocol.Refusal{Code: protocol.CodeBadRequest})
	}
	s.Inject(f)
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) deleteFaults(c echo.Context) error {
	s.ClearFaults()
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) postDrain(c echo.Context) error {
	s.Drain()
	return c.NoContent(http.StatusNoContent)
}
