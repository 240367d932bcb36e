// Package traffic is the callers' interface: locating, chats, resuming and
// plain services over HTTP. Its handlers read the board's snapshots and never
// write control state.
package traffic

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

// Admitter grants engines to requests; *admission.Admission is one.
type Admitter interface {
	// Admit waits for a grant. Its errors are *apierr.Error.
	Admit(ctx context.Context, req *admission.Request) (*admission.Grant, error)
	// Home is the owner of the engine that a chat without evidence goes to.
	Home(p *config.Pool, chat uint64) (board.Router, bool)
	// Adopt takes over the permit of a stream that is resumed here. It
	// fails when the engine is gone or was restarted.
	Adopt(ctx context.Context, requestID, engine string, incarnation uint64) (*admission.Grant, error)
	// Observe reports how an engine did, for outlier detection.
	Observe(engine string, o admission.Observation)
}

// Limiter holds client accounts to their limits; *quota.Quota is one.
type Limiter interface {
	// Take admits one request; done must be called when it ends. Its errors
	// are *apierr.Error.
	Take(ctx context.Context, a *config.Account) (done func(), err error)
}

// Tokens seals and opens what callers carry for the fleet; *token.Codec is
// one. It may change its keys at any time.
type Tokens interface {
	// SealHint says, for the account alone, where a chat's prefix is cached.
	SealHint(account string, h token.Hint) string
	// OpenHint reads what SealHint made for the same account.
	OpenHint(account, text string) (token.Hint, error)
	// SealResume gives the account the right to resume one stream.
	SealResume(account string, r token.Resume) (string, error)
	// OpenResume reads what SealResume made for the same account, unless it
	// has expired at now.
	OpenResume(account, text string, now time.Time) (token.Resume, error)
}

// Options configures a Server.
type Options struct {
	Board    *board.Board
	Admitter Admitter
	// Facts tells where prefixes are cached.
	Facts *admission.Facts
	Quota Limiter
	// Upstream carries the requests to engines and plain services.
	Upstream *upstream.Client
	// Claims keeps non-idempotent calls from running twice.
	Claims *claim.Store
	Tokens Tokens
	Log    *log.Logger
	// Name is this router's name.
	Name string
	// LocateTTL is how long callers may keep a locate answer.
	LocateTTL time.Duration
	// Heartbeat is the longest silence towards a caller of a stream.
	Heartbeat time.Duration
	// IdleGap is the longest silence of an engine within a stream.
	IdleGap time.Duration
	// ResumeGrace is how long a broken caller's stream waits to be resumed.
	ResumeGrace time.Duration
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
}

// Defaults of Options.
const (
	DefaultLocateTTL   = 10 * time.Second
	DefaultHeartbeat   = 5 * time.Second
	DefaultResumeGrace = 10 * time.Second
	DefaultMaxBody     = 8 << 20
)

// Limits of what a caller may send, in bytes.
const (
	maxHeaderBytes = 32 << 10
	maxIDLength    = 128
)

// Server serves callers.
type Server struct {
	Options
	log      *log.Logger
	metrics  *metrics
	retries  *retries
	echo     *echo.Echo
	lingerMu sync.Mutex
	lingers  map[string]*linger
	inflight busy
	// lateRecords has an entry for each record that waits for the store.
	lateRecords chan struct{}
	// refusing is set once newcomers are sent elsewhere.
	refusing atomic.Bool
	// cut ends all streams to callers, at the deadline of a drain.
	cut    context.Context
	cutNow context.CancelFunc
}

// New returns a Server.
func New(o Options) *Server {
	o.fillDefaults()
	s := &Server{Options: o, log: o.Log, metrics: newMetrics(), retries: newRetries(), lingers: make(map[string]*linger)}
	s.cut, s.cutNow = context.WithCancel(context.Background())
	s.lateRecords = make(chan struct{}, maxLateRecords)
	s.echo = s.routes()
	return s
}

func (o *Options) fillDefaults() {
	if o.LocateTTL <= 0 {
		o.LocateTTL = DefaultLocateTTL
	}
	if o.Heartbeat <= 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.ResumeGrace <= 0 {
		o.ResumeGrace = DefaultResumeGrace
	}
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
}

// Handler returns the HTTP interface for callers.
func (s *Server) Handler() http.Handler { return s.echo }

// MaxHeaderBytes is what an http.Server in front of Handler should allow.
func MaxHeaderBytes() int { return maxHeaderBytes }

func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.identify)
	e.GET(wire.PathLocate, s.locate)
	e.POST(wire.PathChat, s.chat)
	e.GET(wire.PathResume, s.resume)
	e.Any(wire.PathServices+"*", s.service)
	return e
}

// identify gives each request its id and names the router in the answer.
func (s *Server) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inflight.Add(1)
		defer s.inflight.Done()
		h := c.Response().Header()
		h.Set(wire.HeaderRouter, s.Name)
		id := c.Request().Header.Get(wire.HeaderRequestID)
		if id == "" {
			id = uuid.NewString()
		}
		if !validID(id) {
			return httperr.BadRequest("malformed " + wire.HeaderRequestID)
		}
		h.Set(wire.HeaderRequestID, id)
		if s.Board.Snapshot().Draining {
			h.Set(wire.HeaderMoved, "1")
		}
		if s.refusing.Load() {
			return leaving()
		}
		return next(c)
	}
}

func leaving() *apierr.Error {
	return apierr.New(apierr.CodeLeaving, http.StatusServiceUnavailable, "this router is leaving; locate again").
		WithRetryAfter(leavingRetry)
}

// leavingRetry is short: another router can take the request at once.
const leavingRetry = 50 * time.Millisecond

// RefuseNew sends newcomers elsewhere from now on; what runs goes on.
func (s *Server) RefuseNew() { s.refusing.Store(true) }

// CutStreams breaks the streams to callers, who resume at another router. The
// engines' streams go on.
func (s *Server) CutStreams() { s.cutNow() }

// Close ends streams and what goes on in the background, at once.
func (s *Server) Close() { s.cutNow() }

// Wait returns once all requests in progress have ended, or ctx has.
func (s *Server) Wait(ctx context.Context) error { return s.inflight.Wait(ctx) }

// validID accepts what may safely stand in a header, a log line and a row key.
func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	return strings.IndexFunc(id, func(r rune) bool {
		return r <= ' ' || r > '~'
	}) < 0
}

func requestID(c echo.Context) string {
	return c.Response().Header().Get(wire.HeaderRequestID)
}
