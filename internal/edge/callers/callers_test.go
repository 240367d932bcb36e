package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeConn records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func newLimit(n int) *Limit { return New(func() int { return n }) }

// openConns opens n connections with a request on each.
func openConns(l *Limit, n int) []*fakeConn {
	var out []*fakeConn
	for range n {
		c := &fakeConn{}
		out = append(out, c)
		l.connContext(context.Background(), c)
		l.connState(c, http.StateNew)
		l.connState(c, http.StateActive)
	}
	return out
}

// Guards against a router that runs out of file descriptors and refuses most requests for as long
// as it runs: in a surge, callers retry on new connections and leave the old ones open. Beyond the
// limit, the connection that has been idle for longest is closed for each new one.
func TestLongestIdleConnectionIsClosedForNewOne(t *testing.T) {
	l := newLimit(10)
	conns := openConns(l, 10)
	for _, i := range []int{3, 1, 2} {
		l.connState(conns[i], http.StateIdle)
	}
	l.connState(conns[1], http.StateActive)
	l.connState(conns[1], http.StateIdle)
	conns = append(conns, openConns(l, 2)...)
	require.True(t, conns[3].closed, "idle for longest")
	require.True(t, conns[2].closed)
	require.False(t, conns[1].closed)
	require.Equal(t, Counts{Open: 10, Idle: 1, ClosedIdle: 2}, l.Counts())
	l.connState(conns[3], http.StateClosed)
	require.Equal(t, 10, l.Counts().Open, "removed from the count only once")
}

// Guards against closing connections with requests in progress: if all are busy, a new one is
// closed before a request is read.
func TestBusyConnectionsAreNeverClosed(t *testing.T) {
	l := newLimit(10)
	conns := openConns(l, 11)
	for _, c := range conns {
		require.False(t, c.closed)
	}
	refused := openConns(l, 1)[0]
	require.True(t, refused.closed)
	require.Equal(t, Counts{Open: 11, ClosedNew: 1}, l.Counts())
	l.connState(conns[0], http.StateIdle)
	require.True(t, conns[0].closed, "no longer busy, and still beyond the limit")
	require.Equal(t, 10, l.Counts().Open)
}

// Guards against executing a request whose response cannot be delivered, because its connection was
// closed for a new one while the request arrived.
func TestRequestOnClosedConnectionIsNotServed(t *testing.T) {
	l := newLimit(1)
	ran := false
	handler := l.rejectClosed(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
	c := &fakeConn{}
	ctx := l.connContext(context.Background(), c)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://router/", nil)
	require.NoError(t, err)
	handler.ServeHTTP(nil, r)
	require.True(t, ran)
	ran = false
	l.connState(c, http.StateIdle)
	openConns(l, 1)
	require.True(t, c.closed)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { handler.ServeHTTP(nil, r) })
	require.False(t, ran)
}

// Guards against wrong counts, against exceeding the limit by more than busyExcess, and against
// closing a busy connection, under random connections, requests and closes.
func TestCountsMatchOpenConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConns := rapid.IntRange(1, 20).Draw(t, "most")
		l := newLimit(maxConns)
		busy, idle := map[*fakeConn]bool{}, map[*fakeConn]bool{}
		pick := func(m map[*fakeConn]bool) (*fakeConn, bool) {
			for c := range m {
				return c, true
			}
			return nil, false
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(*rapid.T) {
				if c := openConns(l, 1)[0]; !c.closed {
					busy[c] = true
				}
			},
			"idle": func(*rapid.T) {
				if c, ok := pick(busy); ok {
					delete(busy, c)
					idle[c] = true
					l.connState(c, http.StateIdle)
				}
			},
			"request": func(*rapid.T) {
				if c, ok := pick(idle); ok {
					delete(idle, c)
					busy[c] = true
					l.connState(c, http.StateActive)
				}
			},
			"close": func(*rapid.T) {
				if c, ok := pick(busy); ok {
					delete(busy, c)
					l.connState(c, http.StateClosed)
				}
			},
			"": func(t *rapid.T) {
				for c := range busy {
					require.False(t, c.closed)
				}
				for c := range idle {
					if c.closed {
						delete(idle, c)
					}
				}
				got := l.Counts()
				require.Equal(t, len(busy)+len(idle), got.Open)
				require.Equal(t, len(idle), got.Idle)
				require.LessOrEqual(t, float64(got.Open), (1+busyExcess)*float64(maxConns))
			},
		})
	})
}

// Guards against refusing callers of a server with a limit because earlier callers left their
// connections open.
func TestServerServesMoreIdleClientsThanItsLimit(t *testing.T) {
	l := newLimit(50)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
	l.Attach(server)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 100 {
		transport := &http.Transport{}
		t.Cleanup(transport.CloseIdleConnections)
		resp, err := (&http.Client{Transport: transport}).Get("http://" + ln.Addr().String())
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
		require.NoError(t, resp.Body.Close())
		require.LessOrEqual(t, l.Counts().Open, 55)
	}
	require.GreaterOrEqual(t, l.Counts().ClosedIdle, uint64(45))
}
