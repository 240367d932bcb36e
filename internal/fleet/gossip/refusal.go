package gossip

import "github.com/zeebo/errs"

// Errors of sending.
var (
	// ErrUnknownMember means that the receiver is not a live member.
	ErrUnknownMember = errs.Class("gossip: unknown member")
	// ErrTooLarge means that the payload exceeds MaxDatagram.
	ErrTooLarge = errs.Class("gossip: payload too large")
	// ErrBusy means that the queue to the driver is full; nothing was sent.
	ErrBusy = errs.Class("gossip: busy")
	// ErrKeys means that a set of keys is not usable.
	ErrKeys = errs.Class("gossip: keys")
	// ErrConfig means that the driver's configuration is not usable.
	ErrConfig = errs.Class("gossip: configuration")

	errDecode = errs.Class("gossip: decode")
)

// Reason is why a packet was refused.
type Reason uint8

// The reasons.
const (
	// ReasonOversized is a packet longer than MaxPacket.
	ReasonOversized Reason = iota
	// ReasonShort is a packet too short to hold its header and code.
	ReasonShort
	// ReasonVersion is another version of the packet format.
	ReasonVersion
	// ReasonUnknownKey is a key id that is not in the key ring.
	ReasonUnknownKey
	// ReasonForged is a wrong authentication code: forged, cut off or damaged.
	ReasonForged
	// ReasonReplayed is a packet seen before, or too old to tell.
	ReasonReplayed
	// ReasonMalformed is an authentic packet that cannot be decoded.
	ReasonMalformed

	reasonCount
)

var reasonNames = [reasonCount]string{
	"oversized", "short", "version", "unknown key", "forged", "replayed", "malformed",
}

// String implements fmt.Stringer.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// RefusedError reports a packet that was refused; it had no effect.
type RefusedError struct {
	Reason Reason
	// Cause is the decoder's error, if any.
	Cause error
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return "gossip: packet refused: " + e.Reason.String() + ": " + e.Cause.Error()
	}
	return "gossip: packet refused: " + e.Reason.String()
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

func refused(reason Reason, cause error) *RefusedError {
	return &RefusedError{Reason: reason, Cause: cause}
}
