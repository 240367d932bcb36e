package workload

import "time"

// ChurnKind is the way in which an engine stops.
type ChurnKind string

// Kinds of churn.
const (
	// ChurnLeave is a planned stop: the VM list shows it, and the engine finishes
	// its requests.
	ChurnLeave ChurnKind = "leave"
	// ChurnCrash stops the engine at once; the VM list shows it late.
	ChurnCrash ChurnKind = "crash"
	// ChurnRestart stops the engine and starts it at once with an empty cache and
	// a new incarnation; the VM list does not show it.
	ChurnRestart ChurnKind = "restart"
)

// ChurnEvent is one event of the churn script.
type ChurnEvent struct {
	// At is the time since the start of the load.
	At   time.Duration
	Kind ChurnKind
	// Engine is the index of the engine.
	Engine int
	// Absent is the time for which the engine stays stopped.
	Absent time.Duration
}

// Script generates the churn of a run of the given length. No engine is
// stopped while it is absent, or too late to return before the end.
func (w *Workload) Script(seed uint64, length time.Duration) []ChurnEvent {
	c := &w.Churn
	if len(c.Kinds) == 0 {
		return nil
	}
	rng := newRand(seed, streamChurn)
	availableAt := make([]time.Duration, w.Engines.Count)
	var script []ChurnEvent
	for at := c.Period; at+c.Absent < length; at += c.Period {
		i, ok := nextAvailable(availableAt, rng.IntN(len(availableAt)), at)
		if !ok {
			continue
		}
		availableAt[i] = at + absenceFactor*c.Absent
		kind := ChurnKind(c.Kinds[len(script)%len(c.Kinds)])
		script = append(script, ChurnEvent{At: at, Kind: kind, Engine: i, Absent: c.Absent})
	}
	return script
}

// absenceFactor leaves time for the drain that precedes an absence.
const absenceFactor = 2

// nextAvailable returns the first engine that is available at the time at,
// searching cyclically from engine i.
func nextAvailable(availableAt []time.Duration, i int, at time.Duration) (int, bool) {
	for range availableAt {
		if availableAt[i] <= at {
			return i, true
		}
		i = (i + 1) % len(availableAt)
	}
	return 0, false
}
