package run

import (
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"github.com/stretchr/testify/require"
)

func surgeWorkload() *workload.Workload {
	return &workload.Workload{
		Chats: workload.Chats{Ramp: 5 * time.Second},
		Surge: workload.Surge{Account: "a", Factor: 10, Start: 20 * time.Second, Length: 20 * time.Second},
	}
}

// A percentile that includes the first chats' dossiers or the start of the
// surge would describe neither phase.
func TestPhaseTimesExcludeRampAndSettling(t *testing.T) {
	from := time.Unix(1000, 0)
	times := newPhaseTimes(surgeWorkload(), from)
	for _, c := range []struct {
		after time.Duration
		want  phase
		in    bool
	}{
		{0, 0, false},
		{4999 * time.Millisecond, 0, false},
		{5 * time.Second, beforeSurge, true},
		{19999 * time.Millisecond, beforeSurge, true},
		{20 * time.Second, settling, true},
		{20999 * time.Millisecond, settling, true},
		{21 * time.Second, duringSurge, true},
		{39999 * time.Millisecond, duringSurge, true},
		{40 * time.Second, 0, false},
	} {
		got, in := times.at(from.Add(c.after))
		require.Equal(t, c.in, in, c.after)
		require.Equal(t, c.want, got, c.after)
	}
}

func TestPhaseTimesAreEmptyWithoutSurge(t *testing.T) {
	times := newPhaseTimes(&workload.Workload{}, time.Unix(1000, 0))
	_, in := times.at(time.Unix(1000, 0))
	require.False(t, in)
}

func TestPhaseLatenciesUseSendTime(t *testing.T) {
	from := time.Unix(1000, 0)
	p := newPhaseLatencies(newPhaseTimes(surgeWorkload(), from))
	early, late := from.Add(19*time.Second), from.Add(30*time.Second)
	p.add("checks", early, 10*time.Millisecond) // counts for the phase before the surge, whenever the call ends
	p.add("checks", late, 20*time.Millisecond)
	p.add("checks", from, time.Minute)
	p.fail("checks", late)
	p.fail("only-failed", early)

	got := p.result()
	require.EqualValues(t, 1, got["checks"].Before.Count)
	require.EqualValues(t, 1, got["checks"].During.Count)
	require.InDelta(t, 2, got["checks"].Ratio, 0.01)
	require.Equal(t, 1, got["checks"].FailedDuring)
	require.Zero(t, got["checks"].FailedBefore)
	require.Equal(t, 1, got["only-failed"].FailedBefore)
	require.Zero(t, got["only-failed"].Ratio)
}
