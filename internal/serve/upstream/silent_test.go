package upstream_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"github.com/stretchr/testify/require"
)

// forgetfulNet loses track of its open connections on demand: writes to them
// vanish and nothing arrives any more, while new connections work.
type forgetfulNet struct {
	l     *pipeListener
	mu    sync.Mutex
	conns []*forgottenConn
}

type forgottenConn struct {
	net.Conn
	forgotten atomic.Bool
}

func (c *forgottenConn) Write(b []byte) (int, error) {
	if c.forgotten.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (n *forgetfulNet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := n.l.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	fc := &forgottenConn{Conn: c}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, fc)
	return fc, nil
}

func (n *forgetfulNet) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.forgotten.Store(true)
	}
}

// Symptom: requests wait for their timeouts although the engine is well.
// Sequence: four connections rest in the pool; something between the two ends
// forgets them; new connections work. A request finds the first one silent.
// Cause: the pool offers the silent connections one after the other.
func TestSilentPooledConnections(t *testing.T) {
	const pooled = 4
	cases := []struct {
		name string
		opts upstream.Options
		rest time.Duration
		lost int
	}{
		{"at once: one request is lost, the rest of the pool is shed", upstream.Options{}, 0, 1},
		{"after the idle time: none is lost", upstream.Options{}, upstream.DefaultIdleConn + time.Second, 0},
		{"beyond the connections' age: none is lost",
			upstream.Options{ConnAge: time.Second, IdleConn: time.Hour}, 2 * time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				e := engine.New(engine.Defaults("e1", "m"))
				t.Cleanup(e.Close)
				n := &forgetfulNet{l: listen(t, e.Handler())}
				tc.opts.Dial = n.dial
				c := upstream.New(tc.opts)
				t.Cleanup(c.Close)
				require.Zero(t, runAtOnce(t, c, "warm", pooled))
				require.Len(t, n.conns, pooled)
				n.forget()
				time.Sleep(tc.rest)
				lost := 0
				for i := range pooled {
					lost += runAtOnce(t, c, fmt.Sprint("again", i), 1)
				}
				require.Equal(t, tc.lost, lost)
			})
		})
	}
}

// Symptom: calls to all engines dial anew whenever one engine is silent.
// Sequence: one engine answers on reused connections no more, another does.
// Cause: a pool shared by all upstreams is shed as a whole.
func TestSilentUpstreamLeavesOtherPoolsAlone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const other = "127.0.0.1:2"
		listeners := map[string]*pipeListener{}
		engines := map[string]*engine.Engine{}
		for _, a := range []string{address, other} {
			engines[a] = engine.New(engine.Defaults(a, "m"))
			t.Cleanup(engines[a].Close)
			listeners[a] = listen(t, engines[a].Handler())
		}
		c := upstream.New(upstream.Options{Dial: func(ctx context.Context, network, a string) (net.Conn, error) {
			return listeners[a].dial(ctx, network, a)
		}})
		t.Cleanup(c.Close)
		status := func(a string) {
			_, err := c.Status(t.Context(), upstream.Call{Address: a})
			require.NoError(t, err)
		}
		status(address)
		status(other)
		engines[address].Inject(engine.Fault{Kind: engine.FaultSilent, Count: 1})
		require.Equal(t, 1, runAtOnce(t, c, "silent", 1))
		status(address)
		status(other)
		require.EqualValues(t, 2, listeners[address].dials.Load())
		require.EqualValues(t, 1, listeners[other].dials.Load())
	})
}

// runAtOnce runs n streams side by side and returns how many timed out.
func runAtOnce(t *testing.T, c *upstream.Client, name string, n int) int {
	lost := 0
	var streams []*upstream.Stream
	for i := range n {
		s, err := c.Stream(t.Context(), chatCall(fmt.Sprint(name, "-", i), chatRequest(3, "x")))
		if err != nil {
			require.True(t, upstream.ErrTimeout.Has(requireFailure(t, err, upstream.SentNoReply)))
			lost++
			continue
		}
		streams = append(streams, s)
	}
	for _, s := range streams {
		_, err := readAll(s)
		require.NoError(t, err)
		s.Close()
	}
	return lost
}

// Symptom: a stream falls silent and its slot in the pool poisons later calls.
// Sequence: the connection is forgotten in the middle of a stream.
// Cause: only the gap between chunks shows it; resume needs a new connection.
func TestStreamOnForgottenConnectionResumes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		e := engine.New(engine.Defaults("e1", "m"))
		t.Cleanup(e.Close)
		n := &forgetfulNet{l: listen(t, e.Handler())}
		c := upstream.New(upstream.Options{Dial: n.dial})
		t.Cleanup(c.Close)
		req := chatRequest(20, "x")
		e.Inject(engine.Fault{Kind: engine.FaultHang, After: 7, Count: 1})
		s, err := c.Stream(t.Context(), chatCall("r", req))
		require.NoError(t, err)
		start := time.Now()
		head, err := readAll(s)
		require.True(t, upstream.ErrIdle.Has(err))
		require.Less(t, time.Since(start), 2*upstream.DefaultIdleGap)
		n.forget()
		s, err = s.Resume(t.Context())
		require.NoError(t, err)
		rest, err := readAll(s)
		require.NoError(t, err)
		require.Equal(t, engine.Answer(req), append(head, rest...))
		s.Close()
	})
}
