package feed

import (
	"context"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settingsOf returns how many routers run which settings, as one router finds out.
func settingsOf(n *fakeNode) map[string]int {
	out := make(map[string]int)
	for _, s := range n.follower.Fleet(context.Background()).Statuses {
		if s.State == StateUnheard {
			out[string(s.State)]++
			continue
		}
		out[s.Settings]++
	}
	return out
}

// Symptom: operators can't tell which of three hundred routers runs which settings. Sequence: the
// settings change at half of them. Cause handled: each says what it runs with its pulls, and any
// router answers for all.
func TestAnyRouterTellsWhoRunsWhat(t *testing.T) {
	for _, n := range []int{8, 89, 295} {
		inStart(t, n, func(f *startingFleet, live []Peer) {
			f.startAll(live, 300*time.Millisecond)
			time.Sleep(3 * time.Second)
			for i := range n / 2 {
				f.nodes[live[i].Name].settings.Store("b")
			}
			time.Sleep(time.Second)
			for _, i := range []int{0, n / 2, n - 1} {
				require.Equal(t, map[string]int{"a": n - n/2, "b": n / 2}, settingsOf(f.nodes[live[i].Name]))
			}
			for i := n / 2; i < n; i++ {
				f.nodes[live[i].Name].settings.Store("b")
			}
			time.Sleep(time.Second)
			require.Equal(t, map[string]int{"b": n}, settingsOf(f.nodes[live[1].Name]), "after the last change all agree")
			oldest := time.Duration(0)
			for _, s := range f.nodes[live[1].Name].follower.Fleet(context.Background()).Statuses {
				require.EqualValues(t, 1, s.Config)
				oldest = max(oldest, s.Age)
			}
			require.Less(t, oldest, statusRefresh+time.Second)
		})
	}
}

// Symptom: one router runs old settings, and nothing names it. Sequence: it is cut off from the
// others, or frozen, while settings change. Cause handled: its word grows old, and it is listed as
// not heard while it is a member.
func TestRouterThatSaysNothingIsNamed(t *testing.T) {
	inStart(t, 20, func(f *startingFleet, live []Peer) {
		f.startAll(live, 300*time.Millisecond)
		time.Sleep(3 * time.Second)
		silent := live[7].Name
		f.cut.Store(silent, true)
		time.Sleep(statusLifetime + time.Second)
		got := f.nodes[live[1].Name].follower.Fleet(context.Background())
		require.Len(t, got.Statuses, 20)
		for _, s := range got.Statuses {
			require.Equal(t, s.Router == silent, s.State == StateUnheard, s.Router)
		}
	})
}

// Symptom: nobody can tell who runs what while the first router of the fleet is lost. Cause
// handled: routers tell the next one, which is asked then.
func TestListOfRoutersSurvivesTheFirst(t *testing.T) {
	inFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		first := f.first()
		f.cut.Store(first, true)
		time.Sleep(3 * time.Second)
		f.gone.Store(first, true)
		time.Sleep(time.Second)
		for name, n := range f.nodes {
			if name != first {
				require.Equal(t, map[string]int{"a": len(f.live) - 1}, settingsOf(n), name)
			}
		}
	})
}

// What all routers say of themselves takes few bytes: about a hundred once, and the same again
// every five seconds.
func TestStatusIsSmall(t *testing.T) {
	now := time.Hour
	status := Status{
		Router: "front-ank-a-17", Site: "ank-a", State: StateServing, Settings: "9f2c41aa73de0b65", SettingsAge: 47 * time.Second,
		Config: 48, ConfigAge: 800 * time.Millisecond, Version: "development 0123456789abcdef0123456789abcdef01234567 go1.26", Boot: 1 << 63,
		UpFor: time.Hour,
	}
	statuses := NewStatuses(func() Status { return status }, func() time.Duration { return now })
	var sent countingWriter
	enc := gob.NewEncoder(&sent)
	require.NoError(t, enc.Encode(statuses.due("parent")))
	first := sent.n
	for range 100 {
		now += 150 * time.Millisecond
		require.NoError(t, enc.Encode(statuses.due("parent")))
	}
	require.Less(t, first, 600, "types included")
	require.Less(t, sent.n-first, 1500, "fifteen seconds of pulls")
}

type countingWriter struct{ n int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.n += len(p)
	return len(p), nil
}
