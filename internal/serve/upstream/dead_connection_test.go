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

// blackholeNet simulates a device, such as a NAT gateway, that drops its state of
// open connections: writes to them are lost, while new connections work.
type blackholeNet struct {
	l     *pipeListener
	mu    sync.Mutex
	conns []*blackholeConn
}

type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (n *blackholeNet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := n.l.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	bc := &blackholeConn{Conn: c}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, bc)
	return bc, nil
}

func (n *blackholeNet) blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.blackholed.Store(true)
	}
}

// Four idle connections are pooled when a device between router and engine drops
// their state. Requests must not time out on one dead connection after the other
// although the engine is healthy and new connections work.
func TestDeadPooledConnectionsClosed(t *testing.T) {
	const pooled = 4
	cases := []struct {
		name     string
		opts     upstream.Options
		idle     time.Duration
		timedOut int
	}{
		{"immediately: one request times out, the idle connections are closed", upstream.Options{}, 0, 1},
		{"after the idle timeout: none times out", upstream.Options{}, upstream.DefaultIdleConn + time.Second, 0},
		{"beyond the maximum age: none times out",
			upstream.Options{ConnAge: time.Second, IdleConn: time.Hour}, 2 * time.Second, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				e := engine.New(engine.Defaults("e1", "m"))
				t.Cleanup(e.Close)
				n := &blackholeNet{l: listen(t, e.Handler())}
				tc.opts.Dial = n.dial
				c := upstream.New(tc.opts)
				t.Cleanup(c.Close)
				require.Zero(t, runConcurrentStreams(t, c, "warm", pooled))
				require.Len(t, n.conns, pooled)
				n.blackhole()
				time.Sleep(tc.idle)
				timedOut := 0
				for i := range pooled {
					timedOut += runConcurrentStreams(t, c, fmt.Sprint("again", i), 1)
				}
				require.Equal(t, tc.timedOut, timedOut)
			})
		})
	}
}

// One engine stops responding on a reused connection. Only its idle connections may
// be closed; calls to other engines must not have to dial again.
func TestTimeoutKeepsConnectionsToOtherUpstreams(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
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
		require.Equal(t, 1, runConcurrentStreams(t, c, "silent", 1))
		status(address)
		status(other)
		require.EqualValues(t, 2, listeners[address].dials.Load())
		require.EqualValues(t, 1, listeners[other].dials.Load())
	})
}

// runConcurrentStreams opens n streams, then reads them to their ends. It returns
// how many timed out.
func runConcurrentStreams(t *testing.T, c *upstream.Client, name string, n int) int {
	timedOut := 0
	var streams []*upstream.Stream
	for i := range n {
		s, err := c.Stream(t.Context(), chatCall(fmt.Sprint(name, "-", i), chatRequest(3, "x")))
		if err != nil {
			require.True(t, upstream.ErrTimeout.Has(requireFailure(t, err, upstream.SentNoReply)))
			timedOut++
			continue
		}
		streams = append(streams, s)
	}
	for _, s := range streams {
		_, err := readAll(s)
		require.NoError(t, err)
		s.Close()
	}
	return timedOut
}

// A connection goes dead in the middle of a stream, which only the idle timeout
// detects. The stream must resume on a new connection, and the dead one must not be
// reused.
func TestStreamResumesAfterDeadConnection(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		e := engine.New(engine.Defaults("e1", "m"))
		t.Cleanup(e.Close)
		n := &blackholeNet{l: listen(t, e.Handler())}
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
		n.blackhole()
		s, err = s.Resume(t.Context())
		require.NoError(t, err)
		rest, err := readAll(s)
		require.NoError(t, err)
		require.Equal(t, engine.Answer(req), append(head, rest...))
		s.Close()
	})
}
