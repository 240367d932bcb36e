package admin

import (
	"context"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func (h *harness) auditEntries(token, query string) []audit.Entry {
	h.t.Helper()
	var page api.Page[audit.Entry]
	require.Nil(h.t, h.get(token, api.PathAudit+query, &page))
	return page.Items
}

func TestAuditRecordsActorActionTimeAndVersion(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Minute)
	ada := h.addOperator("ada", access.RoleAdmin, "desk")
	h.advance(time.Minute)
	_, f := h.applyFiles(ada, 1, replaceInBase("weight: 2", "weight: 4"))
	require.Nil(t, f)
	h.advance(time.Minute)
	seen := h.addClaim("mills", "secret-key")
	var v claim.View
	require.Nil(t, h.get(ada, api.PathClaims+"?account=mills&key=secret-key", &v))
	require.Nil(t, h.post(ada, api.PathResolve, api.ResolveRequest{Account: "mills", Key: "secret-key", Verdict: claim.VerdictExecuted, Seen: v.Version}, &v))
	assert.Equal(t, claim.StateDone, v.State)
	h.advance(time.Minute)
	require.Nil(t, h.revoke(rootToken, "ada"))

	at := func(minutes int) time.Time { return startTime.Add(time.Duration(minutes) * time.Minute) }
	got := h.auditEntries(rootToken, "")
	require.Len(t, got, 6)
	assert.Equal(t, got[1].ID, got[2].ID, "the two entries of one operation")
	for i := range got {
		got[i].ID = ""
	}
	// The first transaction of the store accepted version 1; the second added
	// the operator.
	const added = 2
	target := claimTarget(claim.Key{Account: "mills", IdempotencyKey: "secret-key"})
	assert.NotContains(t, target, "secret-key")
	assert.Equal(t, []audit.Entry{
		{Number: 4, Time: at(4), Actor: BootstrapOperator, Action: audit.ActionOperatorRevoke, Outcome: audit.OutcomeDone, Team: "desk", Target: "operator ada", FromVersion: added, Detail: "admin of desk"},
		{Number: 3, Time: at(3), Actor: "ada", Action: audit.ActionClaimResolve, Outcome: audit.OutcomeDone, Team: "desk", Target: target, FromVersion: seen, Detail: "ran"},
		{Number: 2, Time: at(3), Actor: "ada", Action: audit.ActionClaimResolve, Outcome: audit.OutcomeBegun, Team: "desk", Target: target, FromVersion: seen, Detail: "ran"},
		{Number: 2, Time: at(2), Actor: "ada", Action: audit.ActionConfigAccept, Outcome: audit.OutcomeDone, Target: "version 2", FromVersion: 1, Detail: "why"},
		{Number: 1, Time: at(1), Actor: BootstrapOperator, Action: audit.ActionOperatorAdd, Outcome: audit.OutcomeDone, Team: "desk", Target: "operator ada", Detail: "admin of desk"},
		{Number: 1, Time: at(0), Actor: "seed", Action: audit.ActionConfigAccept, Outcome: audit.OutcomeDone, Target: "version 1"},
	}, got)
	desk := h.addOperator("desk-editor", access.RoleEditor, "desk")
	assert.Len(t, h.auditEntries(desk, ""), 5, "the entries of its team, including its own, but no fleet-wide ones")
	assert.Empty(t, h.auditEntries(rootToken, "?team=portal"))
}

// shortCallTimeout ends a request during an outage. The expected results do not
// depend on when the timeout occurs.
const shortCallTimeout = 200 * time.Millisecond

