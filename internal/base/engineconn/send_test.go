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

// peer is an engine whose connections are handled by a function.
type peer struct {
	engine Target
}

func newPeer(t *testing.T, handle func(conn *net.TCPConn, n int)) *peer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p := &peer{engine: Target{ID: "e", Address: ln.Addr().String()}}
	go func() {
		for n := 1; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(conn.(*net.TCPConn), n)
		}
	}()
	return p
}

const idHeader = "X-Id"

func request(id string, body int) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{idHeader: {id}}, Body: bytes.Repeat([]byte("b"), body),
		MaxIdle: time.Minute, Keep: 4, Own: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func clock() time.Duration { return time.Second }

func answerTo(conn io.Writer, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// Symptom: a request that may run once runs twice. Sequence: the engine resets the
// connection while the request is being written. Cause: a write that failed was taken
// for one that had not begun.
func TestWriteThatFailsHalfWayMayHaveExecuted(t *testing.T) {
	p := newPeer(t, func(conn *net.TCPConn, _ int) {
		_, _ = io.ReadFull(conn, make([]byte, 1000))
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	_, err := NewPool(Options{Clock: clock}).Send(t.Context(), p.engine, request("r", 32<<20))
	require.Error(t, err)
	require.False(t, ErrNotSent.Has(err), "%v", err)
	require.True(t, ErrNoAnswer.Has(err) || ErrMalformed.Has(err), "%v", err)
}

// Only where no connection was made is it sure that nothing was sent.
func TestNoConnectionMeansNotSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	_, err = NewPool(Options{Clock: clock}).Send(t.Context(), Target{ID: "e", Address: ln.Addr().String()}, request("r", 1))
	require.True(t, ErrNotSent.Has(err), "%v", err)
}

// Symptom: a caller gets the answer to another request. Sequence: an engine sends a
// second answer, late, where the answer to the next request of the connection is
// expected. Cause: whatever came first was taken.
func TestSecondAnswerOnAKeptConnectionIsPassedOver(t *testing.T) {
	p := newPeer(t, func(conn *net.TCPConn, _ int) {
		reader := bufio.NewReader(conn)
		for last := ""; ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if last != "" {
				answerTo(conn, last, "again")
			}
			last = r.Header.Get(idHeader)
			answerTo(conn, last, "answer to "+last)
		}
	})
	pool := NewPool(Options{Clock: clock})
	defer pool.Close()
	for i := range 5 {
		id := fmt.Sprint("r", i)
		answer, err := pool.Send(t.Context(), p.engine, request(id, 1))
		require.NoError(t, err)
		body, err := io.ReadAll(answer)
		require.NoError(t, err)
		answer.Close()
		require.Equal(t, "answer to "+id, string(body))
	}
}

// Symptom: half an answer is passed on as a whole one. Sequence: the engine closes the
// connection before the end that it has announced.
func TestAnswerThatEndsEarlyIsCut(t *testing.T) {
	p := newPeer(t, func(conn *net.TCPConn, _ int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r\r\nContent-Length: 10\r\n\r\nhalf", idHeader)
		_ = conn.Close()
	})
	answer, err := NewPool(Options{Clock: clock}).Send(t.Context(), p.engine, request("r", 1))
	require.NoError(t, err)
	defer answer.Close()
	body, err := io.ReadAll(answer)
	require.True(t, ErrCut.Has(err), "%v", err)
	require.Equal(t, "half", string(body))
}

// Symptom: engines work on for callers that have left. Sequence: the context ends while
// the engine works, or while its answer is read. Cause: the connection stayed open.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	p := newPeer(t, func(conn *net.TCPConn, n int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		if n == 2 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r\r\nContent-Length: 10\r\n\r\nhalf", idHeader)
		}
		_, _ = io.Copy(io.Discard, conn)
		closed <- struct{}{}
	})
	pool := NewPool(Options{Clock: clock})
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	_, err := pool.Send(ctx, p.engine, request("r", 1))
	require.True(t, ErrNoAnswer.Has(err), "%v", err)
	<-closed

	ctx, leave = context.WithCancel(t.Context())
	answer, err := pool.Send(ctx, p.engine, request("r", 1))
	require.NoError(t, err)
	defer answer.Close()
	leave()
	_, err = io.ReadAll(answer)
	require.Error(t, err)
	<-closed
}

