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

func TestChat(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	for _, stream := range []bool{true, false} {
		body, want := ask("page one", stream)
		resp, got := h.do(request{body: body, key: chatKey, header: map[string]string{wire.HeaderChatID: "c1"}})
		require.Equal(t, http.StatusOK, resp.StatusCode, got)
		require.NotEmpty(t, resp.Header.Get(wire.HeaderPrefixHint))
		if !stream {
			require.Contains(t, got, strings.Fields(want)[0])
			continue
		}
		text, whole, _ := events(t, got)
		require.True(t, whole)
		require.Equal(t, want, text)
	}
}

func TestBadInput(t *testing.T) {
	good, _ := ask("x", true)
	hint := map[string]string{wire.HeaderPrefixHint: strings.Repeat("A", 106)}
	for name, c := range map[string]struct {
		req    request
		status int
		code   apierr.Code
	}{
		"no key":             {request{body: good}, 401, apierr.CodeUnauthorized},
		"unknown key":        {request{body: good, key: "x"}, 401, apierr.CodeUnauthorized},
		"broken json":        {request{body: `{"model":`, key: chatKey}, 400, apierr.CodeBadRequest},
		"two documents":      {request{body: good + good, key: chatKey}, 400, apierr.CodeBadRequest},
		"unknown field":      {request{body: `{"model":"dossier","messages":[{"role":"user","content":"x"}],"admin":1}`, key: chatKey}, 400, apierr.CodeBadRequest},
		"no messages":        {request{body: `{"model":"dossier"}`, key: chatKey}, 400, apierr.CodeBadRequest},
		"unknown model":      {request{body: strings.Replace(good, "dossier", "other", 1), key: chatKey}, 404, apierr.CodeUnknownModel},
		"unknown adapter":    {request{body: strings.Replace(good, `"model"`, `"adapter":"x","model"`, 1), key: chatKey}, 404, apierr.CodeUnknownModel},
		"body too long":      {request{body: `{"model":"` + strings.Repeat("x", DefaultMaxBody) + `"}`, key: chatKey}, 413, apierr.CodeTooLarge},
		"forged hint":        {request{body: good, key: chatKey, header: hint}, 400, apierr.CodeBadHint},
		"bad chat id":        {request{body: good, key: chatKey, header: map[string]string{wire.HeaderChatID: strings.Repeat("c", 200)}}, 400, apierr.CodeBadRequest},
		"bad deadline":       {request{body: good, key: chatKey, header: map[string]string{wire.HeaderDeadlineMS: "-1"}}, 400, apierr.CodeBadRequest},
		"bad class":          {request{body: good, key: chatKey, header: map[string]string{wire.HeaderPriority: "first"}}, 400, apierr.CodeBadRequest},
		"idempotent chat":    {request{body: good, key: chatKey, header: map[string]string{wire.HeaderIdempotencyKey: "k"}}, 400, apierr.CodeBadRequest},
		"wrong method":       {request{method: "GET", key: chatKey}, 405, apierr.CodeMethod},
		"order endpoint":     {request{path: wire.PathEngineOrders, body: "{}", key: chatKey}, 404, apierr.CodeNotFound},
		"forged resume":      {request{method: "GET", path: wire.PathResume, key: chatKey, header: map[string]string{wire.HeaderResumeToken: "x"}}, 403, apierr.CodeBadToken},
		"unknown service":    {request{path: "/v1/services/none/receipts", body: "{}", key: portalKey}, 404, apierr.CodeNotFound},
		"path to orders":     {request{path: "/v1/services/portal/..%2fv1%2forders", body: "{}", key: portalKey}, 400, apierr.CodeBadRequest},
		"path with dots":     {request{path: "/v1/services/portal/status/%2e%2e", method: "GET", key: portalKey}, 400, apierr.CodeBadRequest},
		"undeclared route":   {request{path: "/v1/services/portal/standin/books", method: "GET", key: portalKey}, 404, apierr.CodeNotFound},
		"key missing":        {request{path: "/v1/services/portal/receipts", body: "{}", key: portalKey}, 400, apierr.CodeKeyMissing},
		"key too long":       {request{path: "/v1/services/portal/receipts", body: "{}", key: portalKey, header: map[string]string{wire.HeaderIdempotencyKey: strings.Repeat("k", 300)}}, 400, apierr.CodeBadRequest},
		"method not allowed": {request{path: "/v1/services/portal/receipts", method: "DELETE", key: portalKey}, 405, apierr.CodeMethod},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			resp, body := h.do(c.req)
			require.Equal(t, c.status, resp.StatusCode, body)
			e := refusalIn(t, body)
			require.Equal(t, c.code, e.Code)
			require.Zero(t, runs(h.engines))
			require.Empty(t, h.portal.Books().Executions)
		})
	}
}

