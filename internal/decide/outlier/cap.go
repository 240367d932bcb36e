package outlier

import "time"

// eject ejects the engine, and returns nil if the cap forbids it.
func (d *Detector) eject(id uint64, cause Cause, now time.Time) *Ejection {
	members, ejected := d.count(now)
	if ejected >= d.ejectionLimit(members) {
		d.suppressed++
		return nil
	}
	e := d.engines[id]
	e.ejections++
	until := now.Add(backoff(d.cfg.BaseEjection, d.cfg.MaxEjection, e.ejections))
	e.ejected = true
	e.ramp = d.newRamp(until, d.cfg.RampTime)
	e.reset()
	return &Ejection{Engine: id, Cause: cause, Until: until, Count: e.ejections}
}

// ejectionLimit returns how many of n engines may be ejected at once.
func (d *Detector) ejectionLimit(n int) int {
	share := int(d.cfg.MaxEjected * float64(n))
	return min(max(share, 1), n-1)
}

// enforceCap ends ejections, those with the least time left first, until no more engines are
// ejected than the cap allows. The ejected share of a pool can exceed the cap without any further
// ejection, when healthy engines leave.
func (d *Detector) enforceCap(now time.Time) {
	for {
		members, ejected := d.count(now)
		if ejected <= max(d.ejectionLimit(members), 0) {
			return
		}
		e := d.nextToReturn()
		e.ejected = false
		e.since = now
		e.ramp = d.newRamp(now, d.cfg.RampTime)
	}
}

// nextToReturn returns the ejected engine whose ejection ends first. Ties go to the lowest
// identifier, so that the result does not depend on the order of the map.
func (d *Detector) nextToReturn() *engine {
	var next *engine
	var nextID uint64
	for id, e := range d.engines {
		if !e.ejected {
			continue
		}
		c := 0
		if next != nil {
			c = e.ramp.Start.Compare(next.ramp.Start)
		}
		if next == nil || c < 0 || c == 0 && id < nextID {
			next, nextID = e, id
		}
	}
	return next
}

func (d *Detector) count(now time.Time) (members, ejected int) {
	for _, e := range d.engines {
		if !e.member {
			continue
		}
		members++
		if d.ejectedAt(e, now) {
			ejected++
		}
	}
	return members, ejected
}
