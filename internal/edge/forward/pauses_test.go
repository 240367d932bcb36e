package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// pausedBalancer is a Balancer on a clock that the test advances.
type pausedBalancer struct {
	*Balancer
	now      time.Duration
	snapshot *catalog.Snapshot
}

func newPausedBalancer(engines int) *pausedBalancer {
	p := &pausedBalancer{now: time.Minute, snapshot: newSnapshot(engines)}
	nobody := func() map[string]feed.EngineLoad { return nil }
	p.Balancer = NewBalancer("site", nobody, func() time.Duration { return p.now }, rand.New(rand.NewPCG(1, 2)))
	return p
}

func (p *pausedBalancer) engine(id string) catalog.Engine { return p.snapshot.Engines.ByID[id] }

func (p *pausedBalancer) pick(q Query) (Choice, bool) { return p.Pick(p.snapshot, "llm", q) }

// For any sequence of requests, rejections with pauses, responses and restarts of engines, an engine
// is not selected in its pause, and one that has asked for none is selected if it is the only one.
func TestPausedEngineIsNotSelected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPausedBalancer(3)
		until := make(map[string]time.Duration)
		var running []Choice
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			p.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			q := Query{}
			if rapid.Bool().Draw(t, "prompt") {
				q.Shared = []string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part")}
			}
			choice, ok := p.pick(q)
			if ok {
				require.GreaterOrEqual(t, p.now, until[choice.Engine.ID], choice.Engine.ID)
				running = append(running, choice)
			} else {
				require.Len(t, until, 3, "all engines have asked for a pause")
			}
			if len(running) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "request")
			done := running[i]
			switch rapid.IntRange(0, 2).Draw(t, "outcome") {
			case 0:
				pause := time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond
				p.Pause(done.Engine, pause)
				until[done.Engine.ID] = max(until[done.Engine.ID], p.now+pause)
			case 1:
				p.Accepted(done)
			}
			p.Done(done)
			running = append(running[:i], running[i+1:]...)
		}
		for _, c := range running {
			p.Done(c)
		}
		p.now += 10 * time.Second
		_, ok := p.pick(Query{})
		require.True(t, ok, "no engine is avoided for good")
	})
}

// Guards against a router that returns to an engine with all of its requests as soon as the pause
// ends: it sends one, and more only as the engine accepts them.
func TestRequestsReturnToEngineOneFirst(t *testing.T) {
	p := newPausedBalancer(1)
	earlier, ok := p.pick(Query{})
	require.True(t, ok)
	p.Pause(p.engine("e0"), 3*time.Second)
	_, ok = p.pick(Query{})
	require.False(t, ok)
	p.now += 3*time.Second + 10*time.Millisecond
	first, ok := p.pick(Query{})
	require.True(t, ok)
	_, ok = p.pick(Query{})
	require.False(t, ok, "the engine has not accepted the first request yet")
	p.Accepted(earlier)
	p.Done(earlier)
	_, ok = p.pick(Query{})
	require.False(t, ok, "a request from before the pause says nothing")
	p.Accepted(first)
	p.Done(first)
	for range 2 {
		c, picked := p.pick(Query{})
		require.True(t, picked)
		defer p.Done(c)
	}
	_, ok = p.pick(Query{})
	require.False(t, ok)
}

// Guards against a pause that outlives the start of the engine that asked for it, and against a late
// rejection by an earlier start that pauses the present one.
func TestPauseEndsWithRestart(t *testing.T) {
	p := newPausedBalancer(1)
	start := func(revision uint64, born int64) catalog.Engine {
		e := p.engine("e0")
		e.Born, e.Revision = born, revision
		p.snapshot, _ = p.snapshot.WithEngines(catalog.EngineUpdate{Full: true, Upto: revision, Present: []catalog.Engine{e}}, p.now, time.Hour, 0)
		return p.engine("e0")
	}
	first := start(2, 100)
	_, _ = p.pick(Query{})
	p.Pause(first, time.Minute)
	_, ok := p.pick(Query{})
	require.False(t, ok)
	second := start(3, 200)
	_, ok = p.pick(Query{})
	require.True(t, ok)
	p.Pause(first, time.Minute)
	require.False(t, p.Paused(second))
	_, ok = p.pick(Query{})
	require.True(t, ok)
}

