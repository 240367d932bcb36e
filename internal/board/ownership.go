package board

import (
	"math"
	"slices"

	"damaskrouter.example/damaskrouter/internal/rendezvous"
)

// ownerLoadFactor bounds the engines of one router as a multiple of the mean.
// With many small pools it keeps their left-over engines from meeting at the
// same routers; a tighter bound moves more engines when one comes or goes.
const ownerLoadFactor = 1.5

// ownership says which live router owns each engine. It is computed by every
// router for itself from the live routers and the engines of each group, so
// routers whose views differ may disagree; the permit books allow for that.
//
// It is computed anew only when one of the two changed: most snapshots are
// published for other reasons, and it costs milliseconds in a large fleet.
type ownership struct {
	live []uint64
	// groups are the engines' identities, group for group.
	groups [][]uint64
	// owners are indexes in live by the engine's identity.
	owners map[uint64]int
}

// ownersOf returns the ownership for a snapshot, which is old itself where
// nothing that it depends on has changed. old may be nil.
func ownersOf(s *Snapshot, old *ownership) *ownership {
	o := &ownership{live: s.LiveIDs}
	for _, g := range s.Groups() {
		o.groups = append(o.groups, g.IDs)
	}
	if old != nil && old.sameInput(o) {
		return old
	}
	o.assign()
	return o
}

func (o *ownership) sameInput(other *ownership) bool {
	return slices.Equal(o.live, other.live) &&
		slices.EqualFunc(o.groups, other.groups, slices.Equal[[]uint64])
}

// assign spreads each group over all live routers. A pool's engines go to
// different routers first, since their traffic rises together.
func (o *ownership) assign() {
	o.owners = make(map[uint64]int)
	load := make([]int, len(o.live))
	limit := o.limit()
	var owners []int
	for _, ids := range o.groups {
		owners = rendezvous.Spread(owners, ids, o.live, load, limit)
		for i, owner := range owners {
			o.owners[ids[i]] = owner
		}
	}
}

// limit is the number of engines from which a router gets no left-over ones.
func (o *ownership) limit() int {
	if len(o.live) == 0 {
		return 0
	}
	engines := 0
	for _, ids := range o.groups {
		engines += len(ids)
	}
	mean := float64(engines) / float64(len(o.live))
	return int(math.Ceil(ownerLoadFactor * mean))
}
