package permit

import "fmt"

// Reason names the bound that a rejected request would exceed.
type Reason string

// Reasons for rejecting a request.
const (
	// ReasonBatch means that the engine holds as many requests as it may.
	ReasonBatch Reason = "max_batch"
	// ReasonBound means that the engine would exceed its share of the load.
	ReasonBound Reason = "load_bound"
)

// FullError is returned when the request would exceed a bound of the engine.
type FullError struct {
	Reason Reason
	Load   Load
	// WarmingUp means that the owner is new and grants only half of the bound.
	WarmingUp bool
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("permit: request exceeds %s of the engine at %d requests, weight %d (warming up: %t)",
		e.Reason, e.Load.Count, e.Load.Weight, e.WarmingUp)
}

// IncarnationError is returned for a request for another incarnation of the engine than the current
// one.
type IncarnationError struct {
	Want uint64
	Have uint64
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("permit: engine has incarnation %d, but the request is for %d", e.Have, e.Want)
}

// ReleasedError is returned for a request whose permit has already been released. Either the
// request is a late duplicate, or its release has overtaken it.
type ReleasedError struct {
	ID string
}

// Error implements error.
func (e *ReleasedError) Error() string {
	return fmt.Sprintf("permit: %q has already been released", e.ID)
}

// HolderError is returned for an ID for which another router holds a permit.
type HolderError struct {
	ID     string
	Holder string
}

// Error implements error.
func (e *HolderError) Error() string {
	return fmt.Sprintf("permit: %q is held by router %q", e.ID, e.Holder)
}
