// Package platformtest provides a fake of the platform's services for the
// tests of other packages. It keeps all data in memory, injects scripted faults
// and records every call. Its behaviour doesn't depend on randomness or time.
package platformtest

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/memory"
)

// Op names an operation of the platform's interfaces.
type Op string

// The operations of Table and Objects.
const (
	OpCommit    Op = "commit"
	OpGet       Op = "get"
	OpScan      Op = "scan"
	OpPutObject Op = "put_object"
	OpGetObject Op = "get_object"
)

// Fault is a fault that is injected into one call.
type Fault string

// The faults. Reads ignore Duplicate and LateEffect, and return
// platform.ErrUnavailable on every other fault.
const (
	// None means no fault.
	None Fault = ""
	// Down rejects the call without effect: platform.ErrUnavailable.
	Down Fault = "down"
	// LoseBeforeEffect loses the request, which has no effect:
	// platform.ErrOutcomeUnknown.
	LoseBeforeEffect Fault = "lose before effect"
	// LoseReplyAfterEffect loses the reply after the write took effect:
	// platform.ErrOutcomeUnknown.
	LoseReplyAfterEffect Fault = "lose reply after effect"
	// LateEffect delays the write in transit until the test calls DeliverLate:
	// platform.ErrOutcomeUnknown.
	LateEffect Fault = "late effect"
	// Duplicate delivers the write twice and returns the second reply.
	Duplicate Fault = "duplicate"
)

// Call is one recorded call.
type Call struct {
	// N is the number of the call, from 1, in the order in which calls began.
	N   int
	Op  Op
	Use platform.Use
	// Table and Key identify the row of a read. Key is the lower bound of a
	// scan, and the name of an object.
	Table, Key string
	// Writes holds the writes of a commit.
	Writes []platform.Write
	// Fault is the fault injected into the call.
	Fault Fault
	// Err is the error that the call returned.
	Err error
}

// Fake implements platform.Table. Objects and VMList return the other two
// interfaces, which share its faults and history. All methods are safe for
// concurrent use.
type Fake struct {
	store *memory.Store

	mu      sync.Mutex
	calls   int
	down    bool
	script  map[Op][]Fault
	delayed []func()
	history []Call
	before  func(context.Context, Call)
	after   func(Call)
}

var _ platform.Table = (*Fake)(nil)

// New returns an empty Fake without faults.
func New() *Fake {
	return &Fake{store: memory.New(), script: map[Op][]Fault{}}
}

// Script queues faults for the next calls of op, one for each call.
func (f *Fake) Script(op Op, faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script[op] = append(f.script[op], faults...)
}

// SetDown starts or ends an outage of all operations. Calls during an outage
// don't consume scripted faults.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Before sets a hook that runs before each call takes effect. It may block
// until ctx ends, to simulate a slow store, and may call the Fake, to simulate a
// concurrent client.
func (f *Fake) Before(hook func(ctx context.Context, c Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = hook
}

// After sets a hook that runs after each call takes effect and before the call
// returns. It may call the Fake.
func (f *Fake) After(hook func(c Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after = hook
}

// DeliverLate executes the writes that LateEffect delayed, in order. A write
// whose condition no longer holds has no effect.
func (f *Fake) DeliverLate() {
	f.mu.Lock()
	delayed := f.delayed
	f.delayed = nil
	f.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

// History returns the completed calls, in the order in which they returned.
func (f *Fake) History() []Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.history)
}

// Count returns the number of completed calls of op.
func (f *Fake) Count(op Op) int {
	n := 0
	for _, c := range f.History() {
		if c.Op == op {
			n++
		}
	}
	return n
}

// Store returns the underlying store, which injects no faults.
func (f *Fake) Store() *memory.Store { return f.store }

// Commit implements platform.Table.
func (f *Fake) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	if err := platform.CheckWrites(writes); err != nil {
		return nil, err
	}
	// A delayed write may be executed after the caller has reused its slices.
	writes = slices.Clone(writes)
	for i := range writes {
		writes[i].Value = bytes.Clone(writes[i].Value)
	}
	var rows []platform.Row
	err := f.write(ctx, Call{Op: OpCommit, Use: use, Writes: writes}, func() error {
		var err error
		rows, err = f.store.Commit(writes)
		return err
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Get implements platform.Table.
func (f *Fake) Get(ctx context.Context, use platform.Use, table, key string) (platform.Row, error) {
	if err := platform.CheckName(table, key); err != nil {
		return platform.Row{}, err
	}
	var row platform.Row
	err := f.read(ctx, Call{Op: OpGet, Use: use, Table: table, Key: key}, func() error {
		var err error
		row, err = f.store.Get(table, key)
		return err
	})
	return row, err
}

// Scan implements platform.Table.
func (f *Fake) Scan(ctx context.Context, use platform.Use, table, from, to string, limit int) ([]platform.Row, error) {
	if err := platform.CheckScan(table, from, to, limit); err != nil {
		return nil, err
	}
	var rows []platform.Row
	err := f.read(ctx, Call{Op: OpScan, Use: use, Table: table, Key: from}, func() error {
		var err error
		rows, err = f.store.Scan(table, from, to, limit)
		return err
	})
	return rows, err
}

// Objects returns the fake object store.
func (f *Fake) Objects() platform.Objects { return objects{f} }

// VMList returns the list of VMs in the fake's table.
func (f *Fake) VMList() platform.VMList { return platform.NewVMList(f) }

// PutVM adds or replaces an entry of the list of VMs, without faults. It panics
// if the entry can't be written.
func (f *Fake) PutVM(vm platform.VM) {
	f.mustSucceed(platform.PutVM(context.Background(), directTable{f}, vm))
}

// DeleteVM removes an entry of the list of VMs, without faults. It panics if the
// entry can't be removed.
func (f *Fake) DeleteVM(name string) {
	f.mustSucceed(platform.DeleteVM(context.Background(), directTable{f}, name))
}

func (f *Fake) mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

// directTable is the fake's table without faults and history.
type directTable struct{ *Fake }

// Commit implements platform.Table.
func (t directTable) Commit(_ context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	return t.store.Commit(writes)
}

type objects struct{ f *Fake }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	if err := platform.CheckObjectName(name); err != nil {
		return err
	}
	data = bytes.Clone(data)
	return o.f.write(ctx, Call{Op: OpPutObject, Key: name}, func() error {
		return o.f.store.PutObject(name, data)
	})
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := platform.CheckObjectName(name); err != nil {
		return nil, err
	}
	var data []byte
	err := o.f.read(ctx, Call{Op: OpGetObject, Key: name}, func() error {
		var err error
		data, err = o.f.store.GetObject(name)
		return err
	})
	return data, err
}
