package access

import (
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// ErrOperator reports an invalid operator record.
var ErrOperator = errs.Class("access: operator")

// Role is a set of permissions of an operator.
type Role string

// The roles, from the fewest permissions to the most.
const (
	// RoleViewer may read the status and the configuration.
	RoleViewer Role = "viewer"
	// RoleEditor may also read the audit trail and change the configuration of
	// its teams.
	RoleEditor Role = "editor"
	// RoleAdmin may also resolve claims and issue tokens.
	RoleAdmin Role = "admin"
	// RoleBreakGlass may also override safeguards in an emergency. Its tokens
	// must expire.
	RoleBreakGlass Role = "breakglass"
)

// roleRank orders the roles: each includes the permissions of the lower ones.
// An unknown role has rank 0 and no permissions.
var roleRank = map[Role]int{RoleViewer: 1, RoleEditor: 2, RoleAdmin: 3, RoleBreakGlass: 4}

// Operator is a person or program that administers the fleet.
type Operator struct {
	// Name identifies the operator, also in the audit trail.
	Name string `yaml:"name" json:"name"`
	// TokenHash is the SHA-256 hash of the token, in hexadecimal.
	TokenHash string `yaml:"token_hash" json:"token_hash"`
	Role      Role   `yaml:"role" json:"role"`
	// Teams is the scope of the operator; empty means the whole fleet.
	Teams []string `yaml:"teams,omitempty" json:"teams,omitempty"`
	// Expires is when the token expires; zero means never.
	Expires time.Time `yaml:"expires,omitempty" json:"expires,omitzero"`
}

// validate rejects records that could grant more than intended.
func (o *Operator) validate() error {
	switch {
	case o.Name == "":
		return ErrOperator.New("no name")
	case roleRank[o.Role] == 0:
		return ErrOperator.New("%s: unknown role %q", o.Name, o.Role)
	case o.Role == RoleBreakGlass && o.Expires.IsZero():
		return ErrOperator.New("%s: a %s token must expire", o.Name, o.Role)
	case slices.Contains(o.Teams, ""):
		// Authorize treats the empty team as the fleet, so an empty name in
		// the list would grant access to fleet-wide resources by mistake.
		return ErrOperator.New("%s: empty team in scope", o.Name)
	}
	return nil
}

// Operators is an immutable index of operators by token.
type Operators struct {
	index hashIndex[*Operator]
}

// NewOperators indexes operators by token hash and keeps pointers into the
// slice. Errors: ErrOperator, ErrHash, ErrDuplicate.
func NewOperators(operators []Operator) (*Operators, error) {
	o := &Operators{index: hashIndex[*Operator]{}}
	for i := range operators {
		if err := operators[i].validate(); err != nil {
			return nil, err
		}
		h, err := ParseHash(operators[i].TokenHash)
		if err != nil {
			return nil, err
		}
		if err := o.index.add(h, &operators[i]); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// Authenticate returns the operator of a token that has not expired at now.
// Errors: ErrUnauthenticated, with the same text for every reason.
func (o *Operators) Authenticate(token string, now time.Time) (*Operator, error) {
	op, err := o.index.find(token, PrefixOperator)
	if err != nil {
		return nil, err
	}
	if !op.Expires.IsZero() && !now.Before(op.Expires) {
		return nil, ErrUnauthenticated.New("unknown secret")
	}
	return op, nil
}
