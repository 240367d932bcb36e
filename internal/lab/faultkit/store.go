package faultkit

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// StoreCall is one call of a router to the table service.
type StoreCall struct {
	Use platform.Use
	// Writes are those of a commit; nil for a read.
	Writes []platform.Write
	// Table and Key are what is read.
	Table, Key string
}

// State is the state of the claim that is written, or empty.
func (c StoreCall) State() string {
	var claim struct {
		State string `json:"state"`
	}
	if c.Use != platform.UseClaim || len(c.Writes) == 0 || json.Unmarshal(c.Writes[0].Value, &claim) != nil {
		return ""
	}
	return claim.State
}

// StoreTap strikes once at a call of one router.
type StoreTap struct {
	// Deny makes each matching call fail as if the store were down, for good;
	// Strike is not called then.
	Deny bool
	// Err, if set, is returned in place of the call's own result. With After
	// the call has taken effect by then, else it has not.
	Err error
	// Matches picks the call.
	Matches func(StoreCall) bool
	// After strikes when the call has taken effect and has not returned yet;
	// the default is before the call leaves the router.
	After bool
	// Strike is called at the matching call.
	Strike func()
}

// store is one router's way to the table service, through its gate and taps.
type store struct {
	platform.Table
	gate *Gate
	mu   sync.Mutex
	taps []*StoreTap
}

func (s *store) tap(t StoreTap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taps = append(s.taps, &t)
}

// denied reports whether a tap denies the call.
func (s *store) denied(c StoreCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.taps, func(t *StoreTap) bool { return t.Deny && t.Matches(c) })
}

// undeny drops the taps that deny calls.
func (s *store) undeny() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taps = slices.DeleteFunc(s.taps, func(t *StoreTap) bool { return t.Deny })
}

// struck runs the taps whose turn it is.
func (s *store) struck(c StoreCall, after bool) (err error) {
	s.mu.Lock()
	var now []*StoreTap
	s.taps = slices.DeleteFunc(s.taps, func(t *StoreTap) bool {
		if t.Deny || t.After != after || !t.Matches(c) {
			return false
		}
		now = append(now, t)
		return true
	})
	s.mu.Unlock()
	for _, t := range now {
		err = errors.Join(err, t.Err)
		if t.Strike != nil {
			t.Strike()
		}
	}
	return err
}

// Commit implements platform.Table. A process that is killed after the effect
// never learns of it.
func (s *store) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	c := StoreCall{Use: use, Writes: writes}
	if err := s.struck(c, false); err != nil {
		return nil, err
	}
	if s.denied(c) {
		return nil, platform.ErrUnavailable.New("denied")
	}
	if err := s.gate.Pass(); err != nil {
		return nil, platform.ErrUnavailable.Wrap(err)
	}
	rows, err := s.Table.Commit(ctx, use, writes...)
	if lost := s.struck(c, true); lost != nil {
		return nil, lost
	}
	if gerr := s.gate.Pass(); gerr != nil {
		return nil, platform.ErrOutcomeUnknown.Wrap(gerr)
	}
	return rows, err
}

// Get implements platform.Table.
func (s *store) Get(ctx context.Context, use platform.Use, table, key string) (platform.Row, error) {
	c := StoreCall{Use: use, Table: table, Key: key}
	if err := s.struck(c, false); err != nil {
		return platform.Row{}, err
	}
	if s.denied(c) {
		return platform.Row{}, platform.ErrUnavailable.New("denied")
	}
	if err := s.gate.Pass(); err != nil {
		return platform.Row{}, platform.ErrUnavailable.Wrap(err)
	}
	row, err := s.Table.Get(ctx, use, table, key)
	if gerr := s.gate.Pass(); gerr != nil {
		return platform.Row{}, platform.ErrUnavailable.Wrap(gerr)
	}
	return row, err
}

// objects is one router's way to the object store.
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

// vmList is one router's way to the list of VMs; hold keeps it stale.
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
