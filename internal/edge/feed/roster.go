package feed

import "damaskrouter.example/damaskrouter/internal/fleet/membership"

// Roster exchanges what routers know of one another; see membership.RosterAsk. Asks are kept
// apart by the address that they go to, and each is followed by Replied or Failed.
type Roster interface {
	RosterAsk(address string) membership.RosterAsk
	RosterReplied(address string, reply membership.RosterReply)
	RosterFailed(address string)
	RosterAnswer(ask membership.RosterAsk) membership.RosterReply
}
