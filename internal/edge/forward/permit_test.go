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

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// testRouter is a router with the engines of one service. Tests set the loads of the other routers.
type testRouter struct {
	f          *Forwarder
	snapshot   *catalog.Snapshot
	otherLoads map[string]feed.EngineLoad
	owner      *flow.Owner
	// dial opens connections to engines; see connect.
	dial engineconn.DialFunc
}

// withTestRouter runs a test on a fake clock, with n engines of 64 slots each.
func withTestRouter(t *testing.T, n int, test func(tr *testRouter)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { return time.Minute + time.Since(started) }
		tr := &testRouter{snapshot: newSnapshot(n), otherLoads: make(map[string]feed.EngineLoad)}
		engines := NewBalancer("site", func() map[string]feed.EngineLoad { return tr.otherLoads }, clock, rand.New(rand.NewPCG(1, 2)))
		tr.owner = flow.NewOwner(clock, engines.KnownLoad, func(string) bool { return false })
		self := feed.Peer{Name: "self"}
		gateClient := flow.NewClient(flow.Options{
			Self: self.Name, Owner: tr.owner, Clock: clock, Log: log.New(io.Discard),
			Live: func() []feed.Peer { return []feed.Peer{self} }, Engines: func() int { return n },
		})
		engines.SetRelease(gateClient.Release)
		tr.f = New(Options{
			Snapshot: func() *catalog.Snapshot { return tr.snapshot }, Clock: clock, Engines: engines, Places: gateClient,
			Log: log.New(io.Discard),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { tr.owner.Run(ctx) })
		test(tr)
		cancel()
		running.Wait()
	})
}

// setOtherLoads makes other routers report n requests without permits at each engine.
func (tr *testRouter) setOtherLoads(n int) {
	for _, e := range tr.snapshot.Engines.ForService("llm") {
		tr.otherLoads[e.ID] = feed.EngineLoad{InFlight: n}
	}
}

func (tr *testRouter) newExchange(ctx context.Context) *exchange {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/a/x", nil)
	now := tr.f.Clock()
	return &exchange{
		f: tr.f, r: r, started: now, deadline: now + 6*time.Second, snapshot: tr.snapshot, excluded: map[string]bool{},
		req: Request{ID: "q", Prompt: []Part{{"dossier", 8000}, {"own", 500}}, PromptTokens: 8500, OutputTokens: 50},
		route: &catalog.Route{
			Kind: catalog.Streaming, Prompted: true, Objective: 600 * time.Millisecond, Attempts: 1,
			Backends: []catalog.Backend{{Service: "llm", Weight: 1}},
		},
	}
}

// While there is free capacity, requests are sent without a permit, which would cost a round trip.
func TestNoPermitRequestedWithFreeCapacity(t *testing.T) {
	withTestRouter(t, 3, func(tr *testRouter) {
		tr.setOtherLoads(10)
		choice, refusal := tr.newExchange(context.Background()).chooseFirst(nil)
		require.Nil(t, refusal)
		require.Nil(t, choice.permit)
		require.Zero(t, tr.owner.Load().Gates)
		tr.f.Engines.Done(choice)
	})
}

// Guards against overload in which callers wait for seconds and disconnect while engines still work
// on their requests. When more requests arrive than slots become free, a request that can't start
// in time is refused within its objective. The refusal guarantees that the request did not execute
// and states when to retry.
func TestRequestRefusedWithoutPermitInTime(t *testing.T) {
	withTestRouter(t, 3, func(tr *testRouter) {
		tr.setOtherLoads(80)
		x := tr.newExchange(context.Background())
		_, refusal := x.chooseFirst(nil)
		require.NotNil(t, refusal)
		require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		require.Equal(t, ReasonOverload, refusal.Reason)
		require.Positive(t, refusal.RetryAfter)
		require.LessOrEqual(t, refusal.RetryAfter, 2*time.Second, "a third of the remaining time")
		require.Less(t, tr.f.Clock()-x.started, 600*time.Millisecond)
		require.Zero(t, tr.owner.Load().Waiting)
	})
}

// Guards against refusing a request whose preferred engine is full while another one has capacity.
// A permit for the other engine is granted at once.
func TestPromptMovesToEngineWithFreeCapacity(t *testing.T) {
	withTestRouter(t, 3, func(tr *testRouter) {
		tr.setOtherLoads(80)
		tr.otherLoads["e1"] = feed.EngineLoad{InFlight: 20}
		choice, refusal := tr.newExchange(context.Background()).chooseFirst(nil)
		require.Nil(t, refusal)
		require.Equal(t, "e1", choice.Engine.ID)
		require.NotNil(t, choice.permit)
		require.Equal(t, 1, tr.owner.Load().Leases)
		tr.f.Engines.Done(choice)
		require.Zero(t, tr.owner.Load().Leases)
	})
}

