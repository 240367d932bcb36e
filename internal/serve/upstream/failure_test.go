package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"
)

func receiptCall(id string) upstream.Call {
	return upstream.Call{
		Address:        address,
		RequestID:      id,
		Method:         http.MethodPost,
		Path:           service.PathReceipts,
		ContentType:    protocol.TypeJSON,
		Body:           []byte(`{"application":7}`),
		IdempotencyKey: "key-" + id,
	}
}

// closingServer executes each POST request and then closes the connection without
// a response. It responds to GET requests.
type closingServer struct {
	executions atomic.Int64
}

func (s *closingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodGet {
		return
	}
	s.executions.Add(1)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// A service executes a request and closes the connection before the response. An
// HTTP client that resends requests with an Idempotency-Key after a failure of a
// reused connection would issue two receipts. This client resends nothing, not even
// idempotent requests: a hidden retry would bypass the retry budget.
func TestFailedRequestNotResent(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		body       []byte
		executions int64
	}{
		{"non-idempotent", false, []byte("{}"), 1},
		{"non-idempotent without a body", false, nil, 1},
		{"idempotent", true, []byte("{}"), 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				srv := &closingServer{}
				c := newClient(t, listen(t, srv), upstream.Options{})
				lookup := upstream.Call{Address: address, Method: http.MethodGet, Path: "/status/1", Idempotent: true}
				_, err := c.Do(t.Context(), lookup)
				require.NoError(t, err)
				call := receiptCall("r")
				call.Body = tc.body
				call.Idempotent = tc.idempotent
				_, err = c.Do(t.Context(), call)
				requireFailure(t, err, upstream.SentNoReply)
				require.Equal(t, tc.executions, srv.executions.Load())
			})
		})
	}
}

// A service fails at each point of a call. The failure must not claim that nothing
// was executed if a receipt was issued: only X-Request-Ran proves that, no status does.
func TestServiceFailureClassification(t *testing.T) {
	cases := []struct {
		fault      service.FaultKind
		sent       upstream.Sent
		want       *errs.Class
		executions int
	}{
		{service.FaultReplyLost, upstream.SentNoReply, &upstream.ErrTransport, 1},
		{service.FaultHang, upstream.SentNoReply, &upstream.ErrTimeout, 1},
		{service.FaultSlow, upstream.SentNoReply, &upstream.ErrTimeout, 1},
		{service.FaultErrorAfter, upstream.SentNoReply, &upstream.ErrRefused, 1},
		{service.FaultErrorBefore, upstream.SentNoReply, &upstream.ErrRefused, 0},
		{service.FaultRefuse, upstream.RefusedBeforeExecuting, &upstream.ErrRefused, 0},
	}
	for _, tc := range cases {
		t.Run(string(tc.fault), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				s := service.New(service.Options{Name: "portal"})
				c := newClient(t, listen(t, s.Handler()), upstream.Options{})
				s.Inject(service.Fault{Kind: tc.fault, Count: 1, Delay: time.Minute})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := c.Do(ctx, receiptCall("r"))
				f := requireFailure(t, err, tc.sent)
				require.True(t, tc.want.Has(f), "%v", f)
				time.Sleep(2 * time.Minute)
				require.Equal(t, tc.executions, s.Stats().Executions["key-r"])
			})
		})
	}
}

// As TestServiceFailureClassification, for a chat completion.
func TestEngineFailureClassification(t *testing.T) {
	cases := []struct {
		fault      engine.FaultKind
		sent       upstream.Sent
		want       *errs.Class
		executions int
	}{
		{engine.FaultRefuse, upstream.RefusedBeforeExecuting, &upstream.ErrRefused, 0},
		{engine.FaultErrorBefore, upstream.SentNoReply, &upstream.ErrRefused, 0},
		{engine.FaultErrorAfter, upstream.SentNoReply, &upstream.ErrRefused, 1},
		{engine.FaultSilent, upstream.SentNoReply, &upstream.ErrTimeout, 1},
	}
	for _, tc := range cases {
		t.Run(string(tc.fault), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				e, c, _ := newEngine(t, engine.Defaults("e1", "m"))
				e.Inject(engine.Fault{Kind: tc.fault, Count: 1})
				_, err := c.Stream(t.Context(), chatCall("r", chatRequest(5, "x")))
				f := requireFailure(t, err, tc.sent)
				require.True(t, tc.want.Has(f), "%v", f)
				require.Equal(t, tc.executions, e.Stats().Runs["r"])
			})
		})
	}
}

// A call that was never sent must not count as possibly executed, and a call that was sent must not
// count as not sent. The dial fails, the dial hangs, or the peer never reads a byte.
func TestConnectionFailureClassification(t *testing.T) {
	failing := func(context.Context, string, string) (net.Conn, error) { return nil, errors.ErrUnsupported }
	hanging := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	unread := func(context.Context, string, string) (net.Conn, error) {
		client, _ := net.Pipe()
		return client, nil
	}
	cases := []struct {
		name string
		dial upstream.DialFunc
		sent upstream.Sent
		want *errs.Class
	}{
		{"dial fails", failing, upstream.NotSent, &upstream.ErrDial},
		{"dial hangs", hanging, upstream.NotSent, &upstream.ErrTimeout},
		{"write started but not finished", unread, upstream.SentNoReply, &upstream.ErrTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := upstream.New(upstream.Options{Dial: tc.dial})
				for _, run := range []func(context.Context) error{
					func(ctx context.Context) error { _, err := c.Do(ctx, receiptCall("r")); return err },
					func(ctx context.Context) error {
						_, err := c.Stream(ctx, chatCall("r", chatRequest(1, "x")))
						return err
					},
				} {
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					f := requireFailure(t, run(ctx), tc.sent)
					cancel()
					require.True(t, tc.want.Has(f), "%v", f)
				}
				// Lets dials that are still in progress reach their timeout.
				time.Sleep(2 * upstream.DefaultDialTimeout)
			})
		})
	}
}

// A delayed refusal of another request arrives as the response. It proves nothing
// about this request, which may have been executed.
func TestRefusalOfAnotherRequestNotTrusted(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newClient(t, listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(wire.HeaderRequestID, "other")
			w.Header().Set(wire.HeaderRan, "no")
			w.WriteHeader(http.StatusServiceUnavailable)
		})), upstream.Options{})
		_, err := c.Do(t.Context(), receiptCall("r"))
		require.True(t, upstream.ErrMismatch.Has(requireFailure(t, err, upstream.SentNoReply)), "%v", err)
		require.False(t, upstream.SentOf(err).NotExecuted())
		require.Equal(t, upstream.SentNoReply, upstream.SentOf(errors.ErrUnsupported))
	})
}
