package engineconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// testEngine is an engine whose connections are handled by a function.
type testEngine struct {
	target Target
}

// newTestEngine listens until the test ends; n counts the connections from 1.
func newTestEngine(t *testing.T, handle func(conn *net.TCPConn, n int)) *testEngine {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	e := &testEngine{target: Target{ID: "e", Address: ln.Addr().String()}}
	go func() {
		for n := 1; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(conn.(*net.TCPConn), n)
		}
	}()
	return e
}

const idHeader = "X-Id"

func request(id string, bodyLen int) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{idHeader: {id}}, Body: bytes.Repeat([]byte("b"), bodyLen),
		MaxIdle: time.Minute, MaxIdleConns: 4, Matches: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func clock() time.Duration { return time.Second }

func writeResponse(conn io.Writer, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// Guards against a request that may run only once being executed twice: the engine
// resets the connection while the request is written, and the pool mistakes the
// failed write for one that had not started.
func TestPartialWriteIsNotReportedAsNotSent(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		_, _ = io.ReadFull(conn, make([]byte, 1000))
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	_, err := NewPool(Options{Clock: clock}).Send(t.Context(), e.target, request("r", 32<<20))
	require.Error(t, err)
	require.False(t, ErrNotSent.Has(err), "%v", err)
	require.True(t, ErrNoResponse.Has(err) || ErrMalformed.Has(err), "%v", err)
}

// Guards against a request that reaches an engine which has stopped taking requests while the
// connection was opened.
func TestWithdrawnRequestIsNotSentOnNewConnection(t *testing.T) {
	arrived := make(chan struct{}, 1)
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			arrived <- struct{}{}
			writeResponse(conn, "r", "ok")
		}
	})
	pool := NewPool(Options{Clock: clock})
	r := request("r", 1)
	withdrawn := true
	r.Withdrawn = func() bool { return withdrawn }
	_, err := pool.Send(t.Context(), e.target, r)
	require.True(t, ErrNotSent.Has(err) && ErrWithdrawn.Has(err), "%v", err)
	require.Empty(t, arrived)
	withdrawn = false
	resp, err := pool.Send(t.Context(), e.target, r)
	require.NoError(t, err)
	resp.Close()
	require.True(t, resp.Reused, "the connection is kept")
}

// A connection that could not be opened proves that nothing was sent.
func TestFailedDialIsReportedAsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	_, err = NewPool(Options{Clock: clock}).Send(t.Context(), Target{ID: "e", Address: ln.Addr().String()}, request("r", 1))
	require.True(t, ErrNotSent.Has(err), "%v", err)
}

// Guards against a caller getting the response to another request: an engine sends
// a late second response where the response to the next request on the connection
// is expected, and the pool returns whatever response arrives first.
func TestStrayResponseOnReusedConnectionIsSkipped(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		reader := bufio.NewReader(conn)
		for lastID := ""; ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if lastID != "" {
				writeResponse(conn, lastID, "again")
			}
			lastID = r.Header.Get(idHeader)
			writeResponse(conn, lastID, "answer to "+lastID)
		}
	})
	pool := NewPool(Options{Clock: clock})
	defer pool.Close()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		resp, err := pool.Send(t.Context(), e.target, request(id, 1))
		require.NoError(t, err)
		body, err := io.ReadAll(resp)
		require.NoError(t, err)
		resp.Close()
		require.Equal(t, "answer to "+id, string(body))
	}
}

// Guards against a partial response passed on as a complete one: the engine closes the
// connection before the announced length.
func TestTruncatedResponseIsReported(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r\r\nContent-Length: 10\r\n\r\nhalf", idHeader)
		_ = conn.Close()
	})
	resp, err := NewPool(Options{Clock: clock}).Send(t.Context(), e.target, request("r", 1))
	require.NoError(t, err)
	defer resp.Close()
	body, err := io.ReadAll(resp)
	require.True(t, ErrTruncated.Has(err), "%v", err)
	require.Equal(t, "half", string(body))
}

// Guards against engines that continue to work for callers that have disconnected,
// because the context ends while the engine works or while its response is read and
// the connection stays open.
func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := newTestEngine(t, func(conn *net.TCPConn, n int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		if n == 2 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r\r\nContent-Length: 10\r\n\r\nhalf", idHeader)
		}
		_, _ = io.Copy(io.Discard, conn)
		closed <- struct{}{}
	})
	pool := NewPool(Options{Clock: clock})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := pool.Send(ctx, e.target, request("r", 1))
	require.True(t, ErrNoResponse.Has(err), "%v", err)
	<-closed

	ctx, cancel = context.WithCancel(t.Context())
	resp, err := pool.Send(ctx, e.target, request("r", 1))
	require.NoError(t, err)
	defer resp.Close()
	cancel()
	_, err = io.ReadAll(resp)
	require.Error(t, err)
	<-closed
}

