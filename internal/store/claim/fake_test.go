package claim

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// fault is a fault that is injected into one call of the fake table.
type fault int

const (
	none        fault = iota
	down              // rejected immediately, without effect
	replyLost         // takes effect; the reply is lost
	requestLost       // the request is lost, without effect
	delayed           // the reply is lost; takes effect in deliverDelayed
	duplicated        // takes effect; is delivered again in deliverDelayed
	slow              // takes effect after the caller's timeout
	faultCount
)

// fakeTable is a linearizable table that injects faults by the number of the call.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	calls   int
	commits int
	// fault selects the fault of a call. Nil means no faults.
	fault func(call int) fault
	// delay, if set, runs before each call, without the lock held.
	delay   func()
	delayed []func()
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

func faultAt(call int, f fault) func(int) fault {
	return func(n int) fault {
		if n == call {
			return f
		}
		return none
	}
}

func (t *fakeTable) nextFault() fault {
	if t.delay != nil {
		t.delay()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if t.fault == nil {
		return none
	}
	return t.fault(t.calls)
}

func (t *fakeTable) Commit(ctx context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	f := t.nextFault()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch f {
	case down:
		return nil, platform.ErrUnavailable.New("down")
	case requestLost:
		return nil, platform.ErrOutcomeUnknown.New("request lost")
	case delayed:
		t.delayed = append(t.delayed, func() { t.apply(writes) })
		return nil, platform.ErrOutcomeUnknown.New("late")
	}
	rows, err := t.apply(writes)
	if f == duplicated {
		t.delayed = append(t.delayed, func() { t.apply(writes) })
	}
	if f == replyLost || f == slow {
		return nil, platform.ErrOutcomeUnknown.New("reply lost")
	}
	return rows, err
}

func (t *fakeTable) apply(writes []platform.Write) ([]platform.Row, error) {
	t.commits++
	for _, w := range writes {
		existing := t.rows[w.Table+"|"+w.Key]
		existing.Table, existing.Key = w.Table, w.Key
		if w.IfVersion != platform.AnyVersion && w.IfVersion != existing.Version {
			return nil, &platform.ConflictError{Current: existing}
		}
	}
	var out []platform.Row
	for _, w := range writes {
		id := w.Table + "|" + w.Key
		row := platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: t.rows[id].Version + 1}
		t.rows[id] = row
		if w.Delete {
			delete(t.rows, id)
		}
		out = append(out, row)
	}
	return out, nil
}

func (t *fakeTable) Get(_ context.Context, _ platform.Use, table, key string) (platform.Row, error) {
	f := t.nextFault()
	t.mu.Lock()
	defer t.mu.Unlock()
	if f != none && f != duplicated {
		return platform.Row{}, platform.ErrUnavailable.New("read failed")
	}
	row, ok := t.rows[table+"|"+key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound.New("%s", key)
	}
	return row, nil
}

func (t *fakeTable) Scan(_ context.Context, _ platform.Use, table, from, _ string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Row
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		row := t.rows[id]
		if row.Table == table && row.Key >= from && len(out) < limit {
			out = append(out, row)
		}
	}
	return out, nil
}

// deliverDelayed executes all delayed writes.
func (t *fakeTable) deliverDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, deliver := range t.delayed {
		deliver()
	}
	t.delayed = nil
}

type fakeObjects struct {
	down  bool
	blobs map[string][]byte
}

func (o *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	if o.down {
		return platform.ErrUnavailable.New("down")
	}
	o.blobs[name] = data
	return nil
}

func (o *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	data, ok := o.blobs[name]
	if o.down || !ok {
		return nil, platform.ErrUnavailable.New("down")
	}
	return data, nil
}

var tokens atomic.Int64

func newStore(t platform.Table, router string) *Store {
	objects := &fakeObjects{blobs: make(map[string][]byte)}
	return New(t, objects, router, func() string {
		return router + "-" + strconv.FormatInt(tokens.Add(1), 10)
	})
}

const day = 24 * time.Hour
