package admission

import (
	"sync"

	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// tellNothingUpTo is the size of the fleet up to which routers tell a new owner
// also that they hold nothing. Beyond it one move would bring the new owner a
// call from each router; it then warms up by time.
const tellNothingUpTo = 40

// moves notes which routers have become owners of engines. A new owner grants
// half of the bound until all others have told what they hold; the sooner they
// do, the sooner the pool has its whole capacity again.
type moves struct {
	mu     sync.Mutex
	owners map[uint64]string
	fresh  map[string]bool
	// signal has room for one.
	signal chan struct{}
}

func newMoves() *moves {
	return &moves{owners: make(map[uint64]string), fresh: make(map[string]bool), signal: make(chan struct{}, 1)}
}

// note compares the owners with those of the last snapshot.
func (m *moves) note(snap *board.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owners := make(map[uint64]string, len(snap.Engines))
	moved := false
	for _, g := range snap.Groups() {
		for i, id := range g.IDs {
			if g.Owners[i] < 0 {
				continue
			}
			name := snap.Routers[g.Owners[i]].Name
			owners[id] = name
			if m.owners[id] != name {
				m.fresh[name] = true
				moved = true
			}
		}
	}
	m.owners = owners
	if !moved {
		return
	}
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns the routers that are to hear even that nothing is held.
func (m *moves) take(snap *board.Snapshot) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := m.fresh
	m.fresh = make(map[string]bool)
	if len(snap.Routers) > tellNothingUpTo {
		return nil
	}
	return fresh
}

// OwnersMoved is signalled when engines got other owners, so that reports are
// sent at once.
func (a *Admission) OwnersMoved() <-chan struct{} { return a.moves.signal }
