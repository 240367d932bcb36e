package membership

import (
	"math"
	"sort"
	"time"
)

// maxPiggyback is the maximum number of piggybacked bytes in one packet. It keeps the size of a
// packet independent of the fleet size and of the number of pending changes.
const maxPiggyback = 400

// Rate limit on the piggybacked updates of one router. Without it, a router that learns many
// rows at once, such as after a start or a partition, would fill every packet for a while.
const (
	piggybackRate  = 2000 // bytes per second
	piggybackBurst = 2000 // bytes
)

// tokenBucket limits the rate of piggybacked bytes.
type tokenBucket struct {
	bytes float64
	at    time.Duration
}

// refill adds the tokens earned up to now, at most piggybackBurst in total.
func (b *tokenBucket) refill(now time.Duration) {
	b.bytes += (now - b.at).Seconds() * piggybackRate
	b.bytes = min(b.bytes, piggybackBurst)
	b.at = now
}

// broadcastKey identifies a pending update: the row of a member or an item. The content is
// looked up when it is sent, so a newer state replaces an older one that is still queued.
type broadcastKey struct {
	member uint64
	item   itemKey
}

type broadcast struct {
	key   broadcastKey
	sent  int
	order uint64
}

// broadcastQueue holds the updates that have not yet been sent the required number of times.
type broadcastQueue struct {
	entries map[broadcastKey]*broadcast
	order   uint64
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{entries: make(map[broadcastKey]*broadcast)}
}

func (q *broadcastQueue) empty() bool { return len(q.entries) == 0 }

// add queues a key with a send count of zero.
func (q *broadcastQueue) add(key broadcastKey) {
	q.order++
	q.entries[key] = &broadcast{key: key, order: q.order}
}

// take returns the keys that fit into budget bytes, those sent least often first and the newest
// first among these, and increments their send counts. It removes a key after limit sends. The
// size function returns 0 for a key that no longer exists.
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

// retransmitLimit returns how often one router sends one update in a fleet of n routers. It
// grows with the logarithm of n, so that the update reaches every router with high probability.
func retransmitLimit(factor, n int) int {
	return factor * int(math.Ceil(math.Log10(float64(n+1))))
}

// broadcastMember queues a row for piggybacking. A row learned through a roster exchange is
// skipped, because further exchanges spread it. The own row is always queued.
func (d *Detector) broadcastMember(id uint64) {
	if d.mergingFrom != 0 && id != d.self.ID {
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

// piggyback adds updates to the message. The rows of the instances listed in the parameter first
// are added before the queued updates, even if they exceed the rate limit. They do not count as
// sent, unless the queue selects them for this message as well.
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
	budget = min(budget, int(d.piggybackTokens.bytes))
	limit := retransmitLimit(d.opts.RetransmitFactor, d.live)
	for _, key := range d.queue.take(budget, limit, d.broadcastSize) {
		d.piggybackTokens.bytes -= float64(d.broadcastSize(key))
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
	if d.queue.empty() || d.now < d.nextGossip || d.piggybackTokens.bytes < maxPiggyback {
		return
	}
	d.nextGossip = d.now + d.opts.GossipInterval
	for _, r := range d.randomMembers(d.opts.GossipFanout, nil) {
		if d.queue.empty() {
			return
		}
		d.send(r.Address, r.ID, Gossip{})
	}
}
