package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/lab/bench/fleet"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/serve/sse"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const (
	benchStep   = 2 * time.Millisecond
	benchTokens = 32
	// benchBatch exceeds the number of streams that any benchmark opens: an engine
	// finishes a stream after its connection has closed, which occupies a slot.
	benchBatch   = 40_000
	benchStreams = 20
)

// startSingle starts one router with one engine.
func startSingle(b *testing.B, step time.Duration) *fleet.Fleet {
	w := &workload.Workload{
		Name:      "single",
		Routers:   1,
		LoadBound: 100,
		Engines:   workload.Engines{Count: 1, CacheTokens: 1 << 30, MaxBatch: benchBatch, Step: step, PrefillPerMS: 1 << 20},
		Services:  workload.Services{Count: 1},
		Accounts:  []workload.Account{{Name: "account", Share: 1, Weight: 1}},
	}
	f, err := fleet.Start(context.Background(), fleet.Options{Workload: w, Bound: w.LoadBound})
	require.NoError(b, err)
	b.Cleanup(f.Close)
	return f
}

func newClient(b *testing.B, f *fleet.Fleet) *client.Client {
	a := workload.Account{Name: "account"}
	c, err := client.New(client.Options{Seeds: f.Addresses(), Key: a.Key()})
	require.NoError(b, err)
	b.Cleanup(c.Close)
	return c
}

// streamTimes are the latencies of one streamed response.
type streamTimes struct {
	first time.Duration
	gaps  []time.Duration
}

// directStream reads a stream from the engine, with the same work per chunk as
// the client library.
func directStream(c *http.Client, address string, tokens int) (streamTimes, error) {
	body, err := json.Marshal(wire.ChatRequest{
		Model: workload.Model, Stream: true, MaxTokens: tokens,
		Messages: []wire.Message{{Role: "user", Content: uuid.NewString()}},
	})
	if err != nil {
		return streamTimes{}, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+wire.PathChat, bytes.NewReader(body))
	if err != nil {
		return streamTimes{}, err
	}
	req.Header.Set(wire.HeaderRequestID, uuid.NewString())
	start := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return streamTimes{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readChunks(sse.NewReader(resp.Body, 0), start)
}

func readChunks(r *sse.Reader, last time.Time) (streamTimes, error) {
	var t streamTimes
	for {
		ev, err := r.Next()
		if err != nil {
			return t, err
		}
		if string(ev.Data) == wire.DoneMarker {
			return t, nil
		}
		var ch wire.Chunk
		if err := json.Unmarshal(ev.Data, &ch); err != nil {
			return t, err
		}
		now := time.Now()
		if t.first == 0 {
			t.first = now.Sub(last)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
	}
}

func routedStream(c *client.Client, tokens int) (streamTimes, error) {
	v := c.Conversation(uuid.NewString(), workload.Model)
	v.MaxTokens = tokens
	turn, err := v.Say(context.Background(), uuid.NewString(), nil)
	return streamTimes{first: turn.FirstToken, gaps: turn.Gaps}, err
}

func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)/2]
}

// BenchmarkAddedLatency alternates between the engine and the router in one run
// and reports the differences of the medians. Engine, router and client share
// this process and its processors.
func BenchmarkAddedLatency(b *testing.B) {
	f := startSingle(b, benchStep)
	c := newClient(b, f)
	plain := &http.Client{}
	defer plain.CloseIdleConnections()
	var with, without streamTimes
	var firstWith, firstWithout []time.Duration
	for b.Loop() {
		d, err := directStream(plain, f.Engines[0].Address(), benchTokens)
		require.NoError(b, err)
		r, err := routedStream(c, benchTokens)
		require.NoError(b, err)
		firstWithout, firstWith = append(firstWithout, d.first), append(firstWith, r.first)
		without.gaps, with.gaps = append(without.gaps, d.gaps...), append(with.gaps, r.gaps...)
	}
	without.first, with.first = median(firstWithout), median(firstWith)
	report(b, without.first, "direct-first-ms")
	report(b, with.first-without.first, "added-first-ms")
	report(b, median(without.gaps), "direct-next-ms")
	report(b, median(with.gaps)-median(without.gaps), "added-next-ms")
}

func report(b *testing.B, d time.Duration, unit string) {
	b.ReportMetric(float64(d.Microseconds())/1000, unit)
}

// BenchmarkTokenCPU reports the processor time that the router adds to one
// token. It compares the process time per token, on one processor, of direct
// streams and of the same streams through the router; the difference is the
// router's reading, checking and writing.
func BenchmarkTokenCPU(b *testing.B) {
	f := startSingle(b, benchStep)
	c := newClient(b, f)
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	defer plain.CloseIdleConnections()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var with, without time.Duration
	tokens := 0
	for b.Loop() {
		without += cpuOfStreams(b, func() error {
			_, err := directStream(plain, f.Engines[0].Address(), 10*benchTokens)
			return err
		})
		with += cpuOfStreams(b, func() error {
			_, err := routedStream(c, 10*benchTokens)
			return err
		})
		tokens += benchStreams * 10 * benchTokens
	}
	perToken := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 / float64(tokens) }
	added := perToken(with) - perToken(without)
	b.ReportMetric(perToken(without), "direct-µs/token")
	b.ReportMetric(added, "router-µs/token")
	b.ReportMetric(float64(time.Second/time.Microsecond)/added, "tokens/s-per-core")
}

// cpuOfStreams returns the processor time of the process during concurrent streams.
func cpuOfStreams(b *testing.B, stream func() error) time.Duration {
	before := cpuTime(b)
	var wg sync.WaitGroup
	failed := make([]error, benchStreams)
	for i := range failed {
		wg.Add(1)
		go func() {
			defer wg.Done()
			failed[i] = stream()
		}()
	}
	wg.Wait()
	for _, err := range failed {
		require.NoError(b, err)
	}
	return cpuTime(b) - before
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchKey returns the API key of the benchmarks' account.
func benchKey() string {
	a := workload.Account{Name: "account"}
	return a.Key()
}

// streamRequest returns a complete HTTP request for a long stream.
func streamRequest(host string) []byte {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"stream":true,"max_tokens":100000}`,
		workload.Model, uuid.NewString())
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		wire.PathChat, host, benchKey(), wire.HeaderRequestID, uuid.NewString(), len(body), body)
}
