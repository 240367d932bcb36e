package engineconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newPipePool returns a Pool whose connections have no buffers, each handled by a function once the header of
// the first request has arrived.
func newPipePool(o Options, handle func(c net.Conn)) *Pool {
	o.Clock = clock
	o.Dial = func(context.Context, string, string) (net.Conn, error) {
		poolEnd, engineEnd := net.Pipe()
		go func() {
			defer engineEnd.Close()
			if _, err := http.ReadRequest(bufio.NewReader(engineEnd)); err == nil {
				handle(engineEnd)
			}
		}()
		return poolEnd, nil
	}
	return NewPool(o)
}

// Guards against an engine that sends bytes that are no response and is taken for one that has ended: requests
// that need a certain start of it would wait for proof or be refused.
func TestMalformedResponseIsNotTheEndOfItsEngine(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		// ends is set if the engine closes the connection after the bytes.
		ends bool
		want func(error) bool
	}{
		"header":           {"~~~\r\n", false, ErrMalformed.Has},
		"chunk":            {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n~~~\r\n", false, ErrMalformed.Has},
		"truncated header": {"HTTP/1.1 200 OK\r\nX-", true, ErrNoResponse.Has},
		"truncated body":   {"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 9\r\n\r\nans", true, ErrTruncated.Has},
		"truncated chunk":  {"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nans", true, ErrTruncated.Has},
	} {
		lost := 0
		pool := newPipePool(Options{Lost: func(string, time.Duration) { lost++ }}, func(c net.Conn) {
			_, _ = io.WriteString(c, test.response)
			if !test.ends {
				_, _ = io.Copy(io.Discard, c)
			}
		})
		resp, err := pool.Send(t.Context(), Target{ID: "e"}, request("r", 0))
		if err == nil {
			_, err = io.ReadAll(resp)
			resp.Close()
		}
		require.True(t, test.want(err), "%s: %v", name, err)
		require.Equal(t, test.ends, lost == 1, name)
		require.Zero(t, pool.Busy(), name)
	}
}
