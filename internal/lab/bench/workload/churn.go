package workload

import "time"

// ChurnKind is how an engine goes.
type ChurnKind string

// The kinds of churn.
const (
	// ChurnLeave is a planned leave: the VM list says so, and the engine
	// finishes what it has.
	ChurnLeave ChurnKind = "leave"
	// ChurnCrash ends the engine at once; the VM list shows it late.
	ChurnCrash ChurnKind = "crash"
	// ChurnRestart ends the engine and starts it at once, with an empty cache
	// and a new incarnation; the VM list does not show it.
	ChurnRestart ChurnKind = "restart"
)

// ChurnEvent is one step of the churn script.
type ChurnEvent struct {
	// At is the time since the load began.
	At   time.Duration
	Kind ChurnKind
	// Engine is the index of the engine.
	Engine int
	// Absent is how long it stays away.
	Absent time.Duration
}

// Script draws the churn for a run of the given length. No engine goes while
// it is away, and none goes so late that it could not come back.
func (w *Workload) Script(seed uint64, length time.Duration) []ChurnEvent {
	c := &w.Churn
	if len(c.Kinds) == 0 {
		return nil
	}
	rng := source(seed, streamChurn)
	back := make([]time.Duration, w.Engines.Count)
	var script []ChurnEvent
	for at := c.Period; at+c.Absent < length; at += c.Period {
		i, ok := present(back, rng.IntN(len(back)), at)
		if !ok {
			continue
		}
		back[i] = at + awayFactor*c.Absent
		kind := ChurnKind(c.Kinds[len(script)%len(c.Kinds)])
		script = append(script, ChurnEvent{At: at, Kind: kind, Engine: i, Absent: c.Absent})
	}
	return script
}

// awayFactor leaves room for the drain that precedes an absence.
const awayFactor = 2

// present finds an engine, from i on, that is back by the given time.
func present(back []time.Duration, i int, at time.Duration) (int, bool) {
	for range back {
		if back[i] <= at {
			return i, true
		}
		i = (i + 1) % len(back)
	}
	return 0, false
}
