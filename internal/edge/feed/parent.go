package feed

import (
	"cmp"
	"time"

	"github.com/zeebo/xxh3"
)

// Peer is a router of the fleet.
type Peer struct {
	Name string
	Site string
	// Address is where it serves calls of other routers, as "ip:port".
	Address string
	// Link is the bandwidth of its link in Mbit/s, or 0 if unknown.
	Link uint64
}

const (
	// minDistrust is how long a router that did not reply or returned stale data is first skipped.
	// It covers a restart.
	minDistrust = 2 * time.Second
	// maxDistrust bounds the doubling for a router that fails each time it is retried. Each retry
	// makes the data of the others older.
	maxDistrust = 8 * time.Second
	// maxFailedReaders is how many routers try the store in turn before the store is considered
	// down. Each rejected call has a cost. If the store rejects a third of the routers, it rejects
	// this many in a row in one of seven hundred cases.
	maxFailedReaders = 6
	// storeLostDistrust is how long a router that cannot reach the store is skipped.
	storeLostDistrust = 4 * time.Second
	// distrustMemory is how long after the end of a distrust its duration is remembered, so that a
	// new one lasts twice as long.
	distrustMemory = 10 * time.Second
)

// Distrust records the routers that did not reply or returned stale data, and until when they are
// skipped. It is not safe for concurrent use.
type Distrust map[string]distrustEntry

type distrustEntry struct {
	until  time.Duration
	length time.Duration
	// storeLost is set if the router was skipped because it could not reach the store.
	storeLost bool
}

// Add distrusts a router that did not reply or returned stale data, starting at now, for twice as
// long as last time. It has no effect on a router that is already distrusted.
func (d Distrust) Add(name string, now time.Duration) {
	if !d.trusted(name, now) {
		return
	}
	length := minDistrust
	if last, ok := d[name]; ok {
		length = min(2*last.length, maxDistrust)
	}
	d[name] = distrustEntry{until: now + length, length: length}
}

// AddStoreLost distrusts a router that failed to reach the store at a time on the boot clock.
func (d Distrust) AddStoreLost(name string, at time.Duration) {
	until := at + storeLostDistrust
	if last := d[name]; last.until >= until {
		return
	}
	d[name] = distrustEntry{until: until, length: minDistrust, storeLost: true}
}

// Failure is the failure of a router to reach the store.
type Failure struct {
	Router string
	// Ago is the time since the failure was noticed.
	Ago time.Duration
}

// Failures returns the routers known to be unable to reach the store, to be reported to others. If
// each router had to detect this by itself, all of them would call a store that is down.
func (d Distrust) Failures(now time.Duration) []Failure {
	var out []Failure
	for name, entry := range d {
		if entry.storeLost && now < entry.until {
			out = append(out, Failure{Router: name, Ago: now - (entry.until - storeLostDistrust)})
		}
	}
	return out
}

// trusted reports whether the router may be used as a source at now.
func (d Distrust) trusted(name string, now time.Duration) bool {
	return now >= d[name].until
}

// Prune removes entries that no longer affect the duration of a new distrust.
func (d Distrust) Prune(now time.Duration) {
	for name, entry := range d {
		if now >= entry.until+distrustMemory {
			delete(d, name)
		}
	}
}

// storeDown reports whether enough routers cannot reach the store to consider it down, rather than
// rejecting some routers.
func (d Distrust) storeDown(now time.Duration) bool {
	n := 0
	for _, entry := range d {
		if entry.storeLost && now < entry.until {
			n++
		}
	}
	return n >= maxFailedReaders
}

// ParentOf returns the router from which self pulls the catalog, or false if self is to read the
// store.
//
// The routers form a tree of two levels. In each site, all routers pull from the first trusted
// router of the site, in an order that all compute in the same way. The routers with the fastest
// links precede the others in it, because the first ones send the most. The first router of the
// fleet reads the store, and the first routers of the other sites pull from it. So store calls do
// not grow with the fleet, each byte crosses between sites once per site, and routers that are lost
// or stale are skipped without an election. Routers with different views may pull from each other
// in a cycle. Their data then becomes stale, they distrust each other, and one of them reads the
// store.
//
// A router that cannot reach the store distrusts itself and pulls from the next one. While the
// store is down for all, the order applies as if all were trusted: one router retries, and the
// others make no calls.
func ParentOf(self Peer, live []Peer, d Distrust, now time.Duration) (Peer, bool) {
	if d.storeDown(now) {
		d = nil
	}
	siteFirst := firstTrusted(self, live, d, now, func(p Peer) bool { return p.Site == self.Site })
	if siteFirst.Name != self.Name {
		return siteFirst, true
	}
	fleetFirst := firstTrusted(self, live, d, now, func(Peer) bool { return true })
	return fleetFirst, fleetFirst.Name != self.Name
}

// firstTrusted returns the first trusted router among the eligible ones, or self if there is none.
func firstTrusted(self Peer, live []Peer, d Distrust, now time.Duration, eligible func(Peer) bool) Peer {
	best, found := self, d.trusted(self.Name, now)
	for _, p := range live {
		if p.Name == self.Name || !eligible(p) || !d.trusted(p.Name, now) {
			continue
		}
		if !found || precedes(p, best) {
			best, found = p, true
		}
	}
	return best
}

func precedes(a, b Peer) bool { return ComparePeers(a, b) < 0 }

// ComparePeers orders routers the same way on every router, those with the fastest links first.
func ComparePeers(a, b Peer) int {
	return cmp.Or(
		cmp.Compare(b.Link, a.Link),
		cmp.Compare(xxh3.HashString(a.Name), xxh3.HashString(b.Name)),
		cmp.Compare(a.Name, b.Name))
}
