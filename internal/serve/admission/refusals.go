package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/backoff"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// Refusal is what an engine states about itself when it refuses a request before execution.
type Refusal struct {
	// Leaving means that the engine takes no new work before it stops.
	Leaving bool
	// RetryAfter is the value of the Retry-After header, or empty.
	RetryAfter string
}

// Refused records a refusal of a granted request. The engine's own statement counts whatever the
// VM list and the engine's reports say: these lag behind.
func (a *Admission) Refused(g *Grant, r Refusal) {
	if r.Leaving {
		a.markLeaving(g.Engine)
	}
	if r.RetryAfter == "" {
		return
	}
	pause, _ := backoff.ParseRetryAfter(r.RetryAfter)
	routers := len(a.opts.Board.Snapshot().Live)
	a.pauses.reject(time.Now(), g.Engine.ID, g.Incarnation, pause, routers)
}

// markLeaving records that an engine takes no new work. It waits until snapshots show that, so that
// the request is not placed there again.
func (a *Admission) markLeaving(e board.Engine) {
	a.opts.Board.UpdateWait(func(s *board.State) {
		current, ok := s.Engines[e.Name]
		if !ok || current.Generation != e.Generation {
			return
		}
		current.Leaving = true
		s.Engines[e.Name] = current
	})
}

// resumeIn returns the time until requests return to the first paused engine that could take the
// request, and false if none of them is paused.
func (a *Admission) resumeIn(now time.Time, snap *board.Snapshot, req *Request) (in time.Duration, paused bool) {
	for _, p := range req.Pools {
		s := a.schedulerFor(snap, p)
		group := snap.Group(p.Name, snap.Config.Site.Region)
		if s == nil || group == nil {
			continue
		}
		for i := range group.Engines {
			left, ok := s.pauseLeft(now, &group.Engines[i])
			if ok && (!paused || left < in) {
				in, paused = left, true
			}
		}
	}
	return in, paused
}

// pauseLeft returns the time until requests return to a paused engine, and false for other engines.
func (s *scheduler) pauseLeft(now time.Time, e *board.Engine) (left time.Duration, paused bool) {
	s.mu.Lock()
	load := s.loads[e.ID]
	s.mu.Unlock()
	if e.Leaving || load.Draining() {
		return 0, false
	}
	admitted, left := s.a.pauses.admits(now, e.ID, load.Incarnation)
	return left, !admitted
}

// pauses holds the engines that have asked this router for a pause. It is safe for concurrent use.
type pauses struct {
	// origin is the time from which the table counts.
	origin time.Time

	mu    sync.Mutex
	table *backoff.Table[uint64]
}

func newPauses() *pauses { return &pauses{origin: time.Now(), table: backoff.NewTable[uint64]()} }

func (p *pauses) reject(now time.Time, engine, incarnation uint64, pause time.Duration, routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Reject(engine, incarnation, now.Sub(p.origin), pause, routers, rand.Float64())
}

// admits reports whether the engine may be sent a request at now, and if not, in what time at the
// earliest.
func (p *pauses) admits(now time.Time, engine, incarnation uint64) (ok bool, in time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Admits(engine, incarnation, now.Sub(p.origin))
}

// start records that a request is granted to an engine.
func (p *pauses) start(engine, incarnation uint64) *backoff.Return[uint64] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Start(engine, incarnation)
}

// end records the end of the wait for an engine's response to a request.
func (p *pauses) end(r *backoff.Return[uint64], accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.End(accepted, time.Since(p.origin))
}

// prune drops the pauses of engines that are no longer listed.
func (p *pauses) prune(now time.Time, snap *board.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Prune(now.Sub(p.origin), func(id, _ uint64, _ bool) bool {
		_, listed := snap.EngineByID(id)
		return listed
	})
}
