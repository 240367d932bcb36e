// Package platformtest provides a fake of the platform's services for the
// tests of other packages. It keeps everything in memory, fails as scripted,
// records every call, and does nothing by chance or by time.
package platformtest

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/memory"
)

// Op names a method of the platform's interfaces.
type Op string

// The operations of Table and Objects.
const (
	OpCommit    Op = "commit"
	OpGet       Op = "get"
	OpScan      Op = "scan"
	OpPutObject Op = "put_object"
	OpGetObject Op = "get_object"
)

// Fault is what happens to one call.
type Fault string

// The faults. A read that meets any of them but Duplicate and LateEffect,
// which leave reads alone, returns platform.ErrUnavailable.
const (
	// None lets the call through.
	None Fault = ""
	// Down refuses the call: platform.ErrUnavailable, no effect.
	Down Fault = "down"
	// LoseBeforeEffect loses the request: platform.ErrOutcomeUnknown, no effect.
	LoseBeforeEffect Fault = "lose before effect"
	// LoseReplyAfterEffect loses the reply: platform.ErrOutcomeUnknown, and
	// the write has taken effect.
	LoseReplyAfterEffect Fault = "lose reply after effect"
	// LateEffect holds the write up on its way: platform.ErrOutcomeUnknown,
	// and the write is tried when the test calls DeliverLate.
	LateEffect Fault = "late effect"
	// Duplicate delivers the write twice and returns the second answer.
	Duplicate Fault = "duplicate"
)

// Call is one recorded call.
type Call struct {
	// N counts the calls of the Fake from 1, in the order they began.
	N   int
	Op  Op
	Use platform.Use
	// Table and Key are what was read, Key the object's name or the lower end
	// of a scan.
	Table, Key string
	// Writes is what a commit wrote.
	Writes []platform.Write
	// Fault is the fault that hit the call.
	Fault Fault
	// Err is what the call returned.
	Err error
}

// Fake implements platform.Table; Objects and VMList return the other two
// interfaces over the same faults and history. All methods are safe for
// concurrent use.
type Fake struct {
	store *memory.Store

	mu      sync.Mutex
	calls   int
	down    bool
	script  map[Op][]Fault
	late    []func()
	history []Call
	before  func(context.Context, Call)
	after   func(Call)
}

var _ platform.Table = (*Fake)(nil)

// New returns an empty Fake without faults.
func New() *Fake {
	return &Fake{store: memory.New(), script: map[Op][]Fault{}}
}

// Script adds faults for the coming calls of op, one for each call.
func (f *Fake) Script(op Op, faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script[op] = append(f.script[op], faults...)
}

// SetDown starts or ends an outage of everything. During an outage no scripted
// fault is used up.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Before sets a hook that runs before each call takes effect. It may block
// until ctx ends, to play a slow store, and may call the Fake, to play a rival.
func (f *Fake) Before(hook func(ctx context.Context, c Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = hook
}

// After sets a hook that runs after each call has taken effect and before it
// returns. It may call the Fake.
func (f *Fake) After(hook func(c Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.after = hook
}

// DeliverLate tries the writes that LateEffect held up, in order. A write
// whose condition no longer holds has no effect.
func (f *Fake) DeliverLate() {
	f.mu.Lock()
	late := f.late
	f.late = nil
	f.mu.Unlock()
	for _, write := range late {
		write()
	}
}

// History returns the calls that have returned, in the order they did.
func (f *Fake) History() []Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.history)
}

// Count returns how many calls of op have returned.
func (f *Fake) Count(op Op) int {
	n := 0
	for _, c := range f.History() {
		if c.Op == op {
			n++
		}
	}
	return n
}

// Store returns the rows and objects behind the faults.
func (f *Fake) Store() *memory.Store { return f.store }

// Commit implements platform.Table.
func (f *Fake) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	if err := platform.CheckWrites(writes); err != nil {
		return nil, err
	}
	// The effect may come late; by then the caller may have reused its slices.
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

// PutVM adds or replaces an entry of the list, past the faults. It panics on an
// entry that can't be written.
func (f *Fake) PutVM(vm platform.VM) {
	f.must(platform.PutVM(context.Background(), direct{f}, vm))
}

// DeleteVM removes an entry of the list, past the faults.
func (f *Fake) DeleteVM(name string) {
	f.must(platform.DeleteVM(context.Background(), direct{f}, name))
}

func (f *Fake) must(err error) {
	if err != nil {
		panic(err)
	}
}

// direct is the fake's table without faults and history.
type direct struct{ *Fake }

// Commit implements platform.Table.
func (d direct) Commit(_ context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	return d.store.Commit(writes)
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