// Guards against requests that go on waiting for an engine that has asked for a pause meanwhile, and
// are then sent to it or refused although other engines have free slots.
func TestRequestThatWaitedForPausedEngineChoosesAnew(t *testing.T) {
	withTestRouter(t, 2, func(tr *testRouter) {
		tr.setOtherLoads(80)
		tr.otherLoads["e0"] = feed.EngineLoad{InFlight: 67}
		time.AfterFunc(50*time.Millisecond, func() {
			e0 := tr.snapshot.Engines.ByID["e0"]
			tr.f.Engines.Pause(e0, 3*time.Second)
			tr.otherLoads = map[string]feed.EngineLoad{}
		})
		choice, refusal := tr.newExchange(context.Background()).chooseFirst(nil)
		require.Nil(t, refusal)
		require.Equal(t, "e1", choice.Engine.ID)
		tr.f.Engines.Done(choice)
	})
}

// Guards against callers that are held, or told to return too soon, while all engines are paused, and
// against a refusal that hides that the request may have run.
func TestRequestIsRefusedAtOnceWhileAllEnginesArePaused(t *testing.T) {
	withTestRouter(t, 2, func(tr *testRouter) {
		for id, pause := range map[string]time.Duration{"e0": 3 * time.Second, "e1": 2 * time.Second} {
			tr.f.Engines.Pause(tr.snapshot.Engines.ByID[id], pause)
		}
		started := tr.f.Clock()
		x := tr.newExchange(context.Background())
		_, refusal := x.chooseFirst(notExecuted(ReasonNoEngine, retryLater))
		require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		require.Equal(t, ReasonPaused, refusal.Reason)
		require.GreaterOrEqual(t, refusal.RetryAfter, 2*time.Second)
		require.Less(t, refusal.RetryAfter, 3*time.Second)
		require.Equal(t, started, tr.f.Clock())
		x.executed = 1
		last := maybeExecuted(http.StatusBadGateway, ReasonNoAnswer)
		require.Equal(t, last, x.finalRefusal(last))
	})
}

// Only responses that the engine generated for this request, or proved to be its own, tell about it.
func TestSignalsOfOtherEnginesAreIgnored(t *testing.T) {
	for _, test := range []struct {
		reply Reply
		want  bool
	}{
		{Reply{RequestID: "q"}, true},
		{Reply{RequestID: "q", Sealed: true}, true},
		{Reply{Sealed: true}, true},
		{Reply{}, false},
		{Reply{RequestID: "other", Sealed: true}, false},
		{Reply{RequestID: "q", WrongEngine: true, NotExecuted: true}, false},
	} {
		require.Equal(t, test.want, test.reply.isFrom("q"), "%+v", test.reply)
	}
	rejection := Reply{RequestID: "q", RetryAfter: "3", NotExecuted: true}
	require.True(t, rejection.pauses("q", http.StatusServiceUnavailable))
	require.True(t, rejection.pauses("q", http.StatusTooManyRequests))
	require.False(t, rejection.pauses("q", http.StatusInternalServerError))
	require.False(t, rejection.pauses("other", http.StatusServiceUnavailable))
}

// countPicks selects engines n times and returns how often each was selected.
func (p *pausedBalancer) countPicks(n int) map[string]int {
	got := make(map[string]int)
	for range n {
		if choice, ok := p.pick(Query{}); ok {
			got[choice.Engine.ID]++
			p.Done(choice)
		}
	}
	return got
}

// Guards against a large fleet in which each router has to be rejected itself by an engine that rejects
// everything, and against an engine that gets nothing although it accepts most requests, or although
// no other one is left.
func TestEngineThatRejectsOtherRoutersGetsLess(t *testing.T) {
	p := newPausedBalancer(3)
	others := map[string]feed.EngineLoad{}
	p.otherLoads = func() map[string]feed.EngineLoad { return others }
	const n = 3000
	even := p.countPicks(n)["e0"]
	others["e0"] = feed.EngineLoad{Rejected: 9}
	rejecting := p.countPicks(n)["e0"]
	require.Less(t, rejecting, even/4)
	require.Positive(t, rejecting, "the fleet must notice when it accepts requests again")
	others["e0"] = feed.EngineLoad{Accepted: 20, Rejected: 1}
	require.Greater(t, p.countPicks(n)["e0"], even*3/4)
	for _, id := range []string{"e0", "e1", "e2"} {
		others[id] = feed.EngineLoad{Rejected: 99}
	}
	total := 0
	for _, got := range p.countPicks(n) {
		total += got
	}
	require.Equal(t, n, total, "they may accept this router")
	p.Pause(p.engine("e0"), time.Second)
	p.now += time.Second + 10*time.Millisecond
	others["e1"], others["e2"] = feed.EngineLoad{}, feed.EngineLoad{}
	require.Positive(t, p.countPicks(20)["e0"], "a router that was paused returns whatever others are told")
}

