package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: a service under load collapses. Sequence: all its engines take longer than
// usual; requests are given up and sent again, which is more load. Cause handled:
// patience follows the answers of the service, given up ones included.
func TestPatienceGrowsWithASlowService(t *testing.T) {
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

// A service of which nothing is known has its objective; one without an objective is
// waited for, and quick answers don't make a slow one suspicious at once.
func TestPatienceWithoutAnswers(t *testing.T) {
	var p Pace
	require.Equal(t, time.Second, p.Patience(time.Second))
	require.Zero(t, p.Patience(0))
	for range fewestAnswers {
		p.Note(time.Millisecond)
	}
	require.Equal(t, 500*time.Millisecond, p.Patience(time.Second))
	require.Equal(t, silentAfter*time.Millisecond, p.Patience(0))
}
