package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Peer is another router, or this one.
type Peer struct {
	Name string
	Site string
	// Address is where it answers calls of other routers, "ip:port".
	Address string
}

// Distrust remembers which routers gave no answer, or only old ones, and until
// when others are asked in their place. It is not safe for concurrent use.
type Distrust map[string]time.Duration

// Until distrusts a router until a boot time.
func (d Distrust) Until(name string, until time.Duration) { d[name] = until }

// trusted says whether the router may be asked at now.
func (d Distrust) trusted(name string, now time.Duration) bool { return now >= d[name] }

// Forget drops what has ended.
func (d Distrust) Forget(now time.Duration) {
	for name, until := range d {
		if now >= until {
			delete(d, name)
		}
	}
}

// ParentOf returns whom self asks for the catalog, and false if self is the one
// to read the store.
//
// The routers form a tree of two levels: in each site the first trusted router,
// in an order that all compute alike, is asked by the others of the site; the
// first of all sites reads the store and is asked by the first ones of the other
// sites. So the store's calls do not grow with the fleet, a byte crosses between
// sites once for each site, and whoever is lost or stale is passed over without
// an election. Routers whose views differ may ask one another in a circle; what
// they hold then grows old, they distrust each other, and one of them reads.
func ParentOf(self Peer, live []Peer, d Distrust, now time.Duration) (Peer, bool) {
	site := first(self, live, d, now, func(p Peer) bool { return p.Site == self.Site })
	if site.Name != self.Name {
		return site, true
	}
	top := first(self, live, d, now, func(Peer) bool { return true })
	if top.Name != self.Name {
		return top, true
	}
	return Peer{}, false
}

func first(self Peer, live []Peer, d Distrust, now time.Duration, in func(Peer) bool) Peer {
	best := self
	for _, p := range live {
		if !in(p) || p.Name != self.Name && !d.trusted(p.Name, now) {
			continue
		}
		if before(p, best) {
			best = p
		}
	}
	return best
}

func before(a, b Peer) bool {
	return cmp.Or(cmp.Compare(xxh3.HashString(a.Name), xxh3.HashString(b.Name)), cmp.Compare(a.Name, b.Name)) < 0
}

// SortPeers orders routers as ParentOf ranks them.
func SortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
}
