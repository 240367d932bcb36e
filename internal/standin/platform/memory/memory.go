// Package memory keeps tables, objects and VM entries in memory. The stand-in
// servers and the in-process fakes share it, so that both decide conditions
// and versions alike.
//
// It injects no faults and limits no rates; its users do.
package memory

import (
	"bytes"
	"sort"
	"sync"

	api "damaskrouter.example/damaskrouter/internal/platform"
)

// Store holds rows and objects. The zero value is not usable; call New.
// All methods are safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	tables  map[string]map[string]api.Row
	objects map[string][]byte
}

// New returns an empty Store.
func New() *Store {
	return &Store{tables: map[string]map[string]api.Row{}, objects: map[string][]byte{}}
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
	out := make([]api.Row, 0, len(writes))
	for _, w := range writes {
		out = append(out, s.apply(w))
	}
	return out, nil
}

// apply makes one write; its condition holds.
func (s *Store) apply(w api.Write) api.Row {
	row := s.row(w.Table, w.Key)
	if w.Delete {
		delete(s.tables[w.Table], w.Key)
		return api.Row{Table: w.Table, Key: w.Key}
	}
	row.Version++
	row.Value = bytes.Clone(w.Value)
	if s.tables[w.Table] == nil {
		s.tables[w.Table] = map[string]api.Row{}
	}
	s.tables[w.Table][w.Key] = row
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

// PutObject stores an immutable object. Errors: platform.ErrInvalid,
// *platform.ConflictError for other data under a name in use.
func (s *Store) PutObject(name string, data []byte) error {
	if err := api.CheckObjectName(name); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[name]; ok && !bytes.Equal(old, data) {
		return &api.ConflictError{Current: api.Row{Table: api.ObjectsTable, Key: name, Version: 1}}
	}
	s.objects[name] = bytes.Clone(data)
	return nil
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
