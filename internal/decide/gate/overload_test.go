package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refused callers that retry all at once and are refused again: their retry delay
// grows with the overload, is jittered, and is bounded by the time they have left.
func TestRetryDelayFollowsOverloadDuration(t *testing.T) {
	const objective, remaining = 500 * time.Millisecond, time.Minute
	var o Overload
	require.Equal(t, objective, o.RetryAfter(objective, remaining, time.Second, 0.5))
	for now := time.Second; now <= 3*time.Second; now += time.Second {
		o.RetryAfter(objective, remaining, now, 0.5)
	}
	require.Equal(t, 2*time.Second, o.RetryAfter(objective, remaining, 3*time.Second, 0.5))
	require.Equal(t, time.Second, o.RetryAfter(objective, 3*time.Second, 3*time.Second, 0.5))
	require.Equal(t, objective, o.RetryAfter(objective, remaining, 10*time.Second, 0.5), "the delay starts anew in a new overload")
	require.Less(t, o.RetryAfter(objective, remaining, 10*time.Second, 0), objective)
	require.Greater(t, o.RetryAfter(objective, remaining, 10*time.Second, 1), objective)
}

// Guards against two faults in a surge of four times the usual load: links between engines that
// carry so many prompts that responses begin a second late, and requests without a prompt that wait
// at one engine while slots become free at others. A request with a prompt waits only at the first
// candidate, which caches the prompt; a request without one waits for a while at each candidate.
func TestMaxWaitByPromptAndPosition(t *testing.T) {
	const objective = time.Second
	require.Equal(t, 600*time.Millisecond, MaxWait(true, 0, 3, objective, 0))
	require.Equal(t, 500*time.Millisecond, MaxWait(true, 0, 3, objective, 100*time.Millisecond))
	require.Zero(t, MaxWait(true, 1, 3, objective, 0))
	require.Equal(t, 200*time.Millisecond, MaxWait(false, 0, 3, objective, 0))
	require.Equal(t, 200*time.Millisecond, MaxWait(false, 2, 3, objective, 400*time.Millisecond))
	require.Zero(t, MaxWait(false, 2, 3, objective, time.Second))
	require.Equal(t, 600*time.Millisecond, MaxWait(true, 0, 1, 0, 0), "a route without an objective")
}