// BenchmarkPick measures the selection of an engine among those of a large service.
func BenchmarkPick(b *testing.B) {
	const engines = 256
	for _, test := range []struct {
		name            string
		leaving, paused int
	}{{"none", 0, 0}, {"leaving", 8, 0}, {"paused", 0, 85}} {
		b.Run(test.name, func(b *testing.B) {
			p := newPausedBalancer(engines)
			for i := range test.leaving {
				p.snapshot, _ = p.snapshot.WithLeaving([]catalog.LeavingStart{{ID: fmt.Sprint("e", i)}}, 0)
			}
			for i := range test.paused {
				p.Pause(p.engine(fmt.Sprint("e", i)), time.Hour)
			}
			q := Query{Shared: []string{"dossier"}}
			for b.Loop() {
				choice, _ := p.pick(q)
				p.Accepted(choice)
				p.Done(choice)
			}
		})
	}
}

// Guards against a request that is refused while the first one after a pause is at the engine, although
// the engine accepts that one within milliseconds and the others are paused.
func TestRequestWaitsForReturningEngine(t *testing.T) {
	withTestRouter(t, 2, func(tr *testRouter) {
		e0, e1 := tr.snapshot.Engines.ByID["e0"], tr.snapshot.Engines.ByID["e1"]
		tr.f.Engines.Pause(e0, time.Second)
		tr.f.Engines.Pause(e1, time.Minute)
		time.Sleep(1100 * time.Millisecond)
		last := notExecuted(ReasonNoEngine, retryLater)
		first, refusal := tr.newExchange(context.Background()).chooseFirst(last)
		require.Nil(t, refusal)
		const took = 40 * time.Millisecond
		time.AfterFunc(took, func() {
			tr.f.Engines.Accepted(first)
			tr.f.Engines.Done(first)
		})
		for range 2 {
			second, refusal := tr.newExchange(context.Background()).chooseFirst(last)
			require.Nil(t, refusal)
			require.Equal(t, "e0", second.Engine.ID)
			defer tr.f.Engines.Done(second)
		}
	})
}

// Guards against a resumed stream that is refused, without a reason that tells it when to return, while
// the engines of its version are paused and others take requests.
func TestResumedStreamWaitsForReturningEngineOfItsVersion(t *testing.T) {
	withTestRouter(t, 2, func(tr *testRouter) {
		e0, e1 := tr.snapshot.Engines.ByID["e0"], tr.snapshot.Engines.ByID["e1"]
		e0.Version, e1.Version, e0.Revision, e1.Revision = "v1", "v2", 100, 100
		tr.snapshot, _ = tr.snapshot.WithEngines(catalog.EngineUpdate{Full: true, Upto: 100, Present: []catalog.Engine{e0, e1}}, tr.f.Clock(), time.Hour, time.Hour)
		resume := func() *exchange {
			x := tr.newExchange(context.Background())
			x.stream.resumes, x.stream.service, x.stream.version = true, "llm", "v1"
			return x
		}
		last := notExecuted(ReasonNoEngine, retryLater)
		tr.f.Engines.Pause(e0, time.Second)
		_, refusal := resume().chooseFirst(last)
		require.Equal(t, ReasonPaused, refusal.Reason)
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
		time.Sleep(1100 * time.Millisecond)
		first, refusal := resume().chooseFirst(last)
		require.Nil(t, refusal)
		time.AfterFunc(40*time.Millisecond, func() {
			tr.f.Engines.Accepted(first)
			tr.f.Engines.Done(first)
		})
		second, refusal := resume().chooseFirst(last)
		require.Nil(t, refusal)
		require.Equal(t, "e0", second.Engine.ID)
		tr.f.Engines.Done(second)
	})
}

// Guards against a request that waits for longer than it can for an engine that does not respond to the
// first one after its pause.
func TestRequestDoesNotWaitForReturningEngineForLong(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		tr.f.Engines.Pause(tr.snapshot.Engines.ByID["e0"], time.Second)
		time.Sleep(1100 * time.Millisecond)
		last := notExecuted(ReasonNoEngine, retryLater)
		first, refusal := tr.newExchange(context.Background()).chooseFirst(last)
		require.Nil(t, refusal)
		defer tr.f.Engines.Done(first)
		started := tr.f.Clock()
		x := tr.newExchange(context.Background())
		_, refusal = x.chooseFirst(last)
		require.Equal(t, ReasonPaused, refusal.Reason)
		require.LessOrEqual(t, tr.f.Clock()-started, x.route.Objective/2)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		started = tr.f.Clock()
		_, refusal = tr.newExchange(ctx).chooseFirst(last)
		require.NotNil(t, refusal)
		require.Less(t, tr.f.Clock()-started, x.route.Objective/4)
	})
}

