package feed

import (
	"cmp"
	"time"

	"github.com/zeebo/xxh3"
)

// Peer is another router, or this one.
type Peer struct {
	Name string
	Site string
	// Address is where it answers calls of other routers, "ip:port".
	Address string
	// Link is the bandwidth of its link, in megabits a second, 0 if not known.
	Link uint64
}

const (
	// minDistrust is how long a router that gave no answer, or an old one, is
	// passed over the first time. It covers a restart.
	minDistrust = 2 * time.Second
	// maxDistrust bounds the doubling for a router that fails each time it is
	// asked again. Each new try costs the others some freshness.
	maxDistrust = 8 * time.Second
	// maxReaders is how many routers try the store one after the other before
	// it is taken to be away. Each refused call costs; where a third of the
	// routers are turned away, one in seven hundred times all of so many are.
	maxReaders = 6
	// lostDistrust is how long a router that can't reach the store is passed
	// over.
	lostDistrust = 4 * time.Second
	// forgiveAfter is how long after a distrust has ended its length is
	// remembered.
	forgiveAfter = 10 * time.Second
)

// Distrust remembers which routers gave no answer, or only old ones, and until
// when others are asked in their place. It is not safe for concurrent use.
type Distrust map[string]distrusted

type distrusted struct {
	until  time.Duration
	length time.Duration
	// storeLost means that the router was passed over for the store's sake.
	storeLost bool
}

// Add distrusts a router that gave no answer, or an old one, from now on, for
// twice as long as the last time.
func (d Distrust) Add(name string, now time.Duration) {
	if !d.trusted(name, now) {
		return
	}
	length := minDistrust
	if last, ok := d[name]; ok {
		length = min(2*last.length, maxDistrust)
	}
	d[name] = distrusted{until: now + length, length: length}
}

// AddLost distrusts a router that could not reach the store at a boot time.
func (d Distrust) AddLost(name string, at time.Duration) {
	until := at + lostDistrust
	if last := d[name]; last.until >= until {
		return
	}
	d[name] = distrusted{until: until, length: minDistrust, storeLost: true}
}

// Failure is a router's failure to reach the store.
type Failure struct {
	Router string
	// Ago is how long ago it was noticed.
	Ago time.Duration
}

// Failures returns which routers can't reach the store, as known, for others to
// hear: were each to find out by itself, all would try a store that is away.
func (d Distrust) Failures(now time.Duration) []Failure {
	var out []Failure
	for name, entry := range d {
		if entry.storeLost && now < entry.until {
			out = append(out, Failure{Router: name, Ago: now - (entry.until - lostDistrust)})
		}
	}
	return out
}

// trusted says whether the router may be asked at now.
func (d Distrust) trusted(name string, now time.Duration) bool {
	return now >= d[name].until
}

// Forget drops what is long over.
func (d Distrust) Forget(now time.Duration) {
	for name, entry := range d {
		if now >= entry.until+forgiveAfter {
			delete(d, name)
		}
	}
}

// storeAway says whether so many routers can't reach the store that the store is
// away, rather than turning some routers away.
func (d Distrust) storeAway(now time.Duration) bool {
	n := 0
	for _, entry := range d {
		if entry.storeLost && now < entry.until {
			n++
		}
	}
	return n >= maxReaders
}

// ParentOf returns whom self asks for the catalog, and false if self is the one
// to read the store.
//
// The routers form a tree of two levels: in each site the first trusted router,
// in an order that all compute alike, is asked by the others of the site, which is
// why those with the best links stand first; the
// first of all sites reads the store and is asked by the first ones of the other
// sites. So the store's calls do not grow with the fleet, a byte crosses between
// sites once for each site, and whoever is lost or stale is passed over without
// an election. Routers whose views differ may ask one another in a circle; what
// they hold then grows old, they distrust each other, and one of them reads.
//
// A router that can't reach the store distrusts itself, and asks the next one.
// While the store is away for all, the order holds as if all were trusted: one
// router goes on trying, and the others do not add to the calls.
func ParentOf(self Peer, live []Peer, d Distrust, now time.Duration) (Peer, bool) {
	if d.storeAway(now) {
		d = nil
	}
	site := first(self, live, d, now, func(p Peer) bool { return p.Site == self.Site })
	if site.Name != self.Name {
		return site, true
	}
	top := first(self, live, d, now, func(Peer) bool { return true })
	return top, top.Name != self.Name
}

// first returns the first trusted router among those in, or self if there is
// none.
func first(self Peer, live []Peer, d Distrust, now time.Duration, in func(Peer) bool) Peer {
	best, found := self, d.trusted(self.Name, now)
	for _, p := range live {
		if p.Name == self.Name || !in(p) || !d.trusted(p.Name, now) {
			continue
		}
		if !found || before(p, best) {
			best, found = p, true
		}
	}
	return best
}

func before(a, b Peer) bool { return ComparePeers(a, b) < 0 }

// ComparePeers orders routers alike everywhere, those with the best links first.
func ComparePeers(a, b Peer) int {
	return cmp.Or(
		cmp.Compare(b.Link, a.Link),
		cmp.Compare(xxh3.HashString(a.Name), xxh3.HashString(b.Name)),
		cmp.Compare(a.Name, b.Name))
}
