// Package soak runs the real program as separate processes on one machine,
// injects faults from outside them, and checks the promises from what callers
// and engines see.
package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes that pass.
type mode int

const (
	passing mode = iota
	// delayed bytes arrive late, in both directions.
	delayed
	// resetting connections, open and new ones.
	resetting
	// deaf drops what comes back: the connection is cut one way.
	deaf
	// silent drops everything, and resets nothing.
	silent
)

// delay is how late delayed bytes arrive.
const delay = 120 * time.Millisecond

// proxy forwards TCP connections on loopback and does to them what its mode
// says.
type proxy struct {
	ln net.Listener

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
	ln, err := net.Listen("tcp4", listen)
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

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// close ends the proxy and its connections.
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
		if p.now() == resetting {
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
		p.mu.Unlock()
		go p.pump(in, out, false)
		go p.pump(out, in, true)
	}
}

// pump moves bytes one way; back is the way from the target. A connection that
// was silenced once stays so: something between its ends has forgotten it.
func (p *proxy) pump(from, to net.Conn, back bool) {
	defer p.drop(from, to)
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch m := p.now(); {
		case m == silent, m == deaf && back:
			lost = true
		case m == delayed:
			time.Sleep(delay)
		}
		if err != nil {
			return
		}
		if lost {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// drop closes both ends. An end that was reset resets the other, so that a cut
// answer does not look whole.
func (p *proxy) drop(a, b net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, a)
	delete(p.conns, b)
	_ = a.Close()
	_ = b.Close()
}
