// Package peer carries calls between routers: net/rpc over TCP, authenticated
// by a fleet key, with a deadline for each call.
//
// net/rpc cannot cancel a call. A call that meets its deadline closes its
// connection, so that a connection on which the other end has gone silent is
// not used again, and the next call dials anew.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Errors of calls between routers.
var (
	// ErrNotSent means that no connection could be had; the call did not
	// reach the other router.
	ErrNotSent = errs.Class("peer: not sent")
	// ErrNoReply means that the call was sent and may have taken effect.
	ErrNoReply = errs.Class("peer: no reply")
	// ErrRemote is what the other router's method returned.
	ErrRemote = errs.Class("peer: remote")
)

const (
	dialTimeout = time.Second
	// maxIdle is how long an unused connection is kept.
	maxIdle = time.Minute
)

// Counters counts control traffic over TCP, in bytes and calls.
type Counters struct {
	In, Out, Calls, Timeouts, Refused atomic.Int64
}

// Server accepts calls from other routers.
type Server struct {
	rpc  *rpc.Server
	keys Keys
	self string
	cnt  *Counters

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a Server; Register adds what it serves.
func NewServer(self string, keys Keys, cnt *Counters) *Server {
	return &Server{rpc: rpc.NewServer(), keys: keys, self: self, cnt: cnt, conns: make(map[net.Conn]struct{})}
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
		s.wg.Add(1)
		go s.serve(c)
	}
}

// Close cuts all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serve(c net.Conn) {
	defer s.wg.Done()
	s.track(c)
	defer s.untrack(c)
	cc := &countingConn{Conn: c, cnt: s.cnt}
	if _, err := listenerHandshake(cc, s.keys, s.self); err != nil {
		s.cnt.Refused.Add(1)
		return
	}
	s.rpc.ServeConn(cc)
}

func (s *Server) track(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

// Caller makes calls to other routers over one connection for each address.
type Caller struct {
	keys Keys
	self string
	cnt  *Counters

	mu    sync.Mutex
	links map[string]*link
}

// link is one connection to one address. Its identity is the name that the
// other end proved: an address may be used again by another router.
type link struct {
	client *rpc.Client
	name   string
	used   time.Time
}

// NewCaller returns a Caller that introduces itself as self.
func NewCaller(self string, keys Keys, cnt *Counters) *Caller {
	return &Caller{keys: keys, self: self, cnt: cnt, links: make(map[string]*link)}
}

// Target is where a call goes: the address and the name expected behind it.
type Target struct {
	Name    string
	Address string
}

// Call calls method at t and waits for the reply or the end of ctx.
// Errors: ErrNotSent, ErrNoReply, ErrRemote.
func (c *Caller) Call(ctx context.Context, t Target, method string, args, reply any) error {
	l, err := c.link(ctx, t)
	if err != nil {
		return ErrNotSent.Wrap(err)
	}
	c.cnt.Calls.Add(1)
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		return c.finish(t, l, done.Error)
	case <-ctx.Done():
		c.cnt.Timeouts.Add(1)
		c.drop(t.Address, l)
		// The connection is closed, so the reply's memory is not written to
		// after this: wait for net/rpc to give the call back.
		<-call.Done
		return ErrNoReply.Wrap(ctx.Err())
	}
}

func (c *Caller) finish(t Target, l *link, err error) error {
	if err == nil {
		return nil
	}
	if remote, ok := err.(rpc.ServerError); ok {
		return ErrRemote.Wrap(remote)
	}
	c.drop(t.Address, l)
	return ErrNoReply.Wrap(err)
}

func (c *Caller) link(ctx context.Context, t Target) (*link, error) {
	if l := c.existing(t); l != nil {
		return l, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	cc := &countingConn{Conn: conn, cnt: c.cnt}
	name, err := dialerHandshake(cc, c.keys, c.self)
	if err == nil && t.Name != "" && name != t.Name {
		// A replaced VM may come back with the address of another router; a
		// permit asked of the wrong one would be counted nowhere.
		err = ErrHandshake.New("%s is %q, not %q", t.Address, name, t.Name)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	l := &link{client: rpc.NewClient(cc), name: name, used: time.Now()}
	return c.keep(t.Address, l), nil
}

func (c *Caller) existing(t Target) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[t.Address]
	if l == nil {
		return nil
	}
	stale := time.Since(l.used) > maxIdle
	other := t.Name != "" && l.name != t.Name
	if stale || other {
		delete(c.links, t.Address)
		_ = l.client.Close()
		return nil
	}
	l.used = time.Now()
	return l
}

// keep stores l unless another goroutine was faster, whose link then serves both.
func (c *Caller) keep(addr string, l *link) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.links[addr]
	if first != nil && first.name == l.name {
		_ = l.client.Close()
		return first
	}
	if first != nil {
		_ = first.client.Close()
	}
	c.links[addr] = l
	return l
}

func (c *Caller) drop(addr string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[addr] == l {
		delete(c.links, addr)
	}
	_ = l.client.Close()
}

// Close closes all connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, l := range c.links {
		_ = l.client.Close()
		delete(c.links, a)
	}
}

type countingConn struct {
	net.Conn
	cnt *Counters
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.cnt.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.cnt.Out.Add(int64(n))
	return n, err
}
