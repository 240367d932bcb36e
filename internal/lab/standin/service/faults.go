package service

import (
	"slices"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultReplyLost executes the call and aborts the connection.
	FaultReplyLost FaultKind = "reply_lost"
	// FaultHang executes the call and sends nothing until the client disconnects.
	FaultHang FaultKind = "hang"
	// FaultSlow waits for Delay before execution.
	FaultSlow FaultKind = "slow"
	// FaultRefuse refuses before execution, with the header that proves it.
	FaultRefuse FaultKind = "refuse"
	// FaultErrorBefore responds with status 500, without execution and without proof.
	FaultErrorBefore FaultKind = "error_before"
	// FaultErrorAfter executes the call and responds with status 500.
	FaultErrorAfter FaultKind = "error_after"
)

// Fault is a fault to inject.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is the number of calls affected; 0 affects all.
	Count int `json:"count,omitempty"`
	// Delay is the delay of FaultSlow, in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
}

// Inject adds a fault.
func (s *Service) Inject(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// ClearFaults removes all faults.
func (s *Service) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// takeFault returns the oldest fault of one of the kinds and decrements its count.
func (s *Service) takeFault(kinds ...FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.faults {
		if !slices.Contains(kinds, f.Kind) {
			continue
		}
		if f.Count == 1 {
			s.faults = slices.Delete(s.faults, i, i+1)
		} else if f.Count > 1 {
			s.faults[i].Count--
		}
		return f, true
	}
	return Fault{}, false
}
