package peer

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Server accepts calls from other routers.
type Server struct {
	rpc      *rpc.Server
	endpoint endpoint
	counters *Counters
	now      func() time.Time

	mu sync.Mutex
	// streams serves the streams; nil for none.
	streams StreamHandler
	// streamCounters counts the bytes of streams.
	streamCounters *Counters
	conns          map[*serverConn]struct{}
	closed         bool
	wg             sync.WaitGroup
}

// serverConn is one accepted connection. The server's mutex guards the fields after
// conn, which are set once the other end is authenticated.
type serverConn struct {
	conn          *conn
	authenticated bool
	keyID         byte
	opened        time.Time
}

// NewServer returns a Server without methods; Register adds them.
func NewServer(self string, keys Keys, counters *Counters, opts ...Option) *Server {
	return &Server{
		rpc:      rpc.NewServer(),
		endpoint: newEndpoint(self, keys, opts),
		counters: counters,
		now:      time.Now,
		conns:    make(map[*serverConn]struct{}),
	}
}

// Register publishes the exported methods of rcvr under name.
func (s *Server) Register(name string, rcvr any) error {
	return ErrRemote.Wrap(s.rpc.RegisterName(name, rcvr))
}

// Serve accepts connections until ln is closed.
func (s *Server) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if sc := s.track(c); sc != nil {
			go s.serve(sc)
		}
	}
}

// Close closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for sc := range s.conns {
		_ = sc.conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Sweep closes the connections whose fleet key is no longer valid or that are older
// than maxServerAge. Routers of the fleet have replaced them by then; otherwise a
// stolen key would keep the connections opened with it indefinitely.
func (s *Server) Sweep() {
	valid := s.endpoint.keys()
	oldest := s.now().Add(-maxServerAge)
	s.mu.Lock()
	defer s.mu.Unlock()
	for sc := range s.conns {
		if !sc.authenticated {
			continue
		}
		if _, ok := keyByID(valid, sc.keyID); ok && !sc.opened.Before(oldest) {
			continue
		}
		sc.authenticated = false
		_ = sc.conn.Close()
		s.counters.Swept.Add(1)
	}
}

func (s *Server) serve(sc *serverConn) {
	defer s.untrack(sc)
	c, identity, err := s.endpoint.accept(sc.conn)
	if err != nil {
		s.counters.Refused.Add(1)
		return
	}
	s.markAuthenticated(sc, identity.keyID)
	if calls, ok := s.serveStream(identity.name, c); ok {
		s.rpc.ServeConn(&limitedConn{Conn: calls})
	}
}

// track registers c. If the server is closed it closes c and returns nil, since a
// connection accepted during Close would otherwise outlive it.
func (s *Server) track(c net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return nil
	}
	sc := &serverConn{conn: &conn{Conn: c, counters: s.counters}}
	s.conns[sc] = struct{}{}
	s.wg.Add(1)
	return sc
}

func (s *Server) markAuthenticated(sc *serverConn, keyID byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sc.authenticated = true
	sc.keyID = keyID
	sc.opened = s.now()
}

func (s *Server) untrack(sc *serverConn) {
	defer s.wg.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, sc)
	_ = sc.conn.Close()
}
