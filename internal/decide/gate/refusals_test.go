package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a surge in which no request is served on time because retries are served in turn
// with first attempts and make these late too: a retry that can no longer be on time is recognized.
func TestRetryTooLateToBeOnTimeIsLate(t *testing.T) {
	const slack = 300 * time.Millisecond
	var r Refused
	r.Note(7, 1, time.Second)
	require.False(t, r.Late(7, 1, slack, 2*time.Second), "the same attempt at another engine")
	require.False(t, r.Late(7, 2, slack, time.Second+slack), "still on time")
	require.True(t, r.Late(7, 2, slack, time.Second+slack+1))
	r.Note(7, 2, 2*time.Second)
	require.True(t, r.Late(7, 3, slack, 2*time.Second), "time is counted from the first refusal")
	require.False(t, r.Late(8, 9, slack, 2*time.Second))
	r.Forget(7)
	require.False(t, r.Late(7, 4, slack, 3*time.Second), "a new request with the same subject")
}

// Guards against taking two requests without a subject for attempts at the same one.
func TestRequestWithoutSubjectIsNeverLate(t *testing.T) {
	var r Refused
	r.Note(0, 1, 0)
	require.False(t, r.Late(0, 2, 0, time.Second))
}

func TestRefusalsExpireAndAreBounded(t *testing.T) {
	var r Refused
	r.Note(1, 1, 0)
	r.Note(2, 1, refusalTTL+1)
	require.True(t, r.Late(1, 2, 0, refusalTTL+1), "remembered for at least refusalTTL")
	r.Note(3, 1, 2*refusalTTL+2)
	require.False(t, r.Late(1, 2, 0, 2*refusalTTL+2))
	for i := range uint64(10 * maxRefusals) {
		r.Note(i+1, i, 0)
	}
	require.LessOrEqual(t, len(r.recent)+len(r.older), maxRefusals)
}
