// Package hangup catches SIGHUP from the first moment at which a process can.
//
// A SIGHUP that nobody catches ends the process. One that arrives while the
// other packages are being initialized, some milliseconds after the start, would
// end it without a line in its log. This package depends on nothing else of the
// project, so that it is initialized among the first.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// caught receives the signals. One that arrives before Signals is read waits.
var caught = make(chan os.Signal, 1)

func init() { signal.Notify(caught, syscall.SIGHUP) }

// Signals returns the channel on which hangups arrive, those since the start of
// the process included.
func Signals() <-chan os.Signal { return caught }
