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

// fakeConn notes that it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func limitOf(n int) *Limit { return New(func() int { return n }) }

// open takes n connections, each with a request.
func open(l *Limit, n int) []*fakeConn {
	var out []*fakeConn
	for range n {
		c := &fakeConn{}
		out = append(out, c)
		l.context(context.Background(), c)
		l.changed(c, http.StateNew)
		l.changed(c, http.StateActive)
	}
	return out
}

// Symptom: a router can open nothing to engines or to other routers, and refuses most requests for
// as long as it runs. Sequence: in a surge callers come back on new connections and leave the old
// ones open, until all descriptors are taken. Cause handled: for each connection beyond the bound
// the one that has been idle for longest ends.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	l := limitOf(10)
	conns := open(l, 10)
	for _, i := range []int{3, 1, 2} {
		l.changed(conns[i], http.StateIdle)
	}
	l.changed(conns[1], http.StateActive)
	l.changed(conns[1], http.StateIdle)
	conns = append(conns, open(l, 2)...)
	require.True(t, conns[3].closed, "idle for longest")
	require.True(t, conns[2].closed)
	require.False(t, conns[1].closed)
	require.Equal(t, Counts{Open: 10, Idle: 1, EndedIdle: 2}, l.Counts())
	l.changed(conns[3], http.StateClosed)
	require.Equal(t, 10, l.Counts().Open, "counted out once")
}

// Connections with requests are never cut. Where all are busy a new one is closed unread.
func TestBusyConnectionsStay(t *testing.T) {
	l := limitOf(10)
	conns := open(l, 11)
	for _, c := range conns {
		require.False(t, c.closed)
	}
	refused := open(l, 1)[0]
	require.True(t, refused.closed)
	require.Equal(t, Counts{Open: 11, EndedNew: 1}, l.Counts())
	l.changed(conns[0], http.StateIdle)
	require.True(t, conns[0].closed, "no longer busy, and still one too many")
	require.Equal(t, 10, l.Counts().Open)
}

// Symptom: a request runs whose answer can't arrive. Sequence: a connection ends to make room as a
// request comes over it. Cause handled: such a request is not begun.
func TestRequestOfAnEndedConnectionDoesNotRun(t *testing.T) {
	l := limitOf(1)
	ran := false
	handler := l.unlessEnded(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))
	c := &fakeConn{}
	ctx := l.context(context.Background(), c)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://router/", nil)
	require.NoError(t, err)
	handler.ServeHTTP(nil, r)
	require.True(t, ran)
	ran = false
	l.changed(c, http.StateIdle)
	open(l, 1)
	require.True(t, c.closed)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { handler.ServeHTTP(nil, r) })
	require.False(t, ran)
}

// Random connections, requests and ends: never more than the bound and its spare, no busy one is
// cut, and the books agree.
func TestBooksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 20).Draw(t, "most")
		l := limitOf(most)
		busy, idle := map[*fakeConn]bool{}, map[*fakeConn]bool{}
		pick := func(m map[*fakeConn]bool) (*fakeConn, bool) {
			for c := range m {
				return c, true
			}
			return nil, false
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(*rapid.T) {
				if c := open(l, 1)[0]; !c.closed {
					busy[c] = true
				}
			},
			"idle": func(*rapid.T) {
				if c, ok := pick(busy); ok {
					delete(busy, c)
					idle[c] = true
					l.changed(c, http.StateIdle)
				}
			},
			"request": func(*rapid.T) {
				if c, ok := pick(idle); ok {
					delete(idle, c)
					busy[c] = true
					l.changed(c, http.StateActive)
				}
			},
			"close": func(*rapid.T) {
				if c, ok := pick(busy); ok {
					delete(busy, c)
					l.changed(c, http.StateClosed)
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
				require.LessOrEqual(t, float64(got.Open), (1+spare)*float64(most))
			},
		})
	})
}

// A server with a bound serves any number of callers that leave their connections open.
func TestServerWithManyIdleCallers(t *testing.T) {
	l := limitOf(50)
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
	require.GreaterOrEqual(t, l.Counts().EndedIdle, uint64(45))
}
