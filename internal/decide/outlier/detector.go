package outlier

import "time"

// Detector detects outliers among the engines of one pool. It is not safe for concurrent use, and
// the times passed to it must not run backwards.
type Detector struct {
	cfg     Config
	engines map[uint64]*engine
	// scratch is the reused buffer in which the median is computed.
	scratch []float64
	// suppressed counts the ejections that the cap prevented.
	suppressed int
}

// NewDetector returns a detector without engines.
func NewDetector(cfg Config) *Detector {
	return &Detector{cfg: cfg, engines: make(map[uint64]*engine)}
}

// Join adds an engine to the pool. An engine that is new or has been forgotten may take its full
// load at once. One that left recently ramps up, more slowly with each return; if it left during an
// ejection, that ejection still runs to its end.
func (d *Detector) Join(id uint64, now time.Time) {
	e := d.engines[id]
	if e == nil {
		d.engines[id] = &engine{member: true, since: now}
		return
	}
	if e.member {
		return
	}
	e.member = true
	e.since = now
	e.flaps++
	length := backoff(d.cfg.RampTime, d.cfg.MaxEjection, e.flaps)
	e.ramp = d.newRamp(later(now, e.ramp.Start), length)
	e.ejected = e.ramp.Start.After(now)
	e.reset()
	d.enforceCap(now)
}

// Leave removes an engine from the pool. This may end ejections of other engines, since the cap is
// a share of a smaller pool afterwards.
func (d *Detector) Leave(id uint64, now time.Time) {
	e := d.engines[id]
	if e == nil || !e.member {
		return
	}
	e.member = false
	e.ejected = false
	e.since = now
	d.enforceCap(now)
}

// Observe records one observation. It ignores observations of engines that are not in the pool, and
// of ejected engines, which may still be finishing old streams. It returns an ejection only if this
// observation caused one, and nil otherwise.
func (d *Detector) Observe(o Observation) *Ejection {
	e := d.engines[o.Engine]
	if e == nil || !e.member || d.ejectedAt(e, o.Time) {
		return nil
	}
	e.observe(o, d.cfg.Smoothing)
	if e.consecutive < d.cfg.Consecutive {
		return nil
	}
	return d.eject(o.Engine, Consecutive, o.Time)
}

// Evaluate compares the engines with the pool's median, ejects the outliers, worst first, and
// forgets old ejections, flaps and engines. Call it about once a second.
func (d *Detector) Evaluate(now time.Time) []Ejection {
	d.expire(now)
	d.enforceCap(now)
	ejections := d.ejectAll(nil, d.failing(now), Failing, now)
	return d.ejectAll(ejections, d.slow(now), Slow, now)
}

func (d *Detector) ejectAll(done []Ejection, ids []uint64, cause Cause, now time.Time) []Ejection {
	for _, id := range ids {
		if ejection := d.eject(id, cause, now); ejection != nil {
			done = append(done, *ejection)
		}
	}
	return done
}

// Ejected reports whether the engine is ejected and must get no new requests.
func (d *Detector) Ejected(id uint64, now time.Time) bool {
	e := d.engines[id]
	return e != nil && d.ejectedAt(e, now)
}

// Ramp returns the share, 0 to 1, of its normal load that the engine may take. It is 0 during an
// ejection and 1 for an unknown engine.
func (d *Detector) Ramp(id uint64, now time.Time) float64 {
	e := d.engines[id]
	if e == nil {
		return 1
	}
	if d.ejectedAt(e, now) {
		return 0
	}
	return e.ramp.At(now)
}

// Suppressed returns how many ejections the cap has prevented, repeated attempts for the same
// engine included. A rising count means that the pool as a whole fails, or the path to it.
func (d *Detector) Suppressed() int {
	return d.suppressed
}

// ejectedAt reports whether e is ejected at now, and ends the ejection if its time is over.
func (d *Detector) ejectedAt(e *engine, now time.Time) bool {
	if e.ejected && !now.Before(e.ramp.Start) {
		e.ejected = false
		e.since = e.ramp.Start
	}
	return e.ejected
}

func (d *Detector) newRamp(start time.Time, length time.Duration) Ramp {
	return Ramp{Start: start, Duration: length, Steps: d.cfg.RampSteps}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// expire forgets one ejection and one flap of each engine per ForgetAfter in service, and forgets
// engines that left that long ago.
func (d *Detector) expire(now time.Time) {
	for id, e := range d.engines {
		if d.ejectedAt(e, now) || now.Sub(e.since) < d.cfg.ForgetAfter {
			continue
		}
		if !e.member {
			delete(d.engines, id)
			continue
		}
		e.since = now
		e.ejections = max(e.ejections-1, 0)
		e.flaps = max(e.flaps-1, 0)
	}
}
