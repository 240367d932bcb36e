package origin

import "time"

// maxRecords bounds a table. A fleet of the largest size keeps some thousand records at a router.
const maxRecords = 1 << 16

// Entry is a record in a table.
type Entry struct {
	Record
	// Until is the reading of the boot clock until which the entry is kept.
	Until time.Duration
	// writtenAt is when the record was written, on the boot clock.
	writtenAt time.Duration
	// Own is set if this router began or resumed the stream. Replicated is set once the record was sent to
	// its replicas, or came from another router.
	Own, Replicated bool
}

// Table holds records by stream. It is not safe for concurrent use.
type Table struct {
	entries map[Key]*Entry
	// Dropped counts the records for which there was no room.
	Dropped int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Key]*Entry)} }

// Put merges a record into the table and returns its entry, or nil if there is no room.
func (t *Table) Put(r Record, now time.Duration) *Entry {
	e := t.entries[r.Key]
	if e == nil || now >= e.Until {
		if e == nil && len(t.entries) >= maxRecords {
			t.Expire(now)
		}
		if e == nil && len(t.entries) >= maxRecords {
			t.Dropped++
			return nil
		}
		e = &Entry{Record: r, Until: now + r.Left, writtenAt: now - r.Age}
		t.entries[r.Key] = e
		return e
	}
	e.Record = Merge(e.at(now), r)
	e.Until, e.writtenAt = now+e.Left, now-e.Age
	return e
}

// Get returns the record of a stream.
func (t *Table) Get(key Key, now time.Duration) (Record, bool) {
	e := t.entries[key]
	if e == nil || now >= e.Until {
		return Record{}, false
	}
	return e.at(now), true
}

// at returns the record with its times as of now.
func (e *Entry) at(now time.Duration) Record {
	r := e.Record
	r.Left, r.Age = e.Until-now, now-e.writtenAt
	return r
}

// Expire drops the entries whose time is over.
func (t *Table) Expire(now time.Duration) {
	for key, e := range t.entries {
		if now >= e.Until {
			delete(t.entries, key)
		}
	}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Each calls f for each entry that is kept at now, with the time that is left for it.
func (t *Table) Each(now time.Duration, f func(*Entry)) {
	for _, e := range t.entries {
		if now < e.Until {
			e.Record = e.at(now)
			f(e)
		}
	}
}
