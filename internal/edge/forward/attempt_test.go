package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// plainCodec is a Codec of messages that need no translation. All responses count as the engine's own.
type plainCodec struct{}

const headerLastEvent = "Last-Event-Id"

func (plainCodec) Decode(*http.Request) (Request, error) { return Request{}, nil }

func (plainCodec) EngineHeader(_ http.Header, _ *Request, s EngineRequestInfo) http.Header {
	h := http.Header{}
	if s.LastEvent != "" {
		h.Set(headerLastEvent, s.LastEvent)
	}
	return h
}

func (plainCodec) Reply(status int, _ http.Header) Reply {
	return Reply{Sealed: true, NotExecuted: status == http.StatusServiceUnavailable}
}

func (plainCodec) StartRequest(catalog.Engine) (method, target string, header http.Header) {
	return http.MethodGet, "/start", nil
}

func (plainCodec) StartOf(int, []byte) (int64, error) { return 0, ErrRequest.New("none") }

func (plainCodec) CallerHeader(http.Header, http.Header) {}

func (plainCodec) Refusal(http.Header, string) {}

// connect makes the router send requests to engines that are handled by a function, each on a connection of
// its own.
func (tr *testRouter) connect(handle func(c net.Conn, r *http.Request)) {
	tr.f.Codec = plainCodec{}
	tr.f.Budget = NewRetryBudgets(func() RetryBudgetLimits {
		return RetryBudgetLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second}
	}, func() int { return 1 })
	tr.f.Routers = func() int { return 1 }
	tr.dial = func(context.Context, string, string) (net.Conn, error) {
		routerEnd, engineEnd := net.Pipe()
		go func() {
			defer engineEnd.Close()
			if r, err := http.ReadRequest(bufio.NewReader(engineEnd)); err == nil {
				handle(engineEnd, r)
			}
		}()
		return routerEnd, nil
	}
	tr.f.Conns = engineconn.NewPool(engineconn.Options{Clock: tr.f.Clock, Dial: tr.dial})
}

// setVersion sets the version of all engines.
func (tr *testRouter) setVersion(version string) {
	u := catalog.EngineUpdate{Full: true, Upto: tr.snapshot.Engines.Upto + 1}
	for _, e := range tr.snapshot.Engines.ForService("llm") {
		e.Version, e.Revision = version, u.Upto
		u.Present = append(u.Present, e)
	}
	tr.snapshot, _ = tr.snapshot.WithEngines(u, tr.f.Clock(), time.Second, 0)
}

// Guards against slots and permits that a stream occupies at the engine where it broke while it goes on at
// another one.
func TestBrokenStreamFreesItsSlotWhenResumed(t *testing.T) {
	withTestRouter(t, 2, func(tr *testRouter) {
		finish := make(chan struct{})
		leasesAtBreak := 0
		tr.connect(func(c net.Conn, r *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			if r.Header.Get(headerLastEvent) == "" {
				leasesAtBreak = tr.owner.Load().Leases
				fmt.Fprint(c, "7\r\nid: 1\n\n\r\n~~~ not a chunk ~~~\r\n")
				_, _ = io.Copy(io.Discard, c)
				return
			}
			<-finish
			fmt.Fprint(c, "7\r\nid: 2\n\n\r\n0\r\n\r\n")
		})
		tr.setVersion("v1")
		// Permits are needed for a while after the service was full.
		tr.setOtherLoads(80)
		_, refusal := tr.newExchange(context.Background()).chooseFirst(notExecuted(ReasonNoEngine, retryLater))
		require.NotNil(t, refusal)
		tr.setOtherLoads(5)
		x := tr.newExchange(context.Background())
		x.route.Resumable, x.route.Attempts = true, 2
		answer := httptest.NewRecorder()
		x.w = answer
		x.trackSuspicion()
		done := make(chan *Refusal, 1)
		go func() { done <- x.forward() }()
		synctest.Wait()
		select {
		case r := <-done:
			t.Fatalf("ended: %+v", r)
		default:
		}
		own := tr.f.Engines.OwnLoads()
		require.Equal(t, 1, own["e0"].InFlight+own["e1"].InFlight)
		require.Equal(t, 1, leasesAtBreak)
		require.Zero(t, tr.owner.Load().Leases)
		require.Equal(t, 1, tr.f.Conns.Busy())
		close(finish)
		require.Nil(t, <-done)
		require.Equal(t, "id: 1\n\nid: 2\n\n", answer.Body.String())
		own = tr.f.Engines.OwnLoads()
		require.Zero(t, own["e0"].InFlight+own["e1"].InFlight)
	})
}

