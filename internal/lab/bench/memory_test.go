package bench

import (
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	openStreams = 2000
	// slowStep keeps streams open at a low token rate.
	slowStep = 2 * time.Second
	// openWait bounds the wait for the first bytes of a stream.
	openWait = 30 * time.Second
	mebibyte = 1 << 20
)

// BenchmarkOpenStreams reports the memory (heap and stacks) of open streams.
// The callers are plain sockets, so that they use little memory. The router's
// share is the memory of streams through it minus that of direct streams.
func BenchmarkOpenStreams(b *testing.B) {
	f := startSingle(b, slowStep)
	bare := httptest.NewServer(http.HandlerFunc(holdStream))
	defer bare.Close()
	var plain, direct, routed int64
	for b.Loop() {
		plain = streamMemory(b, strings.TrimPrefix(bare.URL, "http://"))
		direct = streamMemory(b, f.Engines[0].Address())
		routed = streamMemory(b, f.Addresses()[0])
	}
	router := routed - direct
	b.ReportMetric(float64(plain)/mebibyte, "bare-server-MiB")
	b.ReportMetric(float64(router)/mebibyte, "router-MiB")
	b.ReportMetric(float64(router-plain)/mebibyte, "beyond-bare-MiB")
	b.ReportMetric(float64(router-plain)/1024/openStreams, "beyond-bare-KiB/stream")
}

// holdStream sends one event and keeps the stream open, like a minimal Go server.
func holdStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte("data: {}\n\n"))
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// streamMemory returns the memory that open streams to the address use.
func streamMemory(b *testing.B, address string) int64 {
	before := memoryInUse()
	conns := make([]net.Conn, 0, openStreams)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
		awaitClosed()
	}()
	for range openStreams {
		c, err := net.Dial("tcp", address)
		require.NoError(b, err)
		conns = append(conns, c)
		_, err = c.Write(streamRequest(address))
		require.NoError(b, err)
	}
	for _, c := range conns {
		awaitEvent(b, c)
	}
	return memoryInUse() - before
}

// awaitEvent waits until the first event has arrived.
func awaitEvent(b *testing.B, c net.Conn) {
	require.NoError(b, c.SetReadDeadline(time.Now().Add(openWait)))
	buf := make([]byte, 4096)
	var got strings.Builder
	for !strings.Contains(got.String(), "data: ") {
		n, err := c.Read(buf)
		require.NoError(b, err, "so far: %q", got.String())
		got.Write(buf[:n])
	}
	require.Contains(b, got.String(), " 200 OK")
}

// awaitClosed lets the servers detect the closed connections.
func awaitClosed() { time.Sleep(slowStep) }

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
