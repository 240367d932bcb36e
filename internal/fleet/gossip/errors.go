package gossip

import "github.com/zeebo/errs"

// Errors of the package.
var (
	// ErrUnknownMember means that the receiver is not a live member.
	ErrUnknownMember = errs.Class("gossip: unknown member")
	// ErrTooLarge means that a payload or packet exceeds its maximum size.
	ErrTooLarge = errs.Class("gossip: payload too large")
	// ErrBusy means that the command queue of the driver is full. The call had no effect.
	ErrBusy = errs.Class("gossip: busy")
	// ErrKeys means that a set of keys is invalid.
	ErrKeys = errs.Class("gossip: invalid keys")
	// ErrConfig means that the configuration of the driver is invalid.
	ErrConfig = errs.Class("gossip: invalid configuration")

	errDecode = errs.Class("gossip: decode")
)

// Reason is why a packet was rejected.
type Reason uint8

// The rejection reasons.
const (
	// ReasonOversized is a packet longer than MaxPacket.
	ReasonOversized Reason = iota
	// ReasonShort is a packet too short for its header and authentication code.
	ReasonShort
	// ReasonVersion is a packet with another format version.
	ReasonVersion
	// ReasonUnknownKey is a packet whose key ID is not in the key set.
	ReasonUnknownKey
	// ReasonForged is a packet with a wrong authentication code: forged, truncated or damaged.
	ReasonForged
	// ReasonReplayed is a packet that was received before, or is too old to be checked.
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

// RejectedError reports a packet that was rejected and had no effect.
type RejectedError struct {
	Reason Reason
	// Cause is the decoder's error, if any.
	Cause error
}

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Cause != nil {
		return "gossip: packet rejected: " + e.Reason.String() + ": " + e.Cause.Error()
	}
	return "gossip: packet rejected: " + e.Reason.String()
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

func rejected(reason Reason, cause error) *RejectedError {
	return &RejectedError{Reason: reason, Cause: cause}
}
