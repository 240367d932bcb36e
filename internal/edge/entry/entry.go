// Package entry answers callers that ask which routers to connect to.
package entry

import (
	"slices"
	"strings"
	"time"
)

// Router is a router that callers may be sent to.
type Router struct {
	Name string
	Site string
	// Address is where it serves callers, "ip:port".
	Address string
}

// Question is what a caller says of itself.
type Question struct {
	// Host is the host name that it wants to reach.
	Host   string
	Region string
	Site   string
}

// Answer is a list of addresses and how long to use it.
type Answer struct {
	Addresses []string
	TTL       time.Duration
}

const (
	// maxAddresses bounds an answer; callers use no more.
	maxAddresses = 64
	// minNear is how many routers a site needs for its callers to be sent to
	// them only. With one, its loss would leave them without any.
	minNear = 2
)

// Answers returns the addresses for a caller: the routers of its own site, or
// all of them where the site has too few. Bytes between sites cost, and a
// nearby router answers sooner. The answer is never empty if there is a router.
func Answers(routers []Router, q Question, ttl time.Duration) Answer {
	var near, all []Router
	for _, r := range routers {
		all = append(all, r)
		if r.Site == q.Site {
			near = append(near, r)
		}
	}
	chosen := near
	if len(near) < minNear {
		chosen = all
	}
	slices.SortFunc(chosen, func(a, b Router) int { return strings.Compare(a.Name, b.Name) })
	out := Answer{TTL: ttl}
	for _, r := range chosen[:min(len(chosen), maxAddresses)] {
		out.Addresses = append(out.Addresses, r.Address)
	}
	return out
}
