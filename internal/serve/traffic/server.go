// Package traffic serves callers over HTTP: it locates routers, relays and
// resumes chats, and calls plain services. Its handlers read the snapshots of
// the board and never write control state.
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

// Admitter grants engines to requests. *admission.Admission implements it.
type Admitter interface {
	// Admit waits for a grant. Its errors are *apierr.Error.
	Admit(ctx context.Context, req *admission.Request) (*admission.Grant, error)
	// Home returns the owner of the engine that serves a chat if no cached prefix
	// of the chat is known.
	Home(p *config.Pool, chat uint64) (board.Router, bool)
	// Adopt transfers the permit of a stream that is resumed here to this
	// router. It fails if the engine was removed or restarted.
	Adopt(ctx context.Context, requestID, engine string, incarnation uint64) (*admission.Grant, error)
	// Observe reports the outcome of a request at an engine, for outlier
	// detection.
	Observe(engine string, o admission.Observation)
	// Refused records what an engine stated about itself as it refused a granted request.
	Refused(g *admission.Grant, r admission.Refusal)
}

// Limiter enforces the limits of client accounts. *quota.Quota implements it.
type Limiter interface {
	// Take admits one request. The caller must call release when the request
	// ends. Its errors are *apierr.Error.
	Take(ctx context.Context, a *config.Account) (release func(), err error)
}

// Tokens seals and opens the tokens that callers store for the routers.
// *token.Codec implements it. It may change its keys at any time.
type Tokens interface {
	// SealHint returns a token that only the account can use and that states
	// where a chat's prefix is cached.
	SealHint(account string, h token.Hint) string
	// OpenHint reads a token that SealHint returned for the same account.
	OpenHint(account, text string) (token.Hint, error)
	// SealResume returns a token with which the account may resume one stream.
	SealResume(account string, r token.Resume) (string, error)
	// OpenResume reads a token that SealResume returned for the same account.
	// It fails if the token has expired at now.
	OpenResume(account, text string, now time.Time) (token.Resume, error)
}

// Options configures a Server.
type Options struct {
	Board    *board.Board
	Admitter Admitter
	// Facts records where prefixes are cached.
	Facts *admission.CacheIndex
	Quota Limiter
	// Upstream sends the requests to engines and plain services.
	Upstream *upstream.Client
	// Claims prevents non-idempotent calls from being executed twice.
	Claims *claim.Store
	Tokens Tokens
	// Suspects holds the requests that engines were executing when they ended. The default is an
	// empty set that never changes.
	Suspects SuspectSet
	Log      *log.Logger
	// Name is the name of this router.
	Name string
	// LocateTTL is how long callers may cache a locate response.
	LocateTTL time.Duration
	// Heartbeat is the longest time without an event or a heartbeat on a stream
	// to a caller.
	Heartbeat time.Duration
	// IdleGap is the longest time between two events of an engine's stream.
	IdleGap time.Duration
	// ResumeGrace is how long the stream of a disconnected caller waits to be
	// resumed.
	ResumeGrace time.Duration
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
}

// Defaults of Options.
const (
	DefaultLocateTTL   = 10 * time.Second
	DefaultHeartbeat   = 5 * time.Second
	DefaultResumeGrace = 10 * time.Second
	DefaultMaxBody     = 8 << 20
)

// Limits of callers' requests, in bytes.
const (
	maxHeaderBytes = 32 << 10
	maxIDLength    = 128
)

// Server serves callers. It is safe for concurrent use.
type Server struct {
	Options
	log        *log.Logger
	metrics    *metrics
	retrier    *retrier
	echo       *echo.Echo
	detachedMu sync.Mutex
	detached   map[string]*detachedStream
	inFlight   waitGroup
	// delayedRecords has an entry for each record that waits for the store.
	delayedRecords chan struct{}
	// refusingNew is set once new requests are sent to other routers.
	refusingNew atomic.Bool
	// shutdownCtx ends all streams to callers and all background work, at the
	// deadline of a drain.
	shutdownCtx context.Context
	shutdown    context.CancelFunc
}

// New returns a Server. Zero values of LocateTTL, Heartbeat, ResumeGrace and
// MaxBody mean their defaults.
func New(o Options) *Server {
	o.setDefaults()
	s := &Server{Options: o, log: o.Log, metrics: newMetrics(), retrier: newRetrier(), detached: make(map[string]*detachedStream)}
	s.shutdownCtx, s.shutdown = context.WithCancel(context.Background())
	s.delayedRecords = make(chan struct{}, maxDelayedRecords)
	s.echo = s.routes()
	return s
}

func (o *Options) setDefaults() {
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
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

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler { return s.echo }

// MaxHeaderBytes returns the header limit, in bytes, for an http.Server that
// serves Handler.
func MaxHeaderBytes() int { return maxHeaderBytes }

func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.withRequestID)
	e.GET(wire.PathLocate, s.locate)
	e.POST(wire.PathChat, s.chat)
	e.GET(wire.PathResume, s.resume)
	e.Any(wire.PathServices+"*", s.service)
	return e
}

// withRequestID gives each request its id and names the router in the response.
func (s *Server) withRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inFlight.Add(1)
		defer s.inFlight.Done()
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
			h.Set(wire.HeaderLocateAgain, "1")
		}
		if s.refusingNew.Load() {
			return drainingError()
		}
		return next(c)
	}
}

func drainingError() *apierr.Error {
	return apierr.New(apierr.CodeDraining, http.StatusServiceUnavailable, "this router is leaving; locate again").
		WithRetryAfter(drainingRetryAfter)
}

// drainingRetryAfter is short because another router can serve the request at
// once.
const drainingRetryAfter = 50 * time.Millisecond

// RefuseNew refuses new requests from now on, so that they are sent to other
// routers. Requests in progress continue.
func (s *Server) RefuseNew() { s.refusingNew.Store(true) }

// CloseStreams closes the streams to callers, who resume at another router. The
// engines' streams continue.
func (s *Server) CloseStreams() { s.shutdown() }

// Close ends streams and background work immediately.
func (s *Server) Close() { s.shutdown() }

// Wait returns nil once no request is in progress, or the error of ctx if that
// ends first.
func (s *Server) Wait(ctx context.Context) error { return s.inFlight.Wait(ctx) }

// validID reports whether id is safe in a header, a log line and a row key.
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
