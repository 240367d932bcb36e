// Package keys manages the TLS certificates that are used with callers and
// between routers. They are loaded from files and reloaded when the files change,
// without a restart and without closing connections. The keys that sign hints
// and resume tokens are in package secret.
//
// The package starts no goroutines: its user calls Check periodically.
package keys

import (
	"sync/atomic"

	"github.com/zeebo/errs"
)

var (
	// ErrFile reports a file that could not be read or written.
	ErrFile = errs.Class("keys: file")
	// ErrInvalid reports a file that was read but cannot be used: it cannot be
	// parsed, is not valid at the current time, or does not match the others.
	ErrInvalid = errs.Class("keys: invalid")
	// ErrName reports an invalid router name.
	ErrName = errs.Class("keys: router name")
	// ErrPeer reports a peer whose certificate does not identify one router.
	ErrPeer = errs.Class("keys: not a router")
)

// Stats holds the reload counters of one set of files.
type Stats struct {
	// Reloads counts successful reloads, without the first load.
	Reloads uint64
	// Failures counts the checks that kept the previous content because the
	// files could not be loaded.
	Failures uint64
}

type counters struct {
	reloads  atomic.Uint64
	failures atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{Reloads: c.reloads.Load(), Failures: c.failures.Load()}
}
