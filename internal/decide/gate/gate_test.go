package gate

import (
	"fmt"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/queue"
	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newGate(slots int) *Gate {
	g := New(Config{Classes: 10})
	g.SetSlots(slots)
	return g
}

func newRequest(id string, now time.Duration, maxWait time.Duration) Request {
	return Request{
		ID: id, Holder: "r1", Account: "a", Weight: 1, Latest: at(now + maxWait), Until: at(now + time.Minute),
		Hold: time.Second,
	}
}

// Guards against an engine that is sent more requests than it has slots, when two routers act on
// the same outdated report of a free slot: one of them has to wait until the slot is released.
func TestSlotIsNotGrantedTwice(t *testing.T) {
	g := newGate(1)
	v, queued := g.Acquire(at(0), newRequest("a", 0, 3*time.Second))
	require.True(t, v.Granted)
	require.False(t, queued)
	_, queued = g.Acquire(at(0), newRequest("b", 0, 3*time.Second))
	require.True(t, queued)
	require.Empty(t, g.Settle(at(time.Second)))
	require.True(t, g.Release(at(time.Second), "a"))
	require.Equal(t, []Decision{{ID: "b", Granted: true}}, g.Settle(at(time.Second)))
	require.False(t, g.Release(at(2*time.Second), "a"), "releasing twice has no effect")
	require.Equal(t, 1, g.Held())
}

// Guards against requests that wait until their callers leave: a request whose predicted wait
// exceeds the time it may wait is refused at once, even at the start of a surge, before any lease
// has ended.
func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	g := newGate(10)
	refused := 0
	for i := range 60 {
		v, queued := g.Acquire(at(0), newRequest(fmt.Sprint(i), 0, 500*time.Millisecond))
		if !v.Granted && !queued {
			refused++
			require.Greater(t, v.Wait, 400*time.Millisecond)
		}
	}
	// Ten start at once, and five more within half a second.
	require.InDelta(t, 45, refused, 3)
}

// Guards against overloading an engine with requests that were sent without a lease.
func TestUnleasedRequestsOccupySlots(t *testing.T) {
	g := newGate(3)
	g.SetUnleased(3)
	_, queued := g.Acquire(at(0), newRequest("a", 0, time.Second))
	require.True(t, queued)
	require.Empty(t, g.Settle(at(0)))
	g.SetUnleased(2)
	require.Len(t, g.Settle(at(0)), 1)
}

// Guards against slots that stay occupied forever after a router dies or its release is lost:
// leases end with their holder, or when they expire.
func TestLeasesEndWithHolderOrExpiry(t *testing.T) {
	g := newGate(2)
	a, b := newRequest("a", 0, time.Second), newRequest("b", 0, time.Second)
	b.Holder, b.Until = "r2", at(5*time.Second)
	for _, req := range []Request{a, b} {
		v, _ := g.Acquire(at(0), req)
		require.True(t, v.Granted)
	}
	waiting := newRequest("c", 0, time.Hour)
	waiting.Holder = "r1"
	_, queued := g.Acquire(at(0), waiting)
	require.True(t, queued)
	g.DropHolder(at(time.Second), "r1")
	require.Equal(t, 1, g.Held())
	require.Zero(t, g.Waiting(), "queued requests of a dead router are dropped")
	g.Settle(at(6 * time.Second))
	require.True(t, g.Idle())
}

// Guards against a surge in which each request is refused once and then served late: a late retry
// is queued behind all requests that can still be on time, whatever its class, and by class among
// late ones.
func TestLateRequestsAreServedLast(t *testing.T) {
	g := newGate(1)
	g.Acquire(at(0), newRequest("running", 0, time.Minute))
	for _, tc := range []struct {
		id    string
		class queue.Class
		late  bool
	}{{"late urgent", 0, true}, {"late", 9, true}, {"least urgent", 9, false}, {"urgent", 0, false}} {
		req := newRequest(tc.id, 0, time.Minute)
		req.Class, req.Late = tc.class, tc.late
		_, queued := g.Acquire(at(0), req)
		require.True(t, queued)
	}
	last := "running"
	for _, next := range []string{"urgent", "least urgent", "late urgent", "late"} {
		g.Release(at(time.Second), last)
		require.Equal(t, []Decision{{ID: next, Granted: true}}, g.Settle(at(time.Second)))
		last = next
	}
}