// Symptom: the first request after a pause is lost. Sequence: an engine drops a
// connection that was idle for longer than the sender allows, without being heard.
// Cause: it was used all the same.
func TestConnectionThatWasIdleForTooLongIsNotUsed(t *testing.T) {
	p := newPeer(t, func(conn *net.TCPConn, _ int) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answerTo(conn, r.Header.Get(idHeader), "x")
		}
	})
	now := time.Second
	pool := NewPool(Options{Clock: func() time.Duration { return now }})
	defer pool.Close()
	send := func() {
		r := request("r", 1)
		r.MaxIdle = 300 * time.Millisecond
		answer, err := pool.Send(t.Context(), p.engine, r)
		require.NoError(t, err)
		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		answer.Close()
	}
	send()
	send()
	require.Equal(t, 1, pool.Dials())
	now += time.Second
	send()
	require.Equal(t, 2, pool.Dials())
}

// Symptom: connections to fast engines are closed after one request, and each request
// pays for a new one. Sequence: the answer is in and read before the goroutine that
// wrote the request gets a processor again. Cause: a request that nobody had yet said
// to be written whole was taken for one that was still being written.
func TestConnectionOfAFastEngineIsKept(t *testing.T) {
	p := newPeer(t, func(conn *net.TCPConn, _ int) {
		_, _ = io.Copy(io.Discard, conn)
	})
	c, err := NewPool(Options{Clock: clock}).dial(t.Context(), p.engine.Address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.True(t, write(t.Context(), c, request("r", 1)).finished())
}

// Symptom: "did not run" for a request that is written a moment later. Sequence: the
// caller's time ends between the connection and the first write. Cause handled: nothing is
// begun after that, and what was not begun is not sent.
func TestNothingIsWrittenAfterItsTime(t *testing.T) {
	got := make(chan int, 1)
	p := newPeer(t, func(conn *net.TCPConn, _ int) {
		n, _ := io.Copy(io.Discard, conn)
		got <- int(n)
	})
	pool := NewPool(Options{Clock: clock, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		// The connection is there although the time is over.
		return dialTCP(context.WithoutCancel(ctx), network, address)
	}})
	ctx, end := context.WithCancel(t.Context())
	end()
	_, err := pool.Send(ctx, p.engine, request("r", 1))
	require.True(t, ErrNotSent.Has(err), "%v", err)
	require.Zero(t, <-got)
}

// Symptom: "did not run" for a request that ran. Sequence: the caller's time ends while
// the request is being written, and the write says that it took nothing. Cause handled:
// only the kernel's refusal proves it.
func TestWriteThatIsCutShortHereMayHaveExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(Options{Clock: clock, Dial: func(context.Context, string, string) (net.Conn, error) {
			// Nobody reads the other end.
			client, _ := net.Pipe()
			return client, nil
		}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := pool.Send(ctx, Target{ID: "e"}, request("r", 1))
		require.True(t, ErrNoAnswer.Has(err), "%v", err)
		require.False(t, ErrNotSent.Has(err), "%v", err)
	})
}

// Guards against an engine that runs a request seconds after everybody has given it up: what it has
// not acknowledged is dropped with the connection.
func TestAbandonedRequestDoesNotArriveLater(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	abandoned, got := make(chan struct{}), make(chan error, 1)
	p := newPeer(t, func(conn *net.TCPConn, _ int) {
		_, _ = io.ReadFull(conn, make([]byte, 1<<20))
		cancel()
		<-abandoned
		_, err := io.Copy(io.Discard, conn)
		got <- err
	})
	_, err := NewPool(Options{Clock: clock}).Send(ctx, p.engine, request("r", 32<<20))
	require.True(t, ErrNoAnswer.Has(err), "%v", err)
	close(abandoned)
	require.ErrorIs(t, <-got, syscall.ECONNRESET)
}
