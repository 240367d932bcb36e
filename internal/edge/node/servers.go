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

// closeWithin is how long the answers under way at an address that is given up may take.
const closeWithin = 5 * time.Second

// servers are the listeners of a router, by what they serve. It is safe for concurrent use.
type servers struct {
	mu     sync.Mutex
	byName map[string]*listening
}

// listening is a listener and where it listens.
type listening struct {
	address string
	server  *http.Server
}

// open makes a new server serve at an address, and gives up the one where the same was served
// before: answers under way there are finished. An empty address is not to serve it. If the new
// address can't be had, the old one stays; if it is the old one, nothing changes.
func (s *servers) open(r *Router, name, address string, server *http.Server) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.byName[name]
	if before != nil && before.address == address {
		return nil
	}
	if s.byName == nil {
		s.byName = make(map[string]*listening)
	}
	delete(s.byName, name)
	if address != "" {
		if err := r.serve(name, address, server); err != nil {
			if before != nil {
				s.byName[name] = before
			}
			return err
		}
		s.byName[name] = &listening{address: address, server: server}
	}
	if before != nil {
		r.goRun(func(ctx context.Context) { giveUp(ctx, before.server) })
	}
	return nil
}

// giveUp stops listening and waits for the answers under way.
func giveUp(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, closeWithin)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// close stops all at once.
func (s *servers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.byName {
		_ = l.server.Close()
	}
}

// callersShare is the part of the descriptors that callers' connections may take. Each request has
// one to an engine besides; what is left is for files, the store and other routers.
const callersShare = 0.4

// mostCallers is how many connections callers may have.
func (r *Router) mostCallers() int { return int(callersShare * float64(r.set().Limits.MaxFiles)) }

func (r *Router) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     r.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

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
