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

func newGate(places int) *Gate {
	g := New(Config{Classes: 10})
	g.SetPlaces(places)
	return g
}

func ask(id string, now time.Duration, patience time.Duration) Ask {
	return Ask{
		ID: id, Holder: "r1", Account: "a", Weight: 1, Latest: at(now + patience), Until: at(now + time.Minute),
		Hold: time.Second,
	}
}

// Symptom: an engine with free places is sent twice what it can hold. Sequence: two routers
// see the same free place in late reports and both send. Cause handled: one of the two is
// told to wait, and goes as soon as the place is free again.
func TestPlaceIsGrantedOnce(t *testing.T) {
	g := newGate(1)
	v, waits := g.Ask(at(0), ask("a", 0, 3*time.Second))
	require.True(t, v.Granted)
	require.False(t, waits)
	_, waits = g.Ask(at(0), ask("b", 0, 3*time.Second))
	require.True(t, waits)
	require.Empty(t, g.Settle(at(time.Second)))
	require.True(t, g.Release(at(time.Second), "a"))
	require.Equal(t, []Verdict{{ID: "b", Granted: true}}, g.Settle(at(time.Second)))
	require.False(t, g.Release(at(2*time.Second), "a"), "a second release changes nothing")
	require.Equal(t, 1, g.Held())
}

// Symptom: requests wait until their callers leave. Sequence: more come than an engine can
// do. Cause handled: who could only start too late is refused when it asks, also in the
// first moments of a surge, before anything has ended.
func TestHopelessAskIsRefusedAtOnce(t *testing.T) {
	g := newGate(10)
	refused := 0
	for i := range 60 {
		v, waits := g.Ask(at(0), ask(fmt.Sprint(i), 0, 500*time.Millisecond))
		if !v.Granted && !waits {
			refused++
			require.Greater(t, v.Wait, 400*time.Millisecond)
		}
	}
	// Ten go at once, and five in half a second more.
	require.InDelta(t, 45, refused, 3)
}

// Requests that were sent without asking take places too.
func TestOthersTakePlaces(t *testing.T) {
	g := newGate(3)
	g.SetOthers(3)
	_, waits := g.Ask(at(0), ask("a", 0, time.Second))
	require.True(t, waits)
	require.Empty(t, g.Settle(at(0)))
	g.SetOthers(2)
	require.Len(t, g.Settle(at(0)), 1)
}

// Symptom: an engine stays half empty for good. Sequence: a router dies, or its release is
// lost. Cause handled: leases end with their holder, and by their time.
func TestLeasesOfTheGoneEnd(t *testing.T) {
	g := newGate(2)
	a, b := ask("a", 0, time.Second), ask("b", 0, time.Second)
	b.Holder, b.Until = "r2", at(5*time.Second)
	for _, x := range []Ask{a, b} {
		v, _ := g.Ask(at(0), x)
		require.True(t, v.Granted)
	}
	waiting := ask("c", 0, time.Hour)
	waiting.Holder = "r1"
	_, waits := g.Ask(at(0), waiting)
	require.True(t, waits)
	g.DropHolder(at(time.Second), "r1")
	require.Equal(t, 1, g.Held())
	require.Zero(t, g.Waiting(), "what a dead router waits for is of no use")
	g.Settle(at(6 * time.Second))
	require.True(t, g.Idle())
}

// Symptom: in a surge each request is refused once and then served late. Sequence: a request
// that was refused comes back while others wait that can still be on time. Cause handled: it
// goes behind them, whatever its urgency, and among the late by its urgency.
func TestLateGoBehindAllOthers(t *testing.T) {
	g := newGate(1)
	g.Ask(at(0), ask("running", 0, time.Minute))
	for _, a := range []struct {
		id    string
		class queue.Class
		late  bool
	}{{"late urgent", 0, true}, {"late", 9, true}, {"least urgent", 9, false}, {"urgent", 0, false}} {
		question := ask(a.id, 0, time.Minute)
		question.Class, question.Late = a.class, a.late
		_, waits := g.Ask(at(0), question)
		require.True(t, waits)
	}
	last := "running"
	for _, next := range []string{"urgent", "least urgent", "late urgent", "late"} {
		g.Release(at(time.Second), last)
		require.Equal(t, []Verdict{{ID: next, Granted: true}}, g.Settle(at(time.Second)))
		last = next
	}
}

// Random asks, releases, withdrawals and losses: there are never more leases than places
// allow, each ask has one verdict, and a more urgent one never waits behind the grant of a
// less urgent one but for the reserve.
func TestGateKeepsItsBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGate(rapid.IntRange(0, 5).Draw(t, "places"))
		now := time.Duration(0)
		waiting, held := map[string]Ask{}, map[string]bool{}
		others, next := 0, 0
		take := func(v Verdict) {
			_, ok := waiting[v.ID]
			require.True(t, ok, "%s has a second verdict", v.ID)
			delete(waiting, v.ID)
			if v.Granted {
				held[v.ID] = true
			}
		}
		settle := func() {
			before := len(held)
			for _, v := range g.Settle(at(now)) {
				take(v)
			}
			if len(held) > before {
				require.LessOrEqual(t, len(held)+others, g.places)
			}
			require.Equal(t, len(waiting), g.Waiting())
		}
		pick := func(m map[string]bool) (string, bool) {
			for id := range m {
				return id, true
			}
			return "", false
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				next++
				a := ask(fmt.Sprint(next), now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience"))*time.Millisecond)
				a.Class = queue.Class(rapid.IntRange(0, 9).Draw(t, "class"))
				a.Late = rapid.Bool().Draw(t, "late")
				a.Account = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
				waiting[a.ID] = a
				v, waits := g.Ask(at(now), a)
				if !waits {
					take(v)
				}
			},
			"release": func(*rapid.T) {
				if id, ok := pick(held); ok {
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
				others = rapid.IntRange(0, 3).Draw(t, "others")
				g.SetOthers(others)
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond },
			"":     func(*rapid.T) { settle() },
		})
	})
}

func BenchmarkAskAndRelease(b *testing.B) {
	g := newGate(48)
	b.ReportAllocs()
	for b.Loop() {
		g.Ask(epoch, Ask{ID: "a", Holder: "r", Account: "a", Weight: 1, Latest: at(time.Second), Until: at(time.Minute)})
		g.Release(epoch, "a")
	}
}
