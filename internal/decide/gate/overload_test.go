package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: callers who were refused come back together, and are refused again. Cause
// handled: they are sent away for as long as the overload has lasted, spread, and no longer
// than callers stay away.
func TestComeBackFollowsTheOverload(t *testing.T) {
	const objective, patience = 500 * time.Millisecond, time.Minute
	var o Overload
	require.Equal(t, objective, o.ComeBack(objective, patience, time.Second, 0.5))
	for now := time.Second; now <= 3*time.Second; now += time.Second {
		o.ComeBack(objective, patience, now, 0.5)
	}
	require.Equal(t, 2*time.Second, o.ComeBack(objective, patience, 3*time.Second, 0.5))
	require.Equal(t, time.Second, o.ComeBack(objective, 3*time.Second, 3*time.Second, 0.5))
	require.Equal(t, objective, o.ComeBack(objective, patience, 10*time.Second, 0.5), "a new overload")
	require.Less(t, o.ComeBack(objective, patience, 10*time.Second, 0), objective)
	require.Greater(t, o.ComeBack(objective, patience, 10*time.Second, 1), objective)
}

// Symptom: in a surge of four times the usual load, links between engines carry so many
// prompts that answers begin a second late; or requests without a prompt wait at one engine
// while places become free at others. Cause handled: a prompt waits at its own engine only,
// any other request for a while at each.
func TestMaxWait(t *testing.T) {
	const objective = time.Second
	require.Equal(t, 600*time.Millisecond, MaxWait(true, 0, 3, objective, 0))
	require.Equal(t, 500*time.Millisecond, MaxWait(true, 0, 3, objective, 100*time.Millisecond))
	require.Zero(t, MaxWait(true, 1, 3, objective, 0))
	require.Equal(t, 200*time.Millisecond, MaxWait(false, 0, 3, objective, 0))
	require.Equal(t, 200*time.Millisecond, MaxWait(false, 2, 3, objective, 400*time.Millisecond))
	require.Zero(t, MaxWait(false, 2, 3, objective, time.Second))
	require.Equal(t, 600*time.Millisecond, MaxWait(true, 0, 1, 0, 0), "a route without an objective")
}
