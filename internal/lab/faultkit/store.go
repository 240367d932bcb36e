package faultkit

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// StoreCall is one call of the table service.
type StoreCall struct {
	Use platform.Use
	// Writes are the writes of a commit; nil for a read.
	Writes []platform.Write
	// Table and Key identify the row of a read.
	Table, Key string
}

// State returns the state of the written claim, or an empty string if the call writes
// none.
func (c StoreCall) State() string {
	var claim struct {
		State string `json:"state"`
	}
	if c.Use != platform.UseClaim || len(c.Writes) == 0 || json.Unmarshal(c.Writes[0].Value, &claim) != nil {
		return ""
	}
	return claim.State
}

// StoreTrigger injects a fault once at a matching call of one process.
type StoreTrigger struct {
	// Deny makes every matching call fail as if the store were down, until the trigger
	// is removed. Strike is not called then.
	Deny bool
	// Err, if set, is returned instead of the call's own result. With After the call
	// has taken effect by then, otherwise it has not.
	Err error
	// Matches selects the call.
	Matches func(StoreCall) bool
	// After injects the fault when the call has taken effect and has not returned yet.
	// The default is before the call leaves the process.
	After bool
	// Strike, if set, is called at the matching call.
	Strike func()
}

// store is one process's access to the table service, through its gate and triggers.
type store struct {
	platform.Table
	gate     *Gate
	mu       sync.Mutex
	triggers []*StoreTrigger
}

func (s *store) addTrigger(t StoreTrigger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.triggers = append(s.triggers, &t)
}

// denied reports whether a trigger denies the call.
func (s *store) denied(c StoreCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.triggers, func(t *StoreTrigger) bool { return t.Deny && t.Matches(c) })
}

// removeDenials removes the triggers that deny calls.
func (s *store) removeDenials() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.triggers = slices.DeleteFunc(s.triggers, func(t *StoreTrigger) bool { return t.Deny })
}

// runTriggers runs and removes the matching triggers and returns their errors.
func (s *store) runTriggers(c StoreCall, after bool) (err error) {
	s.mu.Lock()
	var due []*StoreTrigger
	s.triggers = slices.DeleteFunc(s.triggers, func(t *StoreTrigger) bool {
		if t.Deny || t.After != after || !t.Matches(c) {
			return false
		}
		due = append(due, t)
		return true
	})
	s.mu.Unlock()
	for _, t := range due {
		err = errors.Join(err, t.Err)
		if t.Strike != nil {
			t.Strike()
		}
	}
	return err
}

// Commit implements platform.Table. A process that is killed after the commit has taken
// effect gets ErrOutcomeUnknown.
func (s *store) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	c := StoreCall{Use: use, Writes: writes}
	if err := s.runTriggers(c, false); err != nil {
		return nil, err
	}
	if s.denied(c) {
		return nil, platform.ErrUnavailable.New("denied")
	}
	if err := s.gate.Pass(); err != nil {
		return nil, platform.ErrUnavailable.Wrap(err)
	}
	rows, err := s.Table.Commit(ctx, use, writes...)
	if triggerErr := s.runTriggers(c, true); triggerErr != nil {
		return nil, triggerErr
	}
	if gateErr := s.gate.Pass(); gateErr != nil {
		return nil, platform.ErrOutcomeUnknown.Wrap(gateErr)
	}
	return rows, err
}

// Get implements platform.Table.
func (s *store) Get(ctx context.Context, use platform.Use, table, key string) (platform.Row, error) {
	c := StoreCall{Use: use, Table: table, Key: key}
	if err := s.runTriggers(c, false); err != nil {
		return platform.Row{}, err
	}
	if s.denied(c) {
		return platform.Row{}, platform.ErrUnavailable.New("denied")
	}
	if err := s.gate.Pass(); err != nil {
		return platform.Row{}, platform.ErrUnavailable.Wrap(err)
	}
	row, err := s.Table.Get(ctx, use, table, key)
	if gateErr := s.gate.Pass(); gateErr != nil {
		return platform.Row{}, platform.ErrUnavailable.Wrap(gateErr)
	}
	return row, err
}

// objects is one process's access to the object store, through its gate.
type objects struct {
	platform.Objects
	gate *Gate
}

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.gate.Pass(); err != nil {
		return platform.ErrUnavailable.Wrap(err)
	}
	return o.Objects.Put(ctx, name, data)
}

// vmList is one router's access to the VM list. While hold is set, List returns the
// last list.
type vmList struct {
	platform.VMList
	gate *Gate
	mu   sync.Mutex
	held []platform.VM
	hold bool
}

// List implements platform.VMList.
func (l *vmList) List(ctx context.Context) ([]platform.VM, error) {
	if err := l.gate.Pass(); err != nil {
		return nil, platform.ErrUnavailable.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hold {
		return slices.Clone(l.held), nil
	}
	vms, err := l.VMList.List(ctx)
	if err == nil {
		l.held = vms
	}
	return vms, err
}

func (l *vmList) setHold(hold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = hold
}
