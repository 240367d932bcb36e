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
	// longTokens makes a stream that lasts for some seconds.
	longTokens = 4000
	// strikeAt is the number of pieces after which a fault strikes a stream.
	strikeAt = 50
	// executionDelay holds a receipt up at the portal, so that its router is
	// found in the middle of it.
	executionDelay = 3 * time.Second
)

// signal reaches one process that this test started.
func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// exited waits for the process to end by itself.
func (p *process) exited(t *testing.T) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(patience):
		require.FailNow(t, "the process does not end")
	}
}

func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(out))
}

// receipts is how often the portals executed anything, by their own books.
func (f *fleet) receipts(t *testing.T) int {
	t.Helper()
	n := 0
	for _, p := range f.portals {
		var stats service.Stats
		getJSON(t, "http://"+p.address+service.PathStats, &stats)
		n += len(stats.Records)
	}
	return n
}

// slowPortals lets the next execution at each portal take a while.
func (f *fleet) slowPortals(t *testing.T) {
	t.Helper()
	body, err := json.Marshal(service.Fault{Kind: service.FaultSlow, Count: 1, Delay: executionDelay})
	require.NoError(t, err)
	for _, p := range f.portals {
		resp, err := http.Post("http://"+p.address+service.PathFaults, "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}

// working returns the processes whose report shows a running request.
func working(t *testing.T, processes []*process) []*process {
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

var errIdle = errors.New("nothing runs yet")

// readyChat starts a fleet and returns a conversation that has had a turn.
func readyChat(t *testing.T, chat string) (*fleet, *client.Client, *client.Conversation) {
	f := startFleet(t)
	c := f.client(t, chatKey)
	eventually(t, func() error {
		v := c.Conversation(chat, "dossier")
		v.MaxTokens = 1
		_, err := v.Say(t.Context(), "hello", nil)
		return err
	})
	v := c.Conversation(chat, "dossier")
	v.MaxTokens = longTokens
	return f, c, v
}

// router returns the router that the client uses for a chat.
func (f *fleet) router(t *testing.T, c *client.Client, chat string) *process {
	t.Helper()
	addresses, err := c.Locate(t.Context(), chat, "dossier")
	require.NoError(t, err)
	for _, r := range f.routers {
		if r.address == addresses[0] {
			return r
		}
	}
	require.FailNow(t, "no such router", addresses[0])
	return nil
}

// sayStruck has a long turn, and strikes in the middle of it.
func sayStruck(t *testing.T, v *client.Conversation, strike func()) (client.Turn, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	var shown strings.Builder
	n := 0
	turn, err := v.Say(ctx, struckText, func(piece string) {
		shown.WriteString(piece)
		if n++; n == strikeAt {
			strike()
		}
	})
	return turn, shown.String(), err
}

const struckText = "Please check the whole dossier."

func expected() string {
	return engine.AnswerText(wire.ChatRequest{
		Model: "dossier", MaxTokens: longTokens, Messages: []wire.Message{{Role: "user", Content: struckText}},
	})
}

// Symptom: a caller gets half of an answer, or pieces twice.
// Sequence: the router that relays the stream is killed; the client resumes at
// another one.
// Cause: the state that resuming needs is lost with the router.
func TestRouterKilledMidStream(t *testing.T) {
	f, c, v := readyChat(t, "killed-router")
	relay := f.router(t, c, "killed-router")
	turn, shown, err := sayStruck(t, v, func() { relay.signal(t, syscall.SIGKILL) })
	require.NoError(t, err)
	require.Equal(t, expected(), turn.Text)
	require.Equal(t, turn.Text, shown)
	require.Positive(t, turn.Resumes)
}

// Symptom: a planned stop of a router cuts streams.
// Sequence: the router that relays a stream is told to stop in the middle.
// Cause: it exits while it still has something to relay.
func TestRouterStopsWithoutCuttingStreams(t *testing.T) {
	f, c, v := readyChat(t, "stopped-router")
	relay := f.router(t, c, "stopped-router")
	turn, shown, err := sayStruck(t, v, func() { relay.signal(t, syscall.SIGTERM) })
	require.NoError(t, err)
	require.Equal(t, expected(), turn.Text)
	require.Equal(t, turn.Text, shown)
	require.Zero(t, turn.Resumes, "nothing was cut")
	relay.exited(t)
}

// Symptom: half of an answer is shown as whole.
// Sequence: the engine that serves a stream is killed in the middle of it.
// Cause: the end of a connection is taken for the end of the answer.
func TestEngineKilledMidStream(t *testing.T) {
	f, _, v := readyChat(t, "killed-engine")
	turn, shown, err := sayStruck(t, v, func() {
		for _, e := range working(t, f.engines) {
			e.signal(t, syscall.SIGKILL)
		}
	})
	require.True(t, strings.HasPrefix(expected(), shown))
	if err == nil {
		require.Equal(t, expected(), turn.Text)
		return
	}
	var refusal *client.Refusal
	require.ErrorAs(t, err, &refusal)
	require.NotEqual(t, apierr.RanNo, refusal.Ran)
}

// Symptom: a receipt is issued twice.
// Sequence: a router is stopped while the portal executes a receipt; the caller
// comes back with the same key to another router; the first one goes on.
// Cause: the claim of a router that does not answer is taken over.
func TestRouterFrozenMidReceipt(t *testing.T) {
	f := startFleet(t)
	f.issue(t, f.client(t, portalKey), "warm-up")
	before := f.receipts(t)
	f.slowPortals(t)
	frozen, other := f.routers[0], f.routers[1]
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = f.receiptAt(t.Context(), frozen, "frozen")
	}()
	eventually(t, func() error {
		if len(working(t, f.portals)) == 0 {
			return errIdle
		}
		return nil
	})
	frozen.signal(t, syscall.SIGSTOP)
	status, err := f.receiptAt(t.Context(), other, "frozen")
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, status, "its outcome is not known")
	frozen.signal(t, syscall.SIGCONT)
	<-first
	eventually(t, func() error {
		status, err = f.receiptAt(t.Context(), other, "frozen")
		if err == nil && status != http.StatusCreated {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
	require.Equal(t, before+1, f.receipts(t))
}

// issue issues a receipt; a fleet that has just started may refuse at first.
func (f *fleet) issue(t *testing.T, c *client.Client, key string) {
	t.Helper()
	eventually(t, func() error {
		_, err := c.Call(t.Context(), http.MethodPost, "portal", "/receipts", key, []byte(`{"cooperative":"a"}`))
		return err
	})
}

// receiptAt asks one router for a receipt, once.
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

// Symptom: chats stop with the platform, or a receipt is issued that no claim
// protects.
// Sequence: the platform's services are lost; a chat goes on; a receipt is
// asked for.
// Cause: traffic depends on the store where it need not, or goes on without it
// where it must not.
func TestPlatformDown(t *testing.T) {
	f, c, _ := readyChat(t, "no-platform")
	portal := f.client(t, portalKey)
	f.issue(t, portal, "before")
	before := f.receipts(t)
	f.store.signal(t, syscall.SIGKILL)

	v := c.Conversation("no-platform", "dossier")
	v.MaxTokens = 16
	_, err := v.Say(t.Context(), "Does it go on?", nil)
	require.NoError(t, err)

	_, err = portal.Call(t.Context(), http.MethodPost, "portal", "/receipts", "during", []byte(`{"cooperative":"a"}`))
	var refusal *client.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, apierr.CodeStoreDown, refusal.Code)
	require.Equal(t, apierr.RanNo, refusal.Ran)
	require.Equal(t, before, f.receipts(t))
}
