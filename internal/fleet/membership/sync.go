package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// pageBytes bounds the rows of one page, so that a page fits one packet.
const pageBytes = 1000

// maxPageJobs bounds the transfers under way. A transfer that finds no room is
// made up for by the next digest.
const maxPageJobs = 16

// itemsBucket is the bit of the items in a mask of differing buckets; the bits
// below it stand for the buckets of members.
const itemsBucket = DigestBuckets

// inviteInterval is the least time after a digest of this router before it
// answers another one by its own. Each digest invites pages: without the
// bound, a newcomer that many routers ask at once gets the table from each.
const inviteInterval = time.Second

// pageJob is a transfer of part of the table to one member, one page at a
// time. Pages are paced, so that a fresh router in a large fleet costs its
// peer no more than the budget allows.
type pageJob struct {
	to   string
	id   uint64
	mask uint32
	// after is the last member ID sent, and items counts the items sent.
	after uint64
	items int
}

// bucketOf takes the top bits, so that rows sorted by ID are sorted by bucket.
func bucketOf(id uint64) int { return int(id >> 60) }

// rowHash covers what has to agree between routers. Suspicion is left out, as
// it passes; dead rows are too, as they are forgotten at different times; so
// is the configuration version, which travels by other ways.
func rowHash(m Member) uint64 {
	var buf [17]byte
	binary.BigEndian.PutUint64(buf[0:], m.ID)
	binary.BigEndian.PutUint64(buf[8:], m.Incarnation)
	buf[16] = byte(m.State.settled())
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

// sync sends a digest to one random member every SyncPeriod.
func (d *Detector) sync() {
	if d.now < d.nextSync {
		return
	}
	d.nextSync = d.now + d.opts.SyncPeriod/2 + d.jitter(d.opts.SyncPeriod)
	for _, r := range d.pick(1, nil) {
		d.sendDigest(r.Address, r.ID, false)
	}
}

// sendDigest sends a digest with this router's own row, so that the receiver
// knows to whom it answers.
func (d *Detector) sendDigest(to string, id uint64, reply bool) {
	d.strangerSyncAt = d.now + d.opts.SyncPeriod/2
	d.nextInvite = d.now + inviteInterval
	g := d.digest()
	g.Reply = reply
	d.send(to, id, g, d.self.ID)
}

// handleDigest starts a transfer of the buckets that differ. The first
// receiver sends its own digest back, so that the other side does the same.
func (d *Detector) handleDigest(from string, id uint64, theirs Digest) {
	mask := d.digest().differing(theirs)
	if mask == 0 {
		return
	}
	if !theirs.Reply && d.now >= d.nextInvite {
		d.sendDigest(from, id, true)
	}
	job := pageJob{to: from, id: id, mask: mask}
	n := slices.IndexFunc(d.pages, func(j pageJob) bool { return j.id == id })
	switch {
	case n >= 0:
		d.pages[n] = job
	case len(d.pages) < maxPageJobs:
		d.pages = append(d.pages, job)
	}
}

// sendPage sends the next page of the oldest transfer.
func (d *Detector) sendPage() {
	if len(d.pages) == 0 || d.now < d.nextPage {
		return
	}
	d.nextPage = d.now + d.opts.PageInterval
	job := d.pages[0]
	d.pages = d.pages[1:]
	m := Message{From: d.self.ID, To: job.id, ConfigVersion: d.self.ConfigVersion, Body: Page{}}
	done := d.fillPage(&m, &job)
	if len(m.Updates)+len(m.Items) > 0 {
		d.out = append(d.out, Outgoing{To: job.to, Message: m})
	}
	if !done {
		d.pages = append(d.pages, job)
	}
}

// fillPage appends rows and items after the job's position and reports whether
// nothing is left.
func (d *Detector) fillPage(m *Message, job *pageJob) bool {
	budget := pageBytes
	start, found := slices.BinarySearch(d.ids, job.after)
	if found {
		start++
	}
	for _, id := range d.ids[start:] {
		r := d.rows[id]
		if job.mask&(1<<bucketOf(id)) == 0 || !d.sharedTombstone(r) {
			continue
		}
		budget -= r.encodedSize()
		if budget < 0 {
			return false
		}
		m.Updates = append(m.Updates, pageRow(r.Member))
		job.after = id
	}
	return d.fillItems(m, job, budget)
}

// pageRow is a row as it goes into a page: in full, but a dead one compact.
func pageRow(m Member) Member {
	if m.State == StateDead {
		return m.compact()
	}
	return m
}

// sharedTombstone reports whether a row belongs into pages. Dead rows do only
// in the first half of the time they are remembered; see applyNew.
func (d *Detector) sharedTombstone(r *row) bool {
	return r.State != StateDead || r.forgetAt-d.now > d.opts.DeadRetention/2
}

func (d *Detector) fillItems(m *Message, job *pageJob, budget int) bool {
	if job.mask&(1<<itemsBucket) == 0 {
		return true
	}
	for job.items < len(d.items.list) {
		item := d.items.list[job.items]
		budget -= item.encodedSize()
		if budget < 0 {
			return false
		}
		m.Items = append(m.Items, item)
		job.items++
	}
	return true
}
