package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is what a machine can receive: bytes wait for those before them. A nil link carries everything at once.
type link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when the link has carried all that was handed to it.
	free time.Time
}

// newLink returns a link of some Mbit/s.
func newLink(mbps float64) *link { return &link{bytesPerSecond: mbps * 1e6 / 8} }

// carry returns once the link has carried n bytes.
func (l *link) carry(n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	arrives := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(arrives))
}

// cut is a disturbance of a path, which holds up everything until it ends. The zero value is no disturbance.
type cut struct {
	mu     sync.Mutex
	healed chan struct{}
}

func (c *cut) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healed = make(chan struct{})
}

func (c *cut) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.healed)
	c.healed = nil
}

// wait returns once the path is not cut.
func (c *cut) wait() {
	c.mu.Lock()
	healed := c.healed
	c.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

// proxy carries connections to one address.
type proxy struct {
	ln     net.Listener
	target string
	// in limits what is carried to the target, and out what comes back.
	in, out *link
	// cut holds up what is carried in either direction, and new connections.
	cut cut
	// sent counts what was carried to the target, in bytes.
	sent atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy returns a proxy to a target, with links for what is carried to it and back.
func newProxy(listen, target string, in, out *link) (*proxy, error) {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, in: in, out: out, conns: make(map[net.Conn]bool)}
	go p.serve(ln)
	return p, nil
}

// refuse refuses new connections, as an address does at which no process listens, until accept is called.
func (p *proxy) refuse() { _ = p.ln.Close() }

func (p *proxy) accept() error {
	ln, err := net.Listen("tcp4", p.address())
	if err != nil {
		return err
	}
	p.ln = ln
	go p.serve(ln)
	return nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

// carry connects to the target and copies in both directions.
func (p *proxy) carry(c net.Conn) {
	p.cut.wait()
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.remember(c, t)
	defer p.forget(c, t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copyThrough(t, c, p.in, &p.sent)
		_ = t.(*net.TCPConn).CloseWrite()
	}()
	p.copyThrough(c, t, p.out, new(atomic.Int64))
	_ = c.Close()
	<-done
}

// packet is how much a link carries at once, in bytes.
const packet = 4 << 10

func (p *proxy) copyThrough(to io.Writer, from io.Reader, l *link, count *atomic.Int64) {
	buf := make([]byte, packet)
	for {
		n, err := from.Read(buf)
		// The end of a connection is held up too.
		p.cut.wait()
		if n > 0 {
			l.carry(n)
			count.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) remember(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	if p == nil {
		return
	}
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}
