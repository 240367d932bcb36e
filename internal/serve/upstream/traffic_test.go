package upstream_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"github.com/stretchr/testify/require"
)

// byteCounter counts the bytes that pass a connection, independently of the client.
type byteCounter struct{ in, out atomic.Int64 }

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.counter.out.Add(int64(len(b))) // before the response can be read; no test interrupts a write
	return c.Conn.Write(b)
}

// reset returns the counts since the last call and sets them to zero.
func (c *byteCounter) reset() upstream.Bytes {
	return upstream.Bytes{In: c.in.Swap(0), Out: c.out.Swap(0)}
}

// newCountingClient returns a client of a new engine, and a counter of the bytes on
// its connections.
func newCountingClient(t *testing.T) (*upstream.Client, *byteCounter) {
	e := engine.New(engine.Defaults("e1", "m"))
	t.Cleanup(e.Close)
	l := listen(t, e.Handler())
	counter := &byteCounter{}
	c := upstream.New(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := l.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, counter: counter}, nil
	}})
	t.Cleanup(c.Close)
	return c, counter
}

// Traffic must equal the bytes counted on the connections, also for kinds of calls
// that share pooled connections with each other and with streams.
func TestTrafficMatchesConnectionBytes(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c, counter := newCountingClient(t)
		call := upstream.Call{Address: address}
		var want upstream.Traffic

		for range 2 { // the second call reuses the connection
			_, err := c.Status(t.Context(), call)
			require.NoError(t, err)
		}
		want.Status = counter.reset()
		require.Positive(t, want.Status.In)
		require.Positive(t, want.Status.Out)
		require.Equal(t, want, c.Traffic())

		_, err := c.Events(t.Context(), call, 0)
		require.NoError(t, err)
		want.Events = counter.reset()
		require.Equal(t, want, c.Traffic())

		s, err := c.Stream(t.Context(), chatCall("r1", chatRequest(3, "hello")))
		require.NoError(t, err)
		_, err = readAll(s)
		require.NoError(t, err)
		require.Positive(t, counter.reset().In)
		require.Equal(t, want, c.Traffic(), "streams do not count as control traffic")
	})
}

// Rejected polls of an engine cost as much traffic as successful ones.
func TestTrafficCountsFailedCalls(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		l := listen(t, http.NotFoundHandler())
		c := newClient(t, l, upstream.Options{})
		_, err := c.Status(t.Context(), upstream.Call{Address: address})
		require.Error(t, err)
		require.Positive(t, c.Traffic().Status.In)
		require.Positive(t, c.Traffic().Status.Out)
	})
}
