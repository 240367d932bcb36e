package testseed_test

import (
	"testing"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// draws returns what one property test draws.
func draws(t *testing.T) []uint64 {
	var out []uint64
	rapid.Check(t, func(rt *rapid.T) {
		out = append(out, rapid.Uint64().Draw(rt, "n"))
	})
	return out
}

// Symptom: a commit's tests fail, and pass when they are run again.
// Sequence: each run seeds its property tests anew; few seeds meet the fault.
// Cause: rapid takes a random seed unless it is told one.
func TestDrawsAreTheSameInEveryRun(t *testing.T) {
	first := draws(t)
	require.NotEmpty(t, first)
	require.Equal(t, first, draws(t))
	t.Logf("first draws: %x", first[:3])
}
