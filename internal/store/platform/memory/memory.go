// Package memory keeps tables and objects in memory. The stand-in server and the
// in-process fake share it, so that both decide conditions and versions alike.
//
// It injects no faults and limits no rates; its users do.
package memory

import (
	"bytes"
	"slices"
	"sort"
	"sync"

	api "damaskrouter.example/damaskrouter/internal/store/platform"
)

// Change is a row as a transaction left it.
type Change struct {
	api.Row
	// Deleted is set if the transaction removed the row.
	Deleted bool
}

// Store holds rows, the history of their changes, and objects. The zero value is
// not usable; call New. All methods are safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	tables  map[string]map[string]api.Row
	objects map[string][]byte
	// version counts the transactions that changed something.
	version int64
	// history are the changes after floor, in order.
	history []Change
	floor   int64
	// changed is closed and replaced by each change.
	changed chan struct{}
}

// New returns an empty Store.
func New() *Store {
	return &Store{
		tables:  map[string]map[string]api.Row{},
		objects: map[string][]byte{},
		changed: make(chan struct{}),
	}
}

// Commit applies all writes or none. It returns the rows as written, a deleted
// row with version 0. Errors: platform.ErrInvalid, *platform.ConflictError.
func (s *Store) Commit(writes []api.Write) ([]api.Row, error) {
	if err := api.CheckWrites(writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		cur := s.row(w.Table, w.Key)
		if w.IfVersion != api.AnyVersion && w.IfVersion != cur.Version {
			return nil, &api.ConflictError{Current: clone(cur)}
		}
	}
	s.version++
	out := make([]api.Row, 0, len(writes))
	for _, w := range writes {
		out = append(out, s.apply(w))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return out, nil
}

// apply makes one write; its condition holds.
func (s *Store) apply(w api.Write) api.Row {
	row := api.Row{Table: w.Table, Key: w.Key, Value: bytes.Clone(w.Value), Version: s.version}
	if w.Delete {
		delete(s.tables[w.Table], w.Key)
		row.Value = nil
		s.history = append(s.history, Change{Row: row, Deleted: true})
		return api.Row{Table: w.Table, Key: w.Key}
	}
	if s.tables[w.Table] == nil {
		s.tables[w.Table] = map[string]api.Row{}
	}
	s.tables[w.Table][w.Key] = row
	s.history = append(s.history, Change{Row: row})
	return clone(row)
}

// row returns the row as it stands; an absent one has version 0.
func (s *Store) row(table, key string) api.Row {
	row, ok := s.tables[table][key]
	if !ok {
		return api.Row{Table: table, Key: key}
	}
	return row
}

// Get reads one row. Errors: platform.ErrInvalid, platform.ErrNotFound.
func (s *Store) Get(table, key string) (api.Row, error) {
	if err := api.CheckName(table, key); err != nil {
		return api.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.row(table, key)
	if row.Version == 0 {
		return api.Row{}, api.ErrNotFound.New("row %s/%s", table, key)
	}
	return clone(row), nil
}

// Scan reads up to limit rows with from <= key < to, in key order.
func (s *Store) Scan(table, from, to string, limit int) ([]api.Row, error) {
	if err := api.CheckScan(table, from, to, limit); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []api.Row{}
	for key, row := range s.tables[table] {
		if key >= from && (to == "" || key < to) {
			out = append(out, clone(row))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

// Version is the newest version, 0 before the first change.
func (s *Store) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Changes returns the changes of a table after a version, in order, the newest
// version, and a channel that the next change closes. known is false if the
// history does not reach back so far.
func (s *Store) Changes(table string, after int64) (changes []Change, version int64, next <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.Table == table && c.Version > after {
			changes = append(changes, Change{Row: clone(c.Row), Deleted: c.Deleted})
		}
	}
	return changes, s.version, s.changed, after >= s.floor
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.floor = s.version
}

// PutObject stores an immutable object. Errors: platform.ErrInvalid,
// *platform.ConflictError for other data under a name in use.
func (s *Store) PutObject(name string, data []byte) error {
	if err := api.CheckObjectName(name); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[name]; ok && !bytes.Equal(old, data) {
		return api.ObjectConflict(name)
	}
	s.objects[name] = slices.Clone(data)
	return nil
}

// HasObject reports whether there is an object of the name.
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
		return nil, api.ErrNotFound.New("object %s", name)
	}
	return bytes.Clone(data), nil
}

// clone returns a row that shares no memory with the store's.
func clone(r api.Row) api.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
