// Package membership tracks the routers of the fleet: which instances are alive, suspected,
// leaving or dead.
//
// It is a SWIM failure detector. Each router probes one other router per period, asks others to
// probe when no ack arrives, suspects a member before it declares it dead, and piggybacks what
// it learns on its packets. The package is a pure state machine: time, randomness and packets
// are arguments, and it neither blocks nor starts goroutines. It is not safe for concurrent
// use.
package membership

import (
	"math/rand"
	"sort"
	"time"
)

// maxMembers bounds the table, including dead rows.
const maxMembers = 4096

// configGossipMax is the fleet size up to which a new configuration version of a member is
// gossiped. In a larger fleet, versions are learned only from pages and from packets of the
// members themselves: otherwise n members times n receivers would cost each router O(n) bytes
// per change.
const configGossipMax = 40

// row is a member together with the local state kept about it.
type row struct {
	Member
	suspicion *suspicion
	// forgetAt is when a dead row is removed.
	forgetAt time.Duration
	// changedRevision is the revision at which the state of the row that is sent to others last
	// changed. learnedFrom is the instance whose roster exchange brought that change, zero if
	// it came another way.
	changedRevision, learnedFrom uint64
}

// Detector is the membership state of one router.
type Detector struct {
	opts Options
	rng  *rand.Rand
	now  time.Duration
	self *row
	rows map[uint64]*row
	// ids are the keys of rows in ascending order, so that a run is reproducible from its seed.
	ids []uint64
	// live is the number of rows that are not dead, including self.
	live int

	probeOrder []uint64
	probe      *probe
	relays     map[uint32]relay
	nextSeq    uint32

	queue           broadcastQueue
	piggybackTokens tokenBucket
	items           itemStore
	updatedItems    []Item
	transfers       []pageTransfer
	discovery       discovery

	nextProbe   time.Duration
	nextGossip  time.Duration
	nextSync    time.Duration
	nextPage    time.Duration
	nextContact time.Duration
	// nextUnknownSync is when a packet from an unknown instance may next start a table sync.
	nextUnknownSync time.Duration
	// nextDigestReply is when a digest may next be answered with a digest.
	nextDigestReply time.Duration
	lastTick        time.Duration
	ticked          bool
	departed        bool

	events   []Event
	snapshot []Member
	// revision counts the changes visible in Snapshot.
	revision uint64
	// mergingFrom is the instance whose roster rows are being merged, zero for packets.
	mergingFrom uint64
	out         []Outgoing
}

// New returns a Detector that knows only itself. The ID of self must be random and not 0. An
// incarnation of 0 becomes 1.
func New(self Member, opts Options, rng *rand.Rand) *Detector {
	self.Incarnation = max(self.Incarnation, 1)
	d := &Detector{
		opts:            opts.withDefaults(),
		rng:             rng,
		rows:            make(map[uint64]*row),
		relays:          make(map[uint32]relay),
		queue:           newBroadcastQueue(),
		piggybackTokens: tokenBucket{bytes: maxPiggyback},
	}
	d.discovery = newDiscovery(d.opts.Seeds)
	d.self = d.insert(self)
	return d
}

// Tick advances the state to now and returns the packets to send. It should be called every few
// tens of milliseconds, and now must not go back.
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
		d.forgetDead()
	}
	return d.drainOutgoing()
}

// start randomizes the first timers, so that routers started together do not stay in step.
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

