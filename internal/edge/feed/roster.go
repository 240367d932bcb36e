package feed

import "damaskrouter.example/damaskrouter/internal/fleet/membership"

// Roster exchanges membership information between routers; see membership.RosterRequest. Requests
// are tracked by destination address. Each RosterRequest must be followed by HandleRosterReply or
// RosterRequestFailed.
type Roster interface {
	RosterRequest(address string) membership.RosterRequest
	HandleRosterReply(address string, reply membership.RosterReply)
	RosterRequestFailed(address string)
	HandleRosterRequest(request membership.RosterRequest) membership.RosterReply
}
