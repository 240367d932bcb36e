package access

import (
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// ErrOperator reports an operator record that cannot be used.
var ErrOperator = errs.Class("access: operator")

// Role says what an operator may do.
type Role string

// The roles, from least to most.
const (
	// RoleViewer reads.
	RoleViewer Role = "viewer"
	// RoleEditor also changes what its teams own.
	RoleEditor Role = "editor"
	// RoleAdmin also runs the fleet and issues tokens.
	RoleAdmin Role = "admin"
	// RoleBreakGlass also overrides safeguards, in an emergency. Its tokens
	// must expire.
	RoleBreakGlass Role = "breakglass"
)

// rank orders the roles: each may do what those below it may. An unknown role
// has rank 0 and may do nothing.
var rank = map[Role]int{RoleViewer: 1, RoleEditor: 2, RoleAdmin: 3, RoleBreakGlass: 4}

// Operator is a person or program that administers the fleet.
type Operator struct {
	// Name identifies the operator in the audit trail.
	Name string `yaml:"name" json:"name"`
	// TokenHash is the SHA-256 sum of the token, in hexadecimal.
	TokenHash string `yaml:"token_hash" json:"token_hash"`
	Role      Role   `yaml:"role" json:"role"`
	// Teams is the scope; empty means the whole fleet.
	Teams []string `yaml:"teams,omitempty" json:"teams,omitempty"`
	// Expires ends the token; zero means never.
	Expires time.Time `yaml:"expires,omitempty" json:"expires,omitzero"`
}

// validate guards against records that would grant more than was meant.
func (o *Operator) validate() error {
	switch {
	case o.Name == "":
		return ErrOperator.New("no name")
	case rank[o.Role] == 0:
		return ErrOperator.New("%s: unknown role %q", o.Name, o.Role)
	case o.Role == RoleBreakGlass && o.Expires.IsZero():
		return ErrOperator.New("%s: a %s token must expire", o.Name, o.Role)
	case slices.Contains(o.Teams, ""):
		// The empty team stands for the fleet in Authorize. A scope that
		// names it by a slip would reach everything.
		return ErrOperator.New("%s: empty team in scope", o.Name)
	}
	return nil
}

// Operators finds the operator of a token. It is immutable.
type Operators struct {
	index hashIndex[*Operator]
}

// NewOperators indexes the token hashes of operators.
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

// Authenticate returns the operator of a token that has not expired at now, or
// an ErrUnauthenticated.
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
