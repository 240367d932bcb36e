package gate

import "time"

const (
	// startShare is the share of the objective within which a request must have a slot to be on
	// time; the rest is for the engine to begin its response.
	startShare = 0.6
	// unpromptedWaitShare is the share of the objective for which a request without a prompt waits
	// at one engine before a slot at the next one is requested.
	unpromptedWaitShare = 0.2
	// DefaultObjective is the latency objective of routes that set none.
	DefaultObjective = time.Second
)

// objectiveOrDefault returns objective, or DefaultObjective if it is not set.
func objectiveOrDefault(objective time.Duration) time.Duration {
	if objective <= 0 {
		return DefaultObjective
	}
	return objective
}

// StartWithin returns how long after its arrival a request on a route with the given objective must
// have a slot to be on time.
func StartWithin(objective time.Duration) time.Duration {
	return time.Duration(startShare * float64(objectiveOrDefault(objective)))
}

// MaxWait returns how long a request may wait for a slot at the i-th of n candidate engines, given
// its age since arrival and the route's objective.
//
// A request with a prompt spends all of its waiting time at the first candidate, the engine that
// caches the prompt. Any other engine would have to fetch the prompt, over links that carry one
// prompt at a time, so the request goes there only if a slot is free. While all engines are full,
// moving on to another one gains nothing.
func MaxWait(prompted bool, i, n int, objective, age time.Duration) time.Duration {
	remaining := max(StartWithin(objective)-age, 0)
	switch {
	case prompted && i > 0:
		return 0
	case prompted || i == n-1:
		return remaining
	}
	return min(remaining, time.Duration(unpromptedWaitShare*float64(objectiveOrDefault(objective))))
}

// coldWaitShare is the share of the objective for which a request waits for a cold engine while
// other engines would serve it at once.
const coldWaitShare = 0.1

// ColdWait returns how long a request on a route with the given objective may wait for a cold
// engine while other engines are warm.
func ColdWait(objective time.Duration) time.Duration {
	return time.Duration(coldWaitShare * float64(objectiveOrDefault(objective)))
}
