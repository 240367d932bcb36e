package backoff

import "time"

// Table holds the pauses of engines by their ID. A pause belongs to one start of an engine: the next
// one has asked for nothing. Table is not safe for concurrent use.
type Table[ID comparable] struct{ entries map[ID]*entry }

type entry struct {
	Backoff
	start uint64
	// rejectedAt is the time of the last rejection that asked for a pause.
	rejectedAt time.Duration
}

// NewTable returns an empty table.
func NewTable[ID comparable]() *Table[ID] { return &Table[ID]{entries: make(map[ID]*entry)} }

// get returns the entry of a start, or nil.
func (t *Table[ID]) get(engine ID, start uint64) *entry {
	if e := t.entries[engine]; e != nil && e.start == start {
		return e
	}
	return nil
}

// Reject records a rejection by a start of an engine that asks for a pause; see Backoff.Reject. It
// returns the time until requests return to the engine, and whether that has changed.
func (t *Table[ID]) Reject(engine ID, start uint64, now, pause time.Duration, routers int, random float64) (left time.Duration, extended bool) {
	if pause <= 0 {
		return 0, false
	}
	e := t.get(engine, start)
	if e == nil {
		e = &entry{start: start}
		t.entries[engine] = e
	}
	e.rejectedAt = now
	extended = e.Backoff.Reject(now, pause, routers, random)
	return e.ResumeAt() - now, extended
}

// Restart records that an engine has restarted, at endedAt as far as is known. A pause that was asked for
// since belongs to the next start.
func (t *Table[ID]) Restart(engine ID, from, to uint64, endedAt time.Duration) {
	if e := t.get(engine, from); e != nil && e.rejectedAt >= endedAt {
		e.start = to
	}
}

// Admits reports whether a request may be sent to a start of an engine at now, and if not, in what
// time at the earliest.
func (t *Table[ID]) Admits(engine ID, start uint64, now time.Duration) (ok bool, in time.Duration) {
	e := t.get(engine, start)
	if e == nil || e.Backoff.Admits(now) {
		return true, 0
	}
	return false, max(e.ResumeAt()-now, 0)
}

// Paused reports whether a start of an engine gets nothing at now.
func (t *Table[ID]) Paused(engine ID, start uint64, now time.Duration) bool {
	e := t.get(engine, start)
	return e != nil && e.Backoff.Paused(now)
}

// Known reports whether a start of an engine has asked for a pause from which the return is not
// complete.
func (t *Table[ID]) Known(engine ID, start uint64) bool { return t.get(engine, start) != nil }

// Return is a request to an engine to which requests return after a pause.
type Return[ID comparable] struct {
	table  *Table[ID]
	engine ID
	entry  *entry
	ended  bool
}

// Start records that a request is sent to a start of an engine. It returns nil if the request need
// not be counted.
func (t *Table[ID]) Start(engine ID, start uint64) *Return[ID] {
	e := t.get(engine, start)
	if e == nil || !e.Backoff.Start() {
		return nil
	}
	return &Return[ID]{table: t, engine: engine, entry: e}
}

// End records the end of the wait for the response at now; see Backoff.End. Only the first call has
// an effect, and a nil Return has none.
func (r *Return[ID]) End(accepted bool, now time.Duration) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	r.entry.End(accepted, now)
	if r.entry.ResumeAt() == 0 && r.table.entries[r.engine] == r.entry {
		delete(r.table.entries, r.engine)
	}
}

// Left returns the remaining time of each pause.
func (t *Table[ID]) Left(now time.Duration) map[ID]time.Duration {
	out := make(map[ID]time.Duration)
	for id, e := range t.entries {
		if e.Backoff.Paused(now) {
			out[id] = e.ResumeAt() - now
		}
	}
	return out
}

// Prune drops the entries for which keep returns false. paused tells whether the pause of the start
// of the engine has not ended.
func (t *Table[ID]) Prune(now time.Duration, keep func(engine ID, start uint64, paused bool) bool) {
	for id, e := range t.entries {
		if !keep(id, e.start, e.Backoff.Paused(now)) {
			delete(t.entries, id)
		}
	}
}
