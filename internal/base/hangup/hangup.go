// Package hangup catches SIGHUP from the earliest point in the life of a
// process.
//
// An uncaught SIGHUP terminates the process. One that arrives while other packages
// are being initialized, a few milliseconds after the start, would terminate it
// without a log line. This package imports no other package of the project, so that
// it is among the first to be initialized.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one SIGHUP until it is read from Signals.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel that delivers SIGHUPs, including one received
// since the start of the process.
func Signals() <-chan os.Signal { return signals }
