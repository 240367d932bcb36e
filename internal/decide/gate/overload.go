package gate

import "time"

const (
	// overloadGap is how long after its last refusal an overload is over.
	overloadGap = 2 * time.Second
	// comeBackSpread is by how much of it the time differs from caller to caller, to both
	// sides, so that they don't return together.
	comeBackSpread = 0.3
	// callerShare is the part of the time it has left for which a caller stays away at
	// most.
	callerShare = 1.0 / 3
)

// Overload remembers since when a service refuses requests. The zero value has refused none.
type Overload struct{ since, last time.Duration }

// Over says whether nobody was refused for a while.
func (o *Overload) Over(now time.Duration) bool { return o.last == 0 || now-o.last > overloadGap }

// ComeBack notes a refusal at now and returns when the caller should come back. How long an
// overload lasts is not known; the best guess is that it goes on for as long as it has
// lasted, and for its route's objective at least: so many would otherwise ask again within the
// time in which all places are taken anyway, and callers that come back soon can't be told from
// others; see Usual. left is how long the caller still waits, random a number from 0 to 1.
func (o *Overload) ComeBack(objective, left, now time.Duration, random float64) time.Duration {
	if o.Over(now) {
		o.since = now
	}
	o.last = now
	wait := max(now-o.since, orDefault(objective))
	wait = min(wait, time.Duration(callerShare*float64(left)))
	return time.Duration((1 - comeBackSpread + 2*comeBackSpread*random) * float64(wait))
}
