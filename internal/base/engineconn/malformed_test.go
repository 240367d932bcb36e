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

// Guards against a response that is taken for a complete one although the engine has closed the connection
// at any place before its end, in the header too.
func TestResponseCutAnywhereIsNotComplete(t *testing.T) {
	for name, whole := range map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 6\r\n\r\nanswer",
		"chunks":       "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"chunked lead": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: r\r\n\r\n6\r\nanswer\r\n0\r\nX-Trailer: t\r\n\r\n",
		"no body":      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: r\r\n\r\n",
		"interim":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 6\r\n\r\nanswer",
		"no framing":   "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Last: l\r\n\r\n",
	} {
		for n := range len(whole) {
			pool := newPipePool(Options{}, func(c net.Conn) { _, _ = io.WriteString(c, whole[:n]) })
			resp, err := pool.Send(t.Context(), Target{ID: "e"}, request("r", 0))
			if err == nil {
				_, err = io.ReadAll(resp)
				resp.Close()
			}
			require.Error(t, err, "%s, cut after %q", name, whole[:n])
		}
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

// Guards against bytes of an engine in trouble that are no header of a response, and that reach a caller as an answer or
// are taken for another length of the body than the engine meant: net/http accepts most of them.
func TestMalformedHeaderIsNoResponse(t *testing.T) {
	const status, id = "HTTP/1.1 200 OK\r\n", "X-Id: r\r\n"
	for name, header := range map[string]string{
		"status 000":                   "HTTP/1.1 000 OK\r\n" + id,
		"status below 100":             "HTTP/1.1 099 OK\r\n" + id,
		"status from 600 on":           "HTTP/1.1 600 OK\r\n" + id,
		"status with a sign":           "HTTP/1.1 +20 OK\r\n" + id,
		"status of two digits":         "HTTP/1.1 20 OK\r\n" + id,
		"no status":                    "HTTP/1.1 \r\n" + id,
		"two blanks before the status": "HTTP/1.1  200 OK\r\n" + id,
		"switch of protocols":          "HTTP/1.1 101 Switching Protocols\r\n" + id,
		"control byte in the reason":   "HTTP/1.1 200 O\x01K\r\n" + id,
		"other version":                "HTTP/3.7 200 OK\r\n" + id,
		"blank in a name":              status + id + "X Y: z\r\n",
		"blank after a name":           status + id + "Content-Length : 6\r\n",
		"blank before a name":          status + " X-Y: z\r\n" + id,
		"continued line":               status + id + " continued\r\n",
		"tab in a name":                status + id + "Content-Length\t: 6\r\n",
		"control byte in a name":       status + id + "X\x01Y: z\r\n",
		"zero byte in a name":          status + id + "X\x00Y: z\r\n",
		"empty name":                   status + id + ": z\r\n",
		"no name":                      status + id + "z\r\n",
		"control byte in a value":      status + id + "X-Y: a\x02b\r\n",
		"carriage return in a value":   status + id + "X-Y: a\rb\r\n",
		"chunks with a blank":          status + id + "Transfer-Encoding : chunked\r\n",
		"chunks in HTTP/1.0":           "HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n",
		"length and chunks":            status + id + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n",
		"interim response":             "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + status + id,
		"long header":                  status + id + "X-Long: " + strings.Repeat("E", 3*readBufferSize) + "\r\nX Y: z\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			lost := 0
			pool := newPipePool(Options{Lost: func(string, time.Duration) { lost++ }}, func(c net.Conn) {
				_, _ = io.WriteString(c, header+"\r\nanswer")
				_, _ = io.Copy(io.Discard, c)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := pool.Send(ctx, Target{ID: "e"}, request("r", 0))
			require.True(t, ErrMalformed.Has(err), "%v", err)
			require.Zero(t, lost)
			require.Zero(t, pool.Busy())
		})
	}
}

// Guards against a sound header that is rejected, and against a connection that keeps the buffer of a long one.
func TestUnusualHeaderIsAResponse(t *testing.T) {
	long := strings.Repeat("E", 3*readBufferSize)
	pool := newPipePool(Options{}, func(c net.Conn) {
		for _, header := range []string{
			"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Long: " + long + "\r\nX-Y:\tz \r\n",
			"HTTP/1.1 200\r\nx-id:r\r\nX-Empty:\r\nX-Latin: \xe4\r\n",
			"HTTP/1.0 200 All is well\nX-Id: r\nConnection: keep-alive\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 599 Odd\r\nX-Id: r\r\n",
		} {
			_, _ = io.WriteString(c, header+"Content-Length: 6\r\n\r\nanswer")
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
		}
	})
	for range 4 {
		resp, err := pool.Send(t.Context(), Target{ID: "e"}, request("r", 0))
		require.NoError(t, err)
		body, err := io.ReadAll(resp)
		require.NoError(t, err)
		require.Equal(t, "answer", string(body))
		resp.Close()
		require.Equal(t, readBufferSize, resp.conn.reader.Size())
	}
	require.Equal(t, 1, pool.Dials())
	pool.Close()
}
