package membership

import (
	"slices"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// vmKey identifies one VM by its name and generation.
type vmKey struct {
	name       string
	generation uint64
}

// discovery holds what the settings and the VM list of the platform report. Both lag behind, so
// neither adds or removes a member. They only provide addresses to contact and report that a
// router is leaving.
type discovery struct {
	seeds []string
	vms   []platform.VM
	// marked is the instance that each leaving entry was first applied to.
	marked map[vmKey]uint64
}

func newDiscovery(seeds []string) discovery {
	return discovery{seeds: slices.Clone(seeds), marked: make(map[vmKey]uint64)}
}

// SetSeeds replaces the seed addresses. The detector sends digests to those that belong to no
// known live member.
func (d *Detector) SetSeeds(seeds []string) { d.discovery.seeds = slices.Clone(seeds) }

// ObserveVMs processes the current VM list of the platform. It may be called after each read of
// the list.
//
//   - A router listed as leaving is marked as leaving in its current incarnation. When the list
//     is read again, a newer incarnation is marked as well.
//   - A member that is not in the list keeps the state that probes give it.
//   - A listed live router that does not answer probes is suspected like any other. If it is
//     declared dead, its address is contacted from time to time.
func (d *Detector) ObserveVMs(vms []platform.VM) {
	d.discovery.vms = d.discovery.vms[:0]
	for _, vm := range vms {
		if vm.Kind != platform.KindRouter {
			continue
		}
		d.discovery.vms = append(d.discovery.vms, vm)
		if vm.State == platform.VMDraining {
			d.observeLeaving(vm)
		}
	}
	d.pruneMarked()
}

func (d *Detector) observeLeaving(vm platform.VM) {
	for _, id := range d.ids {
		r := d.rows[id]
		if r.State == StateDead || r.Name != vm.Name || !d.appliesTo(vm, r) {
			continue
		}
		d.markLeaving(r)
	}
}

// appliesTo reports whether a leaving entry is about this instance. A name can be reused before
// the list shows the new VM, and the old entry would then mark the new instance as leaving
// permanently. The generation distinguishes them. If the member or the entry has no generation,
// the entry applies only to the first instance that it was applied to.
func (d *Detector) appliesTo(vm platform.VM, r *row) bool {
	if r.Generation != 0 && vm.Generation != 0 {
		return r.Generation == vm.Generation
	}
	key := vmKey{vm.Name, vm.Generation}
	first, ok := d.discovery.marked[key]
	if ok {
		return first == r.ID
	}
	if d.discovery.markedByOtherGeneration(r.ID, vm.Generation) {
		return false
	}
	d.discovery.marked[key] = r.ID
	return true
}

// markedByOtherGeneration reports whether an entry of another generation was applied to the
// instance. In that case this generation cannot be about it.
func (ds *discovery) markedByOtherGeneration(id, generation uint64) bool {
	for key, instance := range ds.marked {
		if instance == id && key.generation != generation {
			return true
		}
	}
	return false
}

func (d *Detector) markLeaving(r *row) {
	if r == d.self {
		d.Leave()
		return
	}
	switch r.State {
	case StateAlive:
		d.transition(r, r.Incarnation, StateLeaving)
	case StateSuspect:
		// The suspicion continues, because a leaving router may also be dead.
		d.transition(r, r.Incarnation, StateLeavingSuspect)
	}
}

// pruneMarked removes the entries that are no longer in the list.
func (d *Detector) pruneMarked() {
	listed := make(map[vmKey]bool, len(d.discovery.vms))
	for _, vm := range d.discovery.vms {
		listed[vmKey{vm.Name, vm.Generation}] = true
	}
	for key := range d.discovery.marked {
		if !listed[key] {
			delete(d.discovery.marked, key)
		}
	}
}

// contact sends a digest to an address that belongs to no known live member. This is how a new
// router joins, and how two parts of the fleet find each other after a partition that lasted
// longer than dead members are remembered.
func (d *Detector) contact() {
	if d.now < d.nextContact {
		return
	}
	d.nextContact = d.now + d.opts.ContactPeriod
	if d.live == 1 {
		// A router that knows no other retries faster, because joining matters more than
		// traffic.
		d.nextContact = d.now + d.opts.Period
	}
	addresses := d.contactCandidates()
	if len(addresses) == 0 {
		return
	}
	d.sendDigest(addresses[d.rng.Intn(len(addresses))], 0, false)
}

// contactCandidates returns the addresses of seeds, listed VMs and dead members that belong to
// no live member.
func (d *Detector) contactCandidates() []string {
	live := make(map[string]bool, len(d.ids))
	var candidates []string
	candidates = append(candidates, d.discovery.seeds...)
	for _, vm := range d.discovery.vms {
		candidates = append(candidates, vm.ControlAddress)
	}
	for _, id := range d.ids {
		r := d.rows[id]
		if r.State == StateDead {
			candidates = append(candidates, r.Address)
			continue
		}
		live[r.Address] = true
	}
	return slices.DeleteFunc(candidates, func(a string) bool { return a == "" || live[a] })
}
