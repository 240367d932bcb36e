package board

import (
	"maps"
	"sort"
)

// newSnapshot copies the state into an immutable snapshot with its indexes. It reuses the unchanged
// parts of the previous snapshot, which may be nil.
func newSnapshot(self string, st *State, revision uint64, previous *Snapshot) *Snapshot {
	s := &Snapshot{
		Revision:      revision,
		Self:          self,
		Config:        st.Config,
		ConfigVersion: st.ConfigVersion,
		Engines:       maps.Clone(st.Engines),
		Draining:      st.Draining,
		routerIndexes: make(map[string]int, len(st.Routers)),
	}
	s.addRouters(st.Routers)
	s.addGroups()
	s.addOwners(previous)
	return s
}

func (s *Snapshot) addRouters(routers map[string]Router) {
	for _, r := range routers {
		r.Region = s.regionOf(r.Site)
		s.Routers = append(s.Routers, r)
	}
	sort.Slice(s.Routers, func(i, j int) bool { return s.Routers[i].Name < s.Routers[j].Name })
	for i, r := range s.Routers {
		s.routerIndexes[r.Name] = i
		if r.Draining {
			continue
		}
		s.Live = append(s.Live, r)
		s.LiveIDs = append(s.LiveIDs, r.ID)
	}
}

// regionOf returns the region of a site in the active configuration, or an empty string.
func (s *Snapshot) regionOf(site string) string {
	if s.Config == nil {
		return ""
	}
	for _, known := range s.Config.Sites {
		if known.Name == site {
			return known.Region
		}
	}
	return ""
}

func (s *Snapshot) addGroups() {
	s.groups = make(map[groupKey]*Group)
	s.engineNames = make(map[uint64]string, len(s.Engines))
	names := make([]string, 0, len(s.Engines))
	for n := range s.Engines {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		s.addEngine(s.Engines[n])
	}
}

func (s *Snapshot) addEngine(e Engine) {
	s.engineNames[e.ID] = e.Name
	k := groupKey{e.Pool, e.Region}
	g := s.groups[k]
	if g == nil {
		g = &Group{Pool: e.Pool, Region: e.Region}
		s.groups[k] = g
	}
	g.Engines = append(g.Engines, e)
	g.IDs = append(g.IDs, e.ID)
}

// addOwners sets the owners of the engines.
func (s *Snapshot) addOwners(previous *Snapshot) {
	var known *ownership
	if previous != nil {
		known = previous.ownership
	}
	s.ownership = computeOwnership(s, known)
	for _, g := range s.groups {
		for _, id := range g.IDs {
			g.Owners = append(g.Owners, s.ownerIndex(id))
		}
	}
}

// ownerIndex returns the index in Routers of an engine's owner, or -1.
func (s *Snapshot) ownerIndex(id uint64) int {
	r, ok := s.EngineOwner(id)
	if !ok {
		return -1
	}
	return s.routerIndexes[r.Name]
}
