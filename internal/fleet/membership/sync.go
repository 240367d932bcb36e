package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// maxPageBytes bounds the rows and items of one page, so that a page fits into one packet.
const maxPageBytes = 1000

// maxTransfers bounds the pending transfers. A transfer beyond it is dropped, and the next
// digest makes up for it.
const maxTransfers = 16

// itemsBucket is the number of the bit that is set in a mask of differing digest buckets if the
// items differ. The lower bits are for the buckets of members.
const itemsBucket = DigestBuckets

// digestReplyInterval is the minimum time between any digest sent by this router and a digest
// sent in reply. Each digest causes the receiver to send pages, so without this limit a new
// router would get the whole table from every router that sends it a digest.
const digestReplyInterval = time.Second

// pageTransfer is a transfer of part of the table to one member, page by page. Pages are paced,
// so that a new router in a large fleet does not cost its peer more bytes than the traffic
// budget allows.
type pageTransfer struct {
	to   string
	id   uint64
	mask uint32
	// after is the last member ID that was sent, items the number of items sent.
	after uint64
	items int
}

// bucketOf returns the digest bucket of an instance. It uses the top bits, so that rows sorted
// by ID are also sorted by bucket.
func bucketOf(id uint64) int { return int(id >> 60) }

// rowHash hashes the fields that must agree between routers. It leaves out suspicions, which
// are temporary, and the configuration version, which spreads in other ways. Dead rows are left
// out of the digest altogether, because routers forget them at different times.
func rowHash(m Member) uint64 {
	var buf [17]byte
	binary.BigEndian.PutUint64(buf[0:], m.ID)
	binary.BigEndian.PutUint64(buf[8:], m.Incarnation)
	buf[16] = byte(m.State.withoutSuspicion())
	return xxh3.Hash(buf[:])
}

func (d *Detector) digest() Digest {
	var g Digest
	for _, id := range d.ids {
		if r := d.rows[id]; r.State != StateDead {
			g.Members[bucketOf(id)] ^= uint32(rowHash(r.Member))
		}
	}
	g.Items = d.items.digest()
	return g
}

// differing returns the mask of the buckets in which two digests differ.
func (g Digest) differing(other Digest) uint32 {
	var mask uint32
	for n := range g.Members {
		if g.Members[n] != other.Members[n] {
			mask |= 1 << n
		}
	}
	if g.Items != other.Items {
		mask |= 1 << itemsBucket
	}
	return mask
}

// sync sends a digest to a random member, on average once every SyncPeriod.
func (d *Detector) sync() {
	if d.now < d.nextSync {
		return
	}
	d.nextSync = d.now + d.opts.SyncPeriod/2 + d.jitter(d.opts.SyncPeriod)
	for _, r := range d.randomMembers(1, nil) {
		d.sendDigest(r.Address, r.ID, false)
	}
}

// sendDigest sends a digest together with this router's own row, so that the receiver knows the
// instance it replies to.
func (d *Detector) sendDigest(to string, id uint64, reply bool) {
	d.nextUnknownSync = d.now + d.opts.SyncPeriod/2
	d.nextDigestReply = d.now + digestReplyInterval
	g := d.digest()
	g.Reply = reply
	d.send(to, id, g, d.self.ID)
}

// handleDigest starts a transfer of the differing buckets to the sender of a digest. If the digest
// is not itself a reply, this router replies with its own digest, so that the sender transfers its
// rows as well. It sends no reply within digestReplyInterval of the last digest that it sent.
func (d *Detector) handleDigest(from string, id uint64, remote Digest) {
	mask := d.digest().differing(remote)
	if mask == 0 {
		return
	}
	if !remote.Reply && d.now >= d.nextDigestReply {
		d.sendDigest(from, id, true)
	}
	transfer := pageTransfer{to: from, id: id, mask: mask}
	n := slices.IndexFunc(d.transfers, func(t pageTransfer) bool { return t.id == id })
	switch {
	case n >= 0:
		d.transfers[n] = transfer
	case len(d.transfers) < maxTransfers:
		d.transfers = append(d.transfers, transfer)
	}
}

// sendPage sends the next page of the transfer that has waited longest.
func (d *Detector) sendPage() {
	if len(d.transfers) == 0 || d.now < d.nextPage {
		return
	}
	d.nextPage = d.now + d.opts.PageInterval
	transfer := d.transfers[0]
	d.transfers = d.transfers[1:]
	m := Message{From: d.self.ID, To: transfer.id, ConfigVersion: d.self.ConfigVersion, Body: Page{}}
	done := d.fillPage(&m, &transfer)
	if len(m.Updates)+len(m.Items) > 0 {
		d.out = append(d.out, Outgoing{To: transfer.to, Message: m})
	}
	if !done {
		d.transfers = append(d.transfers, transfer)
	}
}

// fillPage adds the rows and items after the transfer's position to m and reports whether the
// transfer is complete.
func (d *Detector) fillPage(m *Message, transfer *pageTransfer) bool {
	budget := maxPageBytes
	start, found := slices.BinarySearch(d.ids, transfer.after)
	if found {
		start++
	}
	for _, id := range d.ids[start:] {
		r := d.rows[id]
		if transfer.mask&(1<<bucketOf(id)) == 0 || !d.belongsInPages(r) {
			continue
		}
		budget -= r.encodedSize()
		if budget < 0 {
			return false
		}
		m.Updates = append(m.Updates, pageRow(r.Member))
		transfer.after = id
	}
	return d.fillItems(m, transfer, budget)
}

// pageRow returns a row as sent in pages and roster exchanges: in full, or compact if it is
// dead.
func pageRow(m Member) Member {
	if m.State == StateDead {
		return m.compact()
	}
	return m
}

// belongsInPages reports whether a row is sent to others in pages and roster exchanges. A dead
// row is sent only during the first half of the time it is remembered; see applyNew.
func (d *Detector) belongsInPages(r *row) bool {
	return r.State != StateDead || r.forgetAt-d.now > d.opts.DeadRetention/2
}

func (d *Detector) fillItems(m *Message, transfer *pageTransfer, budget int) bool {
	if transfer.mask&(1<<itemsBucket) == 0 {
		return true
	}
	for transfer.items < len(d.items.list) {
		item := d.items.list[transfer.items]
		budget -= item.encodedSize()
		if budget < 0 {
			return false
		}
		m.Items = append(m.Items, item)
		transfer.items++
	}
	return true
}
