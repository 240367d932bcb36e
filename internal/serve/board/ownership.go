package board

import (
	"math"
	"slices"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// ownerLoadFactor sets candidates.limit as a multiple of the mean number of engines per router. The
// engines of a pool are divided evenly among the routers, and the limit keeps the engines left over
// from many small pools from accumulating at the same routers. A tighter limit moves more engines
// when a router or an engine is added or removed.
const ownerLoadFactor = 1.5

// ownership is the mapping of engines to the live routers that own them. Each router computes it
// from the live routers and the engines of each group. Routers with different views of the fleet
// may disagree; the permit ledgers allow for that.
//
// The mapping is computed again only if the live routers or the engines have changed, because most
// snapshots are published for other reasons and the computation takes milliseconds in a large
// fleet.
type ownership struct {
	live []uint64
	// regions are the regions of the live routers, index for index.
	regions []string
	groups  []ownedGroup
	// owners are indexes in live by the engine's rendezvous identity.
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

// computeOwnership returns the ownership for a snapshot. It returns previous, which may be nil, if
// nothing that ownership depends on has changed.
func computeOwnership(s *Snapshot, previous *ownership) *ownership {
	o := &ownership{live: s.LiveIDs}
	for _, r := range s.Live {
		o.regions = append(o.regions, r.Region)
	}
	for _, g := range s.Groups() {
		o.groups = append(o.groups, ownedGroup{region: g.Region, ids: g.IDs})
	}
	if previous != nil && previous.sameInput(o) {
		return previous
	}
	o.assign()
	return o
}

func (o *ownership) sameInput(other *ownership) bool {
	return slices.Equal(o.live, other.live) && slices.Equal(o.regions, other.regions) &&
		slices.EqualFunc(o.groups, other.groups, ownedGroup.equal)
}

// assign spreads each group over the live routers of its region. The engines of a pool go to
// different routers as far as possible, because their traffic rises together.
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
				o.owners[g.ids[i]] = c.indexes[owner]
			}
		}
	}
}

// candidates are the routers that may own the engines of one region.
type candidates struct {
	ids []uint64
	// indexes are the routers' indexes in ownership.live.
	indexes []int
	// load is the number of engines that each router has been assigned.
	load []int
	// limit is the number of engines up to which a router is preferred for an engine that is left
	// over after a pool has been divided evenly. See rendezvous.Spread.
	limit int
}

// candidates returns the live routers of a region, or all live routers if the region has none.
//
// With an owner in another region, each permit would cost a message between regions. While the
// network between regions fails, half of a region's engines would get no requests at all.
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

func (c *candidates) add(id uint64, index int) {
	c.ids = append(c.ids, id)
	c.indexes = append(c.indexes, index)
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
