package gate

import "time"

const (
	// startShare is the part of the objective within which a request must have a place
	// to be on time; the rest is for the engine to begin its answer.
	startShare = 0.6
	// plainShare is the part of the objective for which a request without a prompt waits
	// at one engine before another one is asked.
	plainShare = 0.2
	// DefaultObjective is for routes without one.
	DefaultObjective = time.Second
)

// orDefault is the objective of a route that may have none.
func orDefault(objective time.Duration) time.Duration {
	if objective <= 0 {
		return DefaultObjective
	}
	return objective
}

// StartWithin is how long after it came a request on a route with an objective must have a
// place to be on time.
func StartWithin(objective time.Duration) time.Duration {
	return time.Duration(startShare * float64(orDefault(objective)))
}

// MaxWait is how long a request may wait at the i-th of n engines that are asked for a
// place, age after it came, on a route with an objective.
//
// A prompt waits at its own engine for all the time that it has. Elsewhere it would have
// to be fetched, over links that carry one prompt after the other; it goes there only if there
// is a free place. Where all engines are full, moving from one to the other helps nobody.
func MaxWait(prompted bool, i, n int, objective, age time.Duration) time.Duration {
	left := max(StartWithin(objective)-age, 0)
	switch {
	case prompted && i > 0:
		return 0
	case prompted || i == n-1:
		return left
	}
	return min(left, time.Duration(plainShare*float64(orDefault(objective))))
}

// coldShare is the part of its objective for which a request waits for its turn at a cold engine,
// while others would take it at once.
const coldShare = 0.1

// ColdWait is how long a request on a route with an objective may wait for a cold engine while
// other engines are not.
func ColdWait(objective time.Duration) time.Duration {
	return time.Duration(coldShare * float64(orDefault(objective)))
}
