package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: nobody is served on time in a surge; see TestRequestThatComesBackIsKnown. Cause
// handled: what a caller that comes back has left of its time is less than callers have.
func TestShortLimitTellsOfACallerThatComesBack(t *testing.T) {
	const objective = 300 * time.Millisecond
	var u Usual
	require.False(t, u.Late(time.Millisecond, objective), "nothing is known")
	for i := range 200 {
		// Callers have 1.275 to 1.5 s.
		u.Note(1275*time.Millisecond + time.Duration(i%46)*5*time.Millisecond)
	}
	u.Note(0)
	require.False(t, u.Late(1275*time.Millisecond, objective))
	require.False(t, u.Late(1200*time.Millisecond, objective), "may have opened its connection slowly")
	require.True(t, u.Late(1100*time.Millisecond, objective))
	require.False(t, u.Late(0, objective), "a caller that has no limit")
}

// A few callers that come back in calm times don't make short limits usual.
func TestFewShortLimitsAreNotUsual(t *testing.T) {
	var u Usual
	for i := range usualSample {
		limit := 10 * time.Second
		if i%100 == 0 {
			limit = time.Second
		}
		u.Note(limit)
	}
	require.True(t, u.Late(2*time.Second, time.Second))
}
