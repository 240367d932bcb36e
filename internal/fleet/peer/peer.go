// Package peer carries calls between routers: net/rpc over TCP, with a deadline for
// each call.
//
// Both ends prove that they hold a fleet key. With certificates, the connection is
// mutual TLS, each end also proves its router's name, and the proof of the fleet key is
// bound to that TLS connection. Without certificates the ends are authenticated only
// when the connection opens, and nothing protects what is sent afterwards: see
// docs/KEYS.md.
//
// net/rpc can't cancel a call. A call that reaches its deadline closes its connection,
// so that an unresponsive connection is not reused, and the next call dials again.
package peer

import (
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Errors of calls between routers.
var (
	// ErrNotSent means that no connection could be established; the call did not reach
	// the other router.
	ErrNotSent = errs.Class("peer: not sent")
	// ErrNoReply means that the call was sent and may have taken effect.
	ErrNoReply = errs.Class("peer: no reply")
	// ErrRemote is an error returned by the other router's method.
	ErrRemote = errs.Class("peer: remote")
	// ErrHandshake means that the other end does not hold a fleet key that is valid
	// here, is another router than expected, or speaks another protocol version.
	ErrHandshake = errs.Class("peer: handshake")
	// ErrTooLong means that a message of another router exceeds its limit. The connection is closed.
	ErrTooLong = errs.Class("peer: too long")
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds one write of a call or a reply. Without it a reply to an
	// unresponsive router would block its goroutine until TCP times out after about 15
	// minutes.
	writeTimeout = 10 * time.Second
	// maxIdle is how long an idle connection can be reused.
	maxIdle = time.Minute
	// maxCallerAge is the age at which a Caller replaces a connection. Without it a busy
	// connection would stay open for weeks after the certificate or the certificate
	// authority that it was opened with was replaced. A shorter age costs bytes: a
	// connection with TLS takes more than 4 KB to open.
	maxCallerAge = time.Hour
	// maxServerAge is the age at which a Server closes a connection that the other
	// router's Caller should have replaced. It exceeds maxCallerAge by far more than any
	// call takes, so that no running call of a correct router is interrupted.
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

// Snapshot returns a copy of the counts so far.
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
	// In and Out count bytes on the wire, including handshakes and TLS records.
	In, Out atomic.Int64
	// Calls counts the calls that were sent, Timeouts those whose context ended before
	// the reply.
	Calls, Timeouts atomic.Int64
	// Refused counts connections whose handshake failed at this router's Server,
	// RefusedDials those whose handshake failed at its Caller.
	Refused, RefusedDials atomic.Int64
	// Swept counts accepted connections that Sweep closed.
	Swept atomic.Int64
}
