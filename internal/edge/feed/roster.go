package feed

import "damaskrouter.example/damaskrouter/internal/fleet/membership"

// Roster exchanges membership information between routers; see membership.RosterAsk. Requests are
// tracked by destination address. Each RosterAsk must be followed by RosterReplied or RosterFailed.
type Roster interface {
	RosterAsk(address string) membership.RosterAsk
	RosterReplied(address string, reply membership.RosterReply)
	RosterFailed(address string)
	RosterAnswer(ask membership.RosterAsk) membership.RosterReply
}
