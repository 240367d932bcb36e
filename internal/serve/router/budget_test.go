package router

import (
	"testing"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/stretchr/testify/require"
)

// Guards against a store that rejects claims although each router observes its own budget: the sum
// of the budgets must not grow with the fleet, here from nine to 380 routers.
func TestLargeFleetDoesNotExceedStoreBudget(t *testing.T) {
	total := platform.Rates{Reads: 110, Writes: 54}
	for _, live := range []int{0, 1, 9, 10, 72, 380} {
		share := shareOf(total, live)
		require.LessOrEqual(t, share.Writes*float64(live), 9*total.Writes+1e-9)
		require.LessOrEqual(t, share.Reads*float64(live), 9*total.Reads+1e-9)
		require.LessOrEqual(t, share.Writes, total.Writes)
	}
	require.Equal(t, total, shareOf(total, 6), "a router of a small fleet must not exceed the settings")
}
