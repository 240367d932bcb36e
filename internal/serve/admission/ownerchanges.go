package admission

import (
	"sync"

	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// maxRoutersEmptyReports is the largest fleet in which routers send a new owner
// empty reports too. In a larger fleet one change of owner would cause a call
// from every router. There a new owner that doesn't get all reports warms up
// until its warm-up time is over.
const maxRoutersEmptyReports = 40

// ownerChanges tracks which routers have become owners of engines. A new owner
// grants permits only up to half of the load bound until all other routers have
// reported the permits that they hold. Reports sent at once after the change
// restore the pool's full capacity sooner.
type ownerChanges struct {
	mu        sync.Mutex
	owners    map[uint64]string
	newOwners map[string]bool
	// changed has a buffer of one.
	changed chan struct{}
}

func newOwnerChanges() *ownerChanges {
	return &ownerChanges{owners: make(map[uint64]string), newOwners: make(map[string]bool), changed: make(chan struct{}, 1)}
}

// update compares the owners with those of the last snapshot.
func (c *ownerChanges) update(snap *board.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := make(map[uint64]string, len(snap.Engines))
	moved := false
	for _, g := range snap.Groups() {
		for i, id := range g.IDs {
			if g.Owners[i] < 0 {
				continue
			}
			name := snap.Routers[g.Owners[i]].Name
			owners[id] = name
			if c.owners[id] != name {
				c.newOwners[name] = true
				moved = true
			}
		}
	}
	c.owners = owners
	if !moved {
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// take returns and clears the routers that must receive a report even if it is
// empty.
func (c *ownerChanges) take(snap *board.Snapshot) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	newOwners := c.newOwners
	c.newOwners = make(map[string]bool)
	if len(snap.Routers) > maxRoutersEmptyReports {
		return nil
	}
	return newOwners
}

// OwnersMoved returns a channel that is signaled when engines have new owners,
// so that reports can be sent at once.
func (a *Admission) OwnersMoved() <-chan struct{} { return a.ownerChanges.changed }
