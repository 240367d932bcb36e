package feed

import "time"

// Timing holds the waits and ages derived from the time within which a change must be active on all
// routers. Waits shorter than the bound requires would only cost calls.
type Timing struct {
	// Watch is how long the store holds a watch. It determines the age of a confirmation and the
	// number of calls while nothing changes. Changes arrive at once.
	Watch time.Duration
	// StaleAfter is the age above which another parent is selected. A working tree keeps the age
	// below a watch, the pause after it and two pulls.
	StaleAfter time.Duration
	// OwnReadAfter is the age above which a router reads the store itself, because the others do
	// not reply or have nothing newer. The links between routers may be bad while the store is
	// reachable.
	OwnReadAfter time.Duration
}

// Shares of the bound. At a bound of two seconds they yield 0.6, 1.5 and 1.7 s, the values found by
// measurement.
const (
	watchShare   = 0.3
	staleShare   = 0.75
	ownReadShare = 0.85
)

// watchSlack is the time beyond its wait after which a watch times out. It allows for a slow store
// or a lost packet, and ends a watch on a dead connection.
const watchSlack = 400 * time.Millisecond

// TimingFor returns the timing for changes that must be active on all routers within bound.
func TimingFor(bound time.Duration) Timing {
	return Timing{
		Watch:        time.Duration(watchShare * float64(bound)),
		StaleAfter:   time.Duration(staleShare * float64(bound)),
		OwnReadAfter: time.Duration(ownReadShare * float64(bound)),
	}
}