// advance moves the clock forward and detects that the process was suspended.
//
// After such a pause every timer has expired although the others answered in the meantime, so
// the router would declare all of them dead at once. Therefore the running probe is dropped and
// suspicions start over.
func (d *Detector) advance(now time.Duration) {
	d.now = max(d.now, now)
	d.piggybackTokens.refill(d.now)
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

// Handle processes a packet received from the UDP address from and returns the packets to send.
func (d *Detector) Handle(now time.Duration, from string, m Message) []Outgoing {
	d.advance(now)
	if d.departed || m.From == d.self.ID {
		return nil
	}
	if m.To != d.self.ID && !isJoinDigest(m) {
		d.sendNotMe(from, m)
		return d.drainOutgoing()
	}
	for _, u := range m.Updates {
		d.apply(u)
	}
	// The updates are applied before updateSender: the first packets of a new member contain its
	// own row, so receivers know it by now and do not start a table sync with it.
	d.updateSender(from, m)
	for _, item := range m.Items {
		// The error is ignored, and a rejected item is lost. Only invalid items and those beyond
		// MaxItems are rejected, and the router that broadcasts one gets the error from Broadcast.
		_, _ = d.acceptItem(item)
	}
	d.dispatch(from, m)
	return d.drainOutgoing()
}

// isJoinDigest reports whether m is a digest without a receiver ID, the only message that may
// omit it.
func isJoinDigest(m Message) bool {
	_, ok := m.Body.(Digest)
	return ok && m.To == 0
}

// sendNotMe replies to a packet that is addressed to another instance. Otherwise a replacement VM
// with the address of an old instance would answer the probes of that instance, and the other
// routers would regard the old instance as alive.
func (d *Detector) sendNotMe(from string, m Message) {
	if _, ok := m.Body.(NotMe); ok || m.To == 0 {
		return
	}
	d.send(from, m.From, NotMe{Wanted: m.To})
}

func (d *Detector) dispatch(from string, m Message) {
	switch b := m.Body.(type) {
	case Ping:
		d.handlePing(from, m, b)
	case Ack:
		d.handleAck(m.From, b)
	case PingRequest:
		d.handlePingRequest(from, m.From, b)
	case RelayAck:
		d.completeProbe(b.Seq, b.Target)
	case NotMe:
		d.handleNotMe(from, b)
	case Digest:
		d.handleDigest(from, m.From, b)
	}
}

// handlePing replies to a ping. If the sender regards this router as suspect or dead, the ack
// always carries its own row, ahead of other pending updates.
func (d *Detector) handlePing(from string, m Message, b Ping) {
	for _, u := range m.Updates {
		if u.ID == d.self.ID && reportsFailure(u) {
			d.send(from, m.From, Ack(b), d.self.ID)
			return
		}
	}
	d.send(from, m.From, Ack(b))
}

// updateSender records the sender's configuration version, and starts a table sync with an
// instance that is not in the table.
func (d *Detector) updateSender(from string, m Message) {
	r, ok := d.rows[m.From]
	if ok {
		d.raiseConfigVersion(r, m.ConfigVersion)
		return
	}
	if _, digest := m.Body.(Digest); digest || d.now < d.nextUnknownSync {
		return
	}
	d.sendDigest(from, m.From, false)
}

// handleNotMe declares an instance dead whose address now belongs to another one.
func (d *Detector) handleNotMe(from string, b NotMe) {
	r, ok := d.rows[b.Wanted]
	if !ok || r == d.self || r.State == StateDead || r.Address != from {
		return
	}
	d.transition(r, r.Incarnation, StateDead)
}

// send queues one packet. It includes the receiver's row if that is suspect or dead, so that
// the receiver can refute it.
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

func (d *Detector) drainOutgoing() []Outgoing {
	out := d.out
	d.out = nil
	return out
}

// randomMembers returns up to k random members that are not dead, excluding self, for which
// filter returns true. A nil filter accepts all.
func (d *Detector) randomMembers(k int, filter func(*row) bool) []*row {
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

// Leave marks this router as leaving. It is still probed and still replies.
func (d *Detector) Leave() {
	if d.self.State == StateLeaving {
		return
	}
	d.self.State = StateLeaving
	d.markChanged(d.self)
	d.nextGossip = d.now
	d.broadcastMember(d.self.ID)
	d.emit(EventSelfLeaving, d.self.Member)
}

// Depart returns the packets that announce a clean exit, so that the others need not detect it
// by probes. Afterwards the Detector sends no packets and ignores received ones.
func (d *Detector) Depart() []Outgoing {
	const notified = 4
	d.self.State = StateDead
	d.departed = true
	d.bumpRevision()
	for _, r := range d.randomMembers(notified, nil) {
		d.send(r.Address, r.ID, Gossip{}, d.self.ID)
	}
	return d.drainOutgoing()
}

// SetConfigVersion records the newest configuration version that this router has. It ignores a
// version lower than the recorded one.
func (d *Detector) SetConfigVersion(version uint64) {
	d.raiseConfigVersion(d.self, version)
}

func (d *Detector) raiseConfigVersion(r *row, version uint64) {
	if version <= r.ConfigVersion {
		return
	}
	r.ConfigVersion = version
	d.bumpRevision()
	if d.live <= configGossipMax && r.State != StateDead {
		d.broadcastMember(r.ID)
	}
}

// Self returns this router's own row.
func (d *Detector) Self() Member { return d.self.Member }

// Revision returns a number that grows whenever the result of Snapshot changes.
func (d *Detector) Revision() uint64 { return d.revision }

func (d *Detector) bumpRevision() {
	d.revision++
	d.snapshot = nil
}

// Snapshot returns all members with a name, including dead ones that are still remembered,
// sorted by name and then by ID. The slice is never modified.
func (d *Detector) Snapshot() []Member {
	if d.snapshot != nil {
		return d.snapshot
	}
	list := make([]Member, 0, len(d.ids))
	for _, id := range d.ids {
		m := d.rows[id].Member
		if !m.hasDescription() {
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

// Lookup returns the row of an instance and whether it is known.
func (d *Detector) Lookup(id uint64) (Member, bool) {
	r, ok := d.rows[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}
