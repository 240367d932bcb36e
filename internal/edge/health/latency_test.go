package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the collapse of a service under load: if all of its engines become slow and
// requests are aborted and sent again, the load rises further. The silence timeout follows the
// response times, including the waits of aborted requests.
func TestPatienceFollowsSlowService(t *testing.T) {
	const objective = 100 * time.Millisecond
	var l Latency
	for range 100 {
		l.Observe(20 * time.Millisecond)
	}
	require.Equal(t, 60*time.Millisecond, l.SilenceTimeout(objective))
	aborted := 0
	for range 100 {
		took := 300 * time.Millisecond
		if timeout := l.SilenceTimeout(objective); timeout < took {
			took = timeout
			aborted++
		}
		l.Observe(took)
	}
	require.Less(t, aborted, 25)
	require.Greater(t, l.SilenceTimeout(objective), 300*time.Millisecond)
}

// Guards against suspecting an engine after few responses, or after fast ones only: without enough
// responses, the silence timeout is the objective, or unlimited if there is none, and fast
// responses do not reduce it below half of the objective.
func TestPatienceWithFewOrFastAnswers(t *testing.T) {
	var l Latency
	require.Equal(t, time.Second, l.SilenceTimeout(time.Second))
	require.Zero(t, l.SilenceTimeout(0))
	for range minResponses {
		l.Observe(time.Millisecond)
	}
	require.Equal(t, 500*time.Millisecond, l.SilenceTimeout(time.Second))
	require.Equal(t, silenceFactor*time.Millisecond, l.SilenceTimeout(0))
}
