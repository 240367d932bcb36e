package admission

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"github.com/google/uuid"
)

const (
	// releaseRetryDelay is the delay before releases that failed are sent
	// again.
	releaseRetryDelay = 200 * time.Millisecond
	// releaseBatchWindow is how long a release waits for others to the same
	// owner.
	releaseBatchWindow = 30 * time.Millisecond
	// maxReleaseBatch limits the permits in one call.
	maxReleaseBatch = 256
)

// releaseQueue releases permits of engines that other routers own. A release is
// repeated until the current owner has accepted it: after a lost release, an
// unused permit would occupy capacity of the engine.
type releaseQueue struct {
	a          *Admission
	mu         sync.Mutex
	pending    map[string][]ReleasedPermit
	delivering map[string]bool
}

func newReleaseQueue(a *Admission) *releaseQueue {
	return &releaseQueue{a: a, pending: make(map[string][]ReleasedPermit), delivering: make(map[string]bool)}
}

// add queues the release of a permit for the engine's current owner. A permit
// of an engine without an owner needs no release.
func (q *releaseQueue) add(p ReleasedPermit) {
	owner, ok := q.owner(p.Engine)
	if !ok {
		return
	}
	if owner.Name == q.a.opts.Self {
		q.a.releaseOwned(time.Now(), p, q.a.holder)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending[owner.Name] = append(q.pending[owner.Name], p)
	if q.delivering[owner.Name] {
		return
	}
	q.delivering[owner.Name] = true
	q.a.wg.Add(1)
	go q.deliver(owner)
}

// owner returns the owner of an engine. An engine that is no longer in the
// fleet has none, and its permits ended with it. If the engine is missing only
// from this router's view, its owner treats this router as dead after some time
// without a message, and then drops the permits that the engine's report shows
// to have ended.
func (q *releaseQueue) owner(engine uint64) (board.Router, bool) {
	snap := q.a.opts.Board.Snapshot()
	return snap.EngineOwner(engine)
}

func (q *releaseQueue) deliver(owner board.Router) {
	defer q.a.wg.Done()
	for {
		// Batches the permits that end within this window.
		if !pause.For(q.a.ctx, releaseBatchWindow) {
			return
		}
		batch := q.nextBatch(owner.Name)
		if batch == nil {
			return
		}
		unreleased := q.send(owner, batch)
		if len(unreleased) == 0 {
			continue
		}
		if !pause.For(q.a.ctx, releaseRetryDelay) {
			return
		}
		q.requeue(owner.Name, unreleased)
		return
	}
}

func (q *releaseQueue) nextBatch(owner string) []ReleasedPermit {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.pending[owner]
	if len(all) == 0 {
		delete(q.delivering, owner)
		delete(q.pending, owner)
		return nil
	}
	n := min(len(all), maxReleaseBatch)
	q.pending[owner] = all[n:]
	return all[:n]
}

// requeue distributes permits to the engines' current owners, since the router
// that did not accept them may no longer own the engines.
func (q *releaseQueue) requeue(owner string, batch []ReleasedPermit) {
	q.mu.Lock()
	batch = append(batch, q.pending[owner]...)
	delete(q.pending, owner)
	delete(q.delivering, owner)
	q.mu.Unlock()
	for _, p := range batch {
		q.add(p)
	}
}

// send sends a batch and returns the permits that the owner did not accept.
func (q *releaseQueue) send(owner board.Router, batch []ReleasedPermit) (unreleased []ReleasedPermit) {
	ctx, cancel := context.WithTimeout(q.a.ctx, q.a.opts.CallTimeout)
	defer cancel()
	args := ReleaseArgs{Holder: q.a.holder, Permits: batch}
	var reply ReleaseReply
	t := peer.Target{Name: owner.Name, Address: owner.Control}
	if err := q.a.opts.Caller.Call(ctx, t, ServiceName+".Release", args, &reply); err != nil {
		unreleased = batch
	}
	for _, i := range reply.NotOwned {
		unreleased = append(unreleased, batch[i])
	}
	q.a.Metrics.ReleaseRetries.Add(int64(len(unreleased)))
	return unreleased
}

// releasePermit releases a permit that this router holds. It does nothing if
// the permit is not held.
func (a *Admission) releasePermit(id string) {
	h, ok := a.held.remove(id)
	if !ok {
		return
	}
	a.releaseAtOwner(h.engine, id)
	if s := a.scheduler(h.group); s != nil {
		s.recordFinished(h)
	}
}

// releaseAtOwner releases a permit in this router's own ledgers or at the
// engine's owner.
func (a *Admission) releaseAtOwner(engine uint64, id string) {
	if _, key, owned := a.ledgers.release(time.Now(), engine, id, a.holder); owned {
		a.wakeScheduler(key)
		return
	}
	if parsed, err := uuid.Parse(id); err == nil {
		a.releases.add(ReleasedPermit{Engine: engine, ID: parsed})
	}
}

func (a *Admission) wakeScheduler(key groupKey) {
	if s := a.scheduler(key); s != nil {
		s.wake()
	}
}

// releaseOwned ends a permit of an engine that this router owns; the result is
// false if it doesn't.
func (a *Admission) releaseOwned(now time.Time, p ReleasedPermit, holder string) (permit.Outcome, bool) {
	out, key, ok := a.ledgers.release(now, p.Engine, p.ID.String(), holder)
	if ok && out == permit.Released {
		a.wakeScheduler(key)
	}
	return out, ok
}
