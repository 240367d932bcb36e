package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
)

const (
	// longTokens yields a stream that lasts several seconds.
	longTokens = 4000
	// faultPosition is the number of chunks after which a fault occurs.
	faultPosition = 50
	// executionDelay delays a receipt at the portal, so that a fault can occur
	// during its execution.
	executionDelay = 3 * time.Second
)

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// awaitExit waits until the process exits without error.
func (p *process) awaitExit(t *testing.T) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.FailNow(t, "process did not exit")
	}
}

func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(out))
}

// receiptCount returns the number of executions that the portals have recorded.
func (f *fleet) receiptCount(t *testing.T) int {
	t.Helper()
	n := 0
	for _, p := range f.portals {
		var stats service.Stats
		getJSON(t, "http://"+p.address+service.PathStats, &stats)
		n += len(stats.Records)
	}
	return n
}

// delayPortals delays the next execution at each portal by executionDelay.
func (f *fleet) delayPortals(t *testing.T) {
	t.Helper()
	body, err := json.Marshal(service.Fault{Kind: service.FaultSlow, Count: 1, Delay: executionDelay})
	require.NoError(t, err)
	for _, p := range f.portals {
		resp, err := http.Post("http://"+p.address+service.PathFaults, "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}

// busyProcesses returns the processes whose status reports a running request.
func busyProcesses(t *testing.T, processes []*process) []*process {
	t.Helper()
	var out []*process
	for _, p := range processes {
		var st wire.EngineStatus
		getJSON(t, "http://"+p.address+wire.PathEngineStatus, &st)
		if st.Running > 0 {
			out = append(out, p)
		}
	}
	return out
}

var errIdle = errors.New("no request is running")

// readyChat starts a fleet and returns a client and a conversation, once the
// fleet responds.
func readyChat(t *testing.T, chat string) (*fleet, *client.Client, *client.Conversation) {
	f := startFleet(t)
	c := f.client(t, chatKey)
	eventually(t, func() error {
		conv := c.Conversation(chat, "dossier")
		conv.MaxTokens = 1
		_, err := conv.Say(t.Context(), "hello", nil)
		return err
	})
	conv := c.Conversation(chat, "dossier")
	conv.MaxTokens = longTokens
	return f, c, conv
}

// router returns the router to which the client sends a chat.
func (f *fleet) router(t *testing.T, c *client.Client, chat string) *process {
	t.Helper()
	addresses, err := c.Locate(t.Context(), chat, "dossier")
	require.NoError(t, err)
	for _, r := range f.routers {
		if r.address == addresses[0] {
			return r
		}
	}
	require.FailNow(t, "router not found", addresses[0])
	return nil
}

// sayWithFault sends a message with a long answer and calls fault during the stream.
func sayWithFault(t *testing.T, conv *client.Conversation, fault func()) (client.Turn, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var shown strings.Builder
	n := 0
	turn, err := conv.Say(ctx, longPrompt, func(chunk string) {
		shown.WriteString(chunk)
		if n++; n == faultPosition {
			fault()
		}
	})
	return turn, shown.String(), err
}

const longPrompt = "Please check the whole dossier."

func expectedAnswer() string {
	return engine.AnswerText(wire.ChatRequest{
		Model: "dossier", MaxTokens: longTokens, Messages: []wire.Message{{Role: "user", Content: longPrompt}},
	})
}

// A stream must be neither truncated nor repeated when the router that relays
// it is killed and the client resumes at another one: the state needed to
// resume must survive the router.
func TestStreamResumesAfterRouterKill(t *testing.T) {
	f, c, conv := readyChat(t, "killed-router")
	relay := f.router(t, c, "killed-router")
	turn, shown, err := sayWithFault(t, conv, func() { relay.signal(t, syscall.SIGKILL) })
	require.NoError(t, err)
	require.Equal(t, expectedAnswer(), turn.Text)
	require.Equal(t, turn.Text, shown)
	require.Positive(t, turn.Resumes)
}

// A router that is stopped with SIGTERM must relay its streams to their ends before it exits, and
// must not truncate them.
func TestRouterStopDoesNotTruncateStreams(t *testing.T) {
	f, c, conv := readyChat(t, "stopped-router")
	relay := f.router(t, c, "stopped-router")
	turn, shown, err := sayWithFault(t, conv, func() { relay.signal(t, syscall.SIGTERM) })
	require.NoError(t, err)
	require.Equal(t, expectedAnswer(), turn.Text)
	require.Equal(t, turn.Text, shown)
	require.Zero(t, turn.Resumes, "the stream must not be interrupted")
	relay.awaitExit(t)
}

// A truncated answer must not be reported as complete when the engine is killed
// during the stream and its connection closes.
func TestEngineKillDoesNotCompleteAnswer(t *testing.T) {
	f, _, conv := readyChat(t, "killed-engine")
	turn, shown, err := sayWithFault(t, conv, func() {
		for _, e := range busyProcesses(t, f.engines) {
			e.signal(t, syscall.SIGKILL)
		}
	})
	require.True(t, strings.HasPrefix(expectedAnswer(), shown))
	if err == nil {
		require.Equal(t, expectedAnswer(), turn.Text)
		return
	}
	var refusal *client.Refusal
	require.ErrorAs(t, err, &refusal)
	require.NotEqual(t, apierr.RanNo, refusal.Ran)
}

// A receipt must not be issued twice: a router is frozen while the portal
// executes a receipt, the client retries with the same key at another router,
// and the first router resumes. The claim of an unresponsive router must not be
// taken over.
func TestFrozenRouterDoesNotRepeatReceipt(t *testing.T) {
	f := startFleet(t)
	f.issueReceipt(t, f.client(t, portalKey), "warm-up")
	before := f.receiptCount(t)
	f.delayPortals(t)
	frozen, other := f.routers[0], f.routers[1]
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = f.receiptAt(t.Context(), frozen, "frozen")
	}()
	eventually(t, func() error {
		if len(busyProcesses(t, f.portals)) == 0 {
			return errIdle
		}
		return nil
	})
	frozen.signal(t, syscall.SIGSTOP)
	status, err := f.receiptAt(t.Context(), other, "frozen")
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, status, "the outcome must be unknown")
	frozen.signal(t, syscall.SIGCONT)
	<-first
	eventually(t, func() error {
		status, err = f.receiptAt(t.Context(), other, "frozen")
		if err == nil && status != http.StatusCreated {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
	require.Equal(t, before+1, f.receiptCount(t))
}

// issueReceipt issues a receipt. It retries, since a fleet that has just started
// may refuse calls.
func (f *fleet) issueReceipt(t *testing.T, c *client.Client, key string) {
	t.Helper()
	eventually(t, func() error {
		_, err := c.Call(t.Context(), http.MethodPost, "portal", "/receipts", key, []byte(`{"cooperative":"a"}`))
		return err
	})
}

// receiptAt requests a receipt from one router, without retries.
func (f *fleet) receiptAt(ctx context.Context, r *process, key string) (status int, err error) {
	url := "http://" + r.address + wire.PathServices + "portal/receipts"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"cooperative":"b"}`))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+portalKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderIdempotencyKey, key)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Without the platform, chats must continue, and no receipt may be issued, since
// no claim protects it.
func TestPlatformOutageStopsOnlyReceipts(t *testing.T) {
	f, c, _ := readyChat(t, "no-platform")
	portal := f.client(t, portalKey)
	f.issueReceipt(t, portal, "before")
	before := f.receiptCount(t)
	f.store.signal(t, syscall.SIGKILL)

	conv := c.Conversation("no-platform", "dossier")
	conv.MaxTokens = 16
	_, err := conv.Say(t.Context(), "Does it go on?", nil)
	require.NoError(t, err)

	_, err = portal.Call(t.Context(), http.MethodPost, "portal", "/receipts", "during", []byte(`{"cooperative":"a"}`))
	var refusal *client.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, apierr.CodeStoreUnavailable, refusal.Code)
	require.Equal(t, apierr.RanNo, refusal.Ran)
	require.Equal(t, before, f.receiptCount(t))
}
