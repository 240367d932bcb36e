package faults

import "damaskrouter.example/damaskrouter/internal/faultkit"

// unproved says why a cell has no proof: it does not apply, or it is open.
func unproved(key faultkit.Key) (faultkit.Status, string) {
	return faultkit.Open, "no test yet"
}
