package traffic

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/require"
)

func TestChatReturnsCompleteResponse(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	for _, stream := range []bool{true, false} {
		body, want := newChat("page one", stream)
		resp, got := h.do(request{body: body, key: chatAPIKey, header: map[string]string{wire.HeaderChatID: "c1"}})
		require.Equal(t, http.StatusOK, resp.StatusCode, got)
		require.NotEmpty(t, resp.Header.Get(wire.HeaderPrefixHint))
		if !stream {
			require.Contains(t, got, strings.Fields(want)[0])
			continue
		}
		text, complete, _ := readEvents(t, got)
		require.True(t, complete)
		require.Equal(t, want, text)
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	good, _ := newChat("x", true)
	hint := map[string]string{wire.HeaderPrefixHint: strings.Repeat("A", 106)}
	for name, c := range map[string]struct {
		req    request
		status int
		code   apierr.Code
	}{
		"no key":             {request{body: good}, 401, apierr.CodeUnauthorized},
		"unknown key":        {request{body: good, key: "x"}, 401, apierr.CodeUnauthorized},
		"broken json":        {request{body: `{"model":`, key: chatAPIKey}, 400, apierr.CodeBadRequest},
		"two documents":      {request{body: good + good, key: chatAPIKey}, 400, apierr.CodeBadRequest},
		"unknown field":      {request{body: `{"model":"dossier","messages":[{"role":"user","content":"x"}],"admin":1}`, key: chatAPIKey}, 400, apierr.CodeBadRequest},
		"no messages":        {request{body: `{"model":"dossier"}`, key: chatAPIKey}, 400, apierr.CodeBadRequest},
		"unknown model":      {request{body: strings.Replace(good, "dossier", "other", 1), key: chatAPIKey}, 404, apierr.CodeUnknownModel},
		"unknown adapter":    {request{body: strings.Replace(good, `"model"`, `"adapter":"x","model"`, 1), key: chatAPIKey}, 404, apierr.CodeUnknownModel},
		"body too long":      {request{body: `{"model":"` + strings.Repeat("x", DefaultMaxBody) + `"}`, key: chatAPIKey}, 413, apierr.CodeTooLarge},
		"forged hint":        {request{body: good, key: chatAPIKey, header: hint}, 400, apierr.CodeBadHint},
		"bad chat id":        {request{body: good, key: chatAPIKey, header: map[string]string{wire.HeaderChatID: strings.Repeat("c", 200)}}, 400, apierr.CodeBadRequest},
		"bad deadline":       {request{body: good, key: chatAPIKey, header: map[string]string{wire.HeaderDeadlineMS: "-1"}}, 400, apierr.CodeBadRequest},
		"bad class":          {request{body: good, key: chatAPIKey, header: map[string]string{wire.HeaderPriority: "first"}}, 400, apierr.CodeBadRequest},
		"idempotent chat":    {request{body: good, key: chatAPIKey, header: map[string]string{wire.HeaderIdempotencyKey: "k"}}, 400, apierr.CodeBadRequest},
		"wrong method":       {request{method: "GET", key: chatAPIKey}, 405, apierr.CodeMethodNotAllowed},
		"order endpoint":     {request{path: wire.PathEngineOrders, body: "{}", key: chatAPIKey}, 404, apierr.CodeNotFound},
		"forged resume":      {request{method: "GET", path: wire.PathResume, key: chatAPIKey, header: map[string]string{wire.HeaderResumeToken: "x"}}, 403, apierr.CodeBadToken},
		"unknown service":    {request{path: "/v1/services/none/receipts", body: "{}", key: portalAPIKey}, 404, apierr.CodeNotFound},
		"path to orders":     {request{path: "/v1/services/portal/..%2fv1%2forders", body: "{}", key: portalAPIKey}, 400, apierr.CodeBadRequest},
		"path with dots":     {request{path: "/v1/services/portal/status/%2e%2e", method: "GET", key: portalAPIKey}, 400, apierr.CodeBadRequest},
		"undeclared route":   {request{path: "/v1/services/portal/standin/books", method: "GET", key: portalAPIKey}, 404, apierr.CodeNotFound},
		"key missing":        {request{path: "/v1/services/portal/receipts", body: "{}", key: portalAPIKey}, 400, apierr.CodeKeyMissing},
		"key too long":       {request{path: "/v1/services/portal/receipts", body: "{}", key: portalAPIKey, header: map[string]string{wire.HeaderIdempotencyKey: strings.Repeat("k", 300)}}, 400, apierr.CodeBadRequest},
		"method not allowed": {request{path: "/v1/services/portal/receipts", method: "DELETE", key: portalAPIKey}, 405, apierr.CodeMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			resp, body := h.do(c.req)
			require.Equal(t, c.status, resp.StatusCode, body)
			e := decodeRefusal(t, body)
			require.Equal(t, c.code, e.Code)
			require.Zero(t, executions(h.engines))
			require.Empty(t, h.portal.Stats().Executions)
		})
	}
}

