package engineconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const unframed = "HTTP/1.1 200 OK\r\n" + idHeader + ": r\r\n\r\npart"

// startReset sends a request to an engine that begins an answer without a length, and resets the connection once the
// beginning was read. It returns the response, of which the rest is to be read.
func startReset(t *testing.T, pool *Pool, bodyLen int) *Response {
	read := make(chan struct{})
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, unframed)
		}
		<-read
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	resp, err := pool.Send(t.Context(), e.target, request("r", bodyLen))
	require.NoError(t, err)
	t.Cleanup(resp.Close)
	_, err = io.ReadFull(resp, make([]byte, len("part")))
	require.NoError(t, err)
	close(read)
	return resp
}

func requireTruncated(t *testing.T, resp *Response) {
	_, err := io.ReadAll(resp)
	require.True(t, ErrTruncated.Has(err), "%v", err)
	require.False(t, resp.Complete())
}

// Guards against an answer that a reset cuts short and that counts as complete, because the kernel reports the reset
// once only, and a look at the connection for another request got it.
func TestResetSeenByALookForAnotherRequestTruncatesTheAnswer(t *testing.T) {
	pool := NewPool(Options{Clock: clock})
	resp := startReset(t, pool, 1)
	require.Eventually(t, func() bool { return !pool.Survives("e", time.Hour) }, time.Second, time.Millisecond)
	requireTruncated(t, resp)
}

// Guards against the same by the look at the connection of an answer in progress.
func TestResetSeenByALookAtTheAnswerTruncatesIt(t *testing.T) {
	resp := startReset(t, NewPool(Options{Clock: clock}), 1)
	require.Eventually(t, func() bool { return !resp.Open() }, time.Second, time.Millisecond)
	requireTruncated(t, resp)
}

// Guards against the same by the writing of a request that is answered before it has been read.
func TestResetDuringTheUploadTruncatesTheAnswer(t *testing.T) {
	resp := startReset(t, NewPool(Options{Clock: clock}), 32<<20)
	<-resp.write.done
	requireTruncated(t, resp)
}

// Guards against an answer without a length that counts as complete though its engine has closed the connection before
// it had taken the request: what was still to be sent resets the connection a moment later.
func TestCloseDuringTheUploadTruncatesTheAnswer(t *testing.T) {
	pool := newPipePool(Options{}, func(c net.Conn) { _, _ = io.WriteString(c, unframed) })
	resp, err := pool.Send(t.Context(), Target{ID: "e"}, request("r", 1<<20))
	require.NoError(t, err)
	requireTruncated(t, resp)
	resp.Close()
	require.Zero(t, pool.Busy())
}

// Guards against an answer with a length that is given up because its engine has not read the request.
func TestAnswerToUnreadUploadIsCompleteByItsLength(t *testing.T) {
	pool := newPipePool(Options{}, func(c net.Conn) { writeResponse(c, "r", "answer") })
	resp, err := pool.Send(t.Context(), Target{ID: "e"}, request("r", 1<<20))
	require.NoError(t, err)
	body, err := io.ReadAll(resp)
	require.NoError(t, err)
	require.Equal(t, "answer", string(body))
	resp.Close()
	require.Zero(t, pool.Busy())
}
