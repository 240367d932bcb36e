package membership

import (
	"slices"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// vmKey names one use of a VM name.
type vmKey struct {
	name       string
	generation uint64
}

// witness is what the settings and the platform's VM list say. Both lag, so
// neither adds or removes a member: they are addresses to contact, and reports
// that a router is leaving.
type witness struct {
	seeds []string
	vms   []platform.VM
	// marked is the instance that each leaving entry was first applied to.
	marked map[vmKey]uint64
}

func newWitness(seeds []string) witness {
	return witness{seeds: slices.Clone(seeds), marked: make(map[vmKey]uint64)}
}

// SetSeeds replaces the seeds of the options.
func (d *Detector) SetSeeds(seeds []string) { d.witness.seeds = slices.Clone(seeds) }

// ObserveVMs takes the platform's VM list as it is now. It may be called as
// often as the list is read.
//
//   - A router listed as leaving is leaving, for its present incarnation; as
//     the list is read again, the next incarnation is marked too.
//   - A member that the list lacks stays as the probes find it.
//   - A router listed as live that probes do not reach is suspected as any
//     other; its address is contacted from time to time.
func (d *Detector) ObserveVMs(vms []platform.VM) {
	d.witness.vms = d.witness.vms[:0]
	for _, vm := range vms {
		if vm.Kind != platform.KindRouter {
			continue
		}
		d.witness.vms = append(d.witness.vms, vm)
		if vm.State == platform.VMLeaving {
			d.observeLeaving(vm)
		}
	}
	d.pruneMarked()
}

func (d *Detector) observeLeaving(vm platform.VM) {
	for _, id := range d.ids {
		r := d.rows[id]
		if r.State == StateDead || r.Name != vm.Name || !d.concerns(vm, r) {
			continue
		}
		d.markLeaving(r)
	}
}

// concerns reports whether a leaving entry is about this instance. A name is
// used again before the list shows the new VM; the old entry would then mark
// the fresh instance as leaving, for good. The generation tells them apart;
// where the member does not know its own, the entry holds only for the first
// instance it was applied to.
func (d *Detector) concerns(vm platform.VM, r *row) bool {
	if r.Generation != 0 && vm.Generation != 0 {
		return r.Generation == vm.Generation
	}
	key := vmKey{vm.Name, vm.Generation}
	first, ok := d.witness.marked[key]
	if ok {
		return first == r.ID
	}
	if d.witness.markedBefore(r.ID, vm.Generation) {
		return false
	}
	d.witness.marked[key] = r.ID
	return true
}

// markedBefore reports whether an entry of another generation was applied to
// the instance. Then it cannot be the one that this generation is about.
func (w *witness) markedBefore(id, generation uint64) bool {
	for key, marked := range w.marked {
		if marked == id && key.generation != generation {
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
		// The suspicion goes on: a leaving router may be dead as well.
		d.transition(r, r.Incarnation, StateLeavingSuspect)
	}
}

// pruneMarked forgets entries that are no longer in the list.
func (d *Detector) pruneMarked() {
	listed := make(map[vmKey]bool, len(d.witness.vms))
	for _, vm := range d.witness.vms {
		listed[vmKey{vm.Name, vm.Generation}] = true
	}
	for key := range d.witness.marked {
		if !listed[key] {
			delete(d.witness.marked, key)
		}
	}
}

// contact sends a digest to one address that no known live member has. It is
// how a fresh router joins and how two halves find each other after a
// partition that lasted longer than the dead are remembered.
func (d *Detector) contact() {
	if d.now < d.nextContact {
		return
	}
	d.nextContact = d.now + d.opts.ContactPeriod
	if d.live == 1 {
		// Alone: the first answer matters more than the bytes.
		d.nextContact = d.now + d.opts.Period
	}
	addresses := d.strangers()
	if len(addresses) == 0 {
		return
	}
	d.sendDigest(addresses[d.rng.Intn(len(addresses))], 0, false)
}

// strangers lists the addresses of seeds, VM list and dead members that belong
// to no live member.
func (d *Detector) strangers() []string {
	taken := make(map[string]bool, len(d.ids))
	var candidates []string
	candidates = append(candidates, d.witness.seeds...)
	for _, vm := range d.witness.vms {
		candidates = append(candidates, vm.ControlAddress)
	}
	for _, id := range d.ids {
		r := d.rows[id]
		if r.State == StateDead {
			candidates = append(candidates, r.Address)
			continue
		}
		taken[r.Address] = true
	}
	return slices.DeleteFunc(candidates, func(a string) bool { return a == "" || taken[a] })
}
