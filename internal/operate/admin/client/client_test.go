package client

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that are no response, which an operator gets as the confirmation of a change.
func TestMalformedResponseIsNoConfirmation(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
	} {
		router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, response)
				_ = c.Close()
			}
		}))
		t.Cleanup(router.Close)
		c, err := New(Options{Address: router.URL})
		require.NoError(t, err)
		_, err = c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/x", Body: "change"}, nil)
		require.True(t, ErrNoReply.Has(err), "%v", err)
	}
}
