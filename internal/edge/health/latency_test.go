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
	var p Pace
	for range 100 {
		p.Note(20 * time.Millisecond)
	}
	require.Equal(t, 60*time.Millisecond, p.Patience(objective))
	givenUp := 0
	for range 100 {
		took := 300 * time.Millisecond
		if patience := p.Patience(objective); patience < took {
			took = patience
			givenUp++
		}
		p.Note(took)
	}
	require.Less(t, givenUp, 25)
	require.Greater(t, p.Patience(objective), 300*time.Millisecond)
}

// Guards against suspecting an engine after few answers, or after fast ones only: without enough
// answers, patience is the objective, or unlimited if there is none, and fast answers do not reduce
// it below half of the objective.
func TestPatienceWithFewOrFastAnswers(t *testing.T) {
	var p Pace
	require.Equal(t, time.Second, p.Patience(time.Second))
	require.Zero(t, p.Patience(0))
	for range minAnswers {
		p.Note(time.Millisecond)
	}
	require.Equal(t, 500*time.Millisecond, p.Patience(time.Second))
	require.Equal(t, patienceFactor*time.Millisecond, p.Patience(0))
}
