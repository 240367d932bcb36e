package outlier

import (
	"cmp"
	"slices"
	"time"
)

// metric selects the average by which engines are compared.
type metric func(*engine) *average

func excessOf(e *engine) *average       { return &e.excess }
func failureShareOf(e *engine) *average { return &e.failureShare }

// slow returns the engines whose mean excess latency marks them as outliers, worst first.
func (d *Detector) slow(now time.Time) []uint64 {
	median, ok := d.median(excessOf, now)
	if !ok {
		return nil
	}
	limit := max(median*d.cfg.SlowFactor, d.cfg.SlowFloor.Seconds())
	return d.above(excessOf, limit, now)
}

// failing returns the engines whose share of stalled and failed streams is above FailureShare and
// above twice the pool's median, worst first. It detects what Consecutive cannot: an engine that
// fails every other stream and completes the ones between.
func (d *Detector) failing(now time.Time) []uint64 {
	median, ok := d.median(failureShareOf, now)
	if !ok {
		return nil
	}
	return d.above(failureShareOf, max(2*median, d.cfg.FailureShare), now)
}

// median returns the lower median over the comparable engines, and false if they are fewer than
// MinPeers.
func (d *Detector) median(m metric, now time.Time) (median float64, ok bool) {
	d.scratch = d.scratch[:0]
	for _, e := range d.engines {
		if d.comparable(e, m, now) {
			d.scratch = append(d.scratch, m(e).value)
		}
	}
	if len(d.scratch) < max(d.cfg.MinPeers, 1) {
		return 0, false
	}
	slices.Sort(d.scratch)
	return d.scratch[(len(d.scratch)-1)/2], true
}

// above returns the comparable engines above limit, highest first. Ties are ordered by identifier,
// so that the result does not depend on the order of the map.
func (d *Detector) above(m metric, limit float64, now time.Time) []uint64 {
	var ids []uint64
	for id, e := range d.engines {
		if d.comparable(e, m, now) && m(e).value > limit {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		c := cmp.Compare(m(d.engines[b]).value, m(d.engines[a]).value)
		return cmp.Or(c, cmp.Compare(a, b))
	})
	return ids
}

// comparable reports whether e is in service and has enough samples of the metric.
func (d *Detector) comparable(e *engine, m metric, now time.Time) bool {
	return e.member && !d.ejectedAt(e, now) && m(e).samples >= d.cfg.MinSamples
}