// Runs random requests, releases, withdrawals and changes of the unleased load: a grant never
// exceeds the slots, and each request gets exactly one decision.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGate(rapid.IntRange(0, 5).Draw(t, "places"))
		now := time.Duration(0)
		waiting, held := map[string]Request{}, map[string]bool{}
		unleased, next := 0, 0
		record := func(v Decision) {
			_, ok := waiting[v.ID]
			require.True(t, ok, "%s got a second decision", v.ID)
			delete(waiting, v.ID)
			if v.Granted {
				held[v.ID] = true
			}
		}
		settle := func() {
			before := len(held)
			for _, v := range g.Settle(at(now)) {
				record(v)
			}
			if len(held) > before {
				require.LessOrEqual(t, len(held)+unleased, g.slots)
			}
			require.Equal(t, len(waiting), g.Waiting())
		}
		anyKey := func(m map[string]bool) (string, bool) {
			for id := range m {
				return id, true
			}
			return "", false
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				next++
				req := newRequest(fmt.Sprint(next), now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience"))*time.Millisecond)
				req.Class = queue.Class(rapid.IntRange(0, 9).Draw(t, "class"))
				req.Late = rapid.Bool().Draw(t, "late")
				req.Beyond = rapid.Bool().Draw(t, "beyond")
				req.Account = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
				waiting[req.ID] = req
				v, queued := g.Acquire(at(now), req)
				if !queued {
					record(v)
				}
			},
			"release": func(*rapid.T) {
				if id, ok := anyKey(held); ok {
					require.True(t, g.Release(at(now), id))
					delete(held, id)
				}
			},
			"withdraw": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, next+1).Draw(t, "id"))
				g.Withdraw(at(now), id)
				delete(waiting, id)
				delete(held, id)
			},
			"others": func(t *rapid.T) {
				unleased = rapid.IntRange(0, 3).Draw(t, "others")
				g.SetUnleased(unleased)
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond },
			"":     func(*rapid.T) { settle() },
		})
	})
}

func BenchmarkAcquireAndRelease(b *testing.B) {
	g := newGate(48)
	b.ReportAllocs()
	for b.Loop() {
		g.Acquire(epoch, Request{ID: "a", Holder: "r", Account: "a", Weight: 1, Latest: at(time.Second), Until: at(time.Minute)})
		g.Release(epoch, "a")
	}
}

// Guards against requests beyond their account's share that go ahead of others, of whatever class, and
// against requests of a more urgent class beyond it that lose their order among themselves.
func TestRequestsBeyondShareAreServedAfterOthers(t *testing.T) {
	g := newGate(1)
	g.Acquire(at(0), newRequest("running", 0, time.Minute))
	for _, tc := range []struct {
		id           string
		class        queue.Class
		beyond, late bool
	}{{"late", 0, false, true}, {"beyond", 9, true, false}, {"beyond urgent", 0, true, false}, {"least urgent", 9, false, false}, {"urgent", 0, false, false}} {
		req := newRequest(tc.id, 0, time.Minute)
		req.Class, req.Beyond, req.Late = tc.class, tc.beyond, tc.late
		_, queued := g.Acquire(at(0), req)
		require.True(t, queued)
	}
	last := "running"
	for _, next := range []string{"urgent", "least urgent", "beyond urgent", "beyond", "late"} {
		g.Release(at(time.Second), last)
		require.Equal(t, []Decision{{ID: next, Granted: true}}, g.Settle(at(time.Second)))
		last = next
	}
}

// Guards against engines that are full of requests beyond their accounts' shares as a request within its
// share arrives: it must get a slot at once, also while others wait.
func TestSlotsAreReservedForRequestsWithinShare(t *testing.T) {
	g := newGate(50)
	granted := 0
	for i := range 60 {
		req := newRequest(fmt.Sprint("beyond", i), 0, time.Minute)
		req.Beyond = true
		if decision, _ := g.Acquire(at(0), req); decision.Granted {
			granted++
		}
	}
	require.Equal(t, 45, granted)
	require.Empty(t, g.Settle(at(0)), "the reserved slots stay free")
	for i := range 5 {
		decision, _ := g.Acquire(at(0), newRequest(fmt.Sprint("within", i), 0, 0))
		require.True(t, decision.Granted)
	}
	_, queued := g.Acquire(at(0), newRequest("refused", 0, 0))
	require.True(t, queued)
	require.Len(t, g.Settle(at(time.Millisecond)), 1, "refused: no slot is free")
	g.Release(at(time.Millisecond), "within0")
	require.Empty(t, g.Settle(at(time.Millisecond)), "a refusal raises the reserve")
	for i := range 5 {
		g.Release(at(time.Millisecond), fmt.Sprint("beyond", i))
	}
	require.Empty(t, g.Settle(at(time.Millisecond)), "six of 50 slots are free")
	require.Len(t, g.Settle(at(30*time.Second)), 1, "the reserve returns to five")
}

// Guards against a change of the decisions where nothing is marked: one gate with and one without a
// marked request that has left decide alike.
func TestGateWithoutMarksDecidesAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, other := newGate(20), newGate(20)
		marked := newRequest("marked", 0, time.Minute)
		marked.Beyond = true
		other.Acquire(at(0), marked)
		other.Withdraw(at(0), "marked")
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			req := newRequest(fmt.Sprint(i), now, time.Duration(rapid.IntRange(0, 900).Draw(t, "wait"))*time.Millisecond)
			req.Class, req.Late = queue.Class(rapid.IntRange(0, 9).Draw(t, "class")), rapid.Bool().Draw(t, "late")
			a, queuedA := plain.Acquire(at(now), req)
			b, queuedB := other.Acquire(at(now), req)
			require.Equal(t, a, b)
			require.Equal(t, queuedA, queuedB)
			done := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "done"))
			require.Equal(t, plain.Release(at(now), done), other.Release(at(now), done))
			require.Equal(t, plain.Settle(at(now)), other.Settle(at(now)))
		}
	})
}