// Guards against slots that requests occupy for seconds though they have not reached their engine, and
// against counts that go below zero as these requests end.
func TestUnreachedRequestTakesNoSlot(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		last := notExecuted(ReasonNoEngine, retryLater)
		plain, refusal := tr.newExchange(context.Background()).chooseFirst(last)
		require.Nil(t, refusal)
		// Permits are needed for a while after the service was full.
		tr.setOtherLoads(80)
		_, refusal = tr.newExchange(context.Background()).chooseFirst(last)
		require.NotNil(t, refusal)
		tr.setOtherLoads(5)
		leased, refusal := tr.newExchange(context.Background()).chooseFirst(last)
		require.Nil(t, refusal)
		require.NotNil(t, leased.permit)
		require.Equal(t, 2, tr.f.Engines.OwnLoads()["e0"].InFlight)
		for range 2 {
			tr.f.Engines.Unreached(plain)
			tr.f.Engines.Unreached(leased)
			require.Zero(t, tr.f.Engines.OwnLoads()["e0"].InFlight)
			require.Zero(t, tr.f.Engines.OwnLoads()["e0"].Leased)
			require.Zero(t, tr.owner.Load().Leases)
		}
		tr.f.Engines.Done(plain)
		tr.f.Engines.Done(leased)
		require.Zero(t, tr.f.Engines.OwnLoads()["e0"].InFlight)
	})
}

// restart replaces the entry of an engine by that of its next start.
func (p *pausedBalancer) restart(id string) {
	e := p.engine(id)
	e.Born++
	e.Revision = p.snapshot.Engines.Upto + 1
	u := catalog.EngineUpdate{Since: p.snapshot.Engines.Upto, Upto: e.Revision, Present: []catalog.Engine{e}}
	p.snapshot, _ = p.snapshot.WithEngines(u, p.now, time.Hour, time.Hour)
	p.EjectionChanges(p.snapshot)
}

// newBalancerWithDoubts returns a Balancer with two engines that state their starts, of which no connection
// and no query proves one.
func newBalancerWithDoubts() *pausedBalancer {
	p := newPausedBalancer(2)
	p.restart("e0")
	p.restart("e1")
	clock, snapshot := func() time.Duration { return p.now }, func() *catalog.Snapshot { return p.snapshot }
	noOther := func(string, time.Duration) bool { return false }
	unknown := func(catalog.Engine) (StatedStart, error) { return StatedStart{}, errors.New("no answer") }
	p.SetDoubts(NewRestartDoubts(DoubtsOptions{Clock: clock, Snapshot: snapshot, Survives: noOther, QueryStart: unknown}))
	return p
}

// Guards against a pause that is forgotten because the engine had restarted before it asked for it, and
// its entry has shown that only afterwards.
func TestPauseOutlivesLateEntryOfItsStart(t *testing.T) {
	p := newBalancerWithDoubts()
	p.doubts.Lose("e0", p.now)
	p.now += 100 * time.Millisecond
	p.Pause(p.engine("e0"), 4*time.Second)
	p.now += time.Second
	p.doubts.Lose("e0", p.now)
	p.restart("e0")
	require.Zero(t, p.countPicks(20)["e0"])
	p.now += 4 * time.Second
	require.Positive(t, p.countPicks(20)["e0"])

	p.Pause(p.engine("e1"), time.Minute)
	p.now += 100 * time.Millisecond
	p.doubts.Lose("e1", p.now)
	p.now += time.Second
	p.restart("e1")
	require.Positive(t, p.countPicks(20)["e1"], "the next start has asked for nothing")
}

// Guards against requests in a pause that the next start of an engine asked for before its entry was there,
// at a router that had no connection to the start before, and so has lost none.
func TestPauseAskedForOnFirstConnectionOutlivesLateEntry(t *testing.T) {
	p := newBalancerWithDoubts()
	p.doubts.Connect("e0", p.now, false)
	p.now += 100 * time.Millisecond
	p.Pause(p.engine("e0"), 4*time.Second)
	p.now += 100 * time.Millisecond
	p.doubts.Connect("e0", p.now, false)
	p.now += 300 * time.Millisecond
	p.restart("e0")
	require.Zero(t, p.countPicks(20)["e0"])
	p.now += 4 * time.Second
	require.Positive(t, p.countPicks(20)["e0"])

	p.Pause(p.engine("e1"), time.Minute)
	p.now += 100 * time.Millisecond
	p.doubts.Connect("e1", p.now, false)
	p.now += 300 * time.Millisecond
	p.restart("e1")
	require.Positive(t, p.countPicks(20)["e1"], "the start before has asked for it")
}
