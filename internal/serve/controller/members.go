package controller

import (
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// Members copies what membership knows to the board.
type Members struct {
	Board *board.Board
	// Self is this router's name, and ID the number that membership gave to
	// this run of it: the Instance of board.Router.
	Self string
	ID   uint64
}

// Change takes in a new list of members.
func (m *Members) Change(members []membership.Member) {
	routers := make(map[string]board.Router, len(members))
	for _, x := range members {
		if x.State == membership.StateDead {
			continue
		}
		r := board.Router{
			Name:          x.Name,
			ID:            rendezvous.ID(x.Name),
			Instance:      x.ID,
			Address:       x.HTTP,
			Control:       x.Address,
			Site:          x.Site,
			Leaving:       x.State == membership.StateLeaving,
			ConfigVersion: x.ConfigVersion,
		}
		if old, ok := routers[x.Name]; ok && !m.newer(r, old) {
			continue
		}
		routers[x.Name] = r
	}
	m.Board.Update(func(s *board.State) { s.Routers = routers })
}

// newer decides between two instances of one name, as a restarted router has
// while its predecessor is not yet known to be dead. This router knows itself;
// of the others the one that is not leaving counts.
func (m *Members) newer(r, old board.Router) bool {
	if r.Name == m.Self {
		return r.Instance == m.ID
	}
	return old.Leaving && !r.Leaving
}
