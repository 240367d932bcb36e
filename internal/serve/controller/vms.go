package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
	"github.com/zeebo/xxh3"
)

const (
	// vmPeriod is how often the VM list is looked at.
	vmPeriod = 2 * time.Second
	// routersPerRelay is how many routers share one reader of the platform's
	// VM list, so that the reads grow with a twentieth of the fleet.
	routersPerRelay = 20
	vmTimeout       = 2 * time.Second
)

// VMs follows the platform's list of VMs.
type VMs struct {
	Board  *board.Board
	List   platform.VMList
	Caller *peer.Caller
	Self   string
	Log    *log.Logger
	// Witness hands the list to membership.
	Witness func([]platform.VM)

	mu sync.Mutex
	// last is the newest list, etag its hash, and at when it came; seen is
	// set once there has been one.
	last []platform.VM
	etag uint64
	at   time.Time
	seen bool
}

// Run follows the list until ctx ends.
func (v *VMs) Run(ctx context.Context) { every(ctx, vmPeriod, v.step) }

func (v *VMs) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	snap := v.Board.Snapshot()
	if relay, ok := v.relay(snap); ok {
		if v.fromRelay(ctx, relay) {
			return
		}
	}
	vms, err := v.List.List(ctx)
	if err != nil {
		// The list is down: the last one stays, and with it the engines. That
		// one leaves is still learned from its own report.
		v.Log.Debug("VM list not read", "cause", err)
		return
	}
	v.take(vms, etagOf(vms))
}

// relay is the router that this one gets the list from; none if it reads the
// platform's list itself.
func (v *VMs) relay(snap *board.Snapshot) (board.Router, bool) {
	n := (len(snap.Live) + routersPerRelay - 1) / routersPerRelay
	relays := rendezvous.Top(nil, n, dutyVMList, snap.LiveIDs)
	if len(relays) == 0 {
		return board.Router{}, false
	}
	for _, i := range relays {
		if snap.Live[i].Name == v.Self {
			return board.Router{}, false
		}
	}
	pick := rendezvous.ID(v.Self) % uint64(len(relays))
	return snap.Live[relays[pick]], true
}

func (v *VMs) fromRelay(ctx context.Context, relay board.Router) bool {
	args := VMsArgs{Etag: v.currentEtag()}
	var reply VMsReply
	t := peer.Target{Name: relay.Name, Address: relay.Control}
	if err := v.Caller.Call(ctx, t, FleetService+".VMs", args, &reply); err != nil || !reply.Known {
		return false
	}
	if !reply.Same {
		v.take(reply.VMs, reply.Etag)
	}
	return true
}

func (v *VMs) currentEtag() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.etag
}

// maxRelayAge is how old a list may be that is passed on.
const maxRelayAge = 10 * time.Second

// Current answers a router that relays through this one.
func (v *VMs) Current(etag uint64) VMsReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.seen || time.Since(v.at) > maxRelayAge {
		return VMsReply{}
	}
	if etag == v.etag {
		return VMsReply{Known: true, Same: true, Etag: etag}
	}
	return VMsReply{Known: true, Etag: v.etag, VMs: v.last}
}

func etagOf(vms []platform.VM) uint64 {
	data, err := json.Marshal(vms)
	if err != nil {
		return 0
	}
	return xxh3.Hash(data)
}

func (v *VMs) take(vms []platform.VM, etag uint64) {
	v.mu.Lock()
	first := !v.seen
	same := v.seen && etag == v.etag
	v.last, v.etag, v.at, v.seen = vms, etag, time.Now(), true
	v.mu.Unlock()
	if v.Witness != nil {
		v.Witness(vms)
	}
	if same {
		return
	}
	v.Board.Update(func(s *board.State) { mergeVMs(s, vms, !first) })
}

// mergeVMs brings the engines on the board in line with the list.
func mergeVMs(s *board.State, vms []platform.VM, joined bool) {
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Kind == platform.KindRouter {
			continue
		}
		present[vm.Name] = true
		s.Engines[vm.Name] = mergeVM(s, vm, joined)
	}
	for name := range s.Engines {
		if !present[name] {
			delete(s.Engines, name)
		}
	}
}

func mergeVM(s *board.State, vm platform.VM, joined bool) board.Engine {
	e, known := s.Engines[vm.Name]
	if !known || e.Generation != vm.Generation {
		// A name or an address that is used again is another engine: nothing
		// that was known of the old one holds, its leaving included.
		e = board.Engine{Name: vm.Name, ID: rendezvous.ID(vm.Name), Generation: vm.Generation, FirstSeen: time.Now(), Joined: joined}
	}
	e.Address = vm.Address
	e.Site = vm.Site
	e.Region = regionOf(s.Config, vm.Site)
	e.Pool = vm.Pool
	e.Kind = vm.Kind
	// Leaving is sticky within a generation: the list lags, and a stale entry
	// must not bring work back to an engine that has said that it leaves.
	e.Leaving = e.Leaving || vm.State == platform.VMLeaving
	return e
}

func regionOf(cfg *config.Effective, site string) string {
	if cfg == nil {
		return ""
	}
	for _, s := range cfg.Sites {
		if s.Name == site {
			return s.Region
		}
	}
	return ""
}

// SetRegions fills in the regions once a configuration is known.
func SetRegions(s *board.State) {
	for name, e := range s.Engines {
		e.Region = regionOf(s.Config, e.Site)
		s.Engines[name] = e
	}
}
