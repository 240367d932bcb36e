package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func runEngine(t *testing.T, opts Options, f func(t *testing.T, e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		e := New(opts)
		defer e.Close()
		f(t, e)
	})
}

// post sends a chat request to the handler and returns the recorded response.
func post(e *Engine, id, priority string, req wire.ChatRequest) *httptest.ResponseRecorder {
	body, _ := json.Marshal(req)
	r := httptest.NewRequest(http.MethodPost, wire.PathChat, strings.NewReader(string(body)))
	r.Header.Set(wire.HeaderRequestID, id)
	r.Header.Set(wire.HeaderPriority, priority)
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	return w
}

func chatRequest(tokens int, contents ...string) wire.ChatRequest {
	req := wire.ChatRequest{Model: "m", MaxTokens: tokens}
	for _, c := range contents {
		req.Messages = append(req.Messages, wire.Message{Role: "user", Content: c})
	}
	return req
}

func completion(t *testing.T, w *httptest.ResponseRecorder) wire.Completion {
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	var c wire.Completion
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &c))
	return c
}

func TestAnswerDependsOnWholeConversation(t *testing.T) {
	seen := map[string]bool{}
	reqs := []wire.ChatRequest{chatRequest(5), chatRequest(5, "a"), chatRequest(5, "a", "b"), chatRequest(5, "ab"), chatRequest(5, "b", "a")}
	reqs = append(reqs, wire.ChatRequest{Model: "n", MaxTokens: 5, Messages: chatRequest(5, "a").Messages})
	for _, r := range reqs {
		require.Len(t, Answer(r), 5)
		require.Equal(t, AnswerText(r), AnswerText(r))
		require.False(t, seen[AnswerText(r)])
		seen[AnswerText(r)] = true
	}
}

func TestAppendChunkMatchesWireEncoding(t *testing.T) {
	j := newJob(`r"1`, "", chatRequest(3, "x"))
	for i, word := range Answer(j.req) {
		want := wire.Chunk{
			ID: j.id, Object: protocol.ObjectChunk, Model: "m", Offset: i,
			Choices: []wire.ChunkChoice{{Delta: wire.Message{Role: roleAssistant, Content: word}}},
		}
		if i == 2 {
			stop, usage := finishStop, j.usage()
			want.Choices[0].FinishReason = &stop
			want.Usage = &usage
		}
		b, err := json.Marshal(want)
		require.NoError(t, err)
		require.Equal(t, string(b), string(j.appendChunk(nil, i)))
	}
}

func TestReturningTurnHitsPrefixCache(t *testing.T) {
	runEngine(t, Defaults("e", "m"), func(t *testing.T, e *Engine) {
		req := chatRequest(10, strings.Repeat("dossier ", 50))
		first := completion(t, post(e, "r1", "", req))
		require.Zero(t, first.Usage.CachedTokens)
		turn := wire.Message{Role: roleAssistant, Content: first.Choices[0].Message.Content}
		req.Messages = append(req.Messages, turn)
		known := chat.Boundaries("m", "", req.Messages)
		req.Messages = append(req.Messages, wire.Message{Role: "user", Content: "and now?"})
		second := completion(t, post(e, "r2", "", req))
		require.Equal(t, known[len(known)-1].Tokens, second.Usage.CachedTokens)
		e.Restart()
		third := completion(t, post(e, "r3", "", req))
		require.Zero(t, third.Usage.CachedTokens, "a new incarnation has an empty cache")
		b := e.Stats()
		require.EqualValues(t, second.Usage.CachedTokens, b.CachedTokens)
		require.EqualValues(t, 2, b.Incarnation)
	})
}

