package board

import (
	"math"
	"slices"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
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
	// regions are those of the live routers, index for index.
	regions []string
	groups  []ownedGroup
	// owners are indexes in live by the engine's identity.
	owners map[uint64]int
}

// ownedGroup is the part of a Group that ownership depends on.
type ownedGroup struct {
	region string
	ids    []uint64
}

func (g ownedGroup) equal(o ownedGroup) bool {
	return g.region == o.region && slices.Equal(g.ids, o.ids)
}

// ownersOf returns the ownership for a snapshot, which is old itself where
// nothing that it depends on has changed. old may be nil.
func ownersOf(s *Snapshot, old *ownership) *ownership {
	o := &ownership{live: s.LiveIDs}
	for _, r := range s.Live {
		o.regions = append(o.regions, r.Region)
	}
	for _, g := range s.Groups() {
		o.groups = append(o.groups, ownedGroup{region: g.Region, ids: g.IDs})
	}
	if old != nil && old.sameInput(o) {
		return old
	}
	o.assign()
	return o
}

func (o *ownership) sameInput(other *ownership) bool {
	return slices.Equal(o.live, other.live) && slices.Equal(o.regions, other.regions) &&
		slices.EqualFunc(o.groups, other.groups, ownedGroup.equal)
}

// assign spreads each group over the live routers of its region. A pool's
// engines go to different routers first, since their traffic rises together.
func (o *ownership) assign() {
	o.owners = make(map[uint64]int)
	byRegion := make(map[string]*candidates)
	for _, g := range o.groups {
		c := byRegion[g.region]
		if c == nil {
			c = o.candidates(g.region)
			byRegion[g.region] = c
		}
		for i, owner := range rendezvous.Spread(nil, g.ids, c.ids, c.load, c.limit) {
			if owner >= 0 {
				o.owners[g.ids[i]] = c.at[owner]
			}
		}
	}
}

// candidates are the routers that may own the engines of one region.
type candidates struct {
	ids []uint64
	// at are the routers' indexes in ownership.live.
	at []int
	// load is the number of engines that each has been given.
	load []int
	// limit is the number of engines from which a router gets no left-over ones.
	limit int
}

// candidates lists the live routers of a region, or all where it has none.
//
// An engine's owner in another region would be a message across regions for
// each permit, and none at all while the regions have lost each other: one
// would notice that half of a region's engines get no work then.
func (o *ownership) candidates(region string) *candidates {
	c := &candidates{}
	for i, id := range o.live {
		if o.regions[i] == region {
			c.add(id, i)
		}
	}
	if len(c.ids) == 0 {
		for i, id := range o.live {
			c.add(id, i)
		}
	}
	c.load = make([]int, len(c.ids))
	c.limit = o.limit(region, len(c.ids))
	return c
}

func (c *candidates) add(id uint64, at int) {
	c.ids = append(c.ids, id)
	c.at = append(c.at, at)
}

func (o *ownership) limit(region string, routers int) int {
	if routers == 0 {
		return 0
	}
	engines := 0
	for _, g := range o.groups {
		if g.region == region {
			engines += len(g.ids)
		}
	}
	mean := float64(engines) / float64(routers)
	return int(math.Ceil(ownerLoadFactor * mean))
}
