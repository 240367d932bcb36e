package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/secure/keys"
)

// eventTimeout bounds the wait for an event. Tests don't check how long an event took.
const eventTimeout = 30 * time.Second

// Echo is the receiver of the tests' calls.
type Echo struct {
	entered, unblock chan struct{}
}

// Say returns the length of its argument.
func (e *Echo) Say(in []byte, out *int) error {
	*out = len(in)
	return nil
}

// Hold returns once the test closes unblock.
func (e *Echo) Hold(in int, out *int) error {
	e.entered <- struct{}{}
	<-e.unblock
	*out = in
	return nil
}

// keySet is a set of fleet keys that a test can change.
type keySet struct {
	mu   sync.Mutex
	list []FleetKey
}

func newKeySet(ids ...byte) *keySet {
	s := new(keySet)
	s.set(ids...)
	return s
}

func (s *keySet) set(ids ...byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = nil
	for _, id := range ids {
		s.list = append(s.list, FleetKey{ID: id, Secret: []byte{id, 32: id}})
	}
}

func (s *keySet) keys() []FleetKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// node is the server and the caller of one router.
type node struct {
	*Server
	caller   *Caller
	counters Counters
	keys     *keySet
	echo     *Echo
	address  string
	ln       net.Listener
}

func newNode(t *testing.T, name string, keys *keySet, opts ...Option) *node {
	n := &node{keys: keys, echo: &Echo{entered: make(chan struct{}, 8), unblock: make(chan struct{})}}
	n.Server = NewServer(name, keys.keys, &n.counters, opts...)
	require.NoError(t, n.Register("Echo", n.echo))
	n.caller = NewCaller(name, keys.keys, &n.counters, opts...)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n.ln, n.address = ln, ln.Addr().String()
	go n.Serve(ln)
	t.Cleanup(func() {
		n.caller.Close()
		_ = ln.Close()
		n.Close()
	})
	return n
}

// callEcho calls the router target at address and returns the error.
func (n *node) callEcho(target, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	var got int
	return n.caller.Call(ctx, Target{Name: target, Address: address}, "Echo.Say", []byte("hello"), &got)
}

// certReloader returns the reloader of the router's certificate in dir.
func certReloader(t *testing.T, dir, router string) *keys.CertReloader {
	r, err := keys.OpenCerts(keys.PathsIn(dir, router), time.Now)
	require.NoError(t, err)
	return r
}

func generateCerts(t *testing.T, dir string) {
	require.NoError(t, keys.Generate(dir, keys.GenerateOptions{Routers: []string{"r1", "r2", "r3"}, Now: time.Now()}))
}

// proxy forwards connections to a router. While discarding is set, it drops the bytes sent
// to that router, like a middlebox that has lost its connection state; while stalled is
// set, it stops reading them.
type proxy struct {
	ln         net.Listener
	target     string
	mu         sync.Mutex
	discarding bool
	stalled    bool
	dials      int
	signal     chan struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{ln: ln, target: target, signal: make(chan struct{}, 1)}
	t.Cleanup(func() { _ = ln.Close() })
	go p.serve()
	return p
}

func (p *proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.dials++
		p.discarding, p.stalled = false, false
		p.mu.Unlock()
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer targetConn.Close()
	go func() { _, _ = io.Copy(c, targetConn) }()
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		discarding, stalled := p.state()
		if stalled {
			<-p.signal
			return
		}
		if discarding {
			p.signal <- struct{}{}
			continue
		}
		_, _ = targetConn.Write(buf[:n])
	}
}

func (p *proxy) state() (discarding, stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discarding, p.stalled
}

func (p *proxy) set(discarding, stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discarding, p.stalled = discarding, stalled
}

func (p *proxy) dialCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	assert.Eventually(t, f, eventTimeout, time.Millisecond)
}
