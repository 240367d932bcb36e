package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForWaitsForTheWholeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, For(t.Context(), time.Hour))
		require.Equal(t, time.Hour, time.Since(start))
		require.True(t, For(t.Context(), -time.Hour))
		require.Equal(t, time.Hour, time.Since(start))
	})
}

// Symptom: a process takes as long to stop as its longest period.
// Sequence: a loop waits for its next turn; the process is told to stop.
// Cause: a wait that doesn't watch the context.
func TestForEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		require.False(t, For(ctx, time.Hour))
		require.Equal(t, time.Second, time.Since(start))
	})
}
