package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

const (
	// Copies is the number of routers that keep a record: with two, those that end one after the other
	// within the time in which records are sent again would take it with them.
	Copies = 3
	// maxReplicaRouters is about the number of routers of a fleet that keep records. Each router has a
	// connection to each of them.
	maxReplicaRouters = 24
)

// Member is a router that may keep records.
type Member struct {
	Name, Site string
	// Link is the bandwidth of the router's link, in Mbit/s.
	Link uint64
	// id is the hash of the name.
	id uint64
}

// Eligible returns the members that keep records, in the order of their names: in each site those with
// the best links. All routers that know the same members get the same result.
func Eligible(members []Member) []Member {
	bySite := make(map[string][]Member)
	for _, m := range members {
		m.id = rendezvous.ID(m.Name)
		bySite[m.Site] = append(bySite[m.Site], m)
	}
	perSite := (maxReplicaRouters + len(bySite) - 1) / max(len(bySite), 1)
	var out []Member
	for _, site := range bySite {
		slices.SortFunc(site, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.Name, b.Name))
		})
		out = append(out, site[:min(len(site), perSite)]...)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Rank returns the eligible members in the order in which they keep the record of a stream. The first
// ones are in different sites, as far as there are several. A member that is lost or added changes the
// first Copies of few streams.
func Rank(key Key, eligible []Member) []Member {
	mixed := rendezvous.Mix(binary.LittleEndian.Uint64(key[:]))
	order := slices.Clone(eligible)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(mixed.Score(b.id), mixed.Score(a.id)), cmp.Compare(a.Name, b.Name))
	})
	var first, rest []Member
	sites := make(map[string]bool)
	for _, m := range order {
		if len(first) < Copies && !sites[m.Site] {
			sites[m.Site] = true
			first = append(first, m)
			continue
		}
		rest = append(rest, m)
	}
	return append(first, rest...)
}

// Replicas returns the members that keep the record of a stream.
func Replicas(key Key, eligible []Member) []Member {
	return Rank(key, eligible)[:min(Copies, len(eligible))]
}

// Contains reports whether a member of the name is among members.
func Contains(members []Member, name string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
}
