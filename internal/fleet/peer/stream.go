package peer

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"
)

// streamMark is the first byte that the dialer of a stream writes after the handshake. The first byte
// of a connection for calls is the length of a message, which is never zero.
const streamMark = 0

// StreamHandler serves a stream that the named router has opened. The stream is closed when it
// returns.
type StreamHandler func(from string, c net.Conn)

// HandleStreams sets the handler of streams, and the counters of their bytes. Without a handler they
// are closed.
func (s *Server) HandleStreams(h StreamHandler, counters *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams, s.streamCounters = h, counters
}

func (s *Server) streamHandler() (StreamHandler, *Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams, s.streamCounters
}

// OpenStream opens a connection to t that carries bytes instead of calls. Both ends are authenticated
// as for calls. Errors: ErrNotSent.
func (c *Caller) OpenStream(ctx context.Context, t Target) (net.Conn, error) {
	tcp, err := c.endpoint.dialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	raw := &conn{Conn: tcp, counters: c.counters}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() })
	defer stop()
	secured, _, err := c.endpoint.dial(raw, t.Name)
	if err == nil {
		_, err = secured.Write([]byte{streamMark})
	}
	if err != nil {
		c.counters.RefusedDials.Add(1)
		_ = tcp.Close()
		return nil, ErrNotSent.Wrap(err)
	}
	return secured, nil
}

// serveStream serves c as a stream if its first byte marks one. Otherwise it returns c with that
// byte put back.
func (s *Server) serveStream(from string, c net.Conn) (calls net.Conn, ok bool) {
	var first [1]byte
	if _, err := io.ReadFull(c, first[:]); err != nil {
		return nil, false
	}
	if first[0] != streamMark {
		return &startedConn{Conn: c, first: first[:]}, true
	}
	if serve, counters := s.streamHandler(); serve != nil {
		if plain, ok := c.(*conn); ok {
			plain.counters = counters
			setKeepAlive(plain)
		}
		serve(from, c)
	}
	return nil, false
}

// startedConn is a connection of which some bytes have been read already.
type startedConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *startedConn) Read(b []byte) (int, error) {
	if len(c.first) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.first)
	c.first = c.first[n:]
	return n, nil
}

// SyscallConn implements syscall.Conn for connections without TLS.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, net.ErrClosed
}

// SetLinger sets how Close treats data that the other end has not acknowledged; see net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// streamKeepAlive detects that the router that has opened a stream is gone.
var streamKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// setKeepAlive configures keep-alive probes for a stream without TLS.
func setKeepAlive(c *conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetKeepAliveConfig(streamKeepAlive)
	}
}
