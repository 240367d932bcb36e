package memory

import (
	"sort"
	"sync"
	"time"

	api "damaskrouter.example/damaskrouter/internal/platform"
)

// vmChange is a change that the list does not show before its time.
type vmChange struct {
	visible time.Time
	name    string
	// vm is nil where the entry is deleted.
	vm *api.VM
}

// VMs is a list of VMs that shows each change only after a lag. All methods
// are safe for concurrent use.
type VMs struct {
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	pending []vmChange
	shown   map[string]api.VM
}

// NewVMs returns an empty list that reads the time from now.
func NewVMs(now func() time.Time, lag time.Duration) *VMs {
	return &VMs{now: now, lag: lag, shown: map[string]api.VM{}}
}

// SetLag sets the lag of later changes; those under way keep theirs.
func (v *VMs) SetLag(lag time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = lag
}

// Put adds or replaces the entry of vm.Name.
func (v *VMs) Put(vm api.VM) { v.add(vmChange{name: vm.Name, vm: &vm}) }

// Delete removes an entry.
func (v *VMs) Delete(name string) { v.add(vmChange{name: name}) }

func (v *VMs) add(c vmChange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.visible = v.now().Add(v.lag)
	v.pending = append(v.pending, c)
}

// List returns the entries that have become visible, by name.
func (v *VMs) List() []api.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.show()
	out := make([]api.VM, 0, len(v.shown))
	for _, vm := range v.shown {
		out = append(out, vm)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// show applies the pending changes in the order they were made. A change waits
// for the ones before it, also when the lag was lowered in between: otherwise a
// deleted VM would reappear once its older entry became visible.
func (v *VMs) show() {
	now := v.now()
	for len(v.pending) > 0 && !v.pending[0].visible.After(now) {
		c := v.pending[0]
		v.pending = v.pending[1:]
		if c.vm == nil {
			delete(v.shown, c.name)
			continue
		}
		v.shown[c.name] = *c.vm
	}
}
