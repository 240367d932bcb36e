package faultkit

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"
)

// ErrDial means that nothing listens at an address.
var ErrDial = errs.Class("faultkit: connection refused")

// Network joins processes by in-memory connections. Faults strike when bytes
// that a Tap waits for pass, and so at a step of the protocol and not after a
// span of time.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	conns     []*Conn
	taps      []*Tap
}

// NewNetwork returns a Network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*Listener)}
}

// Direction is that of bytes on a connection.
type Direction int

// The directions.
const (
	// Out is from the dialing side to the listening one.
	Out Direction = iota
	// In is from the listening side to the dialing one.
	In
)

// Tap strikes once, before the bytes that it waits for are passed on. Bytes
// that arrive in several pieces are seen by piece, so Contains should be short.
type Tap struct {
	// From and To are names of processes; empty means any.
	From, To string
	Dir      Direction
	// Contains are bytes of the piece; nil means any piece.
	Contains []byte
	// Skip is how many pieces that match go by first.
	Skip int
	// Strike is called with the connection.
	Strike func(*Conn)
}

// Listener accepts the connections made to one address.
type Listener struct {
	network *Network
	name    string
	addr    net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	gate    *Gate
}

// Listen opens an address, "ip:port", for the process name. The gate, if any,
// stands in front of the process's end of each connection.
func (n *Network) Listen(name, address string, gate *Gate) *Listener {
	l := &Listener{
		network: n, name: name, gate: gate,
		addr:  net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address)),
		conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }

// Dial opens connections as the process from, through its gate if it has one.
func (n *Network) Dial(from string, gate *Gate) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if gate != nil {
			if err := gate.Pass(); err != nil {
				return nil, err
			}
		}
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, ErrDial.New("%s", address)
		}
		return n.connect(ctx, l, from, gate)
	}
}

func (n *Network) connect(ctx context.Context, l *Listener, from string, gate *Gate) (net.Conn, error) {
	near, far := net.Pipe()
	c := &Conn{Conn: near, network: n, From: from, To: l.name}
	select {
	case l.conns <- gated(far, l.gate):
	case <-l.closed:
		return nil, ErrDial.New("%s is closed", l.addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	return gated(c, gate), nil
}

// Close closes all listeners and connections.
func (n *Network) Close() {
	n.mu.Lock()
	listeners := n.listeners
	n.listeners = make(map[string]*Listener)
	n.taps = nil
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	n.Between("", "", (*Conn).Cut)
}

// Tap adds a tap.
func (n *Network) Tap(t Tap) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.taps = append(n.taps, &t)
}

// Between calls f with each connection that from dialed to to, which may be
// empty for any.
func (n *Network) Between(from, to string, f func(*Conn)) {
	n.mu.Lock()
	conns := append([]*Conn(nil), n.conns...)
	n.mu.Unlock()
	for _, c := range conns {
		if (from == "" || c.From == from) && (to == "" || c.To == to) {
			f(c)
		}
	}
}

// struck returns the taps whose turn it is.
func (n *Network) struck(c *Conn, dir Direction, p []byte) []*Tap {
	n.mu.Lock()
	defer n.mu.Unlock()
	var now, rest []*Tap
	for _, t := range n.taps {
		if !t.matches(c, dir, p) {
			rest = append(rest, t)
			continue
		}
		if t.Skip > 0 {
			t.Skip--
			rest = append(rest, t)
			continue
		}
		now = append(now, t)
	}
	n.taps = rest
	return now
}

func (t *Tap) matches(c *Conn, dir Direction, p []byte) bool {
	return t.Dir == dir && (t.From == "" || t.From == c.From) && (t.To == "" || t.To == c.To) &&
		bytes.Contains(p, t.Contains)
}

// Conn is the dialing side of a connection.
type Conn struct {
	net.Conn
	network *Network
	// From and To name the processes.
	From, To string

	mu      sync.Mutex
	cut     bool
	dropOut bool
	dropIn  bool
	delay   func()
	rewrite func([]byte) []byte
	pending []byte
}

// Cut breaks the connection; both ends notice. What was under way is lost.
func (c *Conn) Cut() {
	c.mu.Lock()
	c.cut = true
	c.mu.Unlock()
	_ = c.Close()
}

func (c *Conn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// Drop loses what passes in one direction from now on; neither end notices.
func (c *Conn) Drop(dir Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dir == Out {
		c.dropOut = true
		return
	}
	c.dropIn = true
}

// Silence loses what passes in both directions from now on.
func (c *Conn) Silence() {
	c.Drop(Out)
	c.Drop(In)
}

// Rewrite changes the next piece that comes in, such as by repeating it.
func (c *Conn) Rewrite(f func([]byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rewrite = f
}

// Delay calls wait before the next bytes that come in are passed on.
func (c *Conn) Delay(wait func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = wait
}

func (c *Conn) dropping(dir Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dir == Out {
		return c.dropOut
	}
	return c.dropIn
}

func (c *Conn) strike(dir Direction, p []byte) {
	for _, t := range c.network.struck(c, dir, p) {
		t.Strike(c)
	}
}

// wait runs the delay of the bytes that came in, once.
func (c *Conn) wait() {
	c.mu.Lock()
	wait := c.delay
	c.delay = nil
	c.mu.Unlock()
	if wait != nil {
		wait()
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.strike(Out, p)
	if c.dropping(Out) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. What is lost is read and thrown away, so that the
// sender goes on as if it had arrived.
func (c *Conn) Read(p []byte) (int, error) {
	if n := c.takePending(p); n > 0 {
		return n, nil
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.strike(In, p[:n])
			c.wait()
		}
		if c.isCut() {
			return 0, net.ErrClosed
		}
		if !c.dropping(In) || err != nil {
			return c.rewritten(p, n), err
		}
	}
}

// rewritten changes the piece in p[:n] if it is to be, and returns how much of
// it fits in p.
func (c *Conn) rewritten(p []byte, n int) int {
	c.mu.Lock()
	f := c.rewrite
	if f == nil || n == 0 {
		c.mu.Unlock()
		return n
	}
	c.rewrite = nil
	c.pending = f(bytes.Clone(p[:n]))
	c.mu.Unlock()
	return c.takePending(p)
}

func (c *Conn) takePending(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n
}

// gatedConn is a process's end of a connection behind its gate.
type gatedConn struct {
	net.Conn
	gate *Gate
}

func gated(c net.Conn, g *Gate) net.Conn {
	if g == nil {
		return c
	}
	g.OnKill(func() { _ = c.Close() })
	return &gatedConn{Conn: c, gate: g}
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if gerr := c.gate.Pass(); gerr != nil {
		return 0, gerr
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.gate.Pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
