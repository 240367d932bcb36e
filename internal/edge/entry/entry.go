// Package entry answers callers that ask which routers to connect to.
package entry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
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

// Answers returns the addresses that the router called self gives a caller: the
// routers of the caller's site, or all of them where the site has too few. Bytes
// between sites cost, and a nearby router answers sooner. The answer is never empty
// if there is a router.
func Answers(self string, routers []Router, q Question, ttl time.Duration) Answer {
	var near []Router
	for _, r := range routers {
		if r.Site == q.Site {
			near = append(near, r)
		}
	}
	chosen := near
	if len(near) < minNear {
		chosen = slices.Clone(routers)
	}
	chosen = share(self, chosen)
	slices.SortFunc(chosen, func(a, b Router) int { return strings.Compare(a.Name, b.Name) })
	out := Answer{TTL: ttl}
	for _, r := range chosen {
		out.Addresses = append(out.Addresses, r.Address)
	}
	return out
}

// share picks which routers to name where there are more than an answer may hold. Were they the
// same in each router's answers, a site whose own routers are all off would send its callers to
// the first 64 of the fleet, and those would bear the load of four sites' routers; so each
// router draws its own. It draws by rendezvous hashing, by which a router that comes or goes
// changes one address of the answer: callers give up connections to addresses that are no longer
// in it.
func share(self string, routers []Router) []Router {
	if len(routers) <= maxAddresses {
		return routers
	}
	mixed := rendezvous.Mix(rendezvous.ID(self))
	slices.SortFunc(routers, func(a, b Router) int {
		return cmp.Or(
			cmp.Compare(mixed.Score(rendezvous.ID(b.Name)), mixed.Score(rendezvous.ID(a.Name))),
			strings.Compare(a.Name, b.Name))
	})
	return routers[:maxAddresses]
}
