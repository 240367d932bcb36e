package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/reach"
	"github.com/stretchr/testify/require"
)

// Guards against an answer without a length that the end of its engine cut short and that is given out as whole,
// because the way to the engine was lost before.
func TestAnswerWithoutLengthIsWholeOnlyIfItsEngineRuns(t *testing.T) {
	silent := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	fails := func(err error) func(context.Context) error { return func(context.Context) error { return err } }
	reached := fails(nil)
	for name, test := range map[string]struct {
		// attempts are the outcomes of the attempts to reach the engine after the answer, the last one again and again.
		attempts []func(context.Context) error
		whole    bool
		within   time.Duration
	}{
		"runs":                       {[]func(context.Context) error{reached}, true, 0},
		"ended":                      {[]func(context.Context) error{fails(syscall.ECONNREFUSED)}, false, 0},
		"ended, as another finds":    {[]func(context.Context) error{fails(reach.ErrEngineDown.New("as r2 finds"))}, false, 0},
		"nobody reaches it":          {[]func(context.Context) error{fails(reach.ErrNoRelay.New("none"))}, false, endCheckLimit},
		"path lost":                  {[]func(context.Context) error{silent}, false, endCheckLimit},
		"reached in a later attempt": {[]func(context.Context) error{silent, silent, reached}, true, endCheckLimit},
		"ended, in a later attempt":  {[]func(context.Context) error{silent, fails(syscall.ECONNREFUSED)}, false, endCheckLimit},
	} {
		for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming} {
			t.Run(fmt.Sprint(name, " ", kind), func(t *testing.T) {
				withTestRouter(t, 1, func(tr *testRouter) {
					tr.connect(func(c net.Conn, _ *http.Request) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\n\n") })
					dials := 0
					tr.f.Conns = engineconn.NewPool(engineconn.Options{Clock: tr.f.Clock, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
						dials++
						if dials > 1 {
							if err := test.attempts[min(dials-2, len(test.attempts)-1)](ctx); err != nil {
								return nil, err
							}
						}
						return tr.dial(ctx, network, address)
					}})
					x := tr.newExchange(context.Background())
					x.w = httptest.NewRecorder()
					x.route.Kind = kind
					x.trackSuspicion()
					refusal := x.forward()
					require.Equal(t, test.whole, refusal == nil)
					if refusal != nil {
						require.Equal(t, http.StatusBadGateway, refusal.Status)
					}
					require.LessOrEqual(t, tr.f.Clock()-x.started, test.within)
					require.Zero(t, tr.f.Conns.Busy())
					tr.f.Conns.Close()
				})
			})
		}
	}
}

// Guards against an answer without a length that its engine ended at the time limit of the request, and that is given
// out as whole.
func TestAnswerWithoutLengthThatEndsAtTimeLimitIsNotWhole(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Streaming} {
		withTestRouter(t, 2, func(tr *testRouter) {
			x := tr.newExchange(context.Background())
			tr.connect(func(c net.Conn, _ *http.Request) {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\n\n")
				time.Sleep(x.remaining() - time.Millisecond)
			})
			x.w = httptest.NewRecorder()
			x.route.Kind, x.route.Attempts = kind, 2
			x.trackSuspicion()
			refusal := x.forward()
			require.NotNil(t, refusal, "%v", kind)
			require.Equal(t, http.StatusGatewayTimeout, refusal.Status)
			require.Equal(t, 1, x.sends)
		})
	}
}

// Guards against the beginning of an answer without a length that is given out as the whole of it, because its engine
// answered before it had taken the request, and ended the connection while that was sent.
func TestAnswerWithoutLengthIsNotWholeIfItsRequestWasNotTaken(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Streaming} {
		withTestRouter(t, 1, func(tr *testRouter) {
			tr.connect(func(c net.Conn, _ *http.Request) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nid: 1\n\n") })
			x := tr.newExchange(context.Background())
			x.w = httptest.NewRecorder()
			x.route.Kind, x.body = kind, make([]byte, 1<<20)
			x.trackSuspicion()
			refusal := x.forward()
			require.NotNil(t, refusal, "%v", kind)
			require.Equal(t, http.StatusBadGateway, refusal.Status)
			require.Zero(t, tr.f.Conns.Busy())
			tr.f.Conns.Close()
		})
	}
}

// Guards against an answer without a length whose end was read late, and that is taken for a whole one because some
// process listens at the address of its engine, or for a truncated one though its engine runs.
func TestLateEndIsThatOfAnAnswerIfItsEngineStatesItsStart(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		status := http.StatusOK
		tr.connect(func(c net.Conn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
			_, _ = io.Copy(io.Discard, c)
		})
		x := tr.newExchange(context.Background())
		e := tr.snapshot.Engines.ForService("llm")[0]
		require.NoError(t, x.confirmRunning(context.Background(), e, endCheckLimit))
		status = http.StatusMisdirectedRequest
		require.True(t, engineconn.ErrTruncated.Has(x.confirmRunning(context.Background(), e, endCheckLimit)))
		require.NoError(t, x.confirmRunning(context.Background(), e, endCheckLimit-time.Millisecond), "some process listens")
		status, e.Born = http.StatusOK, 1
		require.True(t, engineconn.ErrTruncated.Has(x.confirmRunning(context.Background(), e, endCheckLimit)), "the start is not stated")
		tr.f.Conns.Close()
	})
}