// A verdict must not take effect without an audit entry. This would happen if the
// entry were written only after the verdict and the store failed in between.
func TestVerdictIsNotAppliedWithoutAuditEntry(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"refused":     platformtest.Down,
		"late effect": platformtest.LateEffect,
	} {
		h := newHarness(t)
		h.admin.CallTimeout = shortCallTimeout
		seen := h.addClaim("mills", "k")
		req := api.ResolveRequest{Account: "mills", Key: "k", Verdict: claim.VerdictNotExecuted, Seen: seen}
		h.store.Before(func(_ context.Context, c platformtest.Call) {
			if c.Op == platformtest.OpCommit && c.Use == platform.UseAudit {
				h.store.SetDown(true)
			}
		})
		h.store.Script(platformtest.OpCommit, fault)
		f := h.post(rootToken, api.PathResolve, req, nil)
		require.NotNil(t, f, name)
		assert.Equal(t, []any{apierr.CodeStoreUnavailable, apierr.RanNo}, []any{f.Code, f.Ran}, name)
		h.store.Before(nil)
		h.store.SetDown(false)
		var v claim.View
		require.Nil(t, h.get(rootToken, api.PathClaims+"?account=mills&key=k", &v))
		assert.Equal(t, claim.StateClaimed, v.State, name)
	}
}

func TestRejectedVerdictsAreRecordedAsFailed(t *testing.T) {
	h := newHarness(t)
	seen := h.addClaim("mills", "k")
	for name, tc := range map[string]struct {
		req  api.ResolveRequest
		code apierr.Code
	}{
		"another version":  {api.ResolveRequest{Account: "mills", Key: "k", Verdict: claim.VerdictExecuted, Seen: seen + 1}, apierr.CodeConflict},
		"unknown verdict":  {api.ResolveRequest{Account: "mills", Key: "k", Verdict: "perhaps", Seen: seen}, apierr.CodeConflict},
		"no such claim":    {api.ResolveRequest{Account: "mills", Key: "other", Verdict: claim.VerdictExecuted, Seen: seen}, apierr.CodeNotFound},
		"no key":           {api.ResolveRequest{Account: "mills", Verdict: claim.VerdictExecuted, Seen: seen}, apierr.CodeBadRequest},
		"another's claims": {api.ResolveRequest{Account: "pumps", Key: "k", Verdict: claim.VerdictExecuted, Seen: seen}, apierr.CodeNotFound},
	} {
		h.advance(time.Second)
		f := h.post(rootToken, api.PathResolve, tc.req, nil)
		require.NotNil(t, f, name)
		assert.Equal(t, []any{tc.code, apierr.RanNo}, []any{f.Code, f.Ran}, name)
		assert.Equal(t, audit.OutcomeFailed, h.auditEntries(rootToken, "?limit=1")[0].Outcome, name)
	}
}

// If the store's reply to the write of the claim is lost, the operator must be able
// to repeat the verdict without an error to learn that it took effect.
func TestVerdictCanBeRepeatedAfterLostReply(t *testing.T) {
	h := newHarness(t)
	seen := h.addClaim("mills", "k")
	req := api.ResolveRequest{Account: "mills", Key: "k", Verdict: claim.VerdictExecuted, Seen: seen}
	h.store.Script(platformtest.OpCommit, platformtest.None, platformtest.LoseReplyAfterEffect)
	h.advance(time.Second)
	f := h.post(rootToken, api.PathResolve, req, nil)
	require.NotNil(t, f)
	assert.Equal(t, []any{apierr.CodeOutcomeUnknown, apierr.RanUnknown}, []any{f.Code, f.Ran})
	assert.Equal(t, audit.OutcomeUnknown, h.auditEntries(rootToken, "?limit=1")[0].Outcome)
	assert.Nil(t, h.post(rootToken, api.PathResolve, req, nil))
}

func TestAuditPagesAreStableDuringWrites(t *testing.T) {
	h := newHarness(t)
	for _, name := range []string{"a", "b", "c"} {
		h.addOperator(name, access.RoleViewer)
	}
	var got []string
	query := "?limit=2"
	for i := 0; query != ""; i++ {
		var page api.Page[audit.Entry]
		require.Nil(t, h.get(rootToken, api.PathAudit+query, &page))
		for _, e := range page.Items {
			got = append(got, e.Target)
		}
		query = ""
		if page.Next != "" {
			query = "?limit=2&cursor=" + page.Next
		}
		h.addOperator("late-"+string(rune('a'+i)), access.RoleViewer)
	}
	assert.Equal(t, []string{"version 1", "operator c", "operator b", "operator a"}, got)
}
