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
	// releasePause is the wait before permits are offered again that their
	// owner could not take.
	releasePause = 200 * time.Millisecond
	// releaseWindow is how long a release waits for others to the same owner.
	releaseWindow = 30 * time.Millisecond
	// maxReleaseBatch bounds the permits in one call.
	maxReleaseBatch = 256
)

// outbox gives permits back to the owners of other routers' engines. A
// release is repeated until the present owner has taken it: a lost one would
// hold room at the engine that nobody uses.
type outbox struct {
	a       *Admission
	mu      sync.Mutex
	pending map[string][]ReleasedPermit
	busy    map[string]bool
}

func newOutbox(a *Admission) *outbox {
	return &outbox{a: a, pending: make(map[string][]ReleasedPermit), busy: make(map[string]bool)}
}

// add hands a permit back to whoever owns the engine now.
func (o *outbox) add(p ReleasedPermit) {
	owner, ok := o.owner(p.Engine)
	if !ok {
		return
	}
	if owner.Name == o.a.opts.Self {
		o.a.releaseOwned(time.Now(), p, o.a.holder)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[owner.Name] = append(o.pending[owner.Name], p)
	if o.busy[owner.Name] {
		return
	}
	o.busy[owner.Name] = true
	o.a.wg.Add(1)
	go o.deliver(owner)
}

// owner finds the owner of an engine; an engine that is gone has none, and
// its permits went with it. Where only this router's view lacks the engine, the
// owner ends them by the engine's report, once it has heard none of its holder.
func (o *outbox) owner(engine uint64) (board.Router, bool) {
	snap := o.a.opts.Board.Snapshot()
	return snap.EngineOwner(engine)
}

func (o *outbox) deliver(owner board.Router) {
	defer o.a.wg.Done()
	for {
		// Permits that end within this window share a call.
		if !pause.For(o.a.ctx, releaseWindow) {
			return
		}
		batch := o.take(owner.Name)
		if batch == nil {
			return
		}
		rest := o.send(owner, batch)
		if len(rest) == 0 {
			continue
		}
		if !pause.For(o.a.ctx, releasePause) {
			return
		}
		o.requeue(owner.Name, rest)
		return
	}
}

func (o *outbox) take(owner string) []ReleasedPermit {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.pending[owner]
	if len(all) == 0 {
		delete(o.busy, owner)
		delete(o.pending, owner)
		return nil
	}
	n := min(len(all), maxReleaseBatch)
	o.pending[owner] = all[n:]
	return all[:n]
}

// requeue sorts permits to the owners of now: the one that did not answer may
// have lost its engines meanwhile.
func (o *outbox) requeue(owner string, batch []ReleasedPermit) {
	o.mu.Lock()
	batch = append(batch, o.pending[owner]...)
	delete(o.pending, owner)
	delete(o.busy, owner)
	o.mu.Unlock()
	for _, p := range batch {
		o.add(p)
	}
}

// send offers a batch and returns what the owner did not take.
func (o *outbox) send(owner board.Router, batch []ReleasedPermit) (rest []ReleasedPermit) {
	ctx, cancel := context.WithTimeout(o.a.ctx, o.a.opts.CallTimeout)
	defer cancel()
	args := ReleaseArgs{Holder: o.a.holder, Permits: batch}
	var reply ReleaseReply
	t := peer.Target{Name: owner.Name, Address: owner.Control}
	if err := o.a.opts.Caller.Call(ctx, t, ServiceName+".Release", args, &reply); err != nil {
		rest = batch
	}
	for _, i := range reply.NotOwned {
		rest = append(rest, batch[i])
	}
	o.a.Metrics.ReleaseRetries.Add(int64(len(rest)))
	return rest
}

// releaseHeld gives a permit of this router back.
func (a *Admission) releaseHeld(id string) {
	h, ok := a.held.remove(id)
	if !ok {
		return
	}
	a.giveBack(h.engine, id)
	if l := a.lane(h.lane); l != nil {
		l.finished(h)
	}
}

// giveBack ends a permit wherever its engine's owner is.
func (a *Admission) giveBack(engine uint64, id string) {
	if _, key, owned := a.keeper.release(time.Now(), engine, id, a.holder); owned {
		a.wake(key)
		return
	}
	if parsed, err := uuid.Parse(id); err == nil {
		a.outbox.add(ReleasedPermit{Engine: engine, ID: parsed})
	}
}

func (a *Admission) wake(key laneKey) {
	if l := a.lane(key); l != nil {
		l.wake()
	}
}

// releaseOwned takes a permit back for an engine owned here.
func (a *Admission) releaseOwned(now time.Time, p ReleasedPermit, holder string) (permit.Outcome, bool) {
	out, key, ok := a.keeper.release(now, p.Engine, p.ID.String(), holder)
	if ok && out == permit.Released {
		a.wake(key)
	}
	return out, ok
}
