package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop that truncates a stream before its time is up: with a stop timeout
// of 5 s, a stream that began just before and lasts 4.1 s must finish. The margin for the exit must
// therefore depend on the stop timeout.
func TestDrainTimeoutExceedsFiveSixthsOfStopTimeout(t *testing.T) {
	for _, stopTimeout := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 8 * time.Second, time.Minute} {
		drain := drainTimeout(stopTimeout)
		require.Greater(t, drain, stopTimeout*5/6, "%v", stopTimeout)
		require.Less(t, drain, stopTimeout, "%v", stopTimeout)
		require.Positive(t, answerTimeAfter(stopTimeout), "%v", stopTimeout)
		require.Less(t, drain+2*answerTimeAfter(stopTimeout), stopTimeout, "the process takes time to exit: %v", stopTimeout)
	}
	require.Equal(t, 7100*time.Millisecond, drainTimeout(8*time.Second))
}
