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
	// benchBatch is beyond what any benchmark here opens: an engine finishes a
	// stream whose caller left without a word, and it counts until then.
	benchBatch   = 40_000
	benchStreams = 20
)

// single starts one router before one engine.
func single(b *testing.B, step time.Duration) *fleet.Fleet {
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

func callers(b *testing.B, f *fleet.Fleet) *client.Client {
	a := workload.Account{Name: "account"}
	c, err := client.New(client.Options{Seeds: f.Addresses(), Key: a.Key()})
	require.NoError(b, err)
	b.Cleanup(c.Close)
	return c
}

// times are those of one streamed answer.
type times struct {
	first time.Duration
	gaps  []time.Duration
}

// direct asks the engine itself, with the work that the callers' library does
// for each chunk.
func direct(c *http.Client, address string, tokens int) (times, error) {
	body, err := json.Marshal(wire.ChatRequest{
		Model: workload.Model, Stream: true, MaxTokens: tokens,
		Messages: []wire.Message{{Role: "user", Content: uuid.NewString()}},
	})
	if err != nil {
		return times{}, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+wire.PathChat, bytes.NewReader(body))
	if err != nil {
		return times{}, err
	}
	req.Header.Set(wire.HeaderRequestID, uuid.NewString())
	start := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return times{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readAll(sse.NewReader(resp.Body, 0), start)
}

func readAll(r *sse.Reader, last time.Time) (times, error) {
	var t times
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

func routed(c *client.Client, tokens int) (times, error) {
	v := c.Conversation(uuid.NewString(), workload.Model)
	v.MaxTokens = tokens
	turn, err := v.Say(context.Background(), uuid.NewString(), nil)
	return times{first: turn.FirstToken, gaps: turn.Gaps}, err
}

func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)/2]
}

// BenchmarkAddedLatency asks the same engine in turn with and without the
// router, in one run, and reports the differences of the medians. Engine,
// router and callers share this process and its processors.
func BenchmarkAddedLatency(b *testing.B) {
	f := single(b, benchStep)
	c := callers(b, f)
	plain := &http.Client{}
	defer plain.CloseIdleConnections()
	var with, without times
	var firstWith, firstWithout []time.Duration
	for b.Loop() {
		d, err := direct(plain, f.Engines[0].Address(), benchTokens)
		require.NoError(b, err)
		r, err := routed(c, benchTokens)
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
// token. The process's time per token is taken on one processor with callers
// that go to the engine directly, and with the same callers through the
// router; the difference is the router's own reading, checking and writing.
func BenchmarkTokenCPU(b *testing.B) {
	f := single(b, benchStep)
	c := callers(b, f)
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	defer plain.CloseIdleConnections()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var with, without time.Duration
	tokens := 0
	for b.Loop() {
		without += cpuOf(b, func() error {
			_, err := direct(plain, f.Engines[0].Address(), 10*benchTokens)
			return err
		})
		with += cpuOf(b, func() error {
			_, err := routed(c, 10*benchTokens)
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

// cpuOf returns the processor time of the process while streams run side by side.
func cpuOf(b *testing.B, stream func() error) time.Duration {
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

// benchKey is the API key of the benchmarks' account.
func benchKey() string {
	a := workload.Account{Name: "account"}
	return a.Key()
}

// streamRequest is a whole HTTP request for a long stream.
func streamRequest(host string) []byte {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"stream":true,"max_tokens":100000}`,
		workload.Model, uuid.NewString())
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		wire.PathChat, host, benchKey(), wire.HeaderRequestID, uuid.NewString(), len(body), body)
}
