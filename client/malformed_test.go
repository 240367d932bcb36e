package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawRouter listens until the test ends, and writes the same bytes in response to each request.
func rawRouter(t *testing.T, response string) (address string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against bytes that are no response, or the beginning of one, that a caller gets as the answer to a call.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nnone",
		"blank in a name": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Y: z\r\n\r\nnone",
		"no length":       "HTTP/1.1 200 OK\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawRouter(t, response)
			c, err := New(Options{Seeds: []string{address}, Key: "k"})
			require.NoError(t, err)
			t.Cleanup(c.Close)
			_, err = c.Locate(t.Context(), "chat", "model")
			require.True(t, ErrNoRouter.Has(err), "%v", err)
			c.locations[locateQuery{service: "s"}.cacheKey()] = cachedLocation{addresses: []string{address}, until: time.Now().Add(time.Minute)}
			_, err = c.Call(t.Context(), http.MethodPost, "s", "/x", "key", nil)
			require.True(t, ErrOutcomeUnknown.Has(err), "%v", err)
		})
	}
}
