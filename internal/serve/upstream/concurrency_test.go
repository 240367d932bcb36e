package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	engineCount      = 12
	streamsPerEngine = 100
)

// runStreams reads the given number of streams concurrently from each engine and
// checks that each stream returns the complete response to its own request.
func runStreams(t testing.TB, streams, tokens int, clients []*upstream.Client, addresses []string) {
	var wg sync.WaitGroup
	for i, c := range clients {
		for j := range streams {
			wg.Go(func() {
				id := fmt.Sprintf("r-%d-%d", i, j)
				req := chatRequest(tokens, "chat "+id)
				call := chatCall(id, req)
				call.Address = addresses[i]
				s, err := c.Stream(t.Context(), call)
				if !assert.NoError(t, err) {
					return
				}
				defer s.Close()
				contents, err := readAll(s)
				assert.NoError(t, err)
				assert.Equal(t, engine.Answer(req), contents)
			})
		}
	}
	wg.Wait()
}

// Under load, when many callers share engines, connections and buffers, no caller
// may receive chunks of another's stream.
func TestConcurrentStreamsNotMixedUp(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		var engines []*engine.Engine
		var clients []*upstream.Client
		var addresses []string
		for i := range engineCount {
			e, c, _ := newEngine(t, engine.Defaults(fmt.Sprint("e", i), "m"))
			engines = append(engines, e)
			clients = append(clients, c)
			addresses = append(addresses, address)
		}
		runStreams(t, streamsPerEngine, 20, clients, addresses)
		for _, e := range engines {
			b := e.Stats()
			require.Len(t, b.Runs, streamsPerEngine)
			require.Equal(t, b.Runs, b.Finished)
			for id, n := range b.Runs {
				require.Equal(t, 1, n, id)
			}
		}
	})
}

// BenchmarkConcurrentStreams runs 12 engines with 100 streams each over loopback,
// with the client and the stand-ins in one process. It reports CPU time per chunk.
func BenchmarkConcurrentStreams(b *testing.B) {
	const tokens = 100
	client := upstream.New(upstream.Options{})
	b.Cleanup(client.Close)
	var clients []*upstream.Client
	var addresses []string
	for i := range engineCount {
		opts := engine.Defaults(fmt.Sprint("e", i), "m")
		opts.MaxBatch = streamsPerEngine
		e := engine.New(opts)
		srv := httptest.NewServer(e.Handler())
		b.Cleanup(srv.Close)
		b.Cleanup(e.Close)
		clients = append(clients, client)
		addresses = append(addresses, hostPort(srv))
	}
	start := cpuTime(b)
	for b.Loop() {
		runStreams(b, streamsPerEngine, tokens, clients, addresses)
	}
	used := cpuTime(b) - start
	chunks := b.N * engineCount * streamsPerEngine * tokens
	b.ReportMetric(float64(used.Nanoseconds())/float64(chunks), "cpu-ns/chunk")
	b.ReportMetric(used.Seconds()/b.Elapsed().Seconds(), "cores")
}

// BenchmarkStreamChunk measures one call of Next. The server sends its chunks in
// large writes, so that nearly all of the cost is in the client.
func BenchmarkStreamChunk(b *testing.B) {
	const tail = "\ndata: {\"id\":\"r\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"offset\":0," +
		"\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"word \"},\"finish_reason\":null}]}\n\n"
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Request-Id", "r")
		var buf []byte
		for i := 0; r.Context().Err() == nil; i++ {
			buf = append(buf, "id: "...)
			buf = strconv.AppendInt(buf, int64(i), 10)
			buf = append(buf, tail...)
			if i%100 == 99 {
				_, _ = w.Write(buf)
				buf = buf[:0]
			}
		}
	}))
	b.Cleanup(srv.Close)
	c := upstream.New(upstream.Options{})
	s, err := c.Stream(b.Context(), upstream.Call{Address: hostPort(srv), RequestID: "r"})
	require.NoError(b, err)
	b.Cleanup(s.Close)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCall measures a complete call over a pooled connection, and over a new
// one as used for non-idempotent requests.
func BenchmarkCall(b *testing.B) {
	srv := httptest.NewServer(sseHandler(chunk("r", 0) + endMarker))
	b.Cleanup(srv.Close)
	c := upstream.New(upstream.Options{})
	b.Cleanup(c.Close)
	for name, idempotent := range map[string]bool{"pooled": true, "fresh": false} {
		b.Run(name, func(b *testing.B) {
			call := receiptCall("r")
			call.Address = hostPort(srv)
			call.Idempotent = idempotent
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Do(b.Context(), call); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func hostPort(srv *httptest.Server) string {
	return srv.Listener.Addr().(*net.TCPAddr).AddrPort().String()
}

func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
