// Package soak runs the real program as separate processes on one machine, injects faults from
// outside of them, and checks the guarantees by the observations of callers and engines.
package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is the treatment of forwarded bytes by a proxy.
type mode int

const (
	passing mode = iota
	// delayed: bytes are delayed in both directions.
	delayed
	// resetting: open and new connections are reset.
	resetting
	// droppingReplies: bytes from the target are dropped, as in a one-way partition.
	droppingReplies
	// droppingAll: all bytes are dropped and no connection is reset.
	droppingAll
)

// delay is the delay of bytes in the mode delayed.
const delay = 120 * time.Millisecond

// proxy forwards TCP connections on loopback and injects the fault of its mode.
type proxy struct {
	ln net.Listener
	// filter drops the packets of routers that are cut off.
	filter packetFilter

	mu     sync.Mutex
	mode   mode
	target string
	conns  map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p, err := newProxyAt("127.0.0.1:0", target)
	if err != nil {
		panic(err)
	}
	return p
}

func newProxyAt(listen, target string) (*proxy, error) {
	// Sockets of multipath TCP support no packet filters.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	ln, err := config.Listen(context.Background(), "tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resetting {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// close closes the listener and all connections.
func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == resetting {
			reset(in)
			continue
		}
		out, err := net.Dial("tcp4", p.target)
		if err != nil {
			reset(in)
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.filter.apply(in)
		p.mu.Unlock()
		go p.forward(in, out, false)
		go p.forward(out, in, true)
	}
}

// forward copies bytes one way. Once it has dropped bytes of a connection, it drops all later ones
// too, like a network device that has lost its state of the connection.
func (p *proxy) forward(from, to net.Conn, fromTarget bool) {
	dropping, broken := false, false
	defer func() { p.closePair(from, to, dropping || broken) }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch m := p.currentMode(); {
		case m == droppingAll, m == droppingReplies && fromTarget:
			dropping = true
		case m == delayed:
			time.Sleep(delay)
		}
		if err != nil {
			broken = !errors.Is(err, io.EOF)
			return
		}
		if dropping {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// closePair closes both ends of a connection, or resets them if it broke or bytes were dropped: a truncated response
// must not look complete. In the mode resetting, set has reset both before.
func (p *proxy) closePair(a, b net.Conn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := func(c net.Conn) { _ = c.Close() }
	if broken {
		end = reset
	}
	for _, c := range []net.Conn{a, b} {
		delete(p.conns, c)
		end(c)
	}
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}
