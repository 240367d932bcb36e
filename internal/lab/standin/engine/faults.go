package engine

import "slices"

// FaultKind names what goes wrong.
type FaultKind string

// The faults. Those of a connection strike streams opened by a chat request,
// never resumed ones, so that a new connection always works.
const (
	// FaultHang makes a stream silent after After chunks; the engine lives on.
	FaultHang FaultKind = "hang"
	// FaultSilent executes, but sends not even the reply's headers.
	FaultSilent FaultKind = "silent"
	// FaultCut breaks the connection after After chunks.
	FaultCut FaultKind = "cut"
	// FaultNoEnd ends the body in good order after After chunks, or before
	// the end marker where the answer is no longer than that.
	FaultNoEnd FaultKind = "no_end"
	// FaultStaleChunk puts a chunk of another request in after After chunks.
	FaultStaleChunk FaultKind = "stale_chunk"
	// FaultCrash crashes the engine after After chunks.
	FaultCrash FaultKind = "crash"
	// FaultRefuse refuses before executing, with proof.
	FaultRefuse FaultKind = "refuse"
	// FaultErrorBefore answers 500 without executing and without proof.
	FaultErrorBefore FaultKind = "error_before"
	// FaultErrorAfter executes and then answers 500.
	FaultErrorAfter FaultKind = "error_after"
	// FaultSlow makes each step Factor times as long, until cleared.
	FaultSlow FaultKind = "slow"
	// FaultEventGap loses the next After cache events.
	FaultEventGap FaultKind = "event_gap"
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// After is a number of chunks or events.
	After int `json:"after,omitempty"`
	// Count is how many requests are struck; 0 strikes all.
	Count int `json:"count,omitempty"`
	// Factor is how much slower a slow engine is.
	Factor int `json:"factor,omitempty"`
}

// Inject adds a fault.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Kind == FaultEventGap {
		e.events.drop += f.After
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

// takeFault returns the oldest fault of the kinds and uses it up.
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

// slowness returns the factor of a slow engine. The caller holds the lock.
func (e *Engine) slowness() int {
	for _, f := range e.faults {
		if f.Kind == FaultSlow {
			return max(1, f.Factor)
		}
	}
	return 1
}
