package outlier

import "time"

// Detector watches the engines of one pool.
type Detector struct {
	cfg     Config
	engines map[uint64]*engine
	// scratch holds the averages while the median is sought.
	scratch []float64
	// suppressed counts the ejections that the cap prevented.
	suppressed int
}

// NewDetector returns a detector without engines.
func NewDetector(cfg Config) *Detector {
	return &Detector{cfg: cfg, engines: make(map[uint64]*engine)}
}

// Join adds an engine to the pool. One not seen before, or forgotten, is in
// full service at once. One that has left recently returns in steps, which
// grow longer with each return; an ejection it left under isn't shortened.
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
	length := doubled(d.cfg.RampTime, d.cfg.MaxEjection, e.flaps)
	e.ramp = d.rampFrom(later(now, e.ramp.Start), length)
	e.ejected = e.ramp.Start.After(now)
	e.clear()
	d.enforceCap(now)
}

// Leave takes an engine out of the pool. Others may have to be let back in,
// since the cap is a share of a smaller pool now.
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

// Observe feeds one observation. Observations of engines that aren't in the
// pool, or are ejected and finishing old streams, are ignored. The ejection is
// nil unless this one was the last straw.
func (d *Detector) Observe(o Observation) *Ejection {
	e := d.engines[o.Engine]
	if e == nil || !e.member || d.away(e, o.Time) {
		return nil
	}
	e.feed(o, d.cfg.Smoothing)
	if e.inARow < d.cfg.Consecutive {
		return nil
	}
	return d.eject(o.Engine, Consecutive, o.Time)
}

// Evaluate compares the engines with the pool's median, ejects the outliers,
// worst first, and forgets what is old. Call it about once a second.
func (d *Detector) Evaluate(now time.Time) []Ejection {
	d.expire(now)
	d.enforceCap(now)
	ejections := d.ejectAll(nil, d.failing(now), Failing, now)
	return d.ejectAll(ejections, d.slow(now), Slow, now)
}

func (d *Detector) ejectAll(done []Ejection, ids []uint64, cause Cause, now time.Time) []Ejection {
	for _, id := range ids {
		if ej := d.eject(id, cause, now); ej != nil {
			done = append(done, *ej)
		}
	}
	return done
}

// Ejected says whether the engine must get no work now.
func (d *Detector) Ejected(id uint64, now time.Time) bool {
	e := d.engines[id]
	return e != nil && d.away(e, now)
}

// Ramp returns the share, 0 to 1, of its normal load that the engine may take.
// It is 0 during an ejection and 1 for an engine that isn't known.
func (d *Detector) Ramp(id uint64, now time.Time) float64 {
	e := d.engines[id]
	if e == nil {
		return 1
	}
	if d.away(e, now) {
		return 0
	}
	return e.ramp.At(now)
}

// Suppressed returns how many attempts at an ejection the cap has prevented,
// repeated ones of the same engine included. A rising count
// means that the pool as a whole is in trouble, or the path to it.
func (d *Detector) Suppressed() int {
	return d.suppressed
}

// away says whether e is ejected at now, ending the ejection once it is over.
func (d *Detector) away(e *engine, now time.Time) bool {
	if e.ejected && !now.Before(e.ramp.Start) {
		e.ejected = false
		e.since = e.ramp.Start
	}
	return e.ejected
}

func (d *Detector) rampFrom(start time.Time, length time.Duration) Ramp {
	return Ramp{Start: start, Time: length, Steps: d.cfg.RampSteps}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// expire forgets one ejection and one flap of each engine for every
// ForgetAfter in service, and engines that have been gone that long.
func (d *Detector) expire(now time.Time) {
	for id, e := range d.engines {
		if d.away(e, now) || now.Sub(e.since) < d.cfg.ForgetAfter {
			continue
		}
		if !e.member {
			delete(d.engines, id)
			continue
		}
		e.since = now
		e.repeat = max(e.repeat-1, 0)
		e.flaps = max(e.flaps-1, 0)
	}
}
