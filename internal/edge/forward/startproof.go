package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
)

// startProof is what a router knows of a start of an engine.
type startProof struct {
	born int64
	// verifiedAt is when the connection was opened on which the engine last stated this start; zero if it did
	// not. A connection that was opened by then and was open since is to this start.
	verifiedAt time.Duration
	// holds tells whether there was a connection that proves the start at checkedAt.
	holds     bool
	checkedAt time.Duration
}

// covers reports whether the engine has stated the start of its entry on a connection that was opened at a time
// or later: a connection that was open then was to that start.
func (p startProof) covers(e catalog.Engine, at time.Duration) bool {
	return p.born == e.Born && p.verifiedAt > 0 && at <= p.verifiedAt
}

// proofInterval is how long the result of a check of an engine's connections is used. A check takes a
// system call.
const proofInterval = 300 * time.Millisecond

// AddTo adds to this router's loads which starts of engines its connections prove, and to which it has lost
// one. It returns the loads.
func (d *RestartDoubts) AddTo(loads map[string]feed.EngineLoad) map[string]feed.EngineLoad {
	s := d.Snapshot()
	for id, load := range loads {
		e, known := s.Engines.ByID[id]
		if !known || e.Born == 0 {
			continue
		}
		lost, proven := d.proof(e, s.EnginesAsOf)
		if lost {
			load.LostBorn = e.Born
		}
		if proven {
			load.Proven = 1
		}
		loads[id] = load
	}
	return loads
}

// proof reports whether a connection to the start of the engine was lost without an explanation since, and
// whether an open one proves that start: it was opened before the engine stated the start, or so long before the
// list of engines was read that the list would state another one.
func (d *RestartDoubts) proof(e catalog.Engine, asOf time.Duration) (lost, proven bool) {
	now := d.Clock()
	d.mu.Lock()
	l, ok := d.losses[e.ID]
	last := d.proofs[e.ID]
	d.mu.Unlock()
	if ok && !e.RestartOf(l.engine) && (l.restarted || asOf <= l.last+entryDelay) {
		return true, false
	}
	if last.born != e.Born {
		last = startProof{born: e.Born}
	}
	if last.checkedAt > 0 && now-last.checkedAt < proofInterval {
		return false, last.holds
	}
	proven = d.Survives(e.ID, max(asOf-entryDelay, last.verifiedAt+1))
	d.mu.Lock()
	defer d.mu.Unlock()
	if current := d.proofs[e.ID]; current.born == e.Born {
		// The engine may have stated its start during the check.
		last.verifiedAt = current.verifiedAt
	}
	last.holds, last.checkedAt = proven, now
	d.proofs[e.ID] = last
	return false, proven
}
