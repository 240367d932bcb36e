package placement

import "math"

// PoolLoad describes the load of the engines in service, from which the load bound is computed.
type PoolLoad struct {
	// Total is the sum of the loads of these engines.
	Total int64
	// N is the number of these engines.
	N int
	// Least is the smallest quotient of load and ramp among these engines.
	Least float64
}

func newPoolLoad() PoolLoad {
	return PoolLoad{Least: math.Inf(1)}
}

// SumLoad sums up the engines of a pool that are in service. Engines that are draining,
// unloaded, ejected or unreported count neither in Total nor in N: their load would raise the mean,
// and with it the bound of the others, although that load will soon be gone.
func SumLoad(engines []Engine) PoolLoad {
	pool := newPoolLoad()
	for i := range engines {
		e := &engines[i]
		if e.filter().inService() {
			pool.add(e)
		}
	}
	return pool
}

func (p *PoolLoad) add(e *Engine) {
	p.N++
	p.Total += e.Load
	if load := e.relativeLoad(); load < p.Least {
		p.Least = load
	}
}

// Admissible reports whether an engine with the given load may take a request of the given weight:
// with it, the engine's load must be at most factor times the mean of n engines with the given
// total load and the request.
func Admissible(load, weight, total int64, n int, factor float64) bool {
	return float64(load+weight)*float64(n) <= factor*float64(total+weight)
}

// Admit decides whether engine e may take a request of the given weight under the load bound. The
// owner of the engine's count calls it again when it grants a permit: the router that picked the
// engine did so on a load report that was late, and several routers may have picked the same engine
// meanwhile. Without the second check, the bound would hold for the load that each router knows,
// but not for the actual load of the engine.
//
// overBound is true if the request exceeds the bound and is admitted because no engine in service
// has less load. A single request can weigh more than the whole bound, and in a pool with little
// load every request does; refusing such requests would leave the pool idle. The caller should
// count them separately.
//
// The error is a *RefusedError that wraps ErrNoEngine if the engine is not in service, and ErrFull
// if it has no capacity.
func Admit(e *Engine, weight int64, pool PoolLoad, bound float64) (overBound bool, err error) {
	if r := e.filter(); r != passed {
		return false, refusedBy(r)
	}
	fits, overBound := pool.admits(e, weight, bound)
	if !fits && !overBound {
		return false, &RefusedError{Cause: ErrFull, Excluded: Excluded{Bound: 1}}
	}
	return overBound, nil
}

// admits reports whether the request fits the bound at e and, if it does not, whether e may take it
// beyond the bound.
func (p *PoolLoad) admits(e *Engine, weight int64, bound float64) (fits, overBound bool) {
	if e.Ramp < 1 {
		bound *= e.Ramp
	}
	if Admissible(e.Load, weight, p.Total, p.N, bound) {
		return true, false
	}
	return false, e.relativeLoad() <= p.Least
}

// relativeLoad returns the load divided by the ramp, to compare engines of which some are still
// ramping up.
func (e *Engine) relativeLoad() float64 {
	if e.Ramp >= 1 {
		return float64(e.Load)
	}
	return float64(e.Load) / e.Ramp
}

// refusedBy returns the error for an engine that a filter excluded.
func refusedBy(result filterResult) error {
	r := &RefusedError{Cause: ErrNoEngine}
	if result == full {
		r.Cause = ErrFull
	}
	r.Excluded.count(result)
	return r
}
