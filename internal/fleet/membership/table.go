package membership

import "slices"

// insert adds a row in the state it has.
func (d *Detector) insert(m Member) *row {
	r := &row{Member: m}
	d.rows[m.ID] = r
	n, _ := slices.BinarySearch(d.ids, m.ID)
	d.ids = slices.Insert(d.ids, n, m.ID)
	if m.State != StateDead {
		d.live++
		d.stamp(r)
	}
	d.changed()
	return r
}

// apply merges one update. What it says of this router itself is answered,
// what is new of others is spread further.
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
	if u.described() {
		d.describe(r, u)
	}
	if !r.described() && u.State != StateDead {
		return
	}
	d.transition(r, u.Incarnation, u.State)
}

// describe takes over the descriptive fields of the update.
func (d *Detector) describe(r *row, u Member) {
	u.Incarnation = r.Incarnation
	u.State = r.State
	u.ConfigVersion = max(u.ConfigVersion, r.ConfigVersion)
	r.Member = u
}

// applyNew adds an instance that was not known.
func (d *Detector) applyNew(u Member) {
	if len(d.rows) >= maxMembers || u.ID == 0 {
		return
	}
	if u.State == StateDead {
		// The tombstone keeps a late alive message from bringing the instance
		// back. It is kept for a shorter time than one that we set up, and
		// is not sent on, or tombstones would renew each other forever.
		d.insert(u).forgetAt = d.now + d.opts.DeadRetention/4
		return
	}
	if !u.described() {
		return
	}
	r := d.insert(u)
	d.emit(EventJoined, u)
	d.broadcastMember(u.ID)
	d.joinRound(u.ID)
	if u.State.suspected() {
		d.suspect(r, false)
	}
	d.checkAddress(r)
}

// checkAddress looks for older instances at the address of a new one and has
// them prove that they are still there. If the address was used again, the
// new instance answers "not me" and the old one is buried at once rather than
// after the suspicion.
func (d *Detector) checkAddress(fresh *row) {
	if fresh.Address == d.self.Address {
		d.transition(fresh, fresh.Incarnation, StateDead)
		return
	}
	for _, id := range d.ids {
		r := d.rows[id]
		if r == fresh || r.State == StateDead || r.Address != fresh.Address {
			continue
		}
		d.ping(r)
		d.ping(fresh)
	}
}

// applySelf answers what others say of this router.
func (d *Detector) applySelf(u Member) {
	if d.departed {
		return
	}
	if u.Incarnation < d.self.Incarnation {
		d.repeatRefutation(u)
		return
	}
	if u.State.settled() == StateLeaving {
		// Any one witness is enough: a router that went on taking work while
		// the others think it leaves would be cut off in mid-request.
		d.Leave()
	}
	if !accuses(u) {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.stamp(d.self)
	d.nextGossip = d.now
	d.broadcastMember(d.self.ID)
	d.emit(EventSelfRefuted, d.self.Member)
}

// repeatRefutation spreads this router's row again if someone still acts on a
// verdict that was refuted. The refutation is sent a bounded number of times;
// one who lost all of them would bury a live router, although it keeps asking.
func (d *Detector) repeatRefutation(u Member) {
	if accuses(u) {
		d.broadcastMember(d.self.ID)
	}
}

// accuses reports whether the update says that the router may be or is dead.
func accuses(u Member) bool { return u.State.suspected() || u.State == StateDead }

// transition moves a row to a state at an incarnation and spreads it.
func (d *Detector) transition(r *row, incarnation uint64, state State) {
	was, wasIncarnation := r.State, r.Incarnation
	r.Incarnation = incarnation
	r.State = state
	r.suspicion = nil
	if was.settled() != state.settled() || wasIncarnation != incarnation {
		d.stamp(r)
	}
	d.changed()
	d.countLive(r, was)
	d.broadcastMember(r.ID)
	d.nextGossip = min(d.nextGossip, d.now+d.opts.GossipInterval/2)
	switch {
	case state.suspected():
		d.suspect(r, false)
	case state == StateDead:
		r.forgetAt = d.now + d.opts.DeadRetention
		d.emit(EventDead, r.Member)
	case state == StateLeaving && was.settled() != StateLeaving:
		d.emit(EventLeaving, r.Member)
	default:
		d.emit(EventRefuted, r.Member)
	}
}

func (d *Detector) countLive(r *row, was State) {
	if was != StateDead && r.State == StateDead {
		d.live--
	}
	if was == StateDead && r.State != StateDead {
		d.live++
		d.joinRound(r.ID)
	}
}

// expire drops dead rows that were remembered for long enough.
func (d *Detector) expire() {
	keep := d.ids[:0]
	for _, id := range d.ids {
		r := d.rows[id]
		if r.State != StateDead || d.now < r.forgetAt {
			keep = append(keep, id)
			continue
		}
		delete(d.rows, id)
		d.changed()
		if r.described() {
			d.emit(EventForgotten, r.Member)
		}
	}
	d.ids = keep
}
