package access

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var now = time.Unix(1_700_000_000, 0)

func newTestSecret(t *testing.T, prefix string, seed byte) (text, hash string) {
	text, err := NewSecret(bytes.NewReader(bytes.Repeat([]byte{seed}, secretBytes)), prefix)
	require.NoError(t, err)
	return text, HashSecret(text).String()
}

func TestAuthorizeByRoleAndScope(t *testing.T) {
	roles := []Role{RoleViewer, RoleEditor, RoleAdmin, RoleBreakGlass, "nonsense"}
	// The roles that each action allows, listed independently of the rules table.
	allowedRoles := map[Action]string{
		ActionReadStatus:   "viewer editor admin breakglass",
		ActionReadConfig:   "viewer editor admin breakglass",
		ActionReadAudit:    "editor admin breakglass",
		ActionEditConfig:   "editor admin breakglass",
		ActionIssueToken:   "admin breakglass",
		ActionResolveClaim: "admin breakglass",
		ActionOverride:     "breakglass",
		"unheard.of":       "",
	}
	scopes := map[string]struct {
		teams   []string
		team    string
		outside bool
	}{
		"fleet on fleet":     {nil, FleetWide, false},
		"fleet on team":      {nil, "desk", false},
		"team on its own":    {[]string{"desk", "keys"}, "desk", false},
		"team on another":    {[]string{"desk"}, "keys", true},
		"team on fleet-wide": {[]string{"desk"}, FleetWide, true},
	}
	for action, allowed := range allowedRoles {
		for _, role := range roles {
			for name, s := range scopes {
				op := &Operator{Name: "kim", Role: role, Teams: s.teams}
				err := Authorize(op, action, s.team)
				roleAllowed := slices.Contains(strings.Fields(allowed), string(role))
				if roleAllowed && (!s.outside || action == ActionReadStatus) {
					assert.NoError(t, err, "%s %s %s", role, action, name)
					continue
				}
				var denied *DeniedError
				require.ErrorAs(t, err, &denied, "%s %s %s", role, action, name)
				assert.Equal(t, DeniedError{"kim", action, s.team, denied.Reason}, *denied)
				assert.Equal(t, roleAllowed, denied.Reason == ReasonScope)
			}
		}
	}
}

// Guards against privilege escalation: an admin of one team must not obtain
// access to another team by issuing a token that exceeds its own role or scope.
func TestGrantBeyondOwnRoleOrScopeIsDenied(t *testing.T) {
	teamAdmin := &Operator{Name: "kim", Role: RoleAdmin, Teams: []string{"desk"}}
	fleetAdmin := &Operator{Name: "ada", Role: RoleAdmin}
	for name, tc := range map[string]struct {
		by, grant *Operator
		want      Reason
	}{
		"own scope":               {teamAdmin, &Operator{Role: RoleAdmin, Teams: []string{"desk"}}, ""},
		"team by fleet":           {fleetAdmin, &Operator{Role: RoleEditor, Teams: []string{"keys"}}, ""},
		"another team":            {teamAdmin, &Operator{Role: RoleViewer, Teams: []string{"desk", "keys"}}, ReasonScope},
		"the whole fleet":         {teamAdmin, &Operator{Role: RoleViewer}, ReasonScope},
		"a higher role":           {fleetAdmin, &Operator{Role: RoleBreakGlass}, ReasonRole},
		"role of granter too low": {&Operator{Role: RoleEditor}, &Operator{Role: RoleViewer}, ReasonRole},
	} {
		err := AuthorizeGrant(tc.by, tc.grant)
		if tc.want == "" {
			assert.NoError(t, err, name)
			continue
		}
		var denied *DeniedError
		require.ErrorAs(t, err, &denied, name)
		assert.Equal(t, tc.want, denied.Reason, name)
	}
}

