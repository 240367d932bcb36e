package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: a stream is cut by a planned stop although it had time left. Sequence: the
// platform gives five seconds to stop; a stream that began just before lasts 4.1 s.
// Cause: what was kept free for the exit did not depend on the time to stop.
func TestTimeToStopLeavesTheLastSixthOnly(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 8 * time.Second, time.Minute} {
		stop := timeToStop(limit)
		require.Greater(t, stop, limit*5/6, "%v", limit)
		require.Less(t, stop, limit, "%v", limit)
	}
	require.Equal(t, 7100*time.Millisecond, timeToStop(8*time.Second))
}
