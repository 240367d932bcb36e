package upstream_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
)

const address = "127.0.0.1:1"

// pipeListener serves connections made of net.Pipe, so that a server and its
// clients run on the clock of one synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	dials  atomic.Int64
}

func listen(t testing.TB, h http.Handler) *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	srv := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		_ = srv.Serve(l)
		close(done)
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		l.dials.Add(1)
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// bubble runs f in a synctest bubble.
func bubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func newClient(t testing.TB, l *pipeListener, opts upstream.Options) *upstream.Client {
	opts.Dial = l.dial
	c := upstream.New(opts)
	t.Cleanup(c.Close)
	return c
}

// newEngine returns a stand-in that serves model "m", and a client to it.
func newEngine(t testing.TB, opts engine.Options) (*engine.Engine, *upstream.Client, *pipeListener) {
	e := engine.New(opts)
	t.Cleanup(e.Close)
	l := listen(t, e.Handler())
	return e, newClient(t, l, upstream.Options{}), l
}

func chatRequest(n int, words ...string) wire.ChatRequest {
	req := wire.ChatRequest{Model: "m", Stream: true, MaxTokens: n}
	for _, w := range words {
		req.Messages = append(req.Messages, wire.Message{Role: "user", Content: w})
	}
	return req
}

func chatCall(id string, req wire.ChatRequest) upstream.Call {
	body, _ := json.Marshal(req)
	return upstream.Call{Address: address, RequestID: id, Body: body, Priority: "normal"}
}

// readAll reads s to its end marker and returns the chunks' contents.
func readAll(s *upstream.Stream) ([]string, error) {
	var words []string
	for {
		ev, err := s.Next()
		if err != nil || ev.Done {
			return words, err
		}
		var c wire.Chunk
		if err := json.Unmarshal(ev.Data, &c); err != nil {
			return words, err
		}
		for _, choice := range c.Choices {
			words = append(words, choice.Delta.Content)
		}
	}
}

// sse serves a canned stream to a request id.
func sse(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		_, _ = io.WriteString(w, body)
	}
}

func chunk(id string, offset int) string {
	o := strconv.Itoa(offset)
	return "id: " + o + "\ndata: {\"id\":\"" + id + "\",\"offset\":" + o + "}\n\n"
}

const done = "data: [DONE]\n\n"

func requireFailure(t *testing.T, err error, sent upstream.Sent) *upstream.Failure {
	t.Helper()
	var f *upstream.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, sent, f.Sent, "%v", err)
	return f
}
