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
	// vmPollPeriod is the time between two reads of the VM list.
	vmPollPeriod = 2 * time.Second
	// routersPerRelay is the number of routers that share one relay, which reads the platform's VM
	// list for them. It limits the reads to one for each twenty routers of the fleet.
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
	// Witness passes the list to membership. It may be nil.
	Witness func([]platform.VM)

	mu sync.Mutex
	// last is the last list received, etag its hash, and receivedAt the time of its receipt.
	// received is set once a list was received.
	last       []platform.VM
	etag       uint64
	receivedAt time.Time
	received   bool
}

// Run follows the list until ctx ends.
func (v *VMs) Run(ctx context.Context) { runPeriodically(ctx, vmPollPeriod, v.step) }

func (v *VMs) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	snap := v.Board.Snapshot()
	if relay, ok := v.relay(snap); ok {
		if v.fetchFromRelay(ctx, relay) {
			return
		}
	}
	vms, err := v.List.List(ctx)
	if err != nil {
		// While the list can't be read, the last one and the engines in it stay in use. An engine
		// that starts to drain is still detected by its own report.
		v.Log.Debug("VM list not read", "cause", err)
		return
	}
	v.apply(vms, etagOf(vms))
}

// relay returns the router that this one gets the list from, or false if this router reads the
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
	index := rendezvous.ID(v.Self) % uint64(len(relays))
	return snap.Live[relays[index]], true
}

func (v *VMs) fetchFromRelay(ctx context.Context, relay board.Router) bool {
	args := VMsArgs{Etag: v.currentEtag()}
	var reply VMsReply
	t := peer.Target{Name: relay.Name, Address: relay.Control}
	if err := v.Caller.Call(ctx, t, FleetService+".VMs", args, &reply); err != nil || !reply.Known {
		return false
	}
	if !reply.Same {
		v.apply(reply.VMs, reply.Etag)
	}
	return true
}

func (v *VMs) currentEtag() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.etag
}

// maxRelayAge is the age up to which a list is sent to other routers.
const maxRelayAge = 10 * time.Second

// Current returns the reply to a router that uses this one as its relay and has the list with the
// given hash.
func (v *VMs) Current(etag uint64) VMsReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.received || time.Since(v.receivedAt) > maxRelayAge {
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

func (v *VMs) apply(vms []platform.VM, etag uint64) {
	v.mu.Lock()
	first := !v.received
	same := v.received && etag == v.etag
	v.last, v.etag, v.receivedAt, v.received = vms, etag, time.Now(), true
	v.mu.Unlock()
	if v.Witness != nil {
		v.Witness(vms)
	}
	if same {
		return
	}
	v.Board.Update(func(s *board.State) { mergeVMs(s, vms, !first) })
}

// mergeVMs updates the engines on the board from the list. joined is set if the list is not the
// first one.
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
		// A reused name or address belongs to another engine: the state of the previous one does
		// not apply to it, including that it was draining.
		e = board.Engine{Name: vm.Name, ID: rendezvous.ID(vm.Name), Generation: vm.Generation, FirstSeen: time.Now(), Joined: joined}
	}
	e.Address = vm.Address
	e.Site = vm.Site
	e.Region = regionOf(s.Config, vm.Site)
	e.Pool = vm.Pool
	e.Kind = vm.Kind
	// Leaving is not reset within a generation: the list lags, and an outdated entry must not send
	// requests to an engine that has reported that it is draining.
	e.Leaving = e.Leaving || vm.State == platform.VMDraining
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

// setRegions sets the regions of the engines after a change of the configuration.
func setRegions(s *board.State) {
	for name, e := range s.Engines {
		e.Region = regionOf(s.Config, e.Site)
		s.Engines[name] = e
	}
}
