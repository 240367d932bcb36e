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

// patience is how long a test waits for an event before it fails. Nothing is
// judged by how long it took.
const patience = 30 * time.Second

// Echo is what the tests call.
type Echo struct {
	entered, leave chan struct{}
}

// Say returns what it is given.
func (e *Echo) Say(in []byte, out *int) error {
	*out = len(in)
	return nil
}

// Hold returns once the test lets it.
func (e *Echo) Hold(in int, out *int) error {
	e.entered <- struct{}{}
	<-e.leave
	*out = in
	return nil
}

// ring is a set of fleet keys that a test changes.
type ring struct {
	mu   sync.Mutex
	list []FleetKey
}

func newRing(ids ...byte) *ring {
	r := new(ring)
	r.set(ids...)
	return r
}

func (r *ring) set(ids ...byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = nil
	for _, id := range ids {
		r.list = append(r.list, FleetKey{ID: id, Secret: []byte{id, 32: id}})
	}
}

func (r *ring) keys() []FleetKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// node is one router's two halves.
type node struct {
	*Server
	caller  *Caller
	cnt     Counters
	keys    *ring
	echo    *Echo
	address string
	ln      net.Listener
}

func newNode(t *testing.T, name string, keys *ring, opts ...Option) *node {
	n := &node{keys: keys, echo: &Echo{entered: make(chan struct{}, 8), leave: make(chan struct{})}}
	n.Server = NewServer(name, keys.keys, &n.cnt, opts...)
	require.NoError(t, n.Register("Echo", n.echo))
	n.caller = NewCaller(name, keys.keys, &n.cnt, opts...)
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

// say calls target at address and returns the error.
func (n *node) say(target, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var got int
	return n.caller.Call(ctx, Target{Name: target, Address: address}, "Echo.Say", []byte("hello"), &got)
}

// certs returns the reloader of router's certificate in dir.
func certs(t *testing.T, dir, router string) *keys.CertReloader {
	r, err := keys.OpenCerts(keys.PathsIn(dir, router), time.Now)
	require.NoError(t, err)
	return r
}

func generate(t *testing.T, dir string) {
	require.NoError(t, keys.Generate(dir, keys.GenerateOptions{Routers: []string{"r1", "r2", "r3"}, Now: time.Now()}))
}

// middle forwards connections to a router until it is told to hush. It then
// swallows what callers send, as something that has lost track of them.
type middle struct {
	ln      net.Listener
	target  string
	mu      sync.Mutex
	hushed  bool
	deaf    bool
	dials   int
	swallow chan struct{}
}

func newMiddle(t *testing.T, target string) *middle {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &middle{ln: ln, target: target, swallow: make(chan struct{}, 1)}
	t.Cleanup(func() { _ = ln.Close() })
	go m.serve()
	return m
}

func (m *middle) serve() {
	for {
		c, err := m.ln.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.dials++
		m.hushed, m.deaf = false, false
		m.mu.Unlock()
		go m.forward(c)
	}
}

func (m *middle) forward(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", m.target)
	if err != nil {
		return
	}
	defer up.Close()
	go func() { _, _ = io.Copy(c, up) }()
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		hushed, deaf := m.state()
		if deaf {
			<-m.swallow
			return
		}
		if hushed {
			m.swallow <- struct{}{}
			continue
		}
		_, _ = up.Write(buf[:n])
	}
}

func (m *middle) state() (hushed, deaf bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hushed, m.deaf
}

func (m *middle) set(hushed, deaf bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hushed, m.deaf = hushed, deaf
}

func (m *middle) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dials
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	assert.Eventually(t, f, patience, time.Millisecond)
}
