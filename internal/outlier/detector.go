package outlier

import (
	"cmp"
	"slices"
	"time"
)

// Detector watches the engines of one pool.
type Detector struct {
	cfg     Config
	engines map[uint64]*engine
	// scratch holds the averages while the median is sought.
	scratch []float64
	// suppressed counts the ejections that the cap prevented.
	suppressed int
}

// engine is the state of one engine. It outlives the engine's membership by
// ForgetAfter, so that one which flaps is recognised when it is back.
type engine struct {
	member bool
	// since is when the engine joined, left, or last had a repeat forgotten.
	since time.Time
	// inARow counts stalls and failures since the last success.
	inARow  int
	average float64
	samples int
	ejected bool
	// repeat counts ejections, flaps the returns to the pool.
	repeat, flaps int
	// ramp starts when an ejection ends or the engine comes back.
	ramp Ramp
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
	limit, ok := d.slowLimit(now)
	if !ok {
		return nil
	}
	var ejections []Ejection
	for _, id := range d.slowerThan(limit, now) {
		if ej := d.eject(id, Slow, now); ej != nil {
			ejections = append(ejections, *ej)
		}
	}
	return ejections
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

// Suppressed returns how many ejections the cap has prevented. A rising count
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

func (d *Detector) soonestBack() *engine {
	var soonest *engine
	for _, e := range d.engines {
		if !e.ejected {
			continue
		}
		if soonest == nil || e.ramp.Start.Before(soonest.ramp.Start) {
			soonest = e
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

// slowLimit is the average, in seconds, above which an engine is an outlier. It
// isn't known until enough engines have enough samples.
func (d *Detector) slowLimit(now time.Time) (limit float64, ok bool) {
	d.scratch = d.scratch[:0]
	for _, e := range d.engines {
		if d.judged(e, now) {
			d.scratch = append(d.scratch, e.average)
		}
	}
	if len(d.scratch) < max(d.cfg.MinPeers, 1) {
		return 0, false
	}
	slices.Sort(d.scratch)
	median := d.scratch[(len(d.scratch)-1)/2]
	return max(median*d.cfg.SlowFactor, d.cfg.SlowFloor.Seconds()), true
}

// slowerThan lists the judged engines above limit, slowest first. Equal ones go
// by identifier, so that the outcome doesn't depend on the order of the map.
func (d *Detector) slowerThan(limit float64, now time.Time) []uint64 {
	var ids []uint64
	for id, e := range d.engines {
		if d.judged(e, now) && e.average > limit {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		if c := cmp.Compare(d.engines[b].average, d.engines[a].average); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ids
}

func (d *Detector) judged(e *engine, now time.Time) bool {
	return e.member && !d.away(e, now) && e.samples >= d.cfg.MinSamples
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

func (d *Detector) rampFrom(start time.Time, length time.Duration) Ramp {
	return Ramp{Start: start, Time: length, Steps: d.cfg.RampSteps}
}

// feed takes one observation into the averages.
func (e *engine) feed(o Observation, smoothing float64) {
	switch o.Kind {
	case Success:
		e.inARow = 0
	case FirstToken:
		e.sample(o, smoothing)
	case Stall:
		e.inARow++
		e.sample(o, smoothing)
	case Failure:
		e.inARow++
	}
}

func (e *engine) sample(o Observation, smoothing float64) {
	excess := max(o.Latency-o.Expected, 0).Seconds()
	e.samples++
	if e.samples == 1 {
		e.average = excess
		return
	}
	e.average += smoothing * (excess - e.average)
}

// clear drops what was observed. An engine that returns is judged by its new
// behaviour; its old average would eject it again at once.
func (e *engine) clear() {
	e.inARow = 0
	e.average = 0
	e.samples = 0
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
