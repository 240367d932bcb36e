package placement

import "math"

// Census sums up the engines in service, as the load bound needs them.
type Census struct {
	// Total is the sum of their loads.
	Total int64
	// N is their number.
	N int
	// Least is the smallest load divided by ramp among them.
	Least float64
}

func newCensus() Census {
	return Census{Least: math.Inf(1)}
}

// TakeCensus sums up the engines of a pool that are in service. Engines that
// are leaving, unloaded, ejected or unreported count neither in Total nor in
// N: their load would raise the mean, and with it the bound of the others,
// although it is about to vanish.
func TakeCensus(engines []Engine) Census {
	c := newCensus()
	for i := range engines {
		e := &engines[i]
		if e.check().inService() {
			c.add(e)
		}
	}
	return c
}

func (c *Census) add(e *Engine) {
	c.N++
	c.Total += e.Load
	if load := e.relativeLoad(); load < c.Least {
		c.Least = load
	}
}

// Admissible says whether an engine that carries load may take a request of
// weight w without exceeding c times the mean load, counted with the request,
// of n engines that carry total.
func Admissible(load, w, total int64, n int, c float64) bool {
	return float64(load+w)*float64(n) <= c*float64(total+w)
}

// Admit decides whether engine e may take a request of weight w under the load
// bound. Who owns the engine's count calls it again at the moment of the grant:
// the router that picked the engine did so on a load report that was late, and
// several routers may have picked the same engine meanwhile. Without the second
// look the bound would hold in every router's books and not at the engine.
//
// Lump is set when the request goes beyond the bound and is admitted because
// no engine in service carries less. One request can weigh more than the whole
// bound, and on a pool with little work every request does; refusing those
// would refuse work that the pool is idle for. Lumps are to be measured apart.
//
// The error is a *RefusedError that wraps ErrNoEngine where the engine isn't in
// service and ErrFull where it has no room.
func Admit(e *Engine, w int64, pool Census, bound float64) (lump bool, err error) {
	if v := e.check(); v != passed {
		return false, refuseOne(v)
	}
	fits, lump := pool.admits(e, w, bound)
	if !fits && !lump {
		return false, &RefusedError{Cause: ErrFull, Removed: Removed{Bound: 1}}
	}
	return lump, nil
}

// admits says whether the request fits the bound and, if it doesn't, whether
// it may go to e as a lump.
func (c *Census) admits(e *Engine, w int64, bound float64) (fits, lump bool) {
	if e.Ramp < 1 {
		bound *= e.Ramp
	}
	if Admissible(e.Load, w, c.Total, c.N, bound) {
		return true, false
	}
	return false, e.relativeLoad() <= c.Least
}

// relativeLoad compares engines of which some are still ramping up: half the
// load weighs as much on an engine that may take half.
func (e *Engine) relativeLoad() float64 {
	if e.Ramp >= 1 {
		return float64(e.Load)
	}
	return float64(e.Load) / e.Ramp
}

func refuseOne(v verdict) error {
	r := &RefusedError{Cause: ErrNoEngine}
	if v == full {
		r.Cause = ErrFull
	}
	r.Removed.count(v)
	return r
}
