package engineconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/httpcheck"
)

// FuzzResponse sends arbitrary bytes as an engine, once or again and again. The router must give up or have the whole
// response, with a header that is one, keep no more than it may, and leave no connection busy.
func FuzzResponse(f *testing.F) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: r\r\n"
	for _, response := range []string{
		"", "~~~\r\n", ok, ok + "\r\nanswer", ok + "Content-Length: 6\r\n\r\nanswer", ok + "Content-Length: 6\r\n\r\nans",
		ok + "Content-Length: 6\r\nContent-Length: 7\r\n\r\nanswer", ok + "Content-Length: -1\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", ok + "Transfer-Encoding: chunked\r\n\r\n~~~\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nE", ok + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\nE\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nE" + ok + "Content-Length: 1\r\n\r\nE",
		ok + "Content-Length: 1\r\n\r\nEE", "HTTP/1.1 204 No Content\r\nX-Id: r\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Id: r\r\n\r\nanswer",
		"HTTP/1.1 000 OK\r\nX-Id: r\r\n\r\nanswer", "HTTP/1.1 999 OK\r\nX-Id: r\r\n\r\nanswer", ok + "Content-Length : 3\r\n\r\nanswer",
		ok + "X\x00: y\r\n\r\nanswer", ok + "Transfer-Encoding : chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", "\xff\x00\r\n\r\n",
	} {
		f.Add([]byte(response), false)
		f.Add([]byte(response), true)
	}
	f.Fuzz(func(t *testing.T, response []byte, endless bool) {
		taken := make(chan int, 1)
		pool := newPipePool(Options{}, func(c net.Conn) {
			if endless && len(response) > 0 {
				taken <- sendWithoutEnd(c, "", string(response))
				return
			}
			n, _ := c.Write(response)
			taken <- n
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		resp, err := pool.Send(ctx, Target{ID: "e"}, request("r", 0))
		if err == nil {
			if checkErr := httpcheck.Response(&http.Response{StatusCode: resp.Status, Header: resp.Header}); checkErr != nil {
				t.Error(checkErr)
			}
			_, err = io.Copy(io.Discard, io.LimitReader(resp, maxTaken))
			if err == nil && resp.Complete() && resp.Length >= 0 && resp.Length > int64(len(response)) && !endless {
				t.Errorf("a body of %d bytes is complete after %d bytes", resp.Length, len(response))
			}
			resp.Close()
		}
		if err == nil {
			// An idle connection takes nothing more.
			pool.Close()
		}
		if ctx.Err() != nil {
			t.Error("the response was not given up")
		}
		if pool.Busy() != 0 {
			t.Error("a connection is left busy")
		}
		// Chunks of one byte take six, and the last block may be taken in part.
		if n := <-taken; n > 8*maxTaken+len(response) {
			t.Errorf("%d bytes were taken", n)
		}
	})
}
