package placement

// filterResult is the first filter that excludes an engine, or passed.
type filterResult uint8

const (
	passed filterResult = iota
	draining
	unloaded
	ejected
	unreported
	full
)

// filter applies the filters that do not depend on the request.
//
// Draining comes first: one source may report an engine as draining while another still reports it
// as loaded and healthy, and a new request would be cut off when the engine stops.
func (e *Engine) filter() filterResult {
	switch {
	case e.Leaving:
		return draining
	case !e.Loaded:
		return unloaded
	case e.Ejected || e.Ramp <= 0:
		return ejected
	case e.MaxBatch <= 0:
		return unreported
	case e.Running >= e.MaxBatch:
		return full
	}
	return passed
}

// inService reports whether the engine counts towards the pool's mean load. A full engine does, as
// it carries load like the others.
func (r filterResult) inService() bool {
	return r == passed || r == full
}

func (x *Excluded) count(r filterResult) {
	switch r {
	case draining:
		x.Leaving++
	case unloaded:
		x.Unloaded++
	case ejected:
		x.Ejected++
	case unreported:
		x.Unreported++
	case full:
		x.Full++
	}
}
