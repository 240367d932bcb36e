package admission

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/peer"
	"github.com/google/uuid"
)

// tellProgressFrom is the least drop in weight that is worth a message to the
// owner of another router's engine. Shorter prompts are in within a step or two.
const tellProgressFrom = 2000

// progress lowers the weight of a permit that this router holds.
func (a *Admission) progress(id string, left int64) {
	left = max(left, 1)
	before, ok := a.held.lighten(id, left)
	if !ok {
		return
	}
	drop := before.weight - left
	l := a.lane(before.lane)
	if l == nil {
		return
	}
	l.observe(drop)
	if _, owned := a.keeper.progress(before.engine, id, a.holder, left); owned {
		l.wake()
		return
	}
	if drop < tellProgressFrom {
		return
	}
	l.lighter(before.engine, drop)
	a.wg.Add(1)
	go a.tellProgress(before.engine, id, left)
}

// observe tells the queue that work was done, from which it estimates waits.
func (l *lane) observe(weight int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Observe(time.Now(), weight)
}

// lighter corrects the last known load of another router's engine.
func (l *lane) lighter(engine uint64, drop int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.loads[engine]; ok {
		k.Weight = max(0, k.Weight-drop)
		l.loads[engine] = k
	}
}

func (a *Admission) tellProgress(engine uint64, id string, left int64) {
	defer a.wg.Done()
	owner, ok := a.outbox.owner(engine)
	parsed, err := uuid.Parse(id)
	if !ok || err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.opts.CallTimeout)
	defer cancel()
	args := ProgressArgs{Engine: engine, ID: parsed, Holder: a.holder, Left: left}
	t := peer.Target{Name: owner.Name, Address: owner.Control}
	if err := a.opts.Caller.Call(ctx, t, ServiceName+".Progress", args, &ProgressReply{}); err != nil {
		a.Metrics.ProgressLost.Add(1)
	}
}
