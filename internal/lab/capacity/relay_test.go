package capacity_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/decide/prefix"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/quota"
	"damaskrouter.example/damaskrouter/internal/serve/traffic"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
)

const (
	relayEngines = 6
	perEngine    = 40
	// stepTime is the target's time between two tokens.
	stepTime     = 53 * time.Millisecond
	answerTokens = 100
)

// relayBench is one router with its real traffic layer, admission and limits, in
// front of stand-in engines.
type relayBench struct {
	router  string
	engines []string
	key     string
}

func newRelayBench(b *testing.B) *relayBench {
	f := newFleet(b, capacity.Size{Routers: 1, Engines: relayEngines, Pools: 1, Accounts: 10, Sites: 1, Regions: 1})
	r := &relayBench{key: capacity.AccountName(0)}
	var reports []wire.EngineStatus
	for name, e := range f.Engines {
		opts := engine.Defaults(name, e.Status.Model)
		opts.Version, opts.Adapters = e.Status.Version, e.Status.Adapters
		opts.StepTime, opts.MaxBatch, opts.ReportLag = stepTime, 2*perEngine, 0
		standIn := engine.New(opts)
		b.Cleanup(standIn.Close)
		srv := httptest.NewServer(standIn.Handler())
		b.Cleanup(srv.Close)
		e.Address = srv.Listener.Addr().String()
		e.Status = standIn.Status()
		f.Engines[name] = e
		r.engines = append(r.engines, srv.URL)
		reports = append(reports, e.Status)
	}
	bd := f.Start(benchContext(b), self)
	adm := newAdmission(b, bd, self, new(peer.Counters))
	adm.Sync(bd.Snapshot())
	for _, st := range reports {
		e := f.Engines[st.Name]
		adm.EngineReport(&e, st)
	}
	srv := httptest.NewServer(newTraffic(b, bd, adm).Handler())
	b.Cleanup(srv.Close)
	r.router = srv.URL
	return r
}

func newTraffic(b *testing.B, bd *board.Board, adm *admission.Admission) *traffic.Server {
	cacheIndex, err := admission.NewCacheIndex(admission.DefaultRecentChats, 1)
	require.NoError(b, err)
	codec, err := token.NewCodec(token.Key{ID: 1, Secret: []byte(strings.Repeat("s", token.MinSecretBytes))})
	require.NoError(b, err)
	fake := platformtest.New()
	return traffic.New(traffic.Options{
		Board: bd, Admitter: adm, Facts: cacheIndex, Name: self, Tokens: codec,
		Quota:    quota.New(quota.Options{Board: bd, Self: self, Instance: 1, Rand: rand.New(rand.NewPCG(1, 1))}),
		Upstream: upstream.New(upstream.Options{}),
		Claims:   claim.New(fake, fake.Objects(), self, uuid.NewString),
		Log:      log.New(io.Discard),
	})
}

// stream requests a streamed response from the URL and reads it to the end.
func (r *relayBench) stream(b *testing.B, url string, n int) {
	body, err := json.Marshal(wire.ChatRequest{
		Model: "model-0", Stream: true, MaxTokens: answerTokens,
		Messages: []wire.Message{{Role: "user", Content: fmt.Sprint("chat ", n)}},
	})
	require.NoError(b, err)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+wire.PathChat, bytes.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderRequestID, uuid.NewString())
	req.Header.Set(wire.HeaderChatID, fmt.Sprint("chat-", n))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !bytes.Contains(response, []byte(wire.DoneMarker)) {
		b.Error("incomplete response", resp.StatusCode, err, len(response))
	}
}

// BenchmarkRelay streams responses at the target's token rate, directly from the engines and
// through one router, with callers and engines in the same process. The difference is the router's
// own processor time and memory.
func BenchmarkRelay(b *testing.B) {
	for _, via := range []string{"engine", "router"} {
		b.Run("from="+via, func(b *testing.B) {
			r := newRelayBench(b)
			urls := r.engines
			if via == "router" {
				urls = []string{r.router}
			}
			const streams = relayEngines * perEngine
			idle := memoryInUse()
			var open float64
			cpu := processorTime(b)
			for b.Loop() {
				var wg sync.WaitGroup
				for n := range streams {
					wg.Go(func() { r.stream(b, urls[n%len(urls)], n) })
				}
				time.Sleep(answerTokens / 2 * stepTime)
				open = memoryInUse()
				wg.Wait()
			}
			cpu = processorTime(b) - cpu
			tokens := float64(b.N * streams * answerTokens)
			b.ReportMetric(float64(cpu.Nanoseconds())/tokens, "cpu-ns/token")
			b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric((open-idle)/streams, "B/stream")
		})
	}
}

// BenchmarkLocate sends one locate request for a chat over a reused connection, with caller and
// router in the same process.
func BenchmarkLocate(b *testing.B) {
	r := newRelayBench(b)
	cpu := processorTime(b)
	n := 0
	for b.Loop() {
		n++
		r.locate(b, fmt.Sprint("chat-", n))
	}
	cpu = processorTime(b) - cpu
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/locate")
}

func (r *relayBench) locate(b *testing.B, chat string) {
	url := r.router + wire.PathLocate + "?model=model-0&chat=" + chat
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+r.key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	require.Equal(b, http.StatusOK, resp.StatusCode)
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkCacheIndexMemory measures the memory of a router's index of recent chats and
// of the caches of the engines that it owns, with all tables full.
func BenchmarkCacheIndexMemory(b *testing.B) {
	for _, owned := range []int{0, 2, 4, 8} {
		b.Run(fmt.Sprintf("owned=%d", owned), func(b *testing.B) {
			var total float64
			for b.Loop() {
				total = heapSize(func() any { return fullCacheIndex(b, owned) })
			}
			b.ReportMetric(total, "heap-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func fullCacheIndex(b *testing.B, owned int) *admission.CacheIndex {
	cacheIndex, err := admission.NewCacheIndex(admission.DefaultRecentChats, 1)
	require.NoError(b, err)
	rng := rand.New(rand.NewPCG(1, 1))
	for range admission.DefaultRecentChats {
		cacheIndex.RecordServed(rng.Uint64(), randomLocation(rng))
	}
	const viewPrefixes, pageSize = 20_000, 500
	for e := range uint64(owned) {
		_, err := cacheIndex.Follow(e + 1)
		require.NoError(b, err)
		for after := uint64(0); after < viewPrefixes; after += pageSize {
			cacheIndex.Apply(e+1, eventPage(after, pageSize))
		}
	}
	return cacheIndex
}

// randomLocation returns the location of a random chat's prefix at one of the target's engines.
func randomLocation(rng *rand.Rand) prefix.Location {
	return prefix.Location{
		Engine:      1 + rng.Uint64N(uint64(capacity.Target().Engines)),
		Incarnation: 1,
		Prefix:      rng.Uint64(),
		Tokens:      4000,
	}
}