// The engine's connection breaks, stalls, closes early or carries a chunk of
// another request during the response. A router that relays it unchecked would
// deliver a truncated response as a complete one, or text of another request.
func TestBrokenStreamIsResumed(t *testing.T) {
	for name, f := range map[string]engine.Fault{
		"cut":         {Kind: engine.FaultCut, After: 5, Count: 1},
		"silent":      {Kind: engine.FaultHang, After: 5, Count: 1},
		"no end":      {Kind: engine.FaultNoEnd, After: 5, Count: 1},
		"stale chunk": {Kind: engine.FaultStaleChunk, After: 5, Count: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.engines["e1"].Inject(f)
			body, want := newChat("page one", true)
			_, got := h.do(request{body: body, key: chatAPIKey})
			text, complete, refusal := readEvents(t, got)
			require.Nil(t, refusal)
			require.True(t, complete)
			require.Equal(t, want, text)
			require.Equal(t, 1, executions(h.engines), "resumed, not executed again")
		})
	}
}

// The engine crashes after some chunks, so its stream cannot be resumed, and
// the status line has been sent already. The caller must still receive an error
// for the incomplete response.
func TestCrashedStreamIsReportedIncomplete(t *testing.T) {
	h := newHarness(t, "e1")
	h.engines["e1"].Inject(engine.Fault{Kind: engine.FaultCrash, After: 5, Count: 1})
	body, want := newChat("page one", true)
	_, got := h.do(request{body: body, key: chatAPIKey})
	text, complete, refusal := readEvents(t, got)
	require.False(t, complete)
	require.NotNil(t, refusal)
	require.Equal(t, apierr.CodeIncomplete, refusal.Code)
	require.NotEqual(t, apierr.RanNo, refusal.Ran)
	require.True(t, strings.HasPrefix(want, text))
}

// A request that one engine refused or failed before its first chunk must be
// sent to another engine.
func TestFailedAttemptFailsOverToOtherEngine(t *testing.T) {
	for name, kind := range map[string]engine.FaultKind{
		"refused": engine.FaultRefuse, "error before": engine.FaultErrorBefore, "error after": engine.FaultErrorAfter,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1", "e2")
			h.engines["e1"].Inject(engine.Fault{Kind: kind})
			for range 8 {
				body, want := newChat("page one", true)
				_, got := h.do(request{body: body, key: chatAPIKey})
				text, complete, _ := readEvents(t, got)
				require.True(t, complete, got)
				require.Equal(t, want, text)
			}
		})
	}
}

// The first attempt fails after executing, and the second finds no engine. A
// refusal based on the last attempt alone would state that the request was not
// executed.
func TestRefusalReportsExecutionOfAllAttempts(t *testing.T) {
	h := newHarness(t, "e1")
	h.engines["e1"].Inject(engine.Fault{Kind: engine.FaultErrorAfter})
	body, _ := newChat("page one", true)
	resp, got := h.do(request{body: body, key: chatAPIKey})
	require.Positive(t, executions(h.engines))
	require.GreaterOrEqual(t, resp.StatusCode, 500)
	require.Equal(t, string(apierr.RanUnknown), resp.Header.Get(wire.HeaderRan), got)
	require.Equal(t, apierr.RanUnknown, decodeRefusal(t, got).Ran)
}

func receiptRequest(key string) request {
	return request{path: "/v1/services/portal/receipts", body: `{"c":1}`, key: portalAPIKey,
		header: map[string]string{wire.HeaderIdempotencyKey: key}}
}

// A fault strikes the service or the store once, and the caller retries with
// the same key until it has a response or a decision. No key may be executed
// twice, and no executed call may be reported as not executed.
func TestReceiptExecutesAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		service     service.FaultKind
		store       []platformtest.Fault
		executions  int
		finalStatus int
	}{
		"no fault":                             {"", nil, 1, 201},
		"reply lost":                           {service.FaultReplyLost, nil, 1, 409},
		"error after executing":                {service.FaultErrorAfter, nil, 1, 409},
		"error without proof of non-execution": {service.FaultErrorBefore, nil, 0, 409},
		"refused before executing":             {service.FaultRefuse, nil, 1, 201},
		"reply to the claim lost":              {"", []platformtest.Fault{platformtest.LoseReplyAfterEffect}, 1, 201},
		"claim lost":                           {"", []platformtest.Fault{platformtest.LoseBeforeEffect}, 1, 201},
		"store down during the claim":          {"", []platformtest.Fault{platformtest.Down}, 1, 201},
		"store down during the record":         {"", []platformtest.Fault{platformtest.None, platformtest.Down, platformtest.Down, platformtest.Down}, 1, 409},
		"reply to the record lost":             {"", []platformtest.Fault{platformtest.None, platformtest.LoseReplyAfterEffect}, 1, 201},
		"claim delivered twice":                {"", []platformtest.Fault{platformtest.Duplicate}, 1, 201},
		"refused and release lost":             {service.FaultRefuse, []platformtest.Fault{platformtest.None, platformtest.LoseBeforeEffect}, 1, 201},
		"reply lost and store down":            {service.FaultReplyLost, []platformtest.Fault{platformtest.None, platformtest.Down}, 1, 409},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if c.service != "" {
				h.portal.Inject(service.Fault{Kind: c.service, Count: 1})
			}
			h.store.Script(platformtest.OpCommit, c.store...)
			status := 0
			for attempt := 0; attempt < 3 || status == http.StatusServiceUnavailable; attempt++ {
				require.Less(t, attempt, 10, "the injected faults must end")
				before := sum(h.portal.Stats().Executions)
				resp, body := h.do(receiptRequest("k1"))
				status = resp.StatusCode
				if status >= 400 && decodeRefusal(t, body).Ran == apierr.RanNo {
					require.Equal(t, before, sum(h.portal.Stats().Executions), "a call refused as not executed must not have been executed")
				}
			}
			require.Equal(t, c.finalStatus, status)
			require.Equal(t, c.executions, sum(h.portal.Stats().Executions))
		})
	}
}

