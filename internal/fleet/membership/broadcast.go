package membership

import (
	"math"
	"sort"
	"time"
)

// maxPiggyback bounds the piggybacked bytes of one packet, so that the cost of
// a packet does not depend on the fleet size or on how much is changing.
const maxPiggyback = 400

// The rate at which one router spends bytes on piggybacked updates, and what
// it may save up. Without it, a router that learns many rows at once, as after
// a start or a partition, would fill every packet with them for a while.
const (
	piggybackRate  = 2000 // bytes per second
	piggybackBurst = 2000 // bytes
)

// allowance is a token bucket of piggybacked bytes.
type allowance struct {
	bytes float64
	at    time.Duration
}

// refill brings the bucket to the time now.
func (a *allowance) refill(now time.Duration) {
	a.bytes += (now - a.at).Seconds() * piggybackRate
	a.bytes = min(a.bytes, piggybackBurst)
	a.at = now
}

// broadcastKey names what is being spread: the row of a member or an item.
// The content is looked up when it is sent, so that a newer state replaces an
// older one that still waits.
type broadcastKey struct {
	member uint64
	item   itemKey
}

type broadcast struct {
	key   broadcastKey
	sent  int
	order uint64
}

// broadcastQueue holds the updates that have not yet been sent often enough.
type broadcastQueue struct {
	entries map[broadcastKey]*broadcast
	order   uint64
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{entries: make(map[broadcastKey]*broadcast)}
}

func (q *broadcastQueue) empty() bool { return len(q.entries) == 0 }

// add puts a key into the queue as not sent yet.
func (q *broadcastQueue) add(key broadcastKey) {
	q.order++
	q.entries[key] = &broadcast{key: key, order: q.order}
}

// take returns keys that fit into budget bytes, the least sent and then the
// newest first, and counts them as sent. Keys sent limit times are dropped.
// The size function returns 0 for a key that no longer exists.
func (q *broadcastQueue) take(budget, limit int, size func(broadcastKey) int) []broadcastKey {
	var taken []broadcastKey
	for _, b := range q.sorted() {
		n := size(b.key)
		if n == 0 {
			delete(q.entries, b.key)
			continue
		}
		if n > budget {
			continue
		}
		budget -= n
		taken = append(taken, b.key)
		b.sent++
		if b.sent >= limit {
			delete(q.entries, b.key)
		}
	}
	return taken
}

func (q *broadcastQueue) sorted() []*broadcast {
	list := make([]*broadcast, 0, len(q.entries))
	for _, b := range q.entries {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].sent != list[j].sent {
			return list[i].sent < list[j].sent
		}
		return list[i].order > list[j].order
	})
	return list
}

// retransmits is how often one update is sent by one router in a fleet of n:
// enough to reach everyone with high probability, logarithmic in n.
func retransmits(factor, n int) int {
	return factor * int(math.Ceil(math.Log10(float64(n+1))))
}

// broadcastMember spreads a row by packets, unless a call has brought it and takes it further.
// Own rows go by both.
func (d *Detector) broadcastMember(id uint64) {
	if d.learning != 0 && id != d.self.ID {
		return
	}
	d.queue.add(broadcastKey{member: id})
}

func (d *Detector) broadcastSize(key broadcastKey) int {
	if key.member == 0 {
		return d.items.get(key.item).encodedSize()
	}
	r, ok := d.rows[key.member]
	if !ok {
		return 0
	}
	return r.compact().encodedSize()
}

// piggyback fills the message with updates. Rows named in first go ahead of
// the queue and are not counted as sent.
func (d *Detector) piggyback(m *Message, first ...uint64) {
	budget := maxPiggyback
	listed := make(map[uint64]bool, len(first))
	for _, id := range first {
		r, ok := d.rows[id]
		if !ok || listed[id] {
			continue
		}
		listed[id] = true
		u := r.compact()
		budget -= u.encodedSize()
		m.Updates = append(m.Updates, u)
	}
	budget = min(budget, int(d.allowed.bytes))
	limit := retransmits(d.opts.RetransmitFactor, d.live)
	for _, key := range d.queue.take(budget, limit, d.broadcastSize) {
		d.allowed.bytes -= float64(d.broadcastSize(key))
		d.appendBroadcast(m, key, listed)
	}
}

func (d *Detector) appendBroadcast(m *Message, key broadcastKey, listed map[uint64]bool) {
	if key.member == 0 {
		m.Items = append(m.Items, d.items.get(key.item))
		return
	}
	if !listed[key.member] {
		m.Updates = append(m.Updates, d.rows[key.member].compact())
	}
}

// gossip sends pending updates to a few random members.
func (d *Detector) gossip() {
	if d.queue.empty() || d.now < d.nextGossip || d.allowed.bytes < maxPiggyback {
		return
	}
	d.nextGossip = d.now + d.opts.GossipInterval
	for _, r := range d.pick(d.opts.GossipFanout, nil) {
		if d.queue.empty() {
			return
		}
		d.send(r.Address, r.ID, Gossip{})
	}
}
