// Package peer carries calls between routers: net/rpc over TCP, with a
// deadline for each call.
//
// Both ends prove that they hold a fleet key. Where certificates are given,
// the connection is mutual TLS, each end also proves its router's name, and
// the proof of the fleet key is bound to that TLS connection. Without
// certificates the ends are authenticated once, when the connection opens, and
// nothing protects what is sent afterwards: see docs/KEYS.md.
//
// net/rpc cannot cancel a call. A call that meets its deadline closes its
// connection, so that a connection on which the other end has gone silent is
// not used again, and the next call dials anew.
package peer

import (
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Errors of calls between routers.
var (
	// ErrNotSent means that no connection could be had; the call did not
	// reach the other router.
	ErrNotSent = errs.Class("peer: not sent")
	// ErrNoReply means that the call was sent and may have taken effect.
	ErrNoReply = errs.Class("peer: no reply")
	// ErrRemote is what the other router's method returned.
	ErrRemote = errs.Class("peer: remote")
	// ErrHandshake means that the other end does not hold a fleet key that is
	// valid here, is another router than expected, or speaks another protocol.
	ErrHandshake = errs.Class("peer: handshake")
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds one write of a call or a reply. Without it a reply
	// to a router that has gone silent would hold its goroutine until TCP
	// gives up, a quarter of an hour later.
	writeTimeout = 10 * time.Second
	// maxIdle is how long an unused connection is kept.
	maxIdle = time.Minute
	// maxCallerAge is when a caller replaces a connection by a new one.
	// Otherwise a busy connection would last for weeks on a certificate or an
	// authority that was replaced long ago. Shorter costs bytes: a connection
	// with TLS takes more than 4 KB to open.
	maxCallerAge = time.Hour
	// maxServerAge is when a server closes a connection that its caller should
	// have replaced. The difference to maxCallerAge is far longer than any
	// call, so that no call of a well-behaved router is cut.
	maxServerAge = maxCallerAge + 15*time.Minute
)

// Stats is a copy of Counters.
type Stats struct {
	In           int64 `json:"in_bytes"`
	Out          int64 `json:"out_bytes"`
	Calls        int64 `json:"calls"`
	Timeouts     int64 `json:"timeouts"`
	Refused      int64 `json:"refused"`
	RefusedDials int64 `json:"refused_dials"`
	Swept        int64 `json:"swept"`
}

// Snapshot returns the counts so far.
func (c *Counters) Snapshot() Stats {
	return Stats{
		In: c.In.Load(), Out: c.Out.Load(),
		Calls: c.Calls.Load(), Timeouts: c.Timeouts.Load(),
		Refused: c.Refused.Load(), RefusedDials: c.RefusedDials.Load(),
		Swept: c.Swept.Load(),
	}
}

// Counters counts control traffic over TCP.
type Counters struct {
	// In and Out are bytes on the wire, handshakes and TLS records included.
	In, Out atomic.Int64
	// Calls counts the calls that were sent, Timeouts those that met their
	// deadline before a reply.
	Calls, Timeouts atomic.Int64
	// Refused counts connections that this router's server refused, and
	// RefusedDials those that its caller gave up in the handshake.
	Refused, RefusedDials atomic.Int64
	// Swept counts accepted connections that Sweep closed.
	Swept atomic.Int64
}