// Guards against losing the first request after a pause: the engine silently drops
// a connection that was idle for longer than MaxIdle, and the pool reuses that
// connection.
func TestConnectionIdleTooLongIsNotReused(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			writeResponse(conn, r.Header.Get(idHeader), "x")
		}
	})
	now := time.Second
	pool := NewPool(Options{Clock: func() time.Duration { return now }})
	defer pool.Close()
	send := func() {
		r := request("r", 1)
		r.MaxIdle = 300 * time.Millisecond
		resp, err := pool.Send(t.Context(), e.target, r)
		require.NoError(t, err)
		_, err = io.ReadAll(resp)
		require.NoError(t, err)
		resp.Close()
	}
	send()
	send()
	require.Equal(t, 1, pool.Dials())
	now += time.Second
	send()
	require.Equal(t, 2, pool.Dials())
}

// Guards against closing the connection to a fast engine after each request: the
// response is read before the goroutine that wrote the request is scheduled again,
// so the request is mistaken for one that is still being written.
func TestConnectionToFastEngineIsReused(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		_, _ = io.Copy(io.Discard, conn)
	})
	c, err := NewPool(Options{Clock: clock}).dial(t.Context(), e.target.Address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.True(t, startWrite(t.Context(), c, request("r", 1)).finished())
}

// Guards against a restart of an engine that goes unnoticed because its end has not been read from the
// connections to the process before.
func TestConnectionAfterTheOthersWereClosedIsTheFirst(t *testing.T) {
	conns := make(chan *net.TCPConn, 2)
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) { conns <- conn })
	firsts := 0
	p := NewPool(Options{
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		First: func(string, time.Duration, bool) { firsts++ },
	})
	defer p.Close()
	require.NoError(t, p.Open(t.Context(), e.target, 3))
	first := <-conns
	require.Equal(t, 1, firsts)
	require.NoError(t, p.Open(t.Context(), e.target, 3))
	second := <-conns
	require.Equal(t, 1, firsts)
	require.NoError(t, first.Close())
	require.NoError(t, second.Close())
	require.NoError(t, p.Open(t.Context(), e.target, 3))
	require.Equal(t, 2, firsts)
}

// Guards against reporting a request as not sent but writing it a moment later. If
// the context ends between the opening of the connection and the first write, no
// write may start.
func TestNothingIsWrittenAfterContextEnd(t *testing.T) {
	got := make(chan int, 1)
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		n, _ := io.Copy(io.Discard, conn)
		got <- int(n)
	})
	pool := NewPool(Options{Clock: clock, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		// The connection opens although the context has ended.
		return DialTCP(context.WithoutCancel(ctx), network, address)
	}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := pool.Send(ctx, e.target, request("r", 1))
	require.True(t, ErrNotSent.Has(err), "%v", err)
	require.Zero(t, <-got)
}

// Guards against reporting an executed request as not sent: the context ends while the
// request is written, and the write returns zero bytes. Only an error from the kernel proves
// that nothing was sent.
func TestInterruptedWriteIsNotReportedAsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(Options{Clock: clock, Dial: func(context.Context, string, string) (net.Conn, error) {
			// The other end is never read.
			client, _ := net.Pipe()
			return client, nil
		}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := pool.Send(ctx, Target{ID: "e"}, request("r", 1))
		require.True(t, ErrNoResponse.Has(err), "%v", err)
		require.False(t, ErrNotSent.Has(err), "%v", err)
	})
}

// Guards against an engine that executes a request seconds after it was aborted: unacknowledged
// data must be discarded with the connection.
func TestAbortedRequestDoesNotArriveLater(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	aborted, got := make(chan struct{}), make(chan error, 1)
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		_, _ = io.ReadFull(conn, make([]byte, 1<<20))
		cancel()
		<-aborted
		_, err := io.Copy(io.Discard, conn)
		got <- err
	})
	_, err := NewPool(Options{Clock: clock}).Send(ctx, e.target, request("r", 32<<20))
	require.True(t, ErrNoResponse.Has(err), "%v", err)
	close(aborted)
	require.ErrorIs(t, <-got, syscall.ECONNRESET)
}

// Guards against responses that are left open unnoticed: a connection counts as busy until the response is closed.
func TestBusyCountsConnectionsUntilTheirResponseIsClosed(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			writeResponse(conn, "r", "ok")
		}
	})
	pool := NewPool(Options{Clock: clock})
	resp, err := pool.Send(t.Context(), e.target, request("r", 1))
	require.NoError(t, err)
	require.Equal(t, 1, pool.Busy())
	resp.Close()
	require.Zero(t, pool.Busy())
}
