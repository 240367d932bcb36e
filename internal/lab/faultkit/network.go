package faultkit

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"
)

// ErrDial reports a dial to an address at which nothing listens.
var ErrDial = errs.Class("faultkit: connection refused")

// Network connects processes by in-memory connections. Faults are injected by triggers when given
// bytes are sent, so that they occur at a step of the protocol instead of after a time.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	conns     []*Conn
	triggers  []*Trigger
}

// NewNetwork returns a Network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*Listener)}
}

// Direction is the direction of bytes on a connection.
type Direction int

// Directions.
const (
	// Out is from the dialing side to the listening side.
	Out Direction = iota
	// In is from the listening side to the dialing side.
	In
)

// Trigger injects a fault once, before the matching bytes are passed on. It matches
// against the bytes of a single read or write, so Contains should be short.
type Trigger struct {
	// From and To are names of processes; empty matches any.
	From, To string
	Dir      Direction
	// Contains must occur in the bytes; nil matches any.
	Contains []byte
	// Skip is the number of matches to ignore first.
	Skip int
	// Strike is called with the connection.
	Strike func(*Conn)
}

// Listener accepts the connections to one address.
type Listener struct {
	network *Network
	name    string
	addr    net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	gate    *Gate
}

// Listen opens address ("ip:port") for the process called name. If gate is not nil, the
// process's end of each connection goes through it.
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

// Dial returns a dial function for the process called from, which goes through gate if
// that is not nil.
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
	dialed, accepted := net.Pipe()
	c := &Conn{Conn: dialed, network: n, From: from, To: l.name}
	select {
	case l.conns <- gated(accepted, l.gate):
	case <-l.closed:
		return nil, ErrDial.New("listener at %s is closed", l.addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	return gated(c, gate), nil
}

// Close closes all listeners and connections and removes the triggers.
func (n *Network) Close() {
	n.mu.Lock()
	listeners := n.listeners
	n.listeners = make(map[string]*Listener)
	n.triggers = nil
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	n.EachConn("", "", (*Conn).Cut)
}

// AddTrigger adds a trigger.
func (n *Network) AddTrigger(t Trigger) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.triggers = append(n.triggers, &t)
}

// EachConn calls f with each connection dialed by from to to. An empty name matches any
// process.
func (n *Network) EachConn(from, to string, f func(*Conn)) {
	n.mu.Lock()
	conns := append([]*Conn(nil), n.conns...)
	n.mu.Unlock()
	for _, c := range conns {
		if (from == "" || c.From == from) && (to == "" || c.To == to) {
			f(c)
		}
	}
}

// dueTriggers removes and returns the triggers that match and have no matches left to
// skip.
func (n *Network) dueTriggers(c *Conn, dir Direction, p []byte) []*Trigger {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due, remaining []*Trigger
	for _, t := range n.triggers {
		if !t.matches(c, dir, p) {
			remaining = append(remaining, t)
			continue
		}
		if t.Skip > 0 {
			t.Skip--
			remaining = append(remaining, t)
			continue
		}
		due = append(due, t)
	}
	n.triggers = remaining
	return due
}

func (t *Trigger) matches(c *Conn, dir Direction, p []byte) bool {
	return t.Dir == dir && (t.From == "" || t.From == c.From) && (t.To == "" || t.To == c.To) &&
		bytes.Contains(p, t.Contains)
}

// Conn is the dialing side of a connection.
type Conn struct {
	net.Conn
	network *Network
	// From and To are the names of the processes.
	From, To string

	mu      sync.Mutex
	cut     bool
	dropOut bool
	dropIn  bool
	delay   func()
	rewrite func([]byte) []byte
	pending []byte
}

// Cut closes the connection and discards the bytes in transit. Both ends get an error.
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

// Drop discards all further bytes in one direction. Neither end gets an error.
func (c *Conn) Drop(dir Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dir == Out {
		c.dropOut = true
		return
	}
	c.dropIn = true
}

// DropBoth discards all further bytes in both directions. Neither end gets an error.
func (c *Conn) DropBoth() {
	c.Drop(Out)
	c.Drop(In)
}

// RewriteNext changes the bytes of the next read, for example to repeat them.
func (c *Conn) RewriteNext(f func([]byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rewrite = f
}

// DelayNext calls wait before the bytes of the next read are passed on.
func (c *Conn) DelayNext(wait func()) {
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

func (c *Conn) runTriggers(dir Direction, p []byte) {
	for _, t := range c.network.dueTriggers(c, dir, p) {
		t.Strike(c)
	}
}

// applyDelay runs the pending delay, if any.
func (c *Conn) applyDelay() {
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
	c.runTriggers(Out, p)
	if c.dropping(Out) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. Dropped bytes are read and discarded, so that the sender
// continues as if they had arrived.
func (c *Conn) Read(p []byte) (int, error) {
	if n := c.takePending(p); n > 0 {
		return n, nil
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.runTriggers(In, p[:n])
			c.applyDelay()
		}
		if c.isCut() {
			return 0, net.ErrClosed
		}
		if !c.dropping(In) || err != nil {
			return c.applyRewrite(p, n), err
		}
	}
}

// applyRewrite runs the pending rewrite, if any, on p[:n] and returns the number of bytes in p.
// Bytes that do not fit are returned by the next read.
func (c *Conn) applyRewrite(p []byte, n int) int {
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

// gatedConn is a process's end of a connection, controlled by its gate.
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
	if gateErr := c.gate.Pass(); gateErr != nil {
		return 0, gateErr
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
