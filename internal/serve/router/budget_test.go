package router

import (
	"testing"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/stretchr/testify/require"
)

// Symptom: the store refuses claims although each router keeps to its budget.
// Sequence: the fleet grows from nine routers to 380.
// Cause: the budget of a process does not know how many processes there are.
func TestFleetKeepsToTheBudgetOfNineRouters(t *testing.T) {
	total := platform.Rates{Reads: 110, Writes: 54}
	for _, live := range []int{0, 1, 9, 10, 72, 380} {
		share := shareOf(total, live)
		require.LessOrEqual(t, share.Writes*float64(live), 9*total.Writes+1e-9)
		require.LessOrEqual(t, share.Reads*float64(live), 9*total.Reads+1e-9)
		require.LessOrEqual(t, share.Writes, total.Writes)
	}
	require.Equal(t, total, shareOf(total, 6), "a smaller fleet has no more for each than the settings say")
}