// Guards against sending requests for callers that disconnected while waiting for a permit. The
// request stops waiting and holds no permit.
func TestDisconnectedCallerStopsWaitingForPermit(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		tr.setOtherLoads(80)
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, disconnect)
		x := tr.newExchange(ctx)
		_, refusal := x.chooseFirst(nil)
		require.Equal(t, ReasonCallerLeft, refusal.Reason)
		require.Zero(t, tr.owner.Load().Waiting+tr.owner.Load().Leases)
	})
}

// withSilentOwners makes another router, which replies to no call, the owner of the gates of some engines,
// and returns their IDs.
func (tr *testRouter) withSilentOwners() map[string]bool {
	live := []feed.Peer{{Name: "self"}, {Name: "other"}}
	tr.f.Places = flow.NewClient(flow.Options{
		Self: "self", Owner: tr.owner, Clock: tr.f.Clock, Log: log.New(io.Discard),
		Live: func() []feed.Peer { return live }, Engines: func() int { return 100 },
		Call: func(ctx context.Context, _ feed.Peer, _ string, _, _ any) error {
			<-ctx.Done()
			return ctx.Err()
		},
	})
	silent := make(map[string]bool)
	for _, e := range tr.snapshot.Engines.ForService("llm") {
		owner, _ := flow.OwnerOf(e.ID, flow.SelectOwners(live, 100))
		if owner.Name == "other" {
			silent[e.ID] = true
		}
	}
	return silent
}

// Guards against engines that stand idle while the owner of their gates does not reply: a request that
// another gate refuses must find them, and none waits for the owner for longer than it can spare.
func TestEngineWhoseOwnerIsSilentIsUsed(t *testing.T) {
	withTestRouter(t, 6, func(tr *testRouter) {
		silent := tr.withSilentOwners()
		require.NotEmpty(t, silent)
		require.Less(t, len(silent), 6)
		for _, e := range tr.snapshot.Engines.ForService("llm") {
			inFlight := 64 + 30
			if silent[e.ID] {
				inFlight = 10
			}
			tr.otherLoads[e.ID] = feed.EngineLoad{InFlight: inFlight}
		}
		used := 0
		for range 40 {
			x := tr.newExchange(context.Background())
			x.route.Prompted, x.req.Prompt = false, nil
			choice, refusal := x.chooseFirst(nil)
			require.LessOrEqual(t, tr.f.Clock()-x.started, x.route.Objective, "waits for silent owners")
			if refusal == nil {
				require.True(t, silent[choice.Engine.ID])
				require.True(t, x.unowned)
				used++
				tr.f.Engines.Done(choice)
			}
		}
		require.Greater(t, used, 30)
		time.Sleep(time.Minute)
	})
}

// Guards against brittle engines that fall over because the owner of their gates replied a little late.
func TestBrittleEnginesAndResumedStreamsWaitForTheOwner(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		x := tr.newExchange(context.Background())
		usual := x.ownerReplySpare(PermitCandidate{})
		require.Equal(t, minOwnerReplySpare, usual)
		require.Equal(t, maxOwnerReplySpare, x.ownerReplySpare(PermitCandidate{Brittle: true}))
		x.stream.resumes = true
		require.Equal(t, maxOwnerReplySpare, x.ownerReplySpare(PermitCandidate{}))
	})
}

// Guards against engines that are overrun because all routers send them requests without a permit while
// the owner of their gates does not reply.
func TestEngineWhoseOwnerIsSilentIsNotOverrun(t *testing.T) {
	withTestRouter(t, 6, func(tr *testRouter) {
		silent := tr.withSilentOwners()
		for _, load := range []int{26, 47, 48, 60} {
			tr.setOtherLoads(load)
			for range 20 {
				x := tr.newExchange(context.Background())
				x.route.Prompted, x.req.Prompt = false, nil
				choice, refusal := x.chooseFirst(nil)
				if refusal != nil {
					continue
				}
				if x.unowned {
					require.True(t, silent[choice.Engine.ID])
					require.Less(t, load, 48)
				}
				tr.f.Engines.Done(choice)
			}
			time.Sleep(time.Minute)
		}
		// One engine has twice the mean of the others and three more, which operators don't allow.
		tr.setOtherLoads(26)
		var busiest string
		for id := range silent {
			busiest = id
		}
		tr.otherLoads[busiest] = feed.EngineLoad{InFlight: 60}
		choice := Choice{Engine: tr.snapshot.Engines.ByID[busiest]}
		_, ok := tr.f.Engines.StartUnowned(tr.snapshot, choice, nil)
		require.False(t, ok)
		time.Sleep(time.Minute)
	})
}