// The cache never exceeds its limit, and never holds a block without the blocks
// that precede it.
func TestCacheRespectsLimitAndChains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 200).Draw(t, "limit")
		cached := map[uint64]bool{}
		c := newPrefixCache(limit, func(k wire.CacheEventKind, b block) { cached[b.Hash] = k == wire.CacheStored })
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			words := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "bbbbbbbb", strings.Repeat("c", 99)}), 1, 6).Draw(t, "words")
			bs := chat.Boundaries("m", "", chatRequest(1, words...).Messages)
			require.LessOrEqual(t, c.lookup(bs), bs[len(bs)-1].Tokens)
			c.store(bs)
			require.LessOrEqual(t, c.used, limit)
			sum := int64(0)
			for _, b := range c.lru.Values() {
				sum += b.Cost
				require.True(t, b.Parent == 0 || c.lru.Contains(b.Parent))
				require.True(t, cached[b.Hash], "events must report the cached blocks")
			}
			require.Equal(t, sum, c.used)
		}
	})
}

func TestQueueRespectsPriorityAndLimits(t *testing.T) {
	opts := Defaults("e", "m")
	opts.MaxBatch, opts.MaxQueue, opts.PrefillPerMS = 1, 3, 0
	runEngine(t, opts, func(t *testing.T, e *Engine) {
		ended := make(chan string, 4)
		start := func(id, priority string) {
			go func() {
				post(e, id, priority, chatRequest(5, id))
				ended <- id
			}()
			synctest.Wait()
		}
		start("running", "batch")
		time.Sleep(opts.StepTime)
		start("batch", "batch")
		start("normal", "normal")
		start("urgent", "urgent")
		refused := post(e, "fourth", "urgent", chatRequest(1))
		require.Equal(t, http.StatusTooManyRequests, refused.Code)
		require.Equal(t, ranNo, refused.Header().Get(wire.HeaderRan))
		time.Sleep(time.Second)
		for _, want := range []string{"running", "urgent", "normal", "batch"} {
			require.Equal(t, want, <-ended)
		}
		b := e.Stats()
		require.Equal(t, 1, b.Refused)
		require.NotContains(t, b.Runs, "fourth")
	})
}

func TestStepAndPrefillDurations(t *testing.T) {
	opts := Defaults("e", "m")
	opts.PrefillPerMS = 10
	for words, want := range map[int]time.Duration{
		0:   4 * opts.StepTime,
		800: 4*opts.StepTime + 2*opts.StepTime,
	} {
		t.Run(fmt.Sprint(words), func(t *testing.T) {
			runEngine(t, opts, func(t *testing.T, e *Engine) {
				// 200 tokens take three steps of 80; the last step of a prefill produces
				// the first chunk.
				start := time.Now()
				completion(t, post(e, "r", "", chatRequest(4, strings.Repeat("x", words))))
				require.Equal(t, want, time.Since(start))
			})
		})
	}
}

func TestDrainFinishesRunningRequests(t *testing.T) {
	runEngine(t, Defaults("e", "m"), func(t *testing.T, e *Engine) {
		done := make(chan *httptest.ResponseRecorder, 1)
		go func() { done <- post(e, "r", "", chatRequest(20, "x")) }()
		synctest.Wait()
		e.Drain()
		refused := post(e, "late", "", chatRequest(1))
		require.Equal(t, http.StatusServiceUnavailable, refused.Code)
		require.Equal(t, ranNo, refused.Header().Get(wire.HeaderRan))
		select {
		case <-e.Drained():
			require.Fail(t, "drained while a request runs")
		default:
		}
		<-e.Drained()
		require.True(t, e.Status().Leaving)
		completion(t, <-done)
	})
}

func TestStatusReportLags(t *testing.T) {
	opts := Defaults("e", "m")
	runEngine(t, opts, func(t *testing.T, e *Engine) {
		go post(e, "r", "", chatRequest(100, "x"))
		synctest.Wait()
		require.Zero(t, e.Status().Running+e.Status().Queued, "the report precedes the request")
		time.Sleep(opts.ReportLag + opts.StepTime)
		st := e.Status()
		require.Equal(t, 1, st.Running)
		require.Equal(t, []string{"r"}, st.RequestIDs)
		require.EqualValues(t, 1+100, st.Weight)
		time.Sleep(time.Second)
		require.Zero(t, e.Status().Running)
	})
}