// Symptom: a caller shows half an answer as the whole one, or another's words.
// Sequence: the engine's connection breaks, goes silent, ends early or carries
// a chunk of another request in the middle of the answer.
// Cause: the router relays what it reads without checking it.
func TestBrokenStreamIsMended(t *testing.T) {
	for name, f := range map[string]engine.Fault{
		"cut":         {Kind: engine.FaultCut, After: 5, Count: 1},
		"silent":      {Kind: engine.FaultHang, After: 5, Count: 1},
		"no end":      {Kind: engine.FaultNoEnd, After: 5, Count: 1},
		"stale chunk": {Kind: engine.FaultStaleChunk, After: 5, Count: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1")
			h.engines["e1"].Inject(f)
			body, want := ask("page one", true)
			_, got := h.do(request{body: body, key: chatKey})
			text, whole, failed := events(t, got)
			require.Nil(t, failed)
			require.True(t, whole)
			require.Equal(t, want, text)
			require.Equal(t, 1, runs(h.engines), "resumed, not run again")
		})
	}
}

// Symptom: a partial answer without any sign that it is one.
// Sequence: the engine crashes after some chunks and takes the stream with it.
// Cause: nothing can be resumed, and the status line is long gone.
func TestCrashedStreamIsNeverWhole(t *testing.T) {
	h := newHarness(t, "e1")
	h.engines["e1"].Inject(engine.Fault{Kind: engine.FaultCrash, After: 5, Count: 1})
	body, want := ask("page one", true)
	_, got := h.do(request{body: body, key: chatKey})
	text, whole, failed := events(t, got)
	require.False(t, whole)
	require.NotNil(t, failed)
	require.Equal(t, apierr.CodeIncomplete, failed.Code)
	require.NotEqual(t, apierr.RanNo, failed.Ran)
	require.True(t, strings.HasPrefix(want, text))
}

// Symptom: a request that one engine refused or failed before its first chunk
// is lost, although another engine could serve it.
func TestOtherEngineTakesOver(t *testing.T) {
	for name, kind := range map[string]engine.FaultKind{
		"refused": engine.FaultRefuse, "error before": engine.FaultErrorBefore, "error after": engine.FaultErrorAfter,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "e1", "e2")
			h.engines["e1"].Inject(engine.Fault{Kind: kind})
			for range 8 {
				body, want := ask("page one", true)
				_, got := h.do(request{body: body, key: chatKey})
				text, whole, _ := events(t, got)
				require.True(t, whole, got)
				require.Equal(t, want, text)
			}
		})
	}
}

// Symptom: "did not run", and the engine's books show that it ran.
// Sequence: the first attempt fails after executing, the second finds no engine.
// Cause: the refusal speaks of the last attempt only.
func TestRefusalSpeaksOfAllAttempts(t *testing.T) {
	h := newHarness(t, "e1")
	h.engines["e1"].Inject(engine.Fault{Kind: engine.FaultErrorAfter})
	body, _ := ask("page one", true)
	resp, got := h.do(request{body: body, key: chatKey})
	require.Positive(t, runs(h.engines))
	require.GreaterOrEqual(t, resp.StatusCode, 500)
	require.Equal(t, string(apierr.RanUnknown), resp.Header.Get(wire.HeaderRan), got)
	require.Equal(t, apierr.RanUnknown, refusalIn(t, got).Ran)
}

func receipt(key string) request {
	return request{path: "/v1/services/portal/receipts", body: `{"c":1}`, key: portalKey,
		header: map[string]string{wire.HeaderIdempotencyKey: key}}
}

// Symptom: two receipts for one key, or "did not run" about one that did.
// Sequence: the named fault strikes the service or the store once, and the
// caller asks again with the same key until it has an answer or a verdict.
func TestReceiptRunsAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		service service.FaultKind
		store   []platformtest.Fault
		runs    int
		final   int
	}{
		"no fault":                  {"", nil, 1, 201},
		"reply lost":                {service.FaultReplyLost, nil, 1, 409},
		"error after executing":     {service.FaultErrorAfter, nil, 1, 409},
		"error without proof":       {service.FaultErrorBefore, nil, 0, 409},
		"refused before executing":  {service.FaultRefuse, nil, 1, 201},
		"claim's reply lost":        {"", []platformtest.Fault{platformtest.LoseReplyAfterEffect}, 1, 201},
		"claim lost":                {"", []platformtest.Fault{platformtest.LoseBeforeEffect}, 1, 201},
		"store down at the claim":   {"", []platformtest.Fault{platformtest.Down}, 1, 201},
		"store down at the record":  {"", []platformtest.Fault{platformtest.None, platformtest.Down, platformtest.Down, platformtest.Down}, 1, 409},
		"record's reply lost":       {"", []platformtest.Fault{platformtest.None, platformtest.LoseReplyAfterEffect}, 1, 201},
		"claim delivered twice":     {"", []platformtest.Fault{platformtest.Duplicate}, 1, 201},
		"refused, release is lost":  {service.FaultRefuse, []platformtest.Fault{platformtest.None, platformtest.LoseBeforeEffect}, 1, 201},
		"reply lost and store down": {service.FaultReplyLost, []platformtest.Fault{platformtest.None, platformtest.Down}, 1, 409},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if c.service != "" {
				h.portal.Inject(service.Fault{Kind: c.service, Count: 1})
			}
			h.store.Script(platformtest.OpCommit, c.store...)
			status := 0
			for asked := 0; asked < 3 || status == http.StatusServiceUnavailable; asked++ {
				require.Less(t, asked, 10, "the scripted faults end")
				before := total(h.portal.Books().Executions)
				resp, body := h.do(receipt("k1"))
				status = resp.StatusCode
				if status >= 400 && refusalIn(t, body).Ran == apierr.RanNo {
					require.Equal(t, before, total(h.portal.Books().Executions), "refused as not run, and ran")
				}
			}
			require.Equal(t, c.final, status)
			require.Equal(t, c.runs, total(h.portal.Books().Executions))
		})
	}
}

