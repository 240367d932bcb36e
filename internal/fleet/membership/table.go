package membership

import "slices"

// insert adds a row in its current state.
func (d *Detector) insert(m Member) *row {
	r := &row{Member: m}
	d.rows[m.ID] = r
	n, _ := slices.BinarySearch(d.ids, m.ID)
	d.ids = slices.Insert(d.ids, n, m.ID)
	if m.State != StateDead {
		d.live++
		d.markChanged(r)
	}
	d.bumpRevision()
	return r
}

// apply merges one update. applySelf handles an update about this router; a change of another
// member is spread further.
func (d *Detector) apply(u Member) {
	if u.ID == d.self.ID {
		d.applySelf(u)
		return
	}
	r, ok := d.rows[u.ID]
	if !ok {
		d.applyNew(u)
		return
	}
	if !u.supersedes(r.Member) {
		d.raiseConfigVersion(r, u.ConfigVersion)
		return
	}
	if u.hasDescription() {
		d.updateDescription(r, u)
	}
	if !r.hasDescription() && u.State != StateDead {
		return
	}
	d.transition(r, u.Incarnation, u.State)
}

// updateDescription copies the descriptive fields of the update to the row.
func (d *Detector) updateDescription(r *row, u Member) {
	u.Incarnation = r.Incarnation
	u.State = r.State
	u.ConfigVersion = max(u.ConfigVersion, r.ConfigVersion)
	r.Member = u
}

// applyNew adds an unknown instance.
func (d *Detector) applyNew(u Member) {
	if len(d.rows) >= maxMembers || u.ID == 0 {
		return
	}
	if u.State == StateDead {
		// The tombstone prevents a late alive message from reviving the instance. It is kept
		// for a shorter time than a locally created one and not passed on, because otherwise
		// routers would renew tombstones for each other forever.
		d.insert(u).forgetAt = d.now + d.opts.DeadRetention/4
		return
	}
	if !u.hasDescription() {
		return
	}
	r := d.insert(u)
	d.emit(EventJoined, u)
	d.broadcastMember(u.ID)
	d.addToProbeOrder(u.ID)
	if u.State.suspected() {
		d.suspect(r, false)
	}
	d.probeAddressHolders(r)
}

// probeAddressHolders pings a new instance and the older ones with the same address. The instance
// that now has the address answers the pings for the others with NotMe, and these are declared
// dead without waiting for the suspicion timeout. An instance with this router's own address is
// declared dead at once.
func (d *Detector) probeAddressHolders(added *row) {
	if added.Address == d.self.Address {
		d.transition(added, added.Incarnation, StateDead)
		return
	}
	for _, id := range d.ids {
		r := d.rows[id]
		if r == added || r.State == StateDead || r.Address != added.Address {
			continue
		}
		d.ping(r)
		d.ping(added)
	}
}

// applySelf reacts to an update about this router.
func (d *Detector) applySelf(u Member) {
	if d.departed {
		return
	}
	if u.Incarnation < d.self.Incarnation {
		d.repeatRefutation(u)
		return
	}
	if u.State.withoutSuspicion() == StateLeaving {
		// One report is enough: if the others regard this router as leaving while it still
		// accepts requests, those would be cut off.
		d.Leave()
	}
	if !reportsFailure(u) {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.markChanged(d.self)
	d.nextGossip = d.now
	d.broadcastMember(d.self.ID)
	d.emit(EventSelfRefuted, d.self.Member)
}

// repeatRefutation spreads this router's row again if a member still acts on a refuted
// suspicion. A refutation is sent only a limited number of times, and a member that lost every
// copy would declare a live router dead even though it still sends packets.
func (d *Detector) repeatRefutation(u Member) {
	if reportsFailure(u) {
		d.broadcastMember(d.self.ID)
	}
}

// reportsFailure reports whether the update marks the router as suspect or dead.
func reportsFailure(u Member) bool { return u.State.suspected() || u.State == StateDead }

// transition changes the state and incarnation of a row and spreads the change.
func (d *Detector) transition(r *row, incarnation uint64, state State) {
	oldState, oldIncarnation := r.State, r.Incarnation
	r.Incarnation = incarnation
	r.State = state
	r.suspicion = nil
	if oldState.withoutSuspicion() != state.withoutSuspicion() || oldIncarnation != incarnation {
		d.markChanged(r)
	}
	d.bumpRevision()
	d.updateLiveCount(r, oldState)
	d.broadcastMember(r.ID)
	d.nextGossip = min(d.nextGossip, d.now+d.opts.GossipInterval/2)
	switch {
	case state.suspected():
		d.suspect(r, false)
	case state == StateDead:
		r.forgetAt = d.now + d.opts.DeadRetention
		d.emit(EventDead, r.Member)
	case state == StateLeaving && oldState.withoutSuspicion() != StateLeaving:
		d.emit(EventLeaving, r.Member)
	default:
		d.emit(EventRefuted, r.Member)
	}
}

func (d *Detector) updateLiveCount(r *row, oldState State) {
	if oldState != StateDead && r.State == StateDead {
		d.live--
	}
	if oldState == StateDead && r.State != StateDead {
		d.live++
		d.addToProbeOrder(r.ID)
	}
}

// forgetDead removes dead rows whose retention has passed.
func (d *Detector) forgetDead() {
	kept := d.ids[:0]
	for _, id := range d.ids {
		r := d.rows[id]
		if r.State != StateDead || d.now < r.forgetAt {
			kept = append(kept, id)
			continue
		}
		delete(d.rows, id)
		d.bumpRevision()
		if r.hasDescription() {
			d.emit(EventForgotten, r.Member)
		}
	}
	d.ids = kept
}
