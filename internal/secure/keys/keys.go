// Package keys holds the certificates of TLS towards callers and between routers.
// They are read from files and replaced in place when the files change, without a
// restart and without cutting a connection. The keys that sign hints and resume
// tokens are in package secret.
//
// The package starts nothing: its owner calls Check at an interval of its own.
package keys

import (
	"sync/atomic"

	"github.com/zeebo/errs"
)

var (
	// ErrFile reports a file that could not be read or written.
	ErrFile = errs.Class("keys: file")
	// ErrInvalid reports a file that was read but must not be used: it does
	// not parse, has expired, or does not fit the others.
	ErrInvalid = errs.Class("keys: invalid")
	// ErrName reports a name that no router can have.
	ErrName = errs.Class("keys: router name")
	// ErrPeer reports a connection whose peer is not a router of the fleet.
	ErrPeer = errs.Class("keys: not a router")
)

// Stats counts the reloads of one set of files.
type Stats struct {
	// Reloads counts replacements, without the first load.
	Reloads uint64
	// Failures counts the checks that kept the old content because the new
	// could not be used.
	Failures uint64
}

type counters struct {
	reloads  atomic.Uint64
	failures atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{Reloads: c.reloads.Load(), Failures: c.failures.Load()}
}
