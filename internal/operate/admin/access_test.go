package admin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/admin/client"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPermissionsByRoleAndScope(t *testing.T) {
	h := newHarness(t)
	h.addClaim("mills", "k")
	h.addClaim("pumps", "k")
	get := func(path string) func(string) *api.Failure {
		return func(token string) *api.Failure { return h.get(token, path, nil) }
	}
	post := func(path string, body any) func(string) *api.Failure {
		return func(token string) *api.Failure { return h.post(token, path, body, nil) }
	}
	apply := func(files api.Files, withdraw bool) func(string) *api.Failure {
		return func(token string) *api.Failure {
			// The base version is not active: permitted operators get a conflict
			// and nothing is written, so the cases stay independent.
			_, f := h.sendChange(token, api.PathConfig, "id", 7, api.ApplyRequest{Files: files, Withdraw: withdraw})
			return f
		}
	}
	resolve := func(account string) func(string) *api.Failure {
		// The claim never had this version: permitted operators get a conflict.
		return post(api.PathResolve, api.ResolveRequest{Account: account, Key: "k", Verdict: claim.VerdictExecuted, Seen: 99})
	}
	const fleet, scoped = "viewer editor admin breakglass", "desk-viewer desk-editor desk-admin desk-breakglass"
	actions := map[string]struct {
		do func(token string) *api.Failure
		// may lists the permitted operators, independently of the rules table.
		may string
	}{
		"head":                {get(api.PathConfig), fleet + " " + scoped},
		"files":               {get(api.PathConfig + "/1"), fleet + " desk-editor desk-admin desk-breakglass"},
		"history":             {get(api.PathHistory), fleet + " " + scoped},
		"status":              {get(api.PathStatus), fleet + " " + scoped},
		"check":               {post(api.PathCheck, api.CheckRequest{Files: testFiles()}), fleet + " desk-editor desk-admin desk-breakglass"},
		"diff":                {post(api.PathDiff, api.DiffRequest{From: 1}), fleet + " desk-editor desk-admin desk-breakglass"},
		"apply":               {apply(testFiles(), false), "editor admin breakglass desk-editor desk-admin desk-breakglass"},
		"apply, withdraw":     {apply(testFiles(), true), "breakglass"},
		"accounts":            {get(api.PathAccounts), fleet + " " + scoped},
		"pools":               {get(api.PathPools), fleet + " " + scoped},
		"fleet":               {get(api.PathFleet), fleet + " " + scoped},
		"own claim":           {get(api.PathClaims + "?account=mills&key=k"), fleet + " " + scoped},
		"another's claim":     {get(api.PathClaims + "?account=pumps&key=k"), fleet},
		"claim of no account": {get(api.PathClaims + "?account=gone&key=k"), fleet},
		"resolve own":         {resolve("mills"), "admin breakglass desk-admin desk-breakglass"},
		"resolve another":     {resolve("pumps"), "admin breakglass"},
		"audit":               {get(api.PathAudit), "editor admin breakglass desk-editor desk-admin desk-breakglass"},
		"operators":           {get(api.PathOperators), "admin breakglass desk-admin desk-breakglass"},
		"grant fleet":         {post(api.PathOperators, api.AddOperatorRequest{Name: "x", Role: "viewer", Teams: []string{"none"}}), "admin breakglass"},
		"grant breakglass":    {post(api.PathOperators, api.AddOperatorRequest{Name: "x", Role: "breakglass"}), "breakglass"},
		"revoke":              {func(token string) *api.Failure { return h.revoke(token, "victim") }, "admin breakglass"},
	}
	tokens := make(map[string]string)
	h.addOperator("victim", access.RoleViewer)
	for _, role := range []access.Role{access.RoleViewer, access.RoleEditor, access.RoleAdmin, access.RoleBreakGlass} {
		tokens[string(role)] = h.addOperator(string(role), role)
		tokens["desk-"+string(role)] = h.addOperator("desk-"+string(role), role, "desk")
	}
	for name, action := range actions {
		for who, token := range tokens {
			f := action.do(token)
			denied := f != nil && f.Status == http.StatusForbidden
			may := strings.Contains(" "+action.may+" ", " "+who+" ")
			assert.Equal(t, may, !denied, "%s by %s: %v", name, who, f)
			if f != nil {
				assert.Equal(t, apierr.RanNo, f.Ran)
			}
		}
	}
}

func (h *harness) revoke(token, name string) *api.Failure {
	h.t.Helper()
	return h.call(token, client.Request{Method: http.MethodDelete, Path: api.PathOperators + "/" + name}, nil)
}

func TestInvalidTokensAreRejected(t *testing.T) {
	h := newHarness(t)
	kim := h.addOperator("kim", access.RoleEditor)
	breakGlass := h.addOperator("glass", access.RoleBreakGlass)
	require.Nil(t, h.get(kim, api.PathConfig, nil))
	revoked := h.addOperator("gone", access.RoleAdmin)
	require.Nil(t, h.revoke(rootToken, "gone"))
	rejected := map[string]string{
		"none":             "",
		"forged":           kim[:len(kim)-1] + "x",
		"malformed":        "root",
		"an API key":       access.PrefixAPIKey + kim[len(access.PrefixOperator):],
		"hash for a token": access.HashSecret(rootToken).String(),
		"revoked":          revoked,
	}
	h.advance(time.Hour)
	rejected["expired"] = breakGlass
	for name, token := range rejected {
		f := h.get(token, api.PathConfig, nil)
		require.NotNil(t, f, name)
		assert.Equal(t, http.StatusUnauthorized, f.Status, name)
		assert.Equal(t, apierr.CodeUnauthorized, f.Code, name)
		_, f = h.applyFiles(token, 1, testFiles())
		assert.Equal(t, apierr.RanNo, f.Ran, name)
	}
}

