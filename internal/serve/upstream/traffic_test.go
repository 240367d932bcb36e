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

// wireCount counts on the wire, below the client.
type wireCount struct{ in, out atomic.Int64 }

type wireConn struct {
	net.Conn
	count *wireCount
}

func (c wireConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.in.Add(int64(n))
	return n, err
}

func (c wireConn) Write(b []byte) (int, error) {
	c.count.out.Add(int64(len(b))) // before the reply can be read; no test cuts a write
	return c.Conn.Write(b)
}

// take returns what has been counted since the last time.
func (c *wireCount) take() upstream.Bytes {
	return upstream.Bytes{In: c.in.Swap(0), Out: c.out.Swap(0)}
}

// newCountedEngine returns an engine, a client, and the bytes below the client.
func newCountedEngine(t *testing.T) (*upstream.Client, *wireCount) {
	e := engine.New(engine.Defaults("e1", "m"))
	t.Cleanup(e.Close)
	l := listen(t, e.Handler())
	count := &wireCount{}
	c := upstream.New(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := l.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wireConn{Conn: conn, count: count}, nil
	}})
	t.Cleanup(c.Close)
	return c, count
}

// TestTrafficIsWhatWentOverTheWire compares the meters with a count below them,
// for kinds that share pooled connections with each other and with streams.
func TestTrafficIsWhatWentOverTheWire(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c, count := newCountedEngine(t)
		call := upstream.Call{Address: address}
		var want upstream.Traffic

		for range 2 { // the second time on the same connection
			_, err := c.Status(t.Context(), call)
			require.NoError(t, err)
		}
		want.Status = count.take()
		require.Positive(t, want.Status.In)
		require.Positive(t, want.Status.Out)
		require.Equal(t, want, c.Traffic())

		_, err := c.Events(t.Context(), call, 0)
		require.NoError(t, err)
		want.Events = count.take()
		require.Equal(t, want, c.Traffic())

		s, err := c.Stream(t.Context(), chatCall("r1", chatRequest(3, "hello")))
		require.NoError(t, err)
		_, err = readAll(s)
		require.NoError(t, err)
		require.Positive(t, count.take().In)
		require.Equal(t, want, c.Traffic(), "a stream is no control traffic")
	})
}

// TestTrafficCountsFailedCalls: polls of an engine that refuses them cost as much.
func TestTrafficCountsFailedCalls(t *testing.T) {
	bubble(t, func(t *testing.T) {
		l := listen(t, http.NotFoundHandler())
		c := newClient(t, l, upstream.Options{})
		_, err := c.Status(t.Context(), upstream.Call{Address: address})
		require.Error(t, err)
		require.Positive(t, c.Traffic().Status.In)
		require.Positive(t, c.Traffic().Status.Out)
	})
}
