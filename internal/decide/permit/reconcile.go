package permit

import (
	"slices"
	"time"
)

// holderMemory is how long a holder without permits is remembered. Its last
// sequence number keeps out reports that are still under way.
const holderMemory = 2 * time.Minute

// Holdings takes in a holder's list of unfinished requests. Permits that the
// book does not know are adopted; permits that the holder no longer has are
// dropped, since their release must have been lost.
func (b *Book) Holdings(now time.Time, r HolderReport) Reconciled {
	if b.checkIncarnation(r.Incarnation) != nil {
		return Reconciled{Stale: true}
	}
	if h := b.holders[r.Holder]; h != nil && r.Seq <= h.seq {
		return Reconciled{Stale: true}
	}
	h := b.hear(now, r.Holder)
	h.seq = r.Seq
	delete(b.awaited, r.Holder)
	res := Reconciled{Adopted: b.adopt(now, r)}
	res.Dropped = b.dropMissing(now, r)
	return res
}

// RouterDead notes that a router was lost. Its permits stay: the engine may
// still run the work. The engine's reports end them.
func (b *Book) RouterDead(now time.Time, name string) {
	delete(b.awaited, name)
	b.hear(now, name).dead = true
	for _, rec := range b.permits {
		if rec.permit.Holder == name && rec.orphaned.IsZero() {
			rec.orphaned = now
		}
	}
}

// RouterAlive notes that a router taken for dead is back. Its next report says
// which of its permits it still holds.
func (b *Book) RouterAlive(now time.Time, name string) {
	b.hear(now, name).dead = false
}

// EngineReport takes in the engine's own load. A report of a newer incarnation
// empties the book; one that is older than the last is ignored.
func (b *Book) EngineReport(now time.Time, l EngineLoad) Reconciled {
	taken := now.Add(-l.Age)
	if l.Incarnation < b.incarnation {
		return Reconciled{Stale: true}
	}
	if l.Incarnation > b.incarnation {
		return b.restart(now, l)
	}
	if taken.Before(b.engine.taken) {
		return Reconciled{Stale: true}
	}
	b.engine = engineView{EngineLoad: l, taken: taken, arrived: now}
	b.orphanSilent(now)
	dropped := b.dropOrphans(now)
	b.forgetHolders(now)
	return Reconciled{Dropped: dropped}
}

// restart empties the book for a new incarnation, which runs nothing that was
// granted before.
func (b *Book) restart(now time.Time, l EngineLoad) Reconciled {
	res := Reconciled{Dropped: len(b.permits)}
	clear(b.permits)
	b.weight = 0
	b.incarnation = l.Incarnation
	b.engine = engineView{EngineLoad: l, taken: now.Add(-l.Age), arrived: now}
	return res
}

// adopt adds the permits that only the holder knows of.
func (b *Book) adopt(now time.Time, r HolderReport) int {
	n := 0
	for _, held := range r.Held {
		if rec, ok := b.permits[held.ID]; ok {
			b.claim(rec, r.Holder)
			continue
		}
		if _, ok := b.done.get(held.ID); ok {
			// The report left before the release and was overtaken by it.
			continue
		}
		b.add(now, Permit{
			ID:          held.ID,
			Holder:      r.Holder,
			Weight:      max(held.Weight, 1),
			Incarnation: b.incarnation,
		})
		n++
	}
	return n
}

// claim marks a permit as seen with the holder, which may have taken the
// stream over from another router.
func (b *Book) claim(rec *record, by string) {
	rec.permit.Holder = by
	rec.misses = 0
	if !b.holders[by].dead {
		rec.orphaned = time.Time{}
	}
}

// dropMissing drops the holder's permits that it has ceased to report. A young
// permit is left alone: its grant may not have reached the holder when it took
// its list.
func (b *Book) dropMissing(now time.Time, r HolderReport) int {
	listed := make(map[string]struct{}, len(r.Held))
	for _, held := range r.Held {
		listed[held.ID] = struct{}{}
	}
	n := 0
	for id, rec := range b.permits {
		if rec.permit.Holder != r.Holder || now.Sub(rec.granted) <= b.cfg.Settle {
			continue
		}
		if _, ok := listed[id]; ok {
			continue
		}
		rec.misses++
		if rec.misses >= dropAfterMisses {
			b.remove(rec)
			n++
		}
	}
	return n
}

// orphanSilent treats holders that have not been heard of as dead. Without it
// a grant to a router whose death the owner never learned of would count for
// good.
func (b *Book) orphanSilent(now time.Time) {
	for _, rec := range b.permits {
		if !rec.orphaned.IsZero() {
			continue
		}
		h := b.holders[rec.permit.Holder]
		if h == nil || h.dead || now.Sub(h.heard) > b.cfg.Silence {
			rec.orphaned = now
		}
	}
}

// dropOrphans ends permits of dead holders by the engine's report.
func (b *Book) dropOrphans(now time.Time) int {
	orphans := b.settledOrphans()
	if b.engine.listed() {
		return b.dropUnlisted(orphans)
	}
	return b.dropBeyondCount(now, orphans)
}

// settledOrphans returns, oldest first, the orphans whose work must have
// reached the engine before its report if it did so at all.
func (b *Book) settledOrphans() []*record {
	var orphans []*record
	limit := b.engine.taken.Add(-b.cfg.Settle)
	for _, rec := range b.permits {
		if rec.orphaned.IsZero() || rec.orphaned.After(limit) || rec.granted.After(limit) {
			continue
		}
		orphans = append(orphans, rec)
	}
	slices.SortFunc(orphans, func(x, y *record) int { return x.granted.Compare(y.granted) })
	return orphans
}

// dropUnlisted drops the orphans that the engine does not name.
func (b *Book) dropUnlisted(orphans []*record) int {
	n := 0
	for _, rec := range orphans {
		if slices.Contains(b.engine.IDs, rec.permit.ID) {
			continue
		}
		b.remove(rec)
		n++
	}
	return n
}

// dropBeyondCount drops the oldest orphans that do not fit into the engine's
// count next to the work of live holders, and those that have grown too old.
func (b *Book) dropBeyondCount(now time.Time, orphans []*record) int {
	keep := max(0, b.engine.Count-b.settledLive())
	n := 0
	for i, rec := range orphans {
		fits := len(orphans)-i <= keep
		if fits && now.Sub(rec.orphaned) < b.cfg.OrphanTTL {
			continue
		}
		b.remove(rec)
		n++
	}
	return n
}

// settledLive counts the permits of live holders that the engine's report
// must include.
func (b *Book) settledLive() int {
	n := 0
	limit := b.engine.taken.Add(-b.cfg.Settle)
	for _, rec := range b.permits {
		if rec.orphaned.IsZero() && !rec.granted.After(limit) {
			n++
		}
	}
	return n
}

// forgetHolders bounds the memory by the holders of late.
func (b *Book) forgetHolders(now time.Time) {
	inUse := map[string]struct{}{}
	for _, rec := range b.permits {
		inUse[rec.permit.Holder] = struct{}{}
	}
	for name, h := range b.holders {
		if _, ok := inUse[name]; !ok && now.Sub(h.heard) > holderMemory {
			delete(b.holders, name)
		}
	}
}