// A token that is revoked at one router must be rejected by another one after
// refreshInterval. It would stay valid if the other router kept its cached list.
func TestTokenRevokedAtAnotherRouterIsRejected(t *testing.T) {
	h := newHarness(t)
	other, err := New(h.admin.Options)
	require.NoError(t, err)
	kim := h.addOperator("kim", access.RoleAdmin)
	require.Nil(t, h.get(kim, api.PathConfig, nil))
	require.Nil(t, other.serveDuring(h, func() *api.Failure { return h.revoke(rootToken, "kim") }))
	h.advance(refreshInterval)
	assert.Equal(t, http.StatusUnauthorized, h.get(kim, api.PathConfig, nil).Status)
}

// serveDuring makes s handle the requests that f sends.
func (s *Server) serveDuring(h *harness, f func() *api.Failure) *api.Failure {
	old := h.server.Config.Handler
	defer func() { h.server.Config.Handler = old }()
	h.server.Config.Handler = s.Handler()
	return f()
}

// A late copy of the transaction that added an operator must not restore it
// after it was revoked. The reply to the first copy is lost, a retry adds the
// operator, it is revoked, and the first copy arrives. If revoking deleted the
// row, the condition of the late copy, that the row is absent, would hold
// again.
func TestLateCommitDoesNotRestoreRevokedOperator(t *testing.T) {
	h := newHarness(t)
	h.store.Script(platformtest.OpCommit, platformtest.LateEffect)
	kim := h.addOperator("kim", access.RoleAdmin)
	require.Nil(t, h.revoke(rootToken, "kim"))
	h.store.DeliverLate()
	h.advance(refreshInterval)
	assert.Equal(t, http.StatusUnauthorized, h.get(kim, api.PathConfig, nil).Status)
}

// If two admins issue a token for the same name at once, one must get a conflict.
// Otherwise the second row would overwrite the first, and the first token could
// not be revoked.
func TestConcurrentGrantsOfOneNameConflict(t *testing.T) {
	h := newHarness(t)
	var first string
	h.store.Before(func(_ context.Context, c platformtest.Call) {
		if c.Op == platformtest.OpCommit {
			h.store.Before(nil)
			first = h.addOperator("kim", access.RoleViewer)
		}
	})
	f := h.post(rootToken, api.PathOperators, api.AddOperatorRequest{Name: "kim", Role: access.RoleAdmin}, nil)
	require.NotNil(t, f)
	assert.Equal(t, []any{apierr.CodeConflict, apierr.RanNo}, []any{f.Code, f.Ran})
	assert.Nil(t, h.get(first, api.PathConfig, nil))
}

// Many requests with invalid tokens must cause only one read of the store. With a
// read for each token they would exhaust the store's call budget and lock
// operators out.
func TestInvalidTokensCostOneStoreRead(t *testing.T) {
	h := newHarness(t)
	before := h.store.Count(platformtest.OpScan)
	for i := range 50 {
		assert.Equal(t, http.StatusUnauthorized, h.get(fmt.Sprint(access.PrefixOperator, i), api.PathConfig, nil).Status)
	}
	assert.Equal(t, before+1, h.store.Count(platformtest.OpScan))
}

func TestOperatorLifecycleAndValidation(t *testing.T) {
	h := newHarness(t)
	first := h.addOperator("kim", access.RoleAdmin, "desk")
	f := h.post(rootToken, api.PathOperators, api.AddOperatorRequest{Name: "kim", Role: access.RoleAdmin}, nil)
	require.NotNil(t, f, "kim has a token already")
	assert.Equal(t, apierr.CodeConflict, f.Code)
	require.Nil(t, h.revoke(rootToken, "kim"))
	require.Nil(t, h.revoke(rootToken, "kim"), "revoking twice is no error")
	second := h.addOperator("kim", access.RoleAdmin, "desk")
	assert.NotEqual(t, first, second)
	h.addOperator("ada", access.RoleAdmin)

	var page api.Page[api.Operator]
	require.Nil(t, h.get(second, api.PathOperators, &page))
	require.Len(t, page.Items, 1, "an admin of a team sees the team's operators")
	assert.Equal(t, api.Operator{Name: "kim", Role: access.RoleAdmin, Teams: []string{"desk"}, Created: startTime, CreatedBy: BootstrapOperator}, page.Items[0])

	for name, req := range map[string]api.AddOperatorRequest{
		"unknown role":                   {Name: "x", Role: "root"},
		"unknown team":                   {Name: "x", Role: "viewer", Teams: []string{"dessk"}},
		"name with a slash":              {Name: "a/b", Role: "viewer"},
		"name of the bootstrap operator": {Name: BootstrapOperator, Role: "viewer"},
		"breakglass without expiry":      {Name: "x", Role: access.RoleBreakGlass},
		"expiry in the past":             {Name: "x", Role: "viewer", ExpiresIn: -1},
		"team without a name":            {Name: "x", Role: "viewer", Teams: []string{""}},
		"expiry out of range":            {Name: "x", Role: "viewer", ExpiresIn: 1 << 62},
	} {
		f := h.post(rootToken, api.PathOperators, req, nil)
		require.NotNil(t, f, name)
		assert.Equal(t, http.StatusBadRequest, f.Status, "%s: %v", name, f)
	}
	assert.Equal(t, http.StatusNotFound, h.revoke(rootToken, "nobody").Status)
}
