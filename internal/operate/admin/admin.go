// Package admin implements the administration API: JSON over HTTP, for operators
// of several teams. README.md explains its design and docs/API.md its use.
package admin

import (
	"context"
	"io"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

const (
	// DefaultCallTimeout is the default time limit of a request.
	DefaultCallTimeout = 10 * time.Second
	// maxRequestIDLen is the maximum length of a request id, in bytes.
	maxRequestIDLen = 128
)

// Options configures a Server.
type Options struct {
	// Board holds this router's view of the fleet.
	Board *board.Board
	// Loads returns the number of unfinished requests that the owner of an
	// engine has admitted, as last reported to this router. ok is false if there
	// was no report. Loads may be nil.
	Loads func(engine uint64) (admitted int, ok bool)
	// Chain holds the versions of the configuration.
	Chain *config.Chain
	// Claims holds the claims of non-idempotent requests.
	Claims *claim.Store
	// Table holds the operators and the audit trail.
	Table platform.Table
	// InForce returns the active configuration of this router. The version is 0
	// if there is none yet.
	InForce func() (version uint64, b config.Bundle, err error)
	// Accepted is called with each version that this router accepts, to announce
	// it to other routers.
	Accepted func(config.Head)
	// BootstrapHash is the SHA-256 hash, in hexadecimal, of the bootstrap
	// operator's token. It is empty if there is no bootstrap operator.
	BootstrapHash string
	Log           *log.Logger
	// Now returns the current time. Rand is the source of random bytes for
	// secrets.
	Now  func() time.Time
	Rand io.Reader
	// CallTimeout limits the duration of a request, including its store calls;
	// zero means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Server serves the administration API.
type Server struct {
	Options
	operators *operatorCache
	catalog   catalog
	trail     *audit.Trail
	echo      *echo.Echo
}

// New returns a Server. Errors: access.ErrHash for an invalid BootstrapHash.
func New(o Options) (*Server, error) {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	operators, err := newOperatorCache(o)
	if err != nil {
		return nil, err
	}
	s := &Server{Options: o, operators: operators, trail: audit.New(o.Table, o.Chain, o.Now)}
	s.catalog.activeConfig = o.InForce
	s.echo = s.routes()
	return s, nil
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler { return s.echo }

func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{DisablePrintStack: true}))
	e.Use(assignRequestID, s.limitDuration)
	for _, r := range s.apiRoutes() {
		e.Add(r.method, r.path, s.requireOperator(r.handle))
	}
	return e
}

// route is an endpoint of the API.
type route struct {
	method, path string
	handle       handler
}

func (s *Server) apiRoutes() []route {
	return []route{
		{http.MethodGet, api.PathConfig, s.head},
		{http.MethodPost, api.PathConfig, s.apply},
		{http.MethodPost, api.PathCheck, s.check},
		{http.MethodPost, api.PathDiff, s.diff},
		{http.MethodPost, api.PathRollback, s.rollback},
		{http.MethodGet, api.PathStatus, s.status},
		{http.MethodGet, api.PathHistory, s.history},
		{http.MethodGet, api.PathConfig + "/:version", s.version},
		{http.MethodGet, api.PathAccounts, s.accounts},
		{http.MethodGet, api.PathSites, s.sites},
		{http.MethodGet, api.PathServices, s.services},
		{http.MethodGet, api.PathPools, s.pools},
		{http.MethodGet, api.PathFleet, s.fleet},
		{http.MethodGet, api.PathClaims, s.showClaim},
		{http.MethodPost, api.PathResolve, s.resolveClaim},
		{http.MethodGet, api.PathAudit, s.audit},
		{http.MethodGet, api.PathOperators, s.listOperators},
		{http.MethodPost, api.PathOperators, s.addOperator},
		{http.MethodDelete, api.PathOperators + "/:name", s.revokeOperator},
	}
}

// requestContext is the context of an authenticated request.
type requestContext struct {
	echo.Context
	op *access.Operator
}

type handler func(*requestContext) error

func (c *requestContext) ctx() context.Context { return c.Request().Context() }

// requireOperator wraps h so that it serves only authenticated operators. GET
// requests accept an outdated list of operators while the store is down,
// because operators need them during an outage. All other requests need a
// current list.
func (s *Server) requireOperator(h handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		readOnly := c.Request().Method == http.MethodGet
		op, err := s.operators.authenticate(c.Request().Context(), bearerToken(c.Request()), readOnly)
		if err != nil {
			return err
		}
		return h(&requestContext{Context: c, op: op})
	}
}

// assignRequestID sets the request id in the response header, from the request or
// a new one. It rejects a malformed id.
func assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(wire.HeaderRequestID)
		if id == "" {
			id = uuid.NewString()
		}
		if !isValidRequestID(id) {
			return httperr.BadRequest("malformed " + wire.HeaderRequestID)
		}
		c.Response().Header().Set(wire.HeaderRequestID, id)
		return next(c)
	}
}

// isValidRequestID accepts ids that are safe in headers and log lines.
func isValidRequestID(id string) bool {
	if len(id) > maxRequestIDLen {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}

// limitDuration cancels a request that takes too long. Otherwise a store that
// accepts calls but never responds would hold operators' connections forever.
func (s *Server) limitDuration(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), s.CallTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}
