// Package entry determines the addresses of the routers that a caller should connect to.
package entry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// Router is a router that callers may connect to.
type Router struct {
	Name string
	Site string
	// Address is the address at which it serves callers, "ip:port".
	Address string
}

// Query is a caller's query for router addresses.
type Query struct {
	// Host is the host name that the caller wants to reach.
	Host   string
	Region string
	Site   string
}

// Response is a list of router addresses and the time for which a caller may use it.
type Response struct {
	Addresses []string
	TTL       time.Duration
}

const (
	// maxAddresses bounds the addresses in a response. Callers use no more.
	maxAddresses = 64
	// minLocalRouters is the number of routers that a site needs for its callers to be sent only to
	// the routers of their site. If one were enough, callers would have no router left after its
	// loss.
	minLocalRouters = 2
)

// Resolve returns the addresses that the router named self returns to a caller: the routers of the
// caller's site, or all routers if the site has fewer than minLocalRouters. Traffic between sites
// has a cost, and a local router responds faster. The response has at least one address unless
// routers is empty.
func Resolve(self string, routers []Router, query Query, ttl time.Duration) Response {
	var local []Router
	for _, r := range routers {
		if r.Site == query.Site {
			local = append(local, r)
		}
	}
	selected := local
	if len(local) < minLocalRouters {
		selected = slices.Clone(routers)
	}
	selected = sampleRouters(self, selected)
	slices.SortFunc(selected, func(a, b Router) int { return strings.Compare(a.Name, b.Name) })
	out := Response{TTL: ttl}
	for _, r := range selected {
		out.Addresses = append(out.Addresses, r.Address)
	}
	return out
}

// sampleRouters returns at most maxAddresses of the routers. It may reorder the slice. The sample
// depends on self, the name of the responding router: if all returned the same 64 routers, these
// would serve all callers of a site that has lost its own routers, a load that takes the routers of
// four sites. The sample is selected by rendezvous hashing, so that a router that is added or
// removed changes only one address of a response. Callers close their connections to addresses that
// are no longer in the response.
func sampleRouters(self string, routers []Router) []Router {
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
