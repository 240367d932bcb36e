package membership

// Packets spread news of members slowly, so that a change costs each router few bytes: after
// three hundred routers have started at once it takes 25 seconds until all know of all, in
// which they share loads, budgets and duties wrongly. Routers that call one another anyway
// therefore exchange what has changed along with their calls. News then takes a few calls to
// reach everyone, and costs each router a row of bytes once. Packets still find out who is
// there, and make up for exchanges that never took place.

// RosterAsk is a router's half of an exchange of members.
type RosterAsk struct {
	// From is the asking instance.
	From uint64
	// Of is the instance with which it last exchanged, and Since that instance's revision
	// as of then.
	Of, Since uint64
	// Members is the digest of the asker's table where Of is zero.
	Members [DigestBuckets]uint32
	// Rows are the asker's rows that are new to the one asked.
	Rows []Member
}

// RosterReply is the other half.
type RosterReply struct {
	// From is the answering instance, Upto the revision of its table.
	From, Upto uint64
	// Rows are those that are new to the asker.
	Rows []Member
	// Want is a mask of the buckets of which the asker is to send its rows.
	Want uint32
}

// RosterLink is what a router remembers of its exchanges with another one. The zero value
// has exchanged nothing.
type RosterLink struct {
	of, since uint64
	// told is this router's revision up to which the other one has its rows.
	told uint64
	// asked is the revision of the ask under way.
	asked uint64
	want  uint32
}

// RosterAsk returns what to ask over a link. A link has one ask under way at a time.
func (d *Detector) RosterAsk(l *RosterLink) RosterAsk {
	out := RosterAsk{From: d.self.ID, Of: l.of, Since: l.since}
	l.asked = d.revision
	if l.of == 0 {
		out.Members = d.digest().Members
		out.Rows = []Member{pageRow(d.self.Member)}
		return out
	}
	out.Rows = d.rosterRows(l.of, func(r *row) bool {
		if l.want&(1<<bucketOf(r.ID)) != 0 {
			return d.sharedTombstone(r)
		}
		return r.changedAt > l.told
	})
	return out
}

// RosterReplied takes the reply to the last ask over a link.
func (d *Detector) RosterReplied(l *RosterLink, reply RosterReply) {
	if l.of != 0 && l.of != reply.From {
		// Another instance at the same address, which knows nothing of this link.
		*l = RosterLink{}
		return
	}
	l.of, l.since, l.told, l.want = reply.From, reply.Upto, l.asked, reply.Want
	d.learn(reply.From, reply.Rows)
}

// RosterFailed notes that an ask was not answered. Whether it arrived is not known; what it
// told is told again.
func (d *Detector) RosterFailed(l *RosterLink) {
	// A router that was replaced has another instance.
	*l = RosterLink{}
}

// RosterAnswer takes another router's half of an exchange and returns this one's.
func (d *Detector) RosterAnswer(ask RosterAsk) RosterReply {
	d.learn(ask.From, ask.Rows)
	out := RosterReply{From: d.self.ID, Upto: d.revision}
	known := ask.Of == d.self.ID && ask.Since <= d.revision
	if !known && ask.Of != 0 {
		// The asker takes this router for an earlier instance; it will begin anew.
		return out
	}
	if !known {
		out.Want = d.digest().differing(Digest{Members: ask.Members, Items: d.items.digest()})
	}
	out.Rows = d.rosterRows(ask.From, func(r *row) bool {
		if known {
			return r.changedAt > ask.Since
		}
		return d.sharedTombstone(r) && out.Want&(1<<bucketOf(r.ID)) != 0
	})
	return out
}

// rosterRows returns the rows that are news to an instance, as they are told to others: a
// suspicion is this router's own, and a death needs no description. A router that is held for
// dead is told so by each exchange, so that it can refute it; nobody is told what came from there.
func (d *Detector) rosterRows(to uint64, news func(*row) bool) []Member {
	tell := func(r *row) bool {
		switch {
		case !r.described() && r.State != StateDead:
			return false
		case r.ID == to && accuses(r.Member):
			return true
		case r.learnedFrom == to:
			return false
		}
		return news(r)
	}
	var out []Member
	for _, id := range d.ids {
		r := d.rows[id]
		if !tell(r) {
			continue
		}
		m := pageRow(r.Member)
		m.State = m.State.settled()
		out = append(out, m)
	}
	return out
}

// learn merges rows that came by a call from an instance. They are not spread by packets:
// calls take them further.
func (d *Detector) learn(from uint64, rows []Member) {
	if d.departed || len(rows) == 0 {
		return
	}
	d.learning = from
	defer func() { d.learning = 0 }()
	for _, m := range rows {
		if m.Validate() != nil {
			continue
		}
		d.apply(m)
		d.contradict(m)
	}
}

// contradict tells again what is newer here than what a call has brought: whoever said it has
// not heard of it, and may not be told otherwise.
func (d *Detector) contradict(m Member) {
	r := d.rows[m.ID]
	if r == nil || r == d.self {
		return
	}
	held := r.Member
	held.State = held.State.settled()
	if held.supersedes(m) {
		d.stamp(r)
		r.learnedFrom = 0
	}
}

// stamp notes that what others are told of a row has changed.
func (d *Detector) stamp(r *row) {
	d.changed()
	r.changedAt = d.revision
	r.learnedFrom = d.learning
	if r == d.self {
		// What others say of it is answered, not passed on.
		r.learnedFrom = 0
	}
}
