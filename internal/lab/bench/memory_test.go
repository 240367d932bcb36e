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
	// slowStep keeps streams open without much work.
	slowStep = 2 * time.Second
	// openWait is how long streams may take to send their first bytes.
	openWait = 30 * time.Second
	mebibyte = 1 << 20
)

// BenchmarkOpenStreams reports the memory, heap and stacks, of open streams. The
// callers are bare sockets, so that they hardly count. The router's own is the
// memory of streams through it less that of streams to the engine directly.
func BenchmarkOpenStreams(b *testing.B) {
	f := single(b, slowStep)
	bare := httptest.NewServer(http.HandlerFunc(hold))
	defer bare.Close()
	var plain, straight, through int64
	for b.Loop() {
		plain = held(b, strings.TrimPrefix(bare.URL, "http://"))
		straight = held(b, f.Engines[0].Address())
		through = held(b, f.Addresses()[0])
	}
	router := through - straight
	b.ReportMetric(float64(plain)/mebibyte, "bare-server-MiB")
	b.ReportMetric(float64(router)/mebibyte, "router-MiB")
	b.ReportMetric(float64(router-plain)/mebibyte, "beyond-bare-MiB")
	b.ReportMetric(float64(router-plain)/1024/openStreams, "beyond-bare-KiB/stream")
}

// hold sends one event and keeps the stream open, as a bare Go server does.
func hold(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte("data: {}\n\n"))
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// held returns the memory that open streams to the address take.
func held(b *testing.B, address string) int64 {
	before := memory()
	conns := make([]net.Conn, 0, openStreams)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
		settle()
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
	return memory() - before
}

// awaitEvent waits until the first event has come.
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

// settle lets the servers notice that their callers have left.
func settle() { time.Sleep(slowStep) }

func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
