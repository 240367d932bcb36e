package permit

import "fmt"

// Reason names the bound that a refused request ran into.
type Reason string

// The reasons for a refusal.
const (
	// ReasonBatch means that the engine holds as many requests as it may.
	ReasonBatch Reason = "max_batch"
	// ReasonBound means that the engine would exceed its share of the load.
	ReasonBound Reason = "load_bound"
)

// FullError reports that the engine has no room for the request.
type FullError struct {
	Reason Reason
	Load   Load
	// WarmingUp means that the owner is new and grants half of the bound.
	WarmingUp bool
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("permit: %s at count %d, weight %d (warming up: %t)",
		e.Reason, e.Load.Count, e.Load.Weight, e.WarmingUp)
}

// IncarnationError reports that the request means another incarnation of the
// engine than the one that the book is about.
type IncarnationError struct {
	Want uint64
	Have uint64
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("permit: engine incarnation is %d, not %d", e.Have, e.Want)
}

// ReleasedError reports a request whose permit has been released before, so
// that the message must be a late duplicate.
type ReleasedError struct {
	ID string
}

// Error implements error.
func (e *ReleasedError) Error() string {
	return fmt.Sprintf("permit: %q has been released", e.ID)
}

// HolderError reports an id for which another router holds a permit.
type HolderError struct {
	ID     string
	Holder string
}

// Error implements error.
func (e *HolderError) Error() string {
	return fmt.Sprintf("permit: %q is held by %q", e.ID, e.Holder)
}
