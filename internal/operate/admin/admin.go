// Package admin is the administration API: JSON over HTTP for operators of many
// teams. README.md says why it is as it is, docs/API.md how to call it.
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
	// DefaultCallTimeout is how long one call may take.
	DefaultCallTimeout = 10 * time.Second
	// maxIDLength bounds a request id, in characters.
	maxIDLength = 128
)

// Options configures a Server.
type Options struct {
	// Board shows the fleet.
	Board *board.Board
	// Loads tells how many unfinished requests the owner of an engine has
	// admitted, as last heard here; ok is false where nothing was heard. It may
	// be nil.
	Loads func(engine uint64) (admitted int, ok bool)
	// Chain holds the configuration.
	Chain *config.Chain
	// Claims holds the claims of non-idempotent requests.
	Claims *claim.Store
	// Table holds the operators and the audit trail.
	Table platform.Table
	// InForce returns the configuration in force at this router; version 0
	// before the first.
	InForce func() (version uint64, b config.Bundle, err error)
	// Accepted is told of each version accepted here, to spread it.
	Accepted func(config.Head)
	// BootstrapHash is the SHA-256 sum, in hexadecimal, of the first
	// operator's token; empty for none.
	BootstrapHash string
	Log           *log.Logger
	// Now is the clock, and Rand the source of secrets.
	Now  func() time.Time
	Rand io.Reader
	// CallTimeout bounds one call, with all its calls of the store;
	// DefaultCallTimeout where zero.
	CallTimeout time.Duration
}

// Server serves the administration API.
type Server struct {
	Options
	directory *directory
	catalog   catalog
	trail     *audit.Trail
	echo      *echo.Echo
}

// New returns a Server. Errors: access.ErrHash.
func New(o Options) (*Server, error) {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	d, err := newDirectory(o)
	if err != nil {
		return nil, err
	}
	s := &Server{Options: o, directory: d, trail: audit.New(o.Table, o.Chain, o.Now)}
	s.catalog.inForce = o.InForce
	s.echo = s.routes()
	return s, nil
}

// Handler returns the API as an HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

func (s *Server) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{DisablePrintStack: true}))
	e.Use(identify, s.bound)
	for _, r := range s.table() {
		e.Add(r.method, r.path, s.authenticated(r.handle))
	}
	return e
}

// route is one call of the API.
type route struct {
	method, path string
	handle       handler
}

func (s *Server) table() []route {
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

// call is one authenticated call.
type call struct {
	echo.Context
	op *access.Operator
}

type handler func(*call) error

func (c *call) ctx() context.Context { return c.Request().Context() }

// authenticated lets h serve operators only. A change needs a list of
// operators that was read just now; reading goes on with an older one while
// the store is down, because that is when operators look.
func (s *Server) authenticated(h handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		reads := c.Request().Method == http.MethodGet
		op, err := s.directory.authenticate(c.Request().Context(), bearer(c.Request()), reads)
		if err != nil {
			return err
		}
		return h(&call{Context: c, op: op})
	}
}

// identify gives each call its id.
func identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(wire.HeaderRequestID)
		if id == "" {
			id = uuid.NewString()
		}
		if !validID(id) {
			return httperr.BadRequest("malformed " + wire.HeaderRequestID)
		}
		c.Response().Header().Set(wire.HeaderRequestID, id)
		return next(c)
	}
}

// validID accepts what may safely stand in a header and a log line.
func validID(id string) bool {
	if len(id) > maxIDLength {
		return false
	}
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}

// bound ends a call that takes too long. Without it a store that accepts
// calls and never answers would hold operators' connections for good.
func (s *Server) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), s.CallTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}
