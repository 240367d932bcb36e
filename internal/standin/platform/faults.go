package platform

import "sync"

// Kind names one of the stand-in services.
type Kind string

// The services, each with faults of its own.
const (
	KindTable   Kind = "table"
	KindObjects Kind = "objects"
	KindVMs     Kind = "vms"
	KindWeights Kind = "weights"
)

// kinds lists every Kind.
var kinds = []Kind{KindTable, KindObjects, KindVMs, KindWeights}

// Faults is what goes wrong with one service from now on. Setting it replaces
// what was set before.
type Faults struct {
	Kind Kind `json:"kind"`
	// Down refuses every call with 503 and the promise that it was not executed.
	Down bool `json:"down"`
	// SlowMS delays every call by this many milliseconds before it takes
	// effect. The effect comes even when the client has hung up meanwhile.
	SlowMS int `json:"slow_ms"`
	// LoseReplies lets the next n writes take effect and then closes the
	// connection without a reply.
	LoseReplies int `json:"lose_replies"`
	// DropRequests closes the connection of the next n calls without effect.
	DropRequests int `json:"drop_requests"`
}

// faultBoard holds the faults of all services.
type faultBoard struct {
	mu sync.Mutex
	by map[Kind]Faults
}

func newFaultBoard() *faultBoard {
	return &faultBoard{by: map[Kind]Faults{}}
}

// set replaces the faults of f.Kind and reports whether that kind exists.
func (b *faultBoard) set(f Faults) bool {
	for _, k := range kinds {
		if k == f.Kind {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.by[k] = f
			return true
		}
	}
	return false
}

// next returns the faults that hit one call, and uses up the counted ones.
func (b *faultBoard) next(k Kind, write bool) Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.by[k]
	left := f
	if f.Down {
		return f
	}
	if f.DropRequests > 0 {
		left.DropRequests--
		b.by[k] = left
		return f
	}
	if write && f.LoseReplies > 0 {
		left.LoseReplies--
		b.by[k] = left
		return f
	}
	f.LoseReplies = 0
	return f
}
