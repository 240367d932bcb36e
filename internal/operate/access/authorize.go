package access

import "slices"

// Action names what a principal wants to do.
type Action string

// The actions of operators.
const (
	// ActionReadStatus reads the health of routers and pools.
	ActionReadStatus Action = "status.read"
	// ActionReadConfig reads the configuration of a team, or of the fleet.
	ActionReadConfig Action = "config.read"
	// ActionReadAudit reads the audit trail of a team, or of the fleet.
	ActionReadAudit Action = "audit.read"
	// ActionEditConfig changes what a team owns, or the fleet's own part.
	ActionEditConfig Action = "config.edit"
	// ActionIssueToken issues or revokes operator tokens and API keys.
	ActionIssueToken Action = "token.issue"
	// ActionResolveClaim gives a verdict on a non-idempotent request whose
	// outcome is not known.
	ActionResolveClaim Action = "claim.resolve"
	// ActionOverride passes a safeguard, such as a pool's capacity floor.
	ActionOverride Action = "safeguard.override"
)

// FleetWide is the team of what belongs to no single team. Only an operator
// whose scope is the whole fleet may act on it.
const FleetWide = ""

// rule is what an action takes.
type rule struct {
	least Role
	// anyScope is set for what shows nothing of any team.
	anyScope bool
}

var rules = map[Action]rule{
	ActionReadStatus:   {least: RoleViewer, anyScope: true},
	ActionReadConfig:   {least: RoleViewer},
	ActionReadAudit:    {least: RoleEditor},
	ActionEditConfig:   {least: RoleEditor},
	ActionIssueToken:   {least: RoleAdmin},
	ActionResolveClaim: {least: RoleAdmin},
	ActionOverride:     {least: RoleBreakGlass},
}

// Reason says why an action was denied.
type Reason string

// The reasons for denying an action.
const (
	ReasonRole          Reason = "role"
	ReasonScope         Reason = "scope"
	ReasonUnknownAction Reason = "unknown_action"
)

// DeniedError reports an action that the principal may not take.
type DeniedError struct {
	Principal string
	Action    Action
	// Team is the team whose resource was asked for; FleetWide for none.
	Team   string
	Reason Reason
}

// Error implements error.
func (e *DeniedError) Error() string {
	s := "access: " + e.Principal + " may not " + string(e.Action)
	if e.Team != FleetWide {
		s += " for team " + e.Team
	}
	return s + ": " + string(e.Reason)
}

// Authorize returns a *DeniedError unless op may take action on a resource of
// team. An action without a rule is denied, so that one added later is closed
// until someone decides about it.
func Authorize(op *Operator, action Action, team string) error {
	denied := &DeniedError{Principal: op.Name, Action: action, Team: team}
	r, ok := rules[action]
	switch {
	case !ok:
		denied.Reason = ReasonUnknownAction
	case rank[op.Role] < rank[r.least]:
		denied.Reason = ReasonRole
	case !r.anyScope && !op.covers(team):
		denied.Reason = ReasonScope
	default:
		return nil
	}
	return denied
}

func (o *Operator) covers(team string) bool {
	return len(o.Teams) == 0 || slices.Contains(o.Teams, team)
}

// AuthorizeGrant returns a *DeniedError unless op may issue a token like g.
// Nobody grants a role above their own or a scope beyond it: otherwise an
// admin of one team could make a token for all of them, and use that.
func AuthorizeGrant(op *Operator, g *Operator) error {
	teams := g.Teams
	if len(teams) == 0 {
		teams = []string{FleetWide}
	}
	for _, team := range teams {
		if err := Authorize(op, ActionIssueToken, team); err != nil {
			return err
		}
	}
	if rank[g.Role] > rank[op.Role] {
		return &DeniedError{Principal: op.Name, Action: ActionIssueToken, Reason: ReasonRole}
	}
	return nil
}
