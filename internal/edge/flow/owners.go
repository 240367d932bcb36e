package flow

import (
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
)

const (
	// enginesPerOwner is the average number of engines per owner. While a surge lasts, each router
	// has a connection to each owner, and each engine's gate receives about fifty requests per
	// second.
	enginesPerOwner = 4
	// ownersTTL is how long a list of owners is cached.
	ownersTTL = 100 * time.Millisecond
	// minLinkRatio is the share of the best link's bandwidth below which a router owns no gates
	// while there are minOwners others. In a surge thousands of requests for slots arrive per
	// second, and on a saturated link grants are late.
	minLinkRatio = 0.25
	minOwners    = 3
)

// SelectOwners returns the routers that own gates, selected from the live ones for the given number
// of engines. It selects those with the best links, which have the most free bandwidth.
func SelectOwners(live []feed.Peer, engines int) []feed.Peer {
	n := min(max((engines+enginesPerOwner-1)/enginesPerOwner, 1), len(live))
	sorted := slices.Clone(live)
	slices.SortFunc(sorted, feed.ComparePeers)
	for n > minOwners && float64(sorted[n-1].Link) < minLinkRatio*float64(sorted[0].Link) {
		n--
	}
	return sorted[:n]
}

// OwnerOf returns the owner of an engine's gate, and false if there are no owners. All routers with
// the same list of owners get the same result, and few engines change owners when one is added or
// removed.
func OwnerOf(engine string, owners []feed.Peer) (feed.Peer, bool) {
	best, found := feed.Peer{}, false
	var score uint64
	mixed := rendezvous.Mix(rendezvous.ID(engine))
	for _, p := range owners {
		if s := mixed.Score(rendezvous.ID(p.Name)); !found || s > score {
			best, score, found = p, s, true
		}
	}
	return best, found
}

// ownerCache caches the list of owners. It is safe for concurrent use.
type ownerCache struct {
	live    func() []feed.Peer
	engines func() int

	mu         sync.Mutex
	owners     []feed.Peer
	computedAt time.Duration
}

func (l *ownerCache) ownerOf(engine string, now time.Duration) (feed.Peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owners == nil || now-l.computedAt > ownersTTL {
		l.owners = SelectOwners(l.live(), l.engines())
		l.computedAt = now
	}
	return OwnerOf(engine, l.owners)
}