// countUntilClosed writes blocks until the other end closes the connection, and returns the bytes that it has taken.
func countUntilClosed(c net.Conn, block string) (taken int) {
	block = strings.Repeat(block, 1+1000/len(block))
	for {
		n, err := io.WriteString(c, block)
		taken += n
		if err != nil {
			return taken
		}
	}
}

// Guards against a request that waits for the body of an engine's refusal until its deadline, or reads it without
// end, although another engine serves it.
func TestBodyOfRefusalDelaysNoRequest(t *testing.T) {
	for name, body := range map[string]func(c net.Conn) int{
		"stalls":     func(c net.Conn) int { n, _ := io.Copy(io.Discard, c); return int(n) },
		"has no end": func(c net.Conn) int { return countUntilClosed(c, "x") },
		"trickles": func(c net.Conn) int {
			for n := 0; ; n++ {
				if _, err := io.WriteString(c, "x"); err != nil {
					return n
				}
				time.Sleep(10 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withTestRouter(t, 2, func(tr *testRouter) {
				var refused atomic.Bool
				taken := make(chan int, 1)
				tr.connect(func(c net.Conn, _ *http.Request) {
					if refused.CompareAndSwap(false, true) {
						fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 1000000000\r\n\r\n")
						taken <- body(c)
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n")
				})
				x := tr.newExchange(context.Background())
				answer := httptest.NewRecorder()
				x.w = answer
				x.trackSuspicion()
				require.Nil(t, x.forward())
				require.Equal(t, "id: 1\n\n", answer.Body.String())
				require.Less(t, tr.f.Clock()-x.started, x.route.Objective/4)
				require.LessOrEqual(t, <-taken, 2*maxRefusalBody)
				require.Zero(t, tr.f.Conns.Busy())
			})
		})
	}
}

// Guards against the memory of an answer that was discarded and stays counted while the request is at the next
// engine, so that others are refused.
func TestDiscardedAnswerHoldsNoMemory(t *testing.T) {
	const size = 10 * memoryStep
	for kind, head := range map[catalog.Kind]string{
		catalog.Idempotent: "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n",
		catalog.Streaming:  "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nid: 1\n\n",
	} {
		withTestRouter(t, 2, func(tr *testRouter) {
			tr.f.SetMemory(1 << 30)
			tr.setVersion("v1")
			finish, requests := make(chan struct{}), 0
			tr.connect(func(c net.Conn, r *http.Request) {
				requests++
				if requests == 1 {
					fmt.Fprint(c, head, strings.Repeat("x", size))
					return
				}
				<-finish
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nid: 2\n\n")
			})
			x, refusal := tr.newHeldExchange(httptest.NewRecorder())
			require.Nil(t, refusal)
			x.route.Kind, x.route.Resumable, x.route.Attempts = kind, true, 2
			x.trackSuspicion()
			done := make(chan *Refusal, 1)
			go func() { done <- x.forward() }()
			synctest.Wait()
			require.Equal(t, 2, requests)
			require.Equal(t, int64(exchangeMemory), tr.f.Memory().Used, "%v", kind)
			close(finish)
			require.Nil(t, <-done)
			x.releaseMemory()
			require.Zero(t, tr.f.Memory().Used)
		})
	}
}

// Guards against an engine that sends a body without end, which the router keeps or relays until its memory is used
// up or the caller leaves. The connection is closed, and another engine serves the request if it may be repeated.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const event = "id: 1\n\n"
	for name, test := range map[string]struct {
		kind         catalog.Kind
		start, block string
		want         string
	}{
		"without length":              {catalog.Idempotent, ok, "E", event},
		"chunks":                      {catalog.Idempotent, chunked, "1\r\nE\r\n", event},
		"announced length":            {catalog.Idempotent, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "E", event},
		"not repeatable":              {catalog.NonIdempotent, ok, "E", ""},
		"event":                       {catalog.Streaming, ok, "E", event},
		"event of empty fields":       {catalog.Streaming, ok, "data:\n", event},
		"event in chunks":             {catalog.Streaming, chunked, "1\r\nE\r\n", event},
		"event after the first":       {catalog.Streaming, ok + "id: 0\n\n", "E", "id: 0\n\n" + event},
		"event after one, in chunks":  {catalog.Streaming, chunked + "7\r\nid: 0\n\n\r\n", "1\r\nE\r\n", "id: 0\n\n" + event},
		"chunk size of a later chunk": {catalog.Streaming, chunked + "7\r\nid: 0\n\n\r\n", "0", "id: 0\n\n" + event},
	} {
		t.Run(name, func(t *testing.T) {
			withTestRouter(t, 2, func(tr *testRouter) {
				tr.f.SetMemory(1 << 30)
				tr.setVersion("v1")
				first, taken := true, make(chan int, 1)
				tr.connect(func(c net.Conn, _ *http.Request) {
					if first {
						first = false
						fmt.Fprint(c, test.start)
						taken <- countUntilClosed(c, test.block)
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
				})
				answer := httptest.NewRecorder()
				x, refusal := tr.newHeldExchange(answer)
				require.Nil(t, refusal)
				x.route.Kind, x.route.Resumable, x.route.Attempts = test.kind, true, 2
				x.trackSuspicion()
				refusal = x.forward()
				if test.want == "" {
					require.Equal(t, ReasonBadAnswer, refusal.Reason)
					require.Equal(t, http.StatusBadGateway, refusal.Status)
				} else {
					require.Nil(t, refusal)
				}
				require.Equal(t, test.want, answer.Body.String())
				// Chunks of one byte take six.
				require.LessOrEqual(t, <-taken, len(test.block)*(maxBufferedResponse+maxBufferedResponse/8))
				require.Zero(t, tr.f.Conns.Busy())
				x.releaseMemory()
				require.Zero(t, tr.f.Memory().Used)
				require.Less(t, tr.f.Clock()-x.started, x.route.Objective)
			})
		})
	}
}

// Guards against a body without end that is relayed while the router has no memory to keep it: the caller gets an
// answer that is not complete, and the connection to the engine is closed.
func TestBodyWithoutEndIsGivenUpWithoutMemory(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		tr.f.SetMemory(2 * exchangeMemory)
		taken := make(chan int, 1)
		tr.connect(func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n")
			taken <- countUntilClosed(c, "E")
		})
		answer := httptest.NewRecorder()
		x, refusal := tr.newHeldExchange(answer)
		require.Nil(t, refusal)
		x.route.Kind = catalog.Idempotent
		x.trackSuspicion()
		require.NotNil(t, x.forward())
		require.True(t, x.responded.Load())
		require.LessOrEqual(t, answer.Body.Len(), maxBufferedResponse)
		require.LessOrEqual(t, <-taken, maxBufferedResponse+maxBufferedResponse/8)
		require.Zero(t, tr.f.Conns.Busy())
		require.Equal(t, "1", tr.f.Stats().Vars().Get("engine_responses_too_long").String())
	})
}
