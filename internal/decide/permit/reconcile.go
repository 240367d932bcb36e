package permit

import (
	"slices"
	"time"
)

// holderTTL is how long a holder without permits is remembered. Its last sequence number rejects
// reports that are still in transit.
const holderTTL = 2 * time.Minute

// ApplyHolderReport applies a holder's list of unfinished requests. It adopts unknown permits, and drops
// those that the holder no longer has, since their release must have been lost.
func (b *Ledger) ApplyHolderReport(now time.Time, r HolderReport) Changes {
	if b.checkIncarnation(r.Incarnation) != nil {
		return Changes{Stale: true}
	}
	if h := b.holders[r.Holder]; h != nil && r.Seq <= h.seq {
		return Changes{Stale: true}
	}
	h := b.noteContact(now, r.Holder)
	h.seq = r.Seq
	delete(b.awaited, r.Holder)
	res := Changes{Adopted: b.adopt(now, r)}
	res.Dropped = b.dropMissing(now, r)
	return res
}

// MarkRouterDead records that a router is dead. Its permits remain until a report of the engine
// shows that the requests have ended, since the engine may still execute them.
func (b *Ledger) MarkRouterDead(now time.Time, name string) {
	delete(b.awaited, name)
	b.noteContact(now, name).dead = true
	for _, rec := range b.permits {
		if rec.permit.Holder == name && rec.orphanedAt.IsZero() {
			rec.orphanedAt = now
		}
	}
}

// MarkRouterAlive records that a router declared dead is alive. Its next report lists the permits that
// it still holds.
func (b *Ledger) MarkRouterAlive(now time.Time, name string) {
	b.noteContact(now, name).dead = false
}

// ApplyEngineReport applies the load that the engine reports. A report of a newer incarnation removes
// all permits; a report older than the last one is ignored.
func (b *Ledger) ApplyEngineReport(now time.Time, l EngineLoad) Changes {
	measuredAt := now.Add(-l.Age)
	if l.Incarnation < b.incarnation {
		return Changes{Stale: true}
	}
	if l.Incarnation > b.incarnation {
		return b.reset(now, l)
	}
	if measuredAt.Before(b.engine.measuredAt) {
		return Changes{Stale: true}
	}
	b.engine = engineReport{EngineLoad: l, measuredAt: measuredAt, receivedAt: now}
	b.orphanSilent(now)
	dropped := b.dropOrphans(now)
	b.forgetHolders(now)
	return Changes{Dropped: dropped}
}

// reset removes all permits when a new incarnation reports, since it executes none of the requests
// that were granted before.
func (b *Ledger) reset(now time.Time, l EngineLoad) Changes {
	res := Changes{Dropped: len(b.permits)}
	clear(b.permits)
	b.weight = 0
	b.incarnation = l.Incarnation
	b.engine = engineReport{EngineLoad: l, measuredAt: now.Add(-l.Age), receivedAt: now}
	return res
}

// adopt adds the permits that only the holder knows, and returns their number.
func (b *Ledger) adopt(now time.Time, r HolderReport) int {
	n := 0
	for _, held := range r.Held {
		if rec, ok := b.permits[held.ID]; ok {
			b.assign(rec, r.Holder)
			continue
		}
		if _, ok := b.released.get(held.ID); ok {
			// The release overtook the report.
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

// assign records that the holder has the permit. The holder may have resumed a stream that another
// router began.
func (b *Ledger) assign(rec *record, holder string) {
	rec.permit.Holder = holder
	rec.missedReports = 0
	if !b.holders[holder].dead {
		rec.orphanedAt = time.Time{}
	}
}

// dropMissing drops the holder's permits that it no longer reports, and returns their number. It
// keeps a permit younger than ReportDelay, whose grant may not have reached the holder when it
// compiled the report.
func (b *Ledger) dropMissing(now time.Time, r HolderReport) int {
	listed := make(map[string]struct{}, len(r.Held))
	for _, held := range r.Held {
		listed[held.ID] = struct{}{}
	}
	n := 0
	for id, rec := range b.permits {
		if rec.permit.Holder != r.Holder || now.Sub(rec.grantedAt) <= b.cfg.ReportDelay {
			continue
		}
		if _, ok := listed[id]; ok {
			continue
		}
		rec.missedReports++
		if rec.missedReports >= dropAfterMissedReports {
			b.remove(rec)
			n++
		}
	}
	return n
}

// orphanSilent treats holders that have sent no message for SilenceTimeout as dead. Otherwise a
// grant to a router that died unknown to the owner would count permanently.
func (b *Ledger) orphanSilent(now time.Time) {
	for _, rec := range b.permits {
		if !rec.orphanedAt.IsZero() {
			continue
		}
		h := b.holders[rec.permit.Holder]
		if h == nil || h.dead || now.Sub(h.lastContact) > b.cfg.SilenceTimeout {
			rec.orphanedAt = now
		}
	}
}

// dropOrphans drops permits of dead holders that the engine's report shows to have ended.
func (b *Ledger) dropOrphans(now time.Time) int {
	orphans := b.reportableOrphans()
	if b.engine.listsRequests() {
		return b.dropUnlisted(orphans)
	}
	return b.dropBeyondCount(now, orphans)
}

// reportableOrphans returns, oldest first, the orphans whose requests must have reached the engine
// before its report if they reached it at all.
func (b *Ledger) reportableOrphans() []*record {
	var orphans []*record
	limit := b.engine.measuredAt.Add(-b.cfg.ReportDelay)
	for _, rec := range b.permits {
		if rec.orphanedAt.IsZero() || rec.orphanedAt.After(limit) || rec.grantedAt.After(limit) {
			continue
		}
		orphans = append(orphans, rec)
	}
	slices.SortFunc(orphans, func(x, y *record) int { return x.grantedAt.Compare(y.grantedAt) })
	return orphans
}

// dropUnlisted drops the orphans that the engine does not list.
func (b *Ledger) dropUnlisted(orphans []*record) int {
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

// dropBeyondCount handles a report that gives only the number of requests. That number less the
// requests of live holders is how many orphans can still run; it drops the oldest ones beyond that,
// and those orphaned for OrphanTTL or longer.
func (b *Ledger) dropBeyondCount(now time.Time, orphans []*record) int {
	keep := max(0, b.engine.Count-b.reportableLive())
	n := 0
	for i, rec := range orphans {
		fits := len(orphans)-i <= keep
		if fits && now.Sub(rec.orphanedAt) < b.cfg.OrphanTTL {
			continue
		}
		b.remove(rec)
		n++
	}
	return n
}

// reportableLive returns the number of permits of live holders that the engine's report must
// include.
func (b *Ledger) reportableLive() int {
	n := 0
	limit := b.engine.measuredAt.Add(-b.cfg.ReportDelay)
	for _, rec := range b.permits {
		if rec.orphanedAt.IsZero() && !rec.grantedAt.After(limit) {
			n++
		}
	}
	return n
}

// forgetHolders forgets the holders without permits and without contact for holderTTL, to bound the
// memory.
func (b *Ledger) forgetHolders(now time.Time) {
	inUse := map[string]struct{}{}
	for _, rec := range b.permits {
		inUse[rec.permit.Holder] = struct{}{}
	}
	for name, h := range b.holders {
		if _, ok := inUse[name]; !ok && now.Sub(h.lastContact) > holderTTL {
			delete(b.holders, name)
		}
	}
}
