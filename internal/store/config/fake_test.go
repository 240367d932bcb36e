package config

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// fault is what happens to one commit.
type fault int

const (
	faultNone fault = iota
	// faultUnsent: no connection could be made.
	faultUnsent
	// faultLostBefore: the request is lost, and the sender can't tell.
	faultLostBefore
	// faultLostAfter: the reply is lost after the effect.
	faultLostAfter
	// faultLate: the request takes effect after the sender's next read.
	faultLate
	// faultVeryLate: the request takes effect after the third read, and so
	// after the sender has read back.
	faultVeryLate
)

// fakeTable is the table service in memory, with faults chosen by the test.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// next chooses the fault of a commit; nil means none.
	next func() fault
	// readErr is returned by every read, and before by every call, when set.
	readErr error
	late    func()
	// lateAfter counts the reads until late runs.
	lateAfter int
	commits   int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

func rowID(table, key string) string { return table + "/" + key }

func (f *fakeTable) Commit(_ context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	chosen := faultNone
	if f.next != nil {
		chosen = f.next()
	}
	switch chosen {
	case faultUnsent:
		return nil, platform.ErrUnavailable.New("refused")
	case faultLostBefore:
		return nil, platform.ErrOutcomeUnknown.New("lost before")
	case faultLate, faultVeryLate:
		f.late = func() { _, _ = f.apply(writes) }
		f.lateAfter = 1
		if chosen == faultVeryLate {
			f.lateAfter = 3
		}
		return nil, platform.ErrOutcomeUnknown.New("late")
	}
	rows, err := f.apply(writes)
	if chosen == faultLostAfter {
		return nil, platform.ErrOutcomeUnknown.New("lost after")
	}
	return rows, err
}

func (f *fakeTable) apply(writes []platform.Write) (rows []platform.Row, err error) {
	for _, w := range writes {
		if current := f.rows[rowID(w.Table, w.Key)]; w.IfVersion != platform.AnyVersion && current.Version != w.IfVersion {
			return nil, &platform.ConflictError{Current: current}
		}
	}
	for _, w := range writes {
		id := rowID(w.Table, w.Key)
		row := platform.Row{Table: w.Table, Key: w.Key, Value: slices.Clone(w.Value), Version: f.rows[id].Version + 1}
		f.rows[id] = row
		rows = append(rows, row)
	}
	return rows, nil
}

func (f *fakeTable) Get(_ context.Context, _ platform.Use, table, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer runtime.Gosched() // lets concurrent operations overlap
	if f.readErr != nil {
		return platform.Row{}, f.readErr
	}
	row, ok := f.rows[rowID(table, key)]
	f.lateAfter--
	if f.late != nil && f.lateAfter == 0 {
		f.late()
	}
	if !ok {
		return platform.Row{}, platform.ErrNotFound.New("%s", key)
	}
	return row, nil
}

func (f *fakeTable) Scan(_ context.Context, _ platform.Use, table, from, to string, limit int) (rows []platform.Row, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range f.rows {
		if row.Table == table && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], f.readErr
}

// sequence returns the given faults one after the other, then none.
func sequence(faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return faultNone
		}
		first := faults[0]
		faults = faults[1:]
		return first
	}
}

// fakeObjects is the object store in memory. It refuses a name that exists.
type fakeObjects map[string][]byte

func (f fakeObjects) Put(_ context.Context, name string, data []byte) error {
	if _, ok := f[name]; ok {
		return platform.ErrOutcomeUnknown.New("%s exists", name)
	}
	f[name] = data
	return nil
}

func (f fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	data, ok := f[name]
	if !ok {
		return nil, platform.ErrNotFound.New("%s", name)
	}
	return data, nil
}
