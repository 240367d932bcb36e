package gate

import (
	"slices"
	"time"
)

const (
	// usualSample is how many time limits are remembered, the last ones.
	usualSample = 256
	// fewestLimits is how many must have been seen for a shorter one to say anything: one
	// of three hundred routers may see a request of a kind in a second.
	fewestLimits = 8
	// shortest is the part of the limits that may be shorter than what counts as usual:
	// callers that repeat after an engine's failure come in calm times too.
	shortest = 0.05
	// lateShare is the part of the objective by which a limit must be shorter than the
	// usual ones: connections that open slowly take some of it too.
	lateShare = 0.3
)

// Usual is the time limits that callers of a route usually give. A caller that was refused
// and comes back gives what is left of its limit, and so tells that it has waited since: its
// answer will be late in any case. The zero value knows of none.
type Usual struct {
	seen  [usualSample]time.Duration
	n     int
	least time.Duration
}

// Note adds the limit of a request that came while nobody was refused.
func (u *Usual) Note(limit time.Duration) {
	if limit <= 0 {
		return
	}
	u.seen[u.n%usualSample] = limit
	u.n++
	if u.n%fewestLimits == 0 {
		u.least = u.low()
	}
}

// low is the limit below which only few are.
func (u *Usual) low() time.Duration {
	sorted := slices.Clone(u.seen[:min(u.n, usualSample)])
	slices.Sort(sorted)
	return sorted[int(shortest*float64(len(sorted)))]
}

// Late says whether a request with so short a limit comes from a caller that has waited for
// too long to be answered on time. Limits of callers differ; only one that is shorter than
// those of calm times is sure to be what is left.
func (u *Usual) Late(limit, objective time.Duration) bool {
	if u.least == 0 || limit <= 0 {
		return false
	}
	return limit < u.least-time.Duration(lateShare*float64(objective))
}
