package service

import (
	"slices"
	"time"
)

// FaultKind names what goes wrong.
type FaultKind string

// The faults.
const (
	// FaultReplyLost executes and then breaks the connection.
	FaultReplyLost FaultKind = "reply_lost"
	// FaultHang executes and then stays silent until the caller gives up.
	FaultHang FaultKind = "hang"
	// FaultSlow waits for Delay before it executes.
	FaultSlow FaultKind = "slow"
	// FaultRefuse refuses before executing, with proof.
	FaultRefuse FaultKind = "refuse"
	// FaultErrorBefore answers 500 without executing and without proof.
	FaultErrorBefore FaultKind = "error_before"
	// FaultErrorAfter executes and then answers 500.
	FaultErrorAfter FaultKind = "error_after"
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Count is how many calls are struck; 0 strikes all.
	Count int `json:"count,omitempty"`
	// Delay is how long a slow call waits, in nanoseconds.
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

// takeFault returns the oldest fault of the kinds and uses it up.
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
