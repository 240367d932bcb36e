// Package memory implements the tables and objects of the platform's store in
// memory. The stand-in server and the in-process fake share it, so that both
// evaluate conditions and versions in the same way.
//
// It injects no faults and limits no rates; the packages that use it do.
package memory

import (
	"bytes"
	"maps"
	"slices"
	"sort"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// Change is the state of a row after a transaction.
type Change struct {
	platform.Row
	// Deleted reports that the transaction removed the row.
	Deleted bool
}

// Store holds rows, the history of their changes, and objects. The zero value is
// not usable; use New. All methods are safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	tables  map[string]map[string]platform.Row
	objects map[string][]byte
	// version is the number of committed transactions.
	version int64
	// history holds the changes after compactedVersion, in order.
	history          []Change
	compactedVersion int64
	// changed is closed and replaced on each commit.
	changed chan struct{}
}

// New returns an empty Store.
func New() *Store {
	return &Store{
		tables:  map[string]map[string]platform.Row{},
		objects: map[string][]byte{},
		changed: make(chan struct{}),
	}
}

// Commit applies all writes or none and returns the rows as written. A deleted
// row has version 0. Errors: platform.ErrInvalid, *platform.ConflictError.
func (s *Store) Commit(writes []platform.Write) ([]platform.Row, error) {
	if err := platform.CheckWrites(writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		current := s.row(w.Table, w.Key)
		if w.IfVersion != platform.AnyVersion && w.IfVersion != current.Version {
			return nil, &platform.ConflictError{Current: clone(current)}
		}
	}
	s.version++
	out := make([]platform.Row, 0, len(writes))
	for _, w := range writes {
		out = append(out, s.apply(w))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return out, nil
}

// apply executes one write whose condition holds. The caller must hold s.mu.
func (s *Store) apply(w platform.Write) platform.Row {
	row := platform.Row{Table: w.Table, Key: w.Key, Value: bytes.Clone(w.Value), Version: s.version}
	if w.Delete {
		delete(s.tables[w.Table], w.Key)
		row.Value = nil
		s.history = append(s.history, Change{Row: row, Deleted: true})
		return platform.Row{Table: w.Table, Key: w.Key}
	}
	if s.tables[w.Table] == nil {
		s.tables[w.Table] = map[string]platform.Row{}
	}
	s.tables[w.Table][w.Key] = row
	s.history = append(s.history, Change{Row: row})
	return clone(row)
}

// row returns the stored row. An absent row has version 0. The caller must hold
// s.mu.
func (s *Store) row(table, key string) platform.Row {
	row, ok := s.tables[table][key]
	if !ok {
		return platform.Row{Table: table, Key: key}
	}
	return row
}

// Get reads one row. Errors: platform.ErrInvalid, platform.ErrNotFound.
func (s *Store) Get(table, key string) (platform.Row, error) {
	if err := platform.CheckName(table, key); err != nil {
		return platform.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.row(table, key)
	if row.Version == 0 {
		return platform.Row{}, platform.ErrNotFound.New("row %s/%s", table, key)
	}
	return clone(row), nil
}

// Scan reads up to limit rows with from <= key < to, in key order. An empty to
// means no upper bound. Errors: platform.ErrInvalid.
func (s *Store) Scan(table, from, to string, limit int) ([]platform.Row, error) {
	if err := platform.CheckScan(table, from, to, limit); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []platform.Row{}
	for key, row := range s.tables[table] {
		if key >= from && (to == "" || key < to) {
			out = append(out, clone(row))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

// Version returns the latest version, 0 before the first commit.
func (s *Store) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Changes returns the changes of a table after a version, in order, the latest
// version of the store, and a channel that the next commit to any table closes.
// known is false if the history doesn't reach back to the version after, or if the store
// doesn't have that version, because it has returned from an older copy.
func (s *Store) Changes(table string, after int64) (changes []Change, version int64, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.Table == table && c.Version > after {
			changes = append(changes, Change{Row: clone(c.Row), Deleted: c.Deleted})
		}
	}
	return changes, s.version, s.changed, after >= s.compactedVersion && after <= s.version
}

// Compact discards the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedVersion = s.version
}

// Copy is the state of a Store at one moment.
type Copy struct {
	tables           map[string]map[string]platform.Row
	objects          map[string][]byte
	version          int64
	history          []Change
	compactedVersion int64
}

// Copy returns a copy of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{
		tables: cloneTables(s.tables), objects: maps.Clone(s.objects), version: s.version,
		history: slices.Clone(s.history), compactedVersion: s.compactedVersion,
	}
}

// Restore replaces the state of the store with a copy. Everything committed since is lost, and the
// versions since are assigned again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables, s.objects, s.version = cloneTables(c.tables), maps.Clone(c.objects), c.version
	s.history, s.compactedVersion = slices.Clone(c.history), c.compactedVersion
	close(s.changed)
	s.changed = make(chan struct{})
}

// cloneTables returns a copy of the tables. Values are shared, since rows are never modified.
func cloneTables(tables map[string]map[string]platform.Row) map[string]map[string]platform.Row {
	out := make(map[string]map[string]platform.Row, len(tables))
	for name, rows := range tables {
		out[name] = maps.Clone(rows)
	}
	return out
}

// PutObject stores an immutable object. Errors: platform.ErrInvalid,
// *platform.ConflictError if the name exists with different data.
func (s *Store) PutObject(name string, data []byte) error {
	if err := platform.CheckObjectName(name); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, ok := s.objects[name]; ok && !bytes.Equal(stored, data) {
		return platform.ObjectConflict(name)
	}
	s.objects[name] = slices.Clone(data)
	return nil
}

// HasObject reports whether an object with this name exists.
func (s *Store) HasObject(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[name]
	return ok
}

// GetObject reads an object. Errors: platform.ErrNotFound.
func (s *Store) GetObject(name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, platform.ErrNotFound.New("object %s", name)
	}
	return bytes.Clone(data), nil
}

// clone returns a copy of the row that shares no memory with it.
func clone(r platform.Row) platform.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
