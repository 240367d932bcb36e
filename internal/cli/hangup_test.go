package cli

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: a router ends without a line in its log when its settings change. Sequence: the
// platform sends SIGHUP, once and again. Cause: the signal's default ends a process.
func TestHangupsAreCaught(t *testing.T) {
	heard := make(chan struct{})
	stop := onHangup(func() { heard <- struct{}{} })
	defer stop()
	for range 2 {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		<-heard
	}
}
