package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a surge in which no request is served on time, see
// TestRetryTooLateToBeOnTimeIsLate: a retry must be recognized by its timeout, which is shorter
// than the usual ones.
func TestShortTimeoutMarksRetryLate(t *testing.T) {
	const objective = 300 * time.Millisecond
	var u TimeoutBaseline
	require.False(t, u.Late(time.Millisecond, objective), "no samples yet")
	for i := range 200 {
		// Callers set timeouts of 1.275 to 1.5 s.
		u.Note(1275*time.Millisecond + time.Duration(i%46)*5*time.Millisecond)
	}
	u.Note(0)
	require.False(t, u.Late(1275*time.Millisecond, objective))
	require.False(t, u.Late(1200*time.Millisecond, objective), "may be a slow connection setup")
	require.True(t, u.Late(1100*time.Millisecond, objective))
	require.False(t, u.Late(0, objective), "a caller without a timeout")
}

// Guards against a baseline that is too low after a few retries in quiet times.
func TestFewShortTimeoutsDoNotLowerBaseline(t *testing.T) {
	var u TimeoutBaseline
	for i := range timeoutSamples {
		timeout := 10 * time.Second
		if i%100 == 0 {
			timeout = time.Second
		}
		u.Note(timeout)
	}
	require.True(t, u.Late(2*time.Second, time.Second))
}