// If two operators were stored with the same token hash, a lookup would return
// the first match and one operator would act as the other.
func TestNewOperatorsRejectsDuplicateAndMalformedHashes(t *testing.T) {
	_, h := newTestSecret(t, PrefixOperator, 1)
	kim, lee := Operator{Name: "kim", Role: RoleViewer, TokenHash: h}, Operator{Name: "lee", Role: RoleViewer, TokenHash: strings.ToUpper(h)}
	_, err := NewOperators([]Operator{kim, lee})
	assert.True(t, ErrDuplicate.Has(err))
	for _, bad := range []string{"", "zz", h[2:], h + "00"} {
		kim.TokenHash = bad
		_, err = NewOperators([]Operator{kim})
		assert.True(t, ErrHash.Has(err), bad)
	}
}

// A secret authenticates only with its full text and the right prefix.
func TestAuthenticateRejectsPartialOrForeignSecret(t *testing.T) {
	token, tokenHash := newTestSecret(t, PrefixOperator, 1)
	key, keyHash := newTestSecret(t, PrefixAPIKey, 2)
	ops, err := NewOperators([]Operator{
		{Name: "kim", Role: RoleViewer, TokenHash: tokenHash}, {Name: "lee", Role: RoleViewer, TokenHash: keyHash},
	})
	require.NoError(t, err)
	for _, other := range []string{
		"", PrefixOperator, token + "x", token[:10], tokenHash, key, PrefixOperator + strings.Repeat("x", maxSecretLen),
	} {
		_, err := ops.Authenticate(other, now)
		assert.True(t, ErrUnauthenticated.Has(err), other)
	}
	op, err := ops.Authenticate(token, now)
	require.NoError(t, err)
	assert.Equal(t, "kim", op.Name)
}

func TestExpiredTokenAndInvalidOperators(t *testing.T) {
	token, hash := newTestSecret(t, PrefixOperator, 1)
	ops, err := NewOperators([]Operator{{Name: "kim", TokenHash: hash, Role: RoleBreakGlass, Expires: now}})
	require.NoError(t, err)
	op, err := ops.Authenticate(token, now.Add(-time.Second))
	require.NoError(t, err)
	assert.Equal(t, "kim", op.Name)
	_, expired := ops.Authenticate(token, now)
	_, unknown := ops.Authenticate(token+"x", now)
	assert.True(t, ErrUnauthenticated.Has(expired))
	assert.Equal(t, unknown.Error(), expired.Error())

	for name, bad := range map[string]Operator{
		"no name":                    {TokenHash: hash, Role: RoleViewer},
		"unknown role":               {Name: "kim", TokenHash: hash, Role: "root"},
		"break glass without expiry": {Name: "kim", TokenHash: hash, Role: RoleBreakGlass},
		"empty team":                 {Name: "kim", TokenHash: hash, Role: RoleAdmin, Teams: []string{""}},
	} {
		_, err := NewOperators([]Operator{bad})
		assert.True(t, ErrOperator.Has(err), name)
	}
}

func TestNewSecretFailsWithoutRandomBytes(t *testing.T) {
	_, err := NewSecret(io.LimitReader(bytes.NewReader(make([]byte, 99)), secretBytes-1), PrefixAPIKey)
	assert.True(t, ErrRandom.Has(err))
	assert.True(t, errors.Is(err, io.ErrUnexpectedEOF))
	text, _ := newTestSecret(t, PrefixAPIKey, 0xff)
	assert.Len(t, text, len(PrefixAPIKey)+43)
}

func BenchmarkAuthenticate(b *testing.B) {
	var operators []Operator
	for i := range 410 {
		hash := HashSecret(PrefixOperator + string(rune(i+1))).String()
		operators = append(operators, Operator{Name: "kim", Role: RoleViewer, TokenHash: hash})
	}
	ops, err := NewOperators(operators)
	require.NoError(b, err)
	token := PrefixOperator + string(rune(200))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = ops.Authenticate(token, now)
	}
}
