package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// crowd is one router before engines of one service, whose other requests a test sets.
type testRouter struct {
	f          *Forwarder
	snapshot   *catalog.Snapshot
	otherLoads map[string]feed.EngineLoad
	owner      *flow.Owner
}

// inCrowd runs a test on a fake clock, with n engines that have 64 places each.
func withTestRouter(t *testing.T, n int, test func(c *testRouter)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { return time.Minute + time.Since(started) }
		c := &testRouter{snapshot: newSnapshot(n), otherLoads: make(map[string]feed.EngineLoad)}
		engines := NewEngines("site", func() map[string]feed.EngineLoad { return c.otherLoads }, clock, rand.New(rand.NewPCG(1, 2)))
		c.owner = flow.NewOwner(clock, engines.Known, func(string) bool { return false })
		self := feed.Peer{Name: "self"}
		places := flow.NewAsker(flow.Options{
			Self: self.Name, Owner: c.owner, Clock: clock, Log: log.New(io.Discard),
			Live: func() []feed.Peer { return []feed.Peer{self} }, Engines: func() int { return n },
		})
		engines.ReleaseBy(places.Release)
		c.f = New(Options{
			Snapshot: func() *catalog.Snapshot { return c.snapshot }, Clock: clock, Engines: engines, Places: places,
			Log: log.New(io.Discard),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { c.owner.Run(ctx) })
		test(c)
		cancel()
		running.Wait()
	})
}

// taken says that other routers have so many requests at each engine, without leases.
func (c *testRouter) setOtherLoads(n int) {
	for _, e := range c.snapshot.Engines.Of("llm") {
		c.otherLoads[e.ID] = feed.EngineLoad{InFlight: n}
	}
}

func (c *testRouter) newExchange(ctx context.Context) *exchange {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/a/x", nil)
	now := c.f.Clock()
	return &exchange{
		f: c.f, r: r, started: now, deadline: now + 6*time.Second, snapshot: c.snapshot, excluded: map[string]bool{},
		req: Request{ID: "q", Prompt: []Part{{"dossier", 8000}, {"own", 500}}, PromptTokens: 8500, OutputTokens: 50},
		route: &catalog.Route{
			Kind: catalog.Streaming, Prompted: true, Objective: 600 * time.Millisecond, Attempts: 1,
			Backends: []catalog.Backend{{Service: "llm", Weight: 1}},
		},
	}
}

// Requests are sent without asking while there is room: asking costs a message each way.
func TestNoPermitRequestedWithFreeCapacity(t *testing.T) {
	withTestRouter(t, 3, func(c *testRouter) {
		c.setOtherLoads(10)
		choice, refusal := c.newExchange(context.Background()).chooseFirst(nil)
		require.Nil(t, refusal)
		require.Nil(t, choice.permit)
		require.Zero(t, c.owner.Load().Gates)
		c.f.Engines.Done(choice)
	})
}

// Symptom: callers wait for seconds and leave, while engines work on answers that come too
// late. Sequence: all places are taken, and more requests come than places become free.
// Cause handled: a request that could only start too late is refused within its objective,
// with a promise that it did not run and a time to come back.
func TestRequestRefusedWithoutPermitInTime(t *testing.T) {
	withTestRouter(t, 3, func(c *testRouter) {
		c.setOtherLoads(80)
		x := c.newExchange(context.Background())
		_, refusal := x.chooseFirst(nil)
		require.NotNil(t, refusal)
		require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		require.Equal(t, ReasonOverload, refusal.Reason)
		require.Positive(t, refusal.RetryAfter)
		require.LessOrEqual(t, refusal.RetryAfter, 2*time.Second, "a third of what the caller has left")
		require.Less(t, c.f.Clock()-x.started, 600*time.Millisecond)
		require.Zero(t, c.owner.Load().Waiting)
	})
}

// Symptom: a request is refused although a place is free. Sequence: its own engine is full,
// another one is not. Cause handled: others are asked, and grant at once.
func TestPromptMovesToEngineWithFreeCapacity(t *testing.T) {
	withTestRouter(t, 3, func(c *testRouter) {
		c.setOtherLoads(80)
		c.otherLoads["e1"] = feed.EngineLoad{InFlight: 20}
		choice, refusal := c.newExchange(context.Background()).chooseFirst(nil)
		require.Nil(t, refusal)
		require.Equal(t, "e1", choice.Engine.ID)
		require.NotNil(t, choice.permit)
		require.Equal(t, 1, c.owner.Load().Leases)
		c.f.Engines.Done(choice)
		require.Zero(t, c.owner.Load().Leases)
	})
}

// Symptom: requests are sent for callers who have left. Sequence: a caller leaves while its
// request waits for a place. Cause handled: it stops to wait, and holds no place.
func TestDisconnectedCallerStopsWaitingForPermit(t *testing.T) {
	withTestRouter(t, 1, func(c *testRouter) {
		c.setOtherLoads(80)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		x := c.newExchange(ctx)
		_, refusal := x.chooseFirst(nil)
		require.Equal(t, ReasonCallerLeft, refusal.Reason)
		require.Zero(t, c.owner.Load().Waiting+c.owner.Load().Leases)
	})
}
