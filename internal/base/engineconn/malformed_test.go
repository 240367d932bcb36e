package engineconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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

// maxTaken is how much an engine gets rid of at most, in bytes, before its connection is closed.
const maxTaken = 1 << 20

// sendWithoutEnd writes a beginning and then blocks until the other end closes the connection. It returns how many
// bytes the other end has taken.
func sendWithoutEnd(c net.Conn, start, block string) (taken int) {
	n, err := io.WriteString(c, start)
	for taken = n; err == nil; taken += n {
		n, err = io.WriteString(c, block)
	}
	return taken
}

// Guards against an engine that sends bytes without end which the router keeps, waiting for a line, a header or a
// response to be complete, until its memory is used up.
func TestResponseWithoutEndIsGivenUp(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: r\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("E", 10_000)
	stray := "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 200000\r\n\r\n"
	for name, test := range map[string]struct{ start, block string }{
		"status line":       {"HTTP/1.1 200 ", long},
		"no response":       {"", long},
		"header line":       {ok + "X-Long: ", long},
		"folded line":       {ok + "X-Long: ", "E\r\n "},
		"header lines":      {ok, "X-Line: E\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim header":    {"HTTP/1.1 103 Early Hints\r\n", "Link: E\r\n"},
		"stray responses":   {"", stray + strings.Repeat("E", 200_000)},
		"stray header":      {stray + strings.Repeat("E", 200_000) + ok, "X-Line: E\r\n"},
		"stray body":        {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", long},
		"chunk size":        {chunked, "0"},
		"chunk extension":   {chunked + "1;x=", long},
		"chunk extensions":  {chunked, "1;x=" + long[:1000] + "\r\nE\r\n"},
		"chunk end":         {chunked + "1\r\nE", long},
		"trailer line":      {chunked + "0\r\nX-Long: ", long},
		"trailer lines":     {chunked + "0\r\n", "X-Line: E\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			lost := 0
			taken := make(chan int, 1)
			pool := newPipePool(Options{Lost: func(string, time.Duration) { lost++ }}, func(c net.Conn) {
				taken <- sendWithoutEnd(c, test.start, test.block)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			resp, err := pool.Send(ctx, Target{ID: "e"}, request("r", 0))
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				resp.Close()
			}
			require.True(t, ErrMalformed.Has(err), "%v", err)
			require.LessOrEqual(t, <-taken, maxTaken)
			require.Zero(t, lost)
			require.Zero(t, pool.Busy())
		})
	}
}