// The store is down while the service responds, and recovers later. If the
// record of the response were written only once, an issued receipt would stay
// "outcome unknown" until an operator resolved it.
func TestResponseIsRecordedAfterStoreOutage(t *testing.T) {
	h := newHarness(t)
	h.store.After(func(c platformtest.Call) {
		if c.Op == platformtest.OpCommit {
			h.store.After(nil)
			h.store.SetDown(true)
		}
	})
	resp, first := h.do(receiptRequest("k1"))
	require.Equal(t, 201, resp.StatusCode, first)
	h.store.SetDown(false)
	require.NoError(t, h.server.Wait(t.Context()))
	resp, again := h.do(receiptRequest("k1"))
	require.Equal(t, 201, resp.StatusCode, again)
	require.Equal(t, first, again)
	require.Equal(t, 1, sum(h.portal.Stats().Executions))
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// An account must not receive the response of another account that chose the
// same key, nor use the hint or the stream of another account.
func TestAccountsAreIsolated(t *testing.T) {
	h := newHarness(t, "e1")
	_, first := h.do(receiptRequest("same"))
	r := receiptRequest("same")
	r.key = otherAPIKey
	resp, second := h.do(r)
	require.Equal(t, 201, resp.StatusCode)
	require.NotEqual(t, first, second)
	require.Len(t, h.portal.Stats().Executions, 2, "the service must see two keys")

	body, _ := newChat("page one", true)
	own, _ := h.do(request{body: body, key: chatAPIKey, header: map[string]string{wire.HeaderChatID: "c"}})
	resp, got := h.do(request{body: body, key: otherAPIKey, header: map[string]string{
		wire.HeaderPrefixHint: own.Header.Get(wire.HeaderPrefixHint)}})
	require.Equal(t, 400, resp.StatusCode, got)
	resp, got = h.do(request{method: "GET", path: wire.PathResume, key: otherAPIKey, header: map[string]string{
		wire.HeaderResumeToken: own.Header.Get(wire.HeaderResumeToken)}})
	require.Equal(t, 403, resp.StatusCode, got)
}

// A used key with another body must not return the response to the first body.
func TestKeyReuseWithOtherBodyIsRefused(t *testing.T) {
	h := newHarness(t)
	h.do(receiptRequest("k1"))
	r := receiptRequest("k1")
	r.body = `{"c":2}`
	resp, body := h.do(r)
	require.Equal(t, 422, resp.StatusCode)
	require.Equal(t, apierr.CodeKeyReused, decodeRefusal(t, body).Code)
	require.Equal(t, 1, sum(h.portal.Stats().Executions))
}

// A request that cannot be served must be refused immediately, with a time
// after which to retry.
func TestRequestWithoutEngineIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, "e1")
	h.board.UpdateWait(func(s *board.State) {
		e := s.Engines["e1"]
		e.Leaving = true
		s.Engines["e1"] = e
	})
	body, _ := newChat("page one", true)
	resp, got := h.do(request{body: body, key: chatAPIKey})
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, apierr.RanNo, decodeRefusal(t, got).Ran)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// A draining router waits for its requests while new ones arrive, which it
// refuses. A sync.WaitGroup would panic, since its count may rise from zero
// during Wait.
func TestWaitGroupAllowsAddDuringWait(t *testing.T) {
	var group waitGroup
	group.Add(1)
	done := make(chan error, 1)
	go func() { done <- group.Wait(context.Background()) }()
	for range 1000 {
		group.Add(1)
		group.Done()
	}
	group.Done()
	require.NoError(t, <-done)
	require.NoError(t, group.Wait(context.Background()))
	group.Add(1)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, group.Wait(cancelled), context.Canceled)
}

func TestDrainingRouterRefusesNewRequests(t *testing.T) {
	h := newHarness(t, "e1")
	h.board.UpdateWait(func(s *board.State) { s.Draining = true })
	body, _ := newChat("page one", true)
	resp, _ := h.do(request{body: body, key: chatAPIKey})
	require.Equal(t, 200, resp.StatusCode, "callers cache the address for a while")
	require.NotEmpty(t, resp.Header.Get(wire.HeaderLocateAgain))
	h.server.RefuseNew()
	resp, got := h.do(request{body: body, key: chatAPIKey})
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, apierr.CodeDraining, decodeRefusal(t, got).Code)
}
