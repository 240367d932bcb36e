package cli

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a router that ends without a log line when the platform sends SIGHUP after a
// settings change, once or repeatedly: by default the signal ends a process.
func TestSIGHUPDoesNotEndProcess(t *testing.T) {
	received := make(chan struct{})
	stop := onSIGHUP(func() { received <- struct{}{} })
	defer stop()
	for range 2 {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		<-received
	}
}
