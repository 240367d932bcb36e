package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the collapse of a service under load: if all of its engines become slow and
// requests are given up and sent again, the load rises further. Patience follows the response
// times, including those of requests that were given up.
func TestPatienceFollowsSlowService(t *testing.T) {
	const objective = 100 * time.Millisecond
	var p Latency
	for range 100 {
		p.Observe(20 * time.Millisecond)
	}
	require.Equal(t, 60*time.Millisecond, p.SilenceTimeout(objective))
	givenUp := 0
	for range 100 {
		took := 300 * time.Millisecond
		if patience := p.SilenceTimeout(objective); patience < took {
			took = patience
			givenUp++
		}
		p.Observe(took)
	}
	require.Less(t, givenUp, 25)
	require.Greater(t, p.SilenceTimeout(objective), 300*time.Millisecond)
}

// Guards against suspecting an engine after few answers, or after fast ones only: without enough
// answers, patience is the objective, or unlimited if there is none, and fast answers do not reduce
// it below half of the objective.
func TestPatienceWithFewOrFastAnswers(t *testing.T) {
	var p Latency
	require.Equal(t, time.Second, p.SilenceTimeout(time.Second))
	require.Zero(t, p.SilenceTimeout(0))
	for range minAnswers {
		p.Observe(time.Millisecond)
	}
	require.Equal(t, 500*time.Millisecond, p.SilenceTimeout(time.Second))
	require.Equal(t, patienceFactor*time.Millisecond, p.SilenceTimeout(0))
}
