package outlier

import (
	"cmp"
	"slices"
	"time"
)

// measure selects the average by which engines are compared.
type measure func(*engine) *average

func excessOf(e *engine) *average   { return &e.excess }
func failuresOf(e *engine) *average { return &e.failures }

// slow lists the engines whose mean excess latency marks them as outliers,
// worst first.
func (d *Detector) slow(now time.Time) []uint64 {
	median, ok := d.median(excessOf, now)
	if !ok {
		return nil
	}
	limit := max(median*d.cfg.SlowFactor, d.cfg.SlowFloor.Seconds())
	return d.above(excessOf, limit, now)
}

// failing lists the engines that fail too large a share of their streams, and
// more than twice the pool's median share, worst first. It catches what
// Consecutive can't: every other stream fails, and the one between succeeds.
func (d *Detector) failing(now time.Time) []uint64 {
	median, ok := d.median(failuresOf, now)
	if !ok {
		return nil
	}
	return d.above(failuresOf, max(2*median, d.cfg.FailureShare), now)
}

// median returns the lower median over the engines with enough samples. It
// isn't known until there are enough of those.
func (d *Detector) median(m measure, now time.Time) (median float64, ok bool) {
	d.scratch = d.scratch[:0]
	for _, e := range d.engines {
		if d.judged(e, m, now) {
			d.scratch = append(d.scratch, m(e).value)
		}
	}
	if len(d.scratch) < max(d.cfg.MinPeers, 1) {
		return 0, false
	}
	slices.Sort(d.scratch)
	return d.scratch[(len(d.scratch)-1)/2], true
}

// above lists the judged engines above limit, highest first. Equal ones go by
// identifier, so that the outcome doesn't depend on the order of the map.
func (d *Detector) above(m measure, limit float64, now time.Time) []uint64 {
	var ids []uint64
	for id, e := range d.engines {
		if d.judged(e, m, now) && m(e).value > limit {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		c := cmp.Compare(m(d.engines[b]).value, m(d.engines[a]).value)
		return cmp.Or(c, cmp.Compare(a, b))
	})
	return ids
}

func (d *Detector) judged(e *engine, m measure, now time.Time) bool {
	return e.member && !d.away(e, now) && m(e).samples >= d.cfg.MinSamples
}
