package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: nobody is served on time in a surge. Sequence: callers who were refused come back
// and are served in turn with those who ask for the first time, which makes these late too.
// Cause handled: a request that comes back too late to be on time is known.
func TestRequestThatComesBackIsKnown(t *testing.T) {
	const slack = 300 * time.Millisecond
	var r Refused
	r.Note(7, 1, time.Second)
	require.False(t, r.Late(7, 1, slack, 2*time.Second), "the same attempt, at another engine")
	require.False(t, r.Late(7, 2, slack, time.Second+slack), "still on time")
	require.True(t, r.Late(7, 2, slack, time.Second+slack+1))
	r.Note(7, 2, 2*time.Second)
	require.True(t, r.Late(7, 3, slack, 2*time.Second), "the first refusal counts")
	require.False(t, r.Late(8, 9, slack, 2*time.Second))
	r.Forget(7)
	require.False(t, r.Late(7, 4, slack, 3*time.Second), "another request about the same")
}

// Requests that can't be told from one another are never taken for one.
func TestRequestWithoutASubjectIsNeverLate(t *testing.T) {
	var r Refused
	r.Note(0, 1, 0)
	require.False(t, r.Late(0, 2, 0, time.Second))
}

func TestRefusalsAreForgottenAndBounded(t *testing.T) {
	var r Refused
	r.Note(1, 1, 0)
	r.Note(2, 1, refusedFor+1)
	require.True(t, r.Late(1, 2, 0, refusedFor+1), "remembered for refusedFor at least")
	r.Note(3, 1, 2*refusedFor+2)
	require.False(t, r.Late(1, 2, 0, 2*refusedFor+2))
	for i := range uint64(10 * maxRefused) {
		r.Note(i+1, i, 0)
	}
	require.LessOrEqual(t, len(r.recent)+len(r.older), maxRefused)
}