func TestStatsRecordLoadOverTime(t *testing.T) {
	opts := Defaults("e", "m")
	opts.StepTime = 10 * time.Millisecond
	runEngine(t, opts, func(t *testing.T, e *Engine) {
		completion(t, post(e, "r", "", chatRequest(25, "x")))
		sum := 0.0
		for _, l := range e.Stats().Load {
			require.Equal(t, 1, l.MaxRequests)
			require.EqualValues(t, 26, l.MaxWeight)
			sum += l.RequestSeconds
		}
		require.InDelta(t, 0.25, sum, 1e-9)
		other := Stats{}
		skews := Skew(0, e.Stats(), other)
		require.NotEmpty(t, skews)
		require.InDelta(t, 2, skews[0], 1e-9, "one of two engines has all the load")
	})
}

// A request that a crash ended must be counted as lost.
func TestCrashAbortsConnectionsUntilRestart(t *testing.T) {
	runEngine(t, Defaults("e", "m"), func(t *testing.T, e *Engine) {
		aborted := make(chan any, 1)
		go func() {
			defer func() { aborted <- recover() }()
			post(e, "r", "", chatRequest(1000, "x"))
		}()
		synctest.Wait()
		e.Crash()
		require.Equal(t, http.ErrAbortHandler, <-aborted)
		require.PanicsWithValue(t, http.ErrAbortHandler, func() { post(e, "r2", "", chatRequest(1)) })
		e.Restart()
		completion(t, post(e, "r3", "", chatRequest(1)))
		require.Equal(t, 1, e.Stats().Lost)
	})
}

func TestEndedStreamsExpire(t *testing.T) {
	opts := Defaults("e", "m")
	runEngine(t, opts, func(t *testing.T, e *Engine) {
		get := func(query string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(context.Background(), http.MethodGet, wire.PathEngineStreams+"r"+query, nil)
			e.Handler().ServeHTTP(w, r)
			return w
		}
		completion(t, post(e, "r", "", chatRequest(3, "x")))
		require.Equal(t, 3, strings.Count(get("").Body.String(), "id: "))
		require.Equal(t, 1, strings.Count(get("?from=2").Body.String(), "id: "))
		require.Equal(t, http.StatusBadRequest, get("?from=4").Code)
		time.Sleep(2 * opts.KeepStreams)
		completion(t, post(e, "other", "", chatRequest(3, "x")))
		require.Equal(t, http.StatusNotFound, get("").Code)
	})
}

func TestSlowEngineReportsStatusWithoutDelay(t *testing.T) {
	runEngine(t, Defaults("e", "m"), func(t *testing.T, e *Engine) {
		e.Inject(Fault{Kind: FaultSlow, Factor: 50})
		start := time.Now()
		e.Status()
		require.Zero(t, time.Since(start))
		completion(t, post(e, "r", "", chatRequest(2, "x")))
		require.Equal(t, 2*50*8*time.Millisecond, time.Since(start))
		e.ClearFaults()
	})
}

func TestControlsOverHTTP(t *testing.T) {
	runEngine(t, Defaults("e", "m"), func(t *testing.T, e *Engine) {
		call := func(method, path, body string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
			return w
		}
		require.Equal(t, http.StatusNoContent, call(http.MethodPost, PathFaults, `{"kind":"refuse","count":2}`).Code)
		require.Equal(t, http.StatusServiceUnavailable, post(e, "r", "", chatRequest(1)).Code)
		require.Equal(t, http.StatusNoContent, call(http.MethodDelete, PathFaults, "").Code)
		completion(t, post(e, "r", "", chatRequest(1)))
		var b Stats
		require.NoError(t, json.Unmarshal(call(http.MethodGet, PathStats, "").Body.Bytes(), &b))
		require.Equal(t, map[string]int{"r": 1}, b.Runs)
		require.Equal(t, http.StatusNoContent, call(http.MethodPost, PathLeave, "").Code)
		require.Equal(t, http.StatusServiceUnavailable, post(e, "s", "", chatRequest(1)).Code)
		require.Equal(t, http.StatusNoContent, call(http.MethodPost, PathRestart, "").Code)
		completion(t, post(e, "s", "", chatRequest(1)))
	})
}
