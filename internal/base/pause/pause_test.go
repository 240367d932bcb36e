package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForWaitsForFullDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, For(t.Context(), time.Hour))
		require.Equal(t, time.Hour, time.Since(start))
		require.True(t, For(t.Context(), -time.Hour))
		require.Equal(t, time.Hour, time.Since(start))
	})
}

// Guards against a slow shutdown: a loop that waits for its next iteration
// without watching the context delays the exit by its whole interval.
func TestForReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		require.False(t, For(ctx, time.Hour))
		require.Equal(t, time.Second, time.Since(start))
	})
}
