// Package membership keeps track of the routers of the fleet: which instances
// are alive, suspected, leaving or dead.
//
// It is a failure detector after SWIM: each router probes one other a period,
// asks others to probe when no ack comes, suspects before it buries, and
// spreads what it learns by piggyback. The package is a pure state machine:
// time, randomness and packets are arguments, and it neither blocks nor starts
// goroutines. It is not safe for concurrent use.
package membership

import (
	"math/rand"
	"sort"
	"time"
)

// maxMembers bounds the table, dead rows included.
const maxMembers = 4096

// configGossipMax is the fleet size up to which a new configuration version of
// one member is spread as an update. Above it, versions are learned only from
// the packets of the members themselves and from pages: n members times n
// receivers would otherwise cost each router O(n) bytes a change.
const configGossipMax = 40

// row is a member and what this router keeps about it.
type row struct {
	Member
	suspicion *suspicion
	// forgetAt is when a dead row is dropped.
	forgetAt time.Duration
	// changedAt is the revision at which what others are told of the row last changed, and
	// learnedFrom the instance whose call brought that; zero if it came otherwise.
	changedAt, learnedFrom uint64
}

// Detector is the membership state of one router.
type Detector struct {
	opts Options
	rng  *rand.Rand
	now  time.Duration
	self *row
	rows map[uint64]*row
	// ids are the keys of rows in order, so that runs repeat under one seed.
	ids []uint64
	// live counts the rows that are not dead, self included.
	live int

	round   []uint64
	probe   *probe
	relays  map[uint32]relay
	nextSeq uint32

	queue      broadcastQueue
	allowed    allowance
	items      itemStore
	freshItems []Item
	pages      []pageJob
	witness    witness

	nextProbe   time.Duration
	nextGossip  time.Duration
	nextSync    time.Duration
	nextPage    time.Duration
	nextContact time.Duration
	// strangerSyncAt is when the next packet of an unknown instance may start
	// an exchange of tables.
	strangerSyncAt time.Duration
	// nextInvite is when a digest may be answered by a digest again.
	nextInvite time.Duration
	lastTick   time.Duration
	ticked     bool
	departed   bool

	events   []Event
	snapshot []Member
	// revision counts the changes that Snapshot shows.
	revision uint64
	// learning is the instance whose rows are being merged, zero for packets.
	learning uint64
	out      []Outgoing
}

// New returns a Detector that knows only itself. The ID of self must be random
// and not 0; the incarnation starts at 1 if it is 0.
func New(self Member, opts Options, rng *rand.Rand) *Detector {
	self.Incarnation = max(self.Incarnation, 1)
	d := &Detector{
		opts:    opts.withDefaults(),
		rng:     rng,
		rows:    make(map[uint64]*row),
		relays:  make(map[uint32]relay),
		queue:   newBroadcastQueue(),
		allowed: allowance{bytes: maxPiggyback},
	}
	d.witness = newWitness(d.opts.Seeds)
	d.self = d.insert(self)
	return d
}

// Tick advances the state to now and returns the packets to send. It is meant
// to be called every few tens of milliseconds; now must not go back.
func (d *Detector) Tick(now time.Duration) []Outgoing {
	d.advance(now)
	d.lastTick = now
	if !d.ticked {
		d.start()
	}
	if !d.departed {
		d.contact()
		d.runProbe()
		d.runSuspicions()
		d.sync()
		d.sendPage()
		d.gossip()
		d.expire()
	}
	return d.take()
}

// start spreads the timers of routers that were started together.
func (d *Detector) start() {
	d.ticked = true
	d.nextProbe = d.now + d.jitter(d.opts.Period)
	d.nextSync = d.now + d.jitter(d.opts.SyncPeriod)
	d.nextContact = d.now + d.opts.ContactDelay
	d.broadcastMember(d.self.ID)
}

func (d *Detector) jitter(span time.Duration) time.Duration {
	return time.Duration(d.rng.Int63n(int64(span)))
}

// advance moves the clock and notices that the process stood still.
//
// A process that was frozen finds every timer expired on thawing, although the
// others answered in the meantime. Without this it would at once declare them
// all dead. The probe under way is dropped and suspicions start over.
func (d *Detector) advance(now time.Duration) {
	d.now = max(d.now, now)
	d.allowed.refill(d.now)
	if !d.ticked || d.now-d.lastTick <= d.opts.FreezeThreshold {
		return
	}
	d.lastTick = d.now
	d.probe = nil
	clear(d.relays)
	for _, id := range d.ids {
		if r := d.rows[id]; r.suspicion != nil {
			r.suspicion = d.newSuspicion(true)
		}
	}
	d.emit(EventThawed, d.self.Member)
}

// Handle processes a packet that arrived from the UDP address from and returns
// the packets to send.
func (d *Detector) Handle(now time.Duration, from string, m Message) []Outgoing {
	d.advance(now)
	if d.departed || m.From == d.self.ID {
		return nil
	}
	if m.To != d.self.ID && !joinDigest(m) {
		d.refuse(from, m)
		return d.take()
	}
	for _, u := range m.Updates {
		d.apply(u)
	}
	// After the updates: a newcomer describes itself in its first packets, and
	// then it need not be asked for its table by everyone it speaks to.
	d.noteSender(from, m)
	for _, item := range m.Items {
		// A refused item is bounded loss: its owner learns the reason when it
		// calls Broadcast.
		_, _ = d.acceptItem(item)
	}
	d.dispatch(from, m)
	return d.take()
}

// joinDigest reports whether the message is the one kind that need not name
// its receiver.
func joinDigest(m Message) bool {
	_, ok := m.Body.(Digest)
	return ok && m.To == 0
}

