package peer

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Server accepts calls from other routers.
type Server struct {
	rpc *rpc.Server
	end endpoint
	cnt *Counters
	now func() time.Time

	mu     sync.Mutex
	conns  map[*session]struct{}
	closed bool
	wg     sync.WaitGroup
}

// session is one accepted connection. The fields after conn are set under the
// server's mutex once the other end has proved itself.
type session struct {
	conn   *conn
	proved bool
	key    byte
	opened time.Time
}

// NewServer returns a Server; Register adds what it serves.
func NewServer(self string, keys Keys, cnt *Counters, opts ...Option) *Server {
	return &Server{
		rpc:   rpc.NewServer(),
		end:   newEndpoint(self, keys, opts),
		cnt:   cnt,
		now:   time.Now,
		conns: make(map[*session]struct{}),
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
		if ses := s.track(c); ses != nil {
			go s.serve(ses)
		}
	}
}

// Close cuts all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for ses := range s.conns {
		_ = ses.conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Sweep closes the connections that were opened with a fleet key which is not
// valid any more, or that are older than maxServerAge. Routers of the fleet
// have left them by then; whoever stole a key would otherwise keep what was
// opened with it for as long as it liked.
func (s *Server) Sweep() {
	valid := s.end.keys()
	oldest := s.now().Add(-maxServerAge)
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses := range s.conns {
		if !ses.proved {
			continue
		}
		if _, ok := find(valid, ses.key); ok && !ses.opened.Before(oldest) {
			continue
		}
		ses.proved = false
		_ = ses.conn.Close()
		s.cnt.Swept.Add(1)
	}
}

func (s *Server) serve(ses *session) {
	defer s.untrack(ses)
	c, proved, err := s.end.accept(ses.conn)
	if err != nil {
		s.cnt.Refused.Add(1)
		return
	}
	s.admit(ses, proved.key)
	s.rpc.ServeConn(c)
}

// track returns nil, and closes c, if the server is closed. A connection that
// is accepted while Close runs would otherwise outlive it.
func (s *Server) track(c net.Conn) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return nil
	}
	ses := &session{conn: &conn{Conn: c, cnt: s.cnt}}
	s.conns[ses] = struct{}{}
	s.wg.Add(1)
	return ses
}

func (s *Server) admit(ses *session, key byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ses.proved = true
	ses.key = key
	ses.opened = s.now()
}

func (s *Server) untrack(ses *session) {
	defer s.wg.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, ses)
	_ = ses.conn.Close()
}
