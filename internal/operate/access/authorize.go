package access

import "slices"

// Action is an operation that a principal requests.
type Action string

// The actions of operators.
const (
	// ActionReadStatus reads the health of routers and pools.
	ActionReadStatus Action = "status.read"
	// ActionReadConfig reads the configuration of a team or of the fleet.
	ActionReadConfig Action = "config.read"
	// ActionReadAudit reads the audit trail of a team or of the fleet.
	ActionReadAudit Action = "audit.read"
	// ActionEditConfig changes the configuration that a team or the fleet owns.
	ActionEditConfig Action = "config.edit"
	// ActionIssueToken issues or revokes operator tokens and API keys.
	ActionIssueToken Action = "token.issue"
	// ActionResolveClaim sets the outcome of a non-idempotent request whose
	// outcome is unknown.
	ActionResolveClaim Action = "claim.resolve"
	// ActionOverride bypasses a safeguard, such as a pool's minimum capacity.
	ActionOverride Action = "safeguard.override"
)

// FleetWide is the team of resources that belong to no single team. Only an
// operator whose scope is the whole fleet may act on them.
const FleetWide = ""

// rule is the requirement of an action.
type rule struct {
	minRole Role
	// anyTeam skips the scope check, for actions that reveal nothing about a team.
	anyTeam bool
}

var rules = map[Action]rule{
	ActionReadStatus:   {minRole: RoleViewer, anyTeam: true},
	ActionReadConfig:   {minRole: RoleViewer},
	ActionReadAudit:    {minRole: RoleEditor},
	ActionEditConfig:   {minRole: RoleEditor},
	ActionIssueToken:   {minRole: RoleAdmin},
	ActionResolveClaim: {minRole: RoleAdmin},
	ActionOverride:     {minRole: RoleBreakGlass},
}

// Reason is the reason for denying an action.
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
	// Team owns the requested resource; FleetWide if no single team does.
	Team   string
	Reason Reason
}

// Error implements error.
func (e *DeniedError) Error() string {
	text := "access: " + e.Principal + " may not " + string(e.Action)
	if e.Team != FleetWide {
		text += " for team " + e.Team
	}
	return text + ": " + string(e.Reason)
}

// Authorize returns a *DeniedError unless op may take action on a resource of
// team. An action without a rule is denied, so that a new action is closed by
// default.
func Authorize(op *Operator, action Action, team string) error {
	denied := &DeniedError{Principal: op.Name, Action: action, Team: team}
	r, ok := rules[action]
	switch {
	case !ok:
		denied.Reason = ReasonUnknownAction
	case roleRank[op.Role] < roleRank[r.minRole]:
		denied.Reason = ReasonRole
	case !r.anyTeam && !op.inScope(team):
		denied.Reason = ReasonScope
	default:
		return nil
	}
	return denied
}

func (o *Operator) inScope(team string) bool {
	return len(o.Teams) == 0 || slices.Contains(o.Teams, team)
}

// AuthorizeGrant returns a *DeniedError unless op may issue a token with the
// role and scope of grant. Neither may exceed those of op: otherwise an admin
// of one team could issue a fleet-wide token and use it.
func AuthorizeGrant(op *Operator, grant *Operator) error {
	teams := grant.Teams
	if len(teams) == 0 {
		teams = []string{FleetWide}
	}
	for _, team := range teams {
		if err := Authorize(op, ActionIssueToken, team); err != nil {
			return err
		}
	}
	if roleRank[grant.Role] > roleRank[op.Role] {
		return &DeniedError{Principal: op.Name, Action: ActionIssueToken, Reason: ReasonRole}
	}
	return nil
}
