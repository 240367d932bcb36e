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

// pipeListener accepts connections made of net.Pipe, so that a server and its
// clients use the clock of one synctest bubble.
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

// runInBubble runs f in a synctest bubble.
func runInBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func newClient(t testing.TB, l *pipeListener, opts upstream.Options) *upstream.Client {
	opts.Dial = l.dial
	c := upstream.New(opts)
	t.Cleanup(c.Close)
	return c
}

// newEngine returns a stand-in engine, a client of it and its listener.
func newEngine(t testing.TB, opts engine.Options) (*engine.Engine, *upstream.Client, *pipeListener) {
	e := engine.New(opts)
	t.Cleanup(e.Close)
	l := listen(t, e.Handler())
	return e, newClient(t, l, upstream.Options{}), l
}

func chatRequest(maxTokens int, contents ...string) wire.ChatRequest {
	req := wire.ChatRequest{Model: "m", Stream: true, MaxTokens: maxTokens}
	for _, content := range contents {
		req.Messages = append(req.Messages, wire.Message{Role: "user", Content: content})
	}
	return req
}

func chatCall(id string, req wire.ChatRequest) upstream.Call {
	body, _ := json.Marshal(req)
	return upstream.Call{Address: address, RequestID: id, Body: body, Priority: "normal"}
}

// readAll reads s to its end marker or an error and returns the contents of the
// chunks.
func readAll(s *upstream.Stream) ([]string, error) {
	var contents []string
	for {
		event, err := s.Next()
		if err != nil || event.Done {
			return contents, err
		}
		var c wire.Chunk
		if err := json.Unmarshal(event.Data, &c); err != nil {
			return contents, err
		}
		for _, choice := range c.Choices {
			contents = append(contents, choice.Delta.Content)
		}
	}
}

// sseHandler responds to every request with body as an event stream, and echoes
// the request id.
func sseHandler(body string) http.HandlerFunc {
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

const endMarker = "data: [DONE]\n\n"

func requireFailure(t *testing.T, err error, sent upstream.Sent) *upstream.Failure {
	t.Helper()
	var f *upstream.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, sent, f.Sent, "%v", err)
	return f
}