// refuse answers a packet that is meant for another instance. Without this a
// replaced VM that got the address of an old one would keep it alive by
// answering its probes.
func (d *Detector) refuse(from string, m Message) {
	if _, ok := m.Body.(NotMe); ok || m.To == 0 {
		return
	}
	d.send(from, m.From, NotMe{Wanted: m.To})
}

func (d *Detector) dispatch(from string, m Message) {
	switch b := m.Body.(type) {
	case Ping:
		d.answerPing(from, m, b)
	case Ack:
		d.handleAck(m.From, b)
	case PingRequest:
		d.handlePingRequest(from, m.From, b)
	case RelayAck:
		d.acked(b.Seq, b.Target)
	case NotMe:
		d.handleNotMe(from, b)
	case Digest:
		d.handleDigest(from, m.From, b)
	}
}

// answerPing acknowledges a ping. To one who holds this router as suspect or
// dead the answer always carries its row, whatever else waits to be sent.
func (d *Detector) answerPing(from string, m Message, b Ping) {
	for _, u := range m.Updates {
		if u.ID == d.self.ID && accuses(u) {
			d.send(from, m.From, Ack(b), d.self.ID)
			return
		}
	}
	d.send(from, m.From, Ack(b))
}

// noteSender takes the sender's configuration version at first hand, and
// starts an exchange with an instance that is not in the table.
func (d *Detector) noteSender(from string, m Message) {
	r, ok := d.rows[m.From]
	if ok {
		d.raiseConfigVersion(r, m.ConfigVersion)
		return
	}
	if _, digest := m.Body.(Digest); digest || d.now < d.strangerSyncAt {
		return
	}
	d.sendDigest(from, m.From, false)
}

// handleNotMe buries the instance that was replaced at its address.
func (d *Detector) handleNotMe(from string, b NotMe) {
	r, ok := d.rows[b.Wanted]
	if !ok || r == d.self || r.State == StateDead || r.Address != from {
		return
	}
	d.transition(r, r.Incarnation, StateDead)
}

// send queues one packet. The row of the receiver goes along if it is held as
// suspect or dead, so that it learns of it and can refute.
func (d *Detector) send(to string, id uint64, body Body, first ...uint64) {
	m := Message{From: d.self.ID, To: id, ConfigVersion: d.self.ConfigVersion, Body: body}
	if r, ok := d.rows[id]; ok && (r.State.suspected() || r.State == StateDead) {
		first = append(first, id)
	}
	if body.Kind() != KindNotMe {
		d.piggyback(&m, first...)
	}
	d.out = append(d.out, Outgoing{To: to, Message: m})
}

func (d *Detector) take() []Outgoing {
	out := d.out
	d.out = nil
	return out
}

// pick returns up to k random live members other than self that pass the
// filter; a nil filter passes all.
func (d *Detector) pick(k int, filter func(*row) bool) []*row {
	var list []*row
	for _, id := range d.ids {
		r := d.rows[id]
		if r == d.self || r.State == StateDead || filter != nil && !filter(r) {
			continue
		}
		list = append(list, r)
	}
	d.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(k, len(list))]
}

// Leave marks this router as leaving. It is still probed and still answers.
func (d *Detector) Leave() {
	if d.self.State == StateLeaving {
		return
	}
	d.self.State = StateLeaving
	d.stamp(d.self)
	d.nextGossip = d.now
	d.broadcastMember(d.self.ID)
	d.emit(EventSelfLeaving, d.self.Member)
}

// Depart returns the packets that announce a clean exit, so that the others
// need not find out by probes. The Detector does nothing afterwards.
func (d *Detector) Depart() []Outgoing {
	const notified = 4
	d.self.State = StateDead
	d.departed = true
	d.changed()
	for _, r := range d.pick(notified, nil) {
		d.send(r.Address, r.ID, Gossip{}, d.self.ID)
	}
	return d.take()
}

// SetConfigVersion records the configuration head that this router has. A
// lower version than the one recorded is ignored.
func (d *Detector) SetConfigVersion(version uint64) {
	d.raiseConfigVersion(d.self, version)
}

func (d *Detector) raiseConfigVersion(r *row, version uint64) {
	if version <= r.ConfigVersion {
		return
	}
	r.ConfigVersion = version
	d.changed()
	if d.live <= configGossipMax && r.State != StateDead {
		d.broadcastMember(r.ID)
	}
}

// Self returns this router's own row.
func (d *Detector) Self() Member { return d.self.Member }

// Revision is a number that grows whenever Snapshot would differ.
func (d *Detector) Revision() uint64 { return d.revision }

func (d *Detector) changed() {
	d.revision++
	d.snapshot = nil
}

// Snapshot returns all named members, dead ones that are still remembered
// included, sorted by name and then by ID. The slice is never modified.
func (d *Detector) Snapshot() []Member {
	if d.snapshot != nil {
		return d.snapshot
	}
	list := make([]Member, 0, len(d.ids))
	for _, id := range d.ids {
		m := d.rows[id].Member
		if !m.described() {
			continue
		}
		if m.State == StateLeavingSuspect {
			m.State = StateLeaving
		}
		list = append(list, m)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	d.snapshot = list
	return list
}

// Members returns the members that are not dead, in the order of Snapshot.
func (d *Detector) Members() []Member {
	var list []Member
	for _, m := range d.Snapshot() {
		if m.State != StateDead {
			list = append(list, m)
		}
	}
	return list
}

// Lookup returns the row of an instance.
func (d *Detector) Lookup(id uint64) (Member, bool) {
	r, ok := d.rows[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}
