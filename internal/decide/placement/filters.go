package placement

// verdict is the first filter that removes an engine, or passed.
type verdict uint8

const (
	passed verdict = iota
	leaving
	unloaded
	ejected
	unreported
	full
)

// check applies the filters that don't depend on the request.
//
// Leaving comes first: while views differ, an engine may be reported as loaded
// and healthy by one witness and as leaving by another, and new work sent to it
// would be cut when it stops.
func (e *Engine) check() verdict {
	switch {
	case e.Leaving:
		return leaving
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

// inService says whether the engine counts towards the pool's mean load. A
// full engine does: it carries load like the others.
func (v verdict) inService() bool {
	return v == passed || v == full
}

func (r *Removed) count(v verdict) {
	switch v {
	case leaving:
		r.Leaving++
	case unloaded:
		r.Unloaded++
	case ejected:
		r.Ejected++
	case unreported:
		r.Unreported++
	case full:
		r.Full++
	}
}
