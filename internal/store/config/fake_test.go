package config

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// fault is the failure of one commit.
type fault int

const (
	faultNone fault = iota
	// faultUnsent: the connection fails, so nothing is sent.
	faultUnsent
	// faultLostBefore: the request is lost; the sender gets an unknown outcome.
	faultLostBefore
	// faultLostAfter: the request takes effect, but its reply is lost.
	faultLostAfter
	// faultDelayed: the request takes effect after the sender's next read.
	faultDelayed
	// faultDelayedPastReads: the request takes effect after the third read, when the
	// sender has already read the head and the change id.
	faultDelayedPastReads
)

// fakeTable is an in-memory table service with injected faults.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// nextFault returns the fault of a commit; nil means none.
	nextFault func() fault
	// readErr is returned by every read if it is not nil.
	readErr error
	// delayed applies the writes of a delayed commit.
	delayed func()
	// readsUntilDelayed is the number of calls of Get until delayed runs.
	readsUntilDelayed int
	commits           int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

func rowID(table, key string) string { return table + "/" + key }

func (f *fakeTable) Commit(_ context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	injected := faultNone
	if f.nextFault != nil {
		injected = f.nextFault()
	}
	switch injected {
	case faultUnsent:
		return nil, platform.ErrUnavailable.New("refused")
	case faultLostBefore:
		return nil, platform.ErrOutcomeUnknown.New("request lost")
	case faultDelayed, faultDelayedPastReads:
		f.delayed = func() { _, _ = f.apply(writes) }
		f.readsUntilDelayed = 1
		if injected == faultDelayedPastReads {
			f.readsUntilDelayed = 3
		}
		return nil, platform.ErrOutcomeUnknown.New("late")
	}
	rows, err := f.apply(writes)
	if injected == faultLostAfter {
		return nil, platform.ErrOutcomeUnknown.New("reply lost")
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
	defer runtime.Gosched() // let concurrent operations overlap
	if f.readErr != nil {
		return platform.Row{}, f.readErr
	}
	row, ok := f.rows[rowID(table, key)]
	f.readsUntilDelayed--
	if f.delayed != nil && f.readsUntilDelayed == 0 {
		f.delayed()
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

// faultSequence returns a function that returns the faults in order, then
// faultNone.
func faultSequence(faults ...fault) func() fault {
	return func() fault {
		if len(faults) == 0 {
			return faultNone
		}
		first := faults[0]
		faults = faults[1:]
		return first
	}
}

// fakeObjects is an in-memory object store. It rejects a name that exists.
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
