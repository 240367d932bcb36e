package feed

import (
	"context"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settingsOf returns the number of routers per settings digest, as listed by one router.
func settingsOf(n *fakeNode) map[string]int {
	out := make(map[string]int)
	for _, s := range n.follower.Fleet(context.Background()).Statuses {
		if s.State == StateNotHeard {
			out[string(s.State)]++
			continue
		}
		out[s.Settings]++
	}
	return out
}

// Guards against operators who cannot determine which of 300 routers runs which settings while the
// settings change. Each router sends its digest with its pulls, and any router lists all of them.
func TestAnyRouterListsSettingsOfFleet(t *testing.T) {
	for _, n := range []int{8, 89, 295} {
		runStartingFleet(t, n, func(f *startingFleet, live []Peer) {
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
			require.Equal(t, map[string]int{"b": n}, settingsOf(f.nodes[live[1].Name]), "all agree after the last change")
			oldest := time.Duration(0)
			for _, s := range f.nodes[live[1].Name].follower.Fleet(context.Background()).Statuses {
				require.EqualValues(t, 1, s.Config)
				oldest = max(oldest, s.Age)
			}
			require.Less(t, oldest, statusRefresh+time.Second)
		})
	}
}

// Guards against an unnoticed router with old settings: a router that is cut off or frozen while
// settings change must be listed as not heard once its status expires, as long as it is a member.
func TestSilentRouterIsListedAsNotHeard(t *testing.T) {
	runStartingFleet(t, 20, func(f *startingFleet, live []Peer) {
		f.startAll(live, 300*time.Millisecond)
		time.Sleep(3 * time.Second)
		silent := live[7].Name
		f.cut.Store(silent, true)
		time.Sleep(statusLifetime + time.Second)
		got := f.nodes[live[1].Name].follower.Fleet(context.Background())
		require.Len(t, got.Statuses, 20)
		for _, s := range got.Statuses {
			require.Equal(t, s.Router == silent, s.State == StateNotHeard, s.Router)
		}
	})
}

// Guards against a missing list while the first router of the fleet is down. Statuses are sent to
// the next router, which then supplies the list.
func TestStatusListSurvivesLossOfFirstRouter(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		first := f.firstRouter()
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

// Guards against status traffic that grows: a status takes about a hundred bytes, and the same
// again every five seconds.
func TestStatusUpdatesAreSmall(t *testing.T) {
	now := time.Hour
	status := Status{
		Router: "front-ank-a-17", Site: "ank-a", State: StateServing, Settings: "9f2c41aa73de0b65", SettingsAge: 47 * time.Second,
		Config: 48, ConfigAge: 800 * time.Millisecond, Version: "development 0123456789abcdef0123456789abcdef01234567 go1.26", Boot: 1 << 63,
		UpFor: time.Hour,
	}
	statuses := NewStatuses(func() Status { return status }, func() time.Duration { return now })
	var sent countingWriter
	enc := gob.NewEncoder(&sent)
	require.NoError(t, enc.Encode(statuses.nextUpdate("parent")))
	first := sent.n
	for range 100 {
		now += 150 * time.Millisecond
		require.NoError(t, enc.Encode(statuses.nextUpdate("parent")))
	}
	require.Less(t, first, 600, "including types")
	require.Less(t, sent.n-first, 1500, "pulls of fifteen seconds")
}

type countingWriter struct{ n int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.n += len(p)
	return len(p), nil
}
