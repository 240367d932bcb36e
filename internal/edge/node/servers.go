package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// shutdownTimeout is how long the responses in progress may take at an address that is no longer
// served.
const shutdownTimeout = 5 * time.Second

// servers holds the HTTP servers of a router by the name of what they serve. It is safe for
// concurrent use.
type servers struct {
	mu     sync.Mutex
	byName map[string]*boundServer
}

// boundServer is a server and its listen address.
type boundServer struct {
	address string
	server  *http.Server
}

// open starts a new server at an address and shuts down the previous server of that name, which
// finishes the responses in progress. With an empty address the name is no longer served. If listening
// at the new address fails, the previous server stays. If the address is unchanged, open does nothing.
// Errors: Error.
func (s *servers) open(r *Router, name, address string, server *http.Server) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.byName[name]
	if previous != nil && previous.address == address {
		return nil
	}
	if s.byName == nil {
		s.byName = make(map[string]*boundServer)
	}
	delete(s.byName, name)
	if address != "" {
		if err := r.serve(name, address, server); err != nil {
			if previous != nil {
				s.byName[name] = previous
			}
			return err
		}
		s.byName[name] = &boundServer{address: address, server: server}
	}
	if previous != nil {
		r.goRun(func(ctx context.Context) { shutDown(ctx, previous.server, shutdownTimeout) })
	}
	return nil
}

// shutDown stops serving a name after the responses in progress, at most timeout later.
func (s *servers) shutDown(ctx context.Context, name string, timeout time.Duration) {
	s.mu.Lock()
	bound := s.byName[name]
	s.mu.Unlock()
	if bound != nil {
		shutDown(ctx, bound.server, timeout)
	}
}

// shutDown stops listening and waits for the responses in progress, up to timeout.
func shutDown(ctx context.Context, server *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// close closes all servers at once, with the requests in progress.
func (s *servers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byName {
		_ = b.server.Close()
	}
}

// callerConnShare is the share of the file descriptors that connections of callers may use. Each
// request uses one more descriptor for the connection to an engine. The rest is for files, the
// store and other routers.
const callerConnShare = 0.4

// maxCallerConns returns how many connections callers may have.
func (r *Router) maxCallerConns() int {
	return int(callerConnShare * float64(r.settings().Limits.MaxFiles))
}

func (r *Router) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     r.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// serve listens at an address and serves there in a goroutine. Errors: Error.
func (r *Router) serve(name, address string, server *http.Server) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return Error.New("%s: %w", name, err)
	}
	r.goRun(func(context.Context) {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("listener failed", "serves", name, "cause", err)
		}
	})
	return nil
}
