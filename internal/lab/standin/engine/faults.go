package engine

import (
	"slices"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults. Connection faults affect only streams opened by a chat request,
// not resumed ones, so that resuming over a new connection always works.
const (
	// FaultHang stops sending after After chunks; the engine continues to run.
	FaultHang FaultKind = "hang"
	// FaultSilent executes the request, but does not send response headers.
	FaultSilent FaultKind = "silent"
	// FaultCut aborts the connection after After chunks.
	FaultCut FaultKind = "cut"
	// FaultNoEnd ends the body cleanly after After chunks, or before the end
	// marker if the answer is not longer than that.
	FaultNoEnd FaultKind = "no_end"
	// FaultStaleChunk inserts a chunk of another request after After chunks.
	FaultStaleChunk FaultKind = "stale_chunk"
	// FaultCrash crashes the engine after After chunks.
	FaultCrash FaultKind = "crash"
	// FaultRefuse refuses before execution, with the header that proves it.
	FaultRefuse FaultKind = "refuse"
	// FaultErrorBefore responds with status 500, without execution and without proof.
	FaultErrorBefore FaultKind = "error_before"
	// FaultErrorAfter executes the request and responds with status 500.
	FaultErrorAfter FaultKind = "error_after"
	// FaultSlow makes each step Factor times as long until it is cleared.
	FaultSlow FaultKind = "slow"
	// FaultEventGap loses the next After cache events.
	FaultEventGap FaultKind = "event_gap"
)

// Fault is a fault to inject.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// After is a number of chunks or events.
	After int `json:"after,omitempty"`
	// Count is the number of requests affected; 0 affects all.
	Count int `json:"count,omitempty"`
	// Factor is the slowdown of FaultSlow.
	Factor int `json:"factor,omitempty"`
	// Code is the reason that FaultRefuse states; the default is protocol.CodeFault. RetryAfter is
	// the value of its Retry-After header; empty sends none.
	Code       protocol.Code `json:"code,omitempty"`
	RetryAfter string        `json:"retry_after,omitempty"`
}

// Inject adds a fault.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Kind == FaultEventGap {
		e.events.dropNext += f.After
		return
	}
	e.faults = append(e.faults, f)
}

// ClearFaults removes all faults.
func (e *Engine) ClearFaults() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = nil
}

// takeFault returns the oldest fault of one of the kinds and decrements its count.
func (e *Engine) takeFault(kinds ...FaultKind) (Fault, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, f := range e.faults {
		if !slices.Contains(kinds, f.Kind) {
			continue
		}
		if f.Count == 1 {
			e.faults = slices.Delete(e.faults, i, i+1)
		} else if f.Count > 1 {
			e.faults[i].Count--
		}
		return f, true
	}
	return Fault{}, false
}

// slowdown returns the factor of FaultSlow, or 1. The caller holds the lock.
func (e *Engine) slowdown() int {
	for _, f := range e.faults {
		if f.Kind == FaultSlow {
			return max(1, f.Factor)
		}
	}
	return 1
}
