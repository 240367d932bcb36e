package flow

import (
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
)

const (
	// enginesPerOwner is how many engines an owner has in the mean. Each router keeps a
	// connection to each owner while a surge lasts; one engine is asked some fifty times
	// a second.
	enginesPerOwner = 4
	// ownersTTL is how long a list of owners is used.
	ownersTTL = 100 * time.Millisecond
	// weakLink is the part of the best link below which a router owns no gates while there
	// are leastOwners others: in a surge questions come by thousands a second, and on a link
	// that they fill grants are late.
	weakLink    = 0.25
	leastOwners = 3
)

// Owners returns the routers that own gates, out of those that are there, for a number of
// engines: those with the best links, which have the most to spare.
func Owners(live []feed.Peer, engines int) []feed.Peer {
	n := min(max((engines+enginesPerOwner-1)/enginesPerOwner, 1), len(live))
	sorted := slices.Clone(live)
	slices.SortFunc(sorted, feed.ComparePeers)
	for n > leastOwners && float64(sorted[n-1].Link) < weakLink*float64(sorted[0].Link) {
		n--
	}
	return sorted[:n]
}

// OwnerOf returns which of the owners has an engine's gate, and false if there is none. All
// routers that know of the same owners say the same, and few engines change hands when
// an owner comes or goes.
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

// ownerList remembers the owners for a moment. It is safe for concurrent use.
type ownerList struct {
	live    func() []feed.Peer
	engines func() int

	mu     sync.Mutex
	owners []feed.Peer
	at     time.Duration
}

func (l *ownerList) of(engine string, now time.Duration) (feed.Peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owners == nil || now-l.at > ownersTTL {
		l.owners = Owners(l.live(), l.engines())
		l.at = now
	}
	return OwnerOf(engine, l.owners)
}
