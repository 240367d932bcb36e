package outlier

import "time"

// eject takes the engine out for a while, unless the cap forbids it.
func (d *Detector) eject(id uint64, cause Cause, now time.Time) *Ejection {
	members, ejected := d.count(now)
	if ejected >= d.allowed(members) {
		d.suppressed++
		return nil
	}
	e := d.engines[id]
	e.repeat++
	until := now.Add(doubled(d.cfg.BaseEjection, d.cfg.MaxEjection, e.repeat))
	e.ejected = true
	e.ramp = d.rampFrom(until, d.cfg.RampTime)
	e.clear()
	return &Ejection{Engine: id, Cause: cause, Until: until, Repeat: e.repeat}
}

// allowed is how many of n engines may be ejected at once.
func (d *Detector) allowed(n int) int {
	share := int(d.cfg.MaxEjected * float64(n))
	return min(max(share, 1), n-1)
}

// enforceCap lets those back in that would return soonest, until no more than
// the allowed number is ejected. Without it, healthy engines that leave could
// raise the ejected share of a pool without any further ejection.
func (d *Detector) enforceCap(now time.Time) {
	for {
		members, ejected := d.count(now)
		if ejected <= max(d.allowed(members), 0) {
			return
		}
		e := d.soonestBack()
		e.ejected = false
		e.since = now
		e.ramp = d.rampFrom(now, d.cfg.RampTime)
	}
}

// soonestBack returns the ejected engine that would return first; of several,
// the one with the lowest identifier, whatever the order of the map.
func (d *Detector) soonestBack() *engine {
	var soonest *engine
	var soonestID uint64
	for id, e := range d.engines {
		if !e.ejected {
			continue
		}
		c := 0
		if soonest != nil {
			c = e.ramp.Start.Compare(soonest.ramp.Start)
		}
		if soonest == nil || c < 0 || c == 0 && id < soonestID {
			soonest, soonestID = e, id
		}
	}
	return soonest
}

func (d *Detector) count(now time.Time) (members, ejected int) {
	for _, e := range d.engines {
		if !e.member {
			continue
		}
		members++
		if d.away(e, now) {
			ejected++
		}
	}
	return members, ejected
}