// Symptom: a receipt that was issued is "outcome unknown" until an operator
// looks, although the router has its answer.
// Sequence: the service answers while the store is down; the store comes back.
// Cause: the record of the answer is tried once.
func TestAnswerIsRecordedOnceTheStoreIsBack(t *testing.T) {
	h := newHarness(t)
	h.store.After(func(c platformtest.Call) {
		if c.Op == platformtest.OpCommit {
			h.store.After(nil)
			h.store.SetDown(true)
		}
	})
	resp, first := h.do(receipt("k1"))
	require.Equal(t, 201, resp.StatusCode, first)
	h.store.SetDown(false)
	require.NoError(t, h.server.Wait(t.Context()))
	resp, again := h.do(receipt("k1"))
	require.Equal(t, 201, resp.StatusCode, again)
	require.Equal(t, first, again)
	require.Equal(t, 1, total(h.portal.Books().Executions))
}

func total(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Symptom: one account's answer reaches another that chose the same key, or its
// hint or stream can be used by another.
func TestAccountsAreApart(t *testing.T) {
	h := newHarness(t, "e1")
	_, first := h.do(receipt("same"))
	r := receipt("same")
	r.key = otherKey
	resp, second := h.do(r)
	require.Equal(t, 201, resp.StatusCode)
	require.NotEqual(t, first, second)
	require.Len(t, h.portal.Books().Executions, 2, "the service sees two keys")

	body, _ := ask("page one", true)
	own, _ := h.do(request{body: body, key: chatKey, header: map[string]string{wire.HeaderChatID: "c"}})
	resp, got := h.do(request{body: body, key: otherKey, header: map[string]string{
		wire.HeaderPrefixHint: own.Header.Get(wire.HeaderPrefixHint)}})
	require.Equal(t, 400, resp.StatusCode, got)
	resp, got = h.do(request{method: "GET", path: wire.PathResume, key: otherKey, header: map[string]string{
		wire.HeaderResumeToken: own.Header.Get(wire.HeaderResumeToken)}})
	require.Equal(t, 403, resp.StatusCode, got)
}

// Symptom: another body under a used key gets the first one's answer.
func TestKeyReusedForAnotherBody(t *testing.T) {
	h := newHarness(t)
	h.do(receipt("k1"))
	r := receipt("k1")
	r.body = `{"c":2}`
	resp, body := h.do(r)
	require.Equal(t, 422, resp.StatusCode)
	require.Equal(t, apierr.CodeKeyReused, refusalIn(t, body).Code)
	require.Equal(t, 1, total(h.portal.Books().Executions))
}

// Symptom: a refused caller is kept waiting, or is not told when to come back.
func TestRefusedAtOnce(t *testing.T) {
	h := newHarness(t, "e1")
	h.board.UpdateWait(func(s *board.State) {
		e := s.Engines["e1"]
		e.Leaving = true
		s.Engines["e1"] = e
	})
	body, _ := ask("page one", true)
	resp, got := h.do(request{body: body, key: chatKey})
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, apierr.RanNo, refusalIn(t, got).Ran)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Symptom: a draining router panics.
// Sequence: it waits for what is in progress; nothing is; a newcomer arrives to
// be sent elsewhere.
// Cause: a sync.WaitGroup must not rise from zero while it is waited on.
func TestWaitingWhileNewcomersArrive(t *testing.T) {
	var b busy
	b.Add(1)
	done := make(chan error, 1)
	go func() { done <- b.Wait(context.Background()) }()
	for range 1000 {
		b.Add(1)
		b.Done()
	}
	b.Done()
	require.NoError(t, <-done)
	require.NoError(t, b.Wait(context.Background()))
	b.Add(1)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, b.Wait(gone), context.Canceled)
}

func TestDrainingRouterSendsNewcomersElsewhere(t *testing.T) {
	h := newHarness(t, "e1")
	h.board.UpdateWait(func(s *board.State) { s.Draining = true })
	body, _ := ask("page one", true)
	resp, _ := h.do(request{body: body, key: chatKey})
	require.Equal(t, 200, resp.StatusCode, "callers keep the address for a while")
	require.NotEmpty(t, resp.Header.Get(wire.HeaderMoved))
	h.server.RefuseNew()
	resp, got := h.do(request{body: body, key: chatKey})
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, apierr.CodeLeaving, refusalIn(t, got).Code)
}
