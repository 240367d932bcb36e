package membership

// Packets spread membership changes slowly, to limit their bytes: after 300 routers started at
// once, it took 25 seconds until each knew all others, and meanwhile loads, budgets and duties, such
// as the duty to read the store, were divided incorrectly among them. Routers that call one another
// anyway therefore exchange changed rows along with these calls. A change then reaches every router
// within a few calls and costs each router the bytes of one row. Packets still detect failures, and
// spread the changes that failed exchanges did not.

// RosterRequest is the request of a roster exchange.
type RosterRequest struct {
	// From is the requesting instance.
	From uint64
	// Of is the instance of the last exchange over the link, zero if there was none. Since is
	// that instance's revision at the time.
	Of, Since uint64
	// Members is the digest of the requester's table, set only if Of is zero.
	Members [DigestBuckets]uint32
	// Rows are the requester's rows that are new to the receiver.
	Rows []Member
}

// RosterReply is the reply of a roster exchange.
type RosterReply struct {
	// From is the replying instance, Upto the revision of its table.
	From, Upto uint64
	// Rows are the rows that are new to the requester.
	Rows []Member
	// Want is a mask of the buckets whose rows the requester is to send.
	Want uint32
}

// RosterLink is the state of the exchanges with one other router. The zero value stands for no
// exchange so far.
type RosterLink struct {
	// peer is the instance of the last exchange, zero if there was none, and peerRevision its
	// revision at the time.
	peer, peerRevision uint64
	// sentRevision is the revision of this router up to which its rows were sent.
	sentRevision uint64
	// requestRevision is the revision of this router at the current request.
	requestRevision uint64
	// wantedBuckets is a mask of the buckets whose rows the peer wants.
	wantedBuckets uint32
}

// RosterRequest returns the next request for a link. A link has at most one request in flight.
func (d *Detector) RosterRequest(l *RosterLink) RosterRequest {
	request := RosterRequest{From: d.self.ID, Of: l.peer, Since: l.peerRevision}
	l.requestRevision = d.revision
	if l.peer == 0 {
		request.Members = d.digest().Members
		request.Rows = []Member{pageRow(d.self.Member)}
		return request
	}
	request.Rows = d.rosterRows(l.peer, func(r *row) bool {
		if l.wantedBuckets&(1<<bucketOf(r.ID)) != 0 {
			return d.belongsInPages(r)
		}
		return r.changedRevision > l.sentRevision
	})
	return request
}

// HandleRosterReply processes the reply to the last request of a link.
func (d *Detector) HandleRosterReply(l *RosterLink, reply RosterReply) {
	if l.peer != 0 && l.peer != reply.From {
		// Another instance now has this address and knows nothing of this link.
		*l = RosterLink{}
		return
	}
	l.peer, l.peerRevision, l.sentRevision, l.wantedBuckets = reply.From, reply.Upto, l.requestRevision, reply.Want
	d.mergeRows(reply.From, reply.Rows)
}

// RosterRequestFailed resets a link after a request without a reply. It is unknown whether the
// request arrived, so its rows are sent again.
func (d *Detector) RosterRequestFailed(l *RosterLink) {
	// The router may have been replaced by another instance.
	*l = RosterLink{}
}

// HandleRosterRequest processes a request and returns the reply.
func (d *Detector) HandleRosterRequest(request RosterRequest) RosterReply {
	d.mergeRows(request.From, request.Rows)
	reply := RosterReply{From: d.self.ID, Upto: d.revision}
	known := request.Of == d.self.ID && request.Since <= d.revision
	if !known && request.Of != 0 {
		// The request is for an earlier instance at this address. The requester starts over.
		return reply
	}
	if !known {
		reply.Want = d.digest().differing(Digest{Members: request.Members, Items: d.items.digest()})
	}
	reply.Rows = d.rosterRows(request.From, func(r *row) bool {
		if known {
			return r.changedRevision > request.Since
		}
		return d.belongsInPages(r) && reply.Want&(1<<bucketOf(r.ID)) != 0
	})
	return reply
}

// rosterRows returns the rows to send to an instance. A suspicion is local and left out, and a
// dead row is sent without its description. An instance that this router regards as suspect or
// dead receives its own row in each exchange, so that it can refute a report of its death.
// Otherwise rows are not sent back to the instance they came from.
func (d *Detector) rosterRows(to uint64, isNew func(*row) bool) []Member {
	include := func(r *row) bool {
		switch {
		case !r.hasDescription() && r.State != StateDead:
			return false
		case r.ID == to && reportsFailure(r.Member):
			return true
		case r.learnedFrom == to:
			return false
		}
		return isNew(r)
	}
	var rows []Member
	for _, id := range d.ids {
		r := d.rows[id]
		if !include(r) {
			continue
		}
		m := pageRow(r.Member)
		m.State = m.State.withoutSuspicion()
		rows = append(rows, m)
	}
	return rows
}

// mergeRows merges the rows of a roster exchange with an instance. They are not gossiped in
// packets, because further exchanges spread them.
func (d *Detector) mergeRows(from uint64, rows []Member) {
	if d.departed || len(rows) == 0 {
		return
	}
	d.mergingFrom = from
	defer func() { d.mergingFrom = 0 }()
	for _, m := range rows {
		if m.Validate() != nil {
			continue
		}
		d.apply(m)
		d.resendNewer(m)
	}
}

// resendNewer marks the local row of the same instance as changed if it is newer than the
// received row m. The sender of m does not have the newer row and might not get it otherwise.
func (d *Detector) resendNewer(m Member) {
	r := d.rows[m.ID]
	if r == nil || r == d.self {
		return
	}
	held := r.Member
	held.State = held.State.withoutSuspicion()
	if held.supersedes(m) {
		d.markChanged(r)
		r.learnedFrom = 0
	}
}

// markChanged records that the state of the row that is sent to others has changed.
func (d *Detector) markChanged(r *row) {
	d.bumpRevision()
	r.changedRevision = d.revision
	r.learnedFrom = d.mergingFrom
	if r == d.self {
		// The own row may have changed to refute a row that the other router of this exchange
		// sent, so it must be sent to that router as well.
		r.learnedFrom = 0
	}
}
