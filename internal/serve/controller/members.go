package controller

import (
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// Members writes the list of members to the board.
type Members struct {
	Board *board.Board
	// Self is this router's name. ID is the number that membership assigned to this process; it is
	// the Instance of board.Router.
	Self string
	ID   uint64
}

// Update replaces the routers on the board with the members that are not dead.
func (m *Members) Update(members []membership.Member) {
	routers := make(map[string]board.Router, len(members))
	for _, member := range members {
		if member.State == membership.StateDead {
			continue
		}
		r := board.Router{
			Name:          member.Name,
			ID:            rendezvous.ID(member.Name),
			Instance:      member.ID,
			Address:       member.HTTP,
			Control:       member.Address,
			Site:          member.Site,
			Draining:      member.State == membership.StateLeaving,
			ConfigVersion: member.ConfigVersion,
		}
		if old, ok := routers[member.Name]; ok && !m.supersedes(r, old) {
			continue
		}
		routers[member.Name] = r
	}
	m.Board.Update(func(s *board.State) { s.Routers = routers })
}

// supersedes reports whether r replaces old, which has the same name: a restarted router has two
// instances until its predecessor is known to be dead. For its own name this router selects its own
// instance, for other names the instance that is not draining.
func (m *Members) supersedes(r, old board.Router) bool {
	if r.Name == m.Self {
		return r.Instance == m.ID
	}
	return old.Draining && !r.Draining
}
