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

// Guards against an answer that ends with an ordinary close of its connection and is taken for one that was reset.
func TestClosedConnectionIsNotAReset(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": r\r\n\r\nanswer")
		}
		_ = conn.Close()
	})
	for _, bodyLen := range []int{0, 1, 1 << 20} {
		resp, err := NewPool(Options{Clock: clock}).Send(t.Context(), e.target, request("r", bodyLen))
		require.NoError(t, err)
		body, err := io.ReadAll(resp)
		require.NoError(t, err)
		require.Equal(t, "answer", string(body))
		require.True(t, resp.Complete())
		resp.Close()
	}
}

// Guards against an end that seems to have just arrived because it has just been read.
func TestEndAgeCountsFromTheLastData(t *testing.T) {
	e := newTestEngine(t, func(conn *net.TCPConn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, unframed)
		}
		_ = conn.Close()
	})
	resp, err := NewPool(Options{Clock: clock}).Send(t.Context(), e.target, request("r", 0))
	require.NoError(t, err)
	t.Cleanup(resp.Close)
	const pause = 300 * time.Millisecond
	time.Sleep(pause)
	_, err = io.ReadAll(resp)
	require.NoError(t, err)
	require.Greater(t, resp.EndAge(), pause/2)
}
