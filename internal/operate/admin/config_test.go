package admin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/admin/client"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestApplyAndRollback(t *testing.T) {
	h := newHarness(t)
	var head config.Head
	require.Nil(t, h.get(rootToken, api.PathConfig, &head))
	assert.Equal(t, h.activeVersion.Number, head.Version)
	v, f := h.applyFiles(rootToken, 1, replaceInBase("weight: 2", "weight: 4"))
	require.Nil(t, f)
	assert.Equal(t, []any{uint64(2), BootstrapOperator, "why"}, []any{v.Number, v.Author, v.Comment})
	assert.Equal(t, []config.Head{{Version: 2, Hash: v.Hash}}, h.acceptedHeads)

	var diff api.DiffReply
	require.Nil(t, h.post(rootToken, api.PathDiff, api.DiffRequest{From: 1}, &diff))
	assert.Equal(t, []config.Difference{{Op: config.OpChanged, Path: "base.yaml: accounts[mills].weight", Old: "2", New: "4"}}, diff.Lines)

	back, f := h.sendChange(rootToken, api.PathRollback, "back", 2, api.RollbackRequest{To: 1})
	require.Nil(t, f)
	assert.Equal(t, []any{uint64(3), uint64(1), h.activeVersion.Hash}, []any{back.Number, back.RollbackTo, back.Hash})
	var shown api.VersionFiles
	require.Nil(t, h.get(rootToken, api.PathConfig+"/3", &shown))
	assert.Equal(t, testFiles(), shown.Files)
	assert.Equal(t, http.StatusNotFound, h.get(rootToken, api.PathConfig+"/9", nil).Status)
}

// If two operators apply changes based on the same version at once, one must get a
// conflict. Otherwise the second change would silently overwrite the first.
func TestConcurrentChangesConflict(t *testing.T) {
	h := newHarness(t)
	tokens := []string{h.addOperator("kim", access.RoleEditor), h.addOperator("ada", access.RoleEditor)}
	versions := make([]config.Version, 2)
	failures := make([]*api.Failure, 2)
	var wg sync.WaitGroup
	for i, token := range tokens {
		wg.Go(func() {
			req := api.ApplyRequest{Files: replaceInBase("weight: 2", fmt.Sprint("weight: ", 5+i))}
			versions[i], failures[i] = h.sendChange(token, api.PathConfig, fmt.Sprint("race-", i), 1, req)
		})
	}
	wg.Wait()
	loser := slices.IndexFunc(failures, func(f *api.Failure) bool { return f != nil })
	require.NotEqual(t, -1, loser)
	winner := versions[1-loser]
	require.Nil(t, failures[1-loser])
	f := failures[loser]
	assert.Equal(t, []any{apierr.CodeConflict, http.StatusConflict, apierr.RanNo}, []any{f.Code, f.Status, f.Ran})
	assert.Equal(t, &api.Conflict{Version: 2, Hash: winner.Hash.String(), Author: winner.Author, Expected: 1}, f.Conflict)
}

// If the store's reply to the transaction is lost, a change that took effect must
// not be reported as failed or conflicting. A retry with the same id must return
// the accepted version.
func TestChangeWithLostReplyTakesEffectOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		fault platformtest.Fault
		down  bool
	}{
		"lost after the effect":                 {platformtest.LoseReplyAfterEffect, false},
		"lost before the effect":                {platformtest.LoseBeforeEffect, false},
		"delivered twice":                       {platformtest.Duplicate, false},
		"lost after the effect, then an outage": {platformtest.LoseReplyAfterEffect, true},
	} {
		h := newHarness(t)
		req := api.ApplyRequest{Files: replaceInBase("weight: 2", "weight: 4")}
		h.store.Script(platformtest.OpCommit, tc.fault)
		if tc.down {
			h.store.After(func(c platformtest.Call) {
				h.store.SetDown(c.Op == platformtest.OpCommit || c.Fault == platformtest.Down)
			})
		}
		v, f := h.sendChange(rootToken, api.PathConfig, "one", 1, req)
		if tc.down {
			require.NotNil(t, f, name)
			assert.Equal(t, []any{apierr.CodeOutcomeUnknown, apierr.RanUnknown}, []any{f.Code, f.Ran}, name)
			assert.Positive(t, f.RetryAfter(), name)
			h.store.After(nil)
			h.store.SetDown(false)
			v, f = h.sendChange(rootToken, api.PathConfig, "one", 1, req)
		}
		require.Nil(t, f, name)
		assert.Equal(t, uint64(2), v.Number, name)
		again, f := h.sendChange(rootToken, api.PathConfig, "one", 1, req)
		require.Nil(t, f, name)
		assert.Equal(t, v, again, name)
		_, f = h.sendChange(rootToken, api.PathConfig, "one", 1, api.ApplyRequest{Files: testFiles()})
		assert.Equal(t, apierr.CodeKeyReused, f.Code, name)
	}
}

// During a store outage, operators must be able to read data that does not come
// from the store, and rejected changes must be reported as not executed.
func TestStoreOutageAllowsReadsAndRejectsChanges(t *testing.T) {
	h := newHarness(t)
	kim := h.addOperator("kim", access.RoleAdmin)
	require.Nil(t, h.get(kim, api.PathConfig, nil))
	h.store.SetDown(true)
	h.advance(refreshInterval)
	for _, path := range []string{api.PathFleet, api.PathStatus, api.PathAccounts, api.PathPools} {
		assert.Nil(t, h.get(kim, path, nil), path)
	}
	before := h.storedRows()
	rejected := map[string]*api.Failure{
		"head":     h.get(kim, api.PathConfig, nil),
		"history":  h.get(kim, api.PathHistory, nil),
		"audit":    h.get(kim, api.PathAudit, nil),
		"claim":    h.get(kim, api.PathClaims+"?account=mills&key=k", nil),
		"grant":    h.post(rootToken, api.PathOperators, api.AddOperatorRequest{Name: "x", Role: "viewer"}, nil),
		"resolve":  h.post(rootToken, api.PathResolve, api.ResolveRequest{Account: "mills", Key: "k", Verdict: "ran"}, nil),
		"by token": h.post(kim, api.PathCheck, api.CheckRequest{Files: testFiles()}, nil),
	}
	_, rejected["apply"] = h.applyFiles(rootToken, 1, replaceInBase("weight: 2", "weight: 4"))
	for name, f := range rejected {
		require.NotNil(t, f, name)
		assert.Equal(t, []any{apierr.CodeStoreUnavailable, http.StatusServiceUnavailable, apierr.RanNo}, []any{f.Code, f.Status, f.Ran}, name)
		assert.Positive(t, f.RetryAfter(), name)
	}
	assert.Equal(t, before, h.storedRows())
	h.advance(maxStaleness)
	assert.Equal(t, apierr.CodeStoreUnavailable, h.get(kim, api.PathFleet, nil).Code, "an outdated list is not used forever")
	assert.Nil(t, h.get(rootToken, api.PathFleet, nil), "the bootstrap token does not need the store")
}

// If the list of operators cannot be read, changes must be rejected even though the
// rest of the store works. With an outdated list, an operator whose token was just
// revoked could still make changes.
func TestChangeNeedsCurrentOperatorList(t *testing.T) {
	h := newHarness(t)
	kim := h.addOperator("kim", access.RoleAdmin)
	require.Nil(t, h.get(kim, api.PathConfig, nil))
	h.advance(refreshInterval)
	h.store.Script(platformtest.OpScan, platformtest.Down)
	before := h.storedRows()
	_, f := h.applyFiles(kim, 1, replaceInBase("weight: 2", "weight: 4"))
	require.NotNil(t, f)
	assert.Equal(t, []any{apierr.CodeStoreUnavailable, apierr.RanNo}, []any{f.Code, f.Ran})
	assert.Equal(t, before, h.storedRows())
	assert.Nil(t, h.get(kim, api.PathConfig, nil), "reads are still allowed")
}

// A failed read, here of a corrupt row, must be reported as having no effect.
// Unexpected errors of changes are reported as "unknown" instead.
func TestFailedReadReportsNoEffect(t *testing.T) {
	h := newHarness(t)
	_, err := h.store.Store().Commit([]platform.Write{{Table: config.TableHead, Key: config.HeadKey, Value: []byte("{"), IfVersion: 1}})
	require.NoError(t, err)
	f := h.get(rootToken, api.PathConfig, nil)
	require.NotNil(t, f)
	assert.Equal(t, []any{apierr.CodeInternal, apierr.RanNo}, []any{f.Code, f.Ran})
	_, f = h.applyFiles(rootToken, 1, testFiles())
	assert.Equal(t, []any{apierr.CodeInternal, apierr.RanUnknown}, []any{f.Code, f.Ran})
}

// An editor must not be able to change sections of another team, although a
// configuration is always submitted and accepted as a whole.
func TestChangeOutsideTeamScopeIsRejected(t *testing.T) {
	overlay := func(text string) api.Files {
		f := testFiles()
		f.Overlays["north"] = text
		return f
	}
	for name, tc := range map[string]struct {
		files api.Files
		paths string
	}{
		"own account":          {replaceInBase("weight: 2", "weight: 4"), ""},
		"own overlay":          {overlay(strings.Replace(overlayText, "weight: 3", "weight: 4", 1)), ""},
		"comments":             {replaceInBase("teams:", "# hello\nteams:"), ""},
		"new own account":      {replaceInBase("accounts:", "accounts:\n  - {name: new, team: desk, key_hashes: []}"), ""},
		"another's account":    {replaceInBase("{name: pumps, team: portal,", "{name: pumps, team: portal, weight: 9,"), "base.yaml: accounts[pumps].weight"},
		"another's key":        {replaceInBase(fmt.Sprintf("%064d", 2), fmt.Sprintf("%064d", 3)), fmt.Sprintf("base.yaml: accounts[pumps].key_hashes[%064d]|base.yaml: accounts[pumps].key_hashes[%064d]", 2, 3)},
		"account moved away":   {replaceInBase("{name: mills, team: desk,", "{name: mills, team: portal,"), "base.yaml: accounts[mills].team|sites/north.yaml: accounts[mills]"},
		"account moved in":     {replaceInBase("{name: pumps, team: portal,", "{name: pumps, team: desk,"), "base.yaml: accounts[pumps].team|sites/north.yaml: accounts[pumps]"},
		"new account, another": {replaceInBase("accounts:", "accounts:\n  - {name: new, team: portal, key_hashes: []}"), "base.yaml: accounts[new].name|base.yaml: accounts[new].team"},
		"another's service":    {replaceInBase("team: portal, pool: web", "team: portal, pool: web, deduplicates: true"), "base.yaml: services[portal].deduplicates"},
		"order of its routes":  {replaceInBase("{method: GET, path: /a/*}, {method: GET, path: /*/b}", "{method: GET, path: /*/b}, {method: GET, path: /a/*}"), "base.yaml: services[portal]"},
		"another's overlay":    {overlay("site: north\naccounts: [{name: mills, weight: 3}]\n"), "sites/north.yaml: accounts[pumps].name|sites/north.yaml: accounts[pumps].weight"},
		"pool in base":         {replaceInBase("pools:", "pools:\n  - {name: more, sites: [north]}"), "base.yaml: pools[more].name|base.yaml: pools[more].sites[north]"},
		"pool in overlay":      {overlay(overlayText + "pools: [{name: language, max_batch: 9}]\n"), "sites/north.yaml: pools[language].max_batch|sites/north.yaml: pools[language].name"},
		"new team":             {replaceInBase("[{name: desk}", "[{name: more}, {name: desk}"), "base.yaml: teams[more].name"},
	} {
		h := newHarness(t)
		kim := h.addOperator("kim", access.RoleEditor, "desk")
		before := h.storedRows()
		v, f := h.applyFiles(kim, 1, tc.files)
		var check api.CheckReply
		require.Nil(t, h.post(rootToken, api.PathCheck, api.CheckRequest{Files: tc.files}, &check))
		assert.Empty(t, check.Problems, "%s: the files are valid", name)
		if tc.paths == "" {
			require.Nil(t, f, name)
			assert.Equal(t, uint64(2), v.Number, name)
			continue
		}
		require.NotNil(t, f, name)
		assert.Equal(t, []any{apierr.CodeForbidden, http.StatusForbidden, apierr.RanNo}, []any{f.Code, f.Status, f.Ran}, name)
		assert.Equal(t, strings.Split(tc.paths, "|"), f.Paths, name)
		assert.Equal(t, before, h.storedRows(), "%s: nothing is written", name)
		require.Nil(t, h.post(kim, api.PathCheck, api.CheckRequest{Files: tc.files}, &check))
		assert.Equal(t, f.Paths, check.Forbidden, name)

		_, f = h.applyFiles(rootToken, 1, tc.files)
		require.Nil(t, f, name)
		_, f = h.sendChange(kim, api.PathRollback, "back", 2, api.RollbackRequest{To: 1})
		assert.Equal(t, apierr.CodeForbidden, f.Code, "%s: by rollback", name)
	}
}

func TestChangeFromUnknownVersionConflicts(t *testing.T) {
	h := newHarness(t)
	_, f := h.applyFiles(h.addOperator("kim", access.RoleEditor, "desk"), 7, replaceInBase("weight: 2", "weight: 4"))
	assert.Equal(t, &api.Conflict{Version: 1, Hash: h.activeVersion.Hash.String(), Author: "seed", Expected: 7}, f.Conflict)
}

func TestWithdrawingAModelNeedsOverride(t *testing.T) {
	h := newHarness(t)
	files := replaceInBase(`  - {name: language, sites: [north], model: dossier, version: "1"}`+"\n", "")
	_, f := h.applyFiles(rootToken, 1, files)
	require.NotNil(t, f)
	assert.Equal(t, []any{apierr.CodeInvalidConfig, apierr.RanNo}, []any{f.Code, f.Ran})
	require.Len(t, f.Problems, 1)
	assert.Contains(t, f.Problems[0].Reason, "model dossier")
	_, f = h.sendChange(rootToken, api.PathConfig, "on-purpose", 1, api.ApplyRequest{Files: files, Withdraw: true})
	assert.Nil(t, f)
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	h := newHarness(t)
	validHeader := http.Header{"If-Match": {etag(1)}, api.HeaderChangeID: {"id"}}
	without := func(name string) http.Header {
		header := validHeader.Clone()
		header.Del(name)
		return header
	}
	with := func(name, value string) http.Header {
		header := validHeader.Clone()
		header[name] = []string{value}
		return header
	}
	validBody := api.ApplyRequest{Files: testFiles()}
	for name, tc := range map[string]struct {
		method, path string
		header       http.Header
		body         any
		status       int
		code         apierr.Code
	}{
		"unknown field":     {"POST", api.PathConfig, validHeader, map[string]any{"filez": 1}, 400, apierr.CodeBadRequest},
		"wrong type":        {"POST", api.PathConfig, validHeader, map[string]any{"files": 1}, 400, apierr.CodeBadRequest},
		"no body":           {"POST", api.PathConfig, validHeader, nil, 400, apierr.CodeBadRequest},
		"no version":        {"POST", api.PathConfig, without("If-Match"), validBody, 428, apierr.CodeBadRequest},
		"any version":       {"POST", api.PathConfig, with("If-Match", "*"), validBody, 400, apierr.CodeBadRequest},
		"no change id":      {"POST", api.PathConfig, without(api.HeaderChangeID), validBody, 400, apierr.CodeBadRequest},
		"change id as path": {"POST", api.PathConfig, with(api.HeaderChangeID, "../x"), validBody, 400, apierr.CodeBadRequest},
		"long comment":      {"POST", api.PathConfig, validHeader, api.ApplyRequest{Files: testFiles(), Comment: strings.Repeat("x", maxComment+1)}, 400, apierr.CodeBadRequest},
		"large body":        {"POST", api.PathOperators, nil, api.AddOperatorRequest{Name: strings.Repeat("x", maxBody)}, 413, apierr.CodeTooLarge},
		"invalid files":     {"POST", api.PathConfig, validHeader, api.ApplyRequest{Files: replaceInBase("team: desk", "team: dessk")}, 422, apierr.CodeInvalidConfig},
		"not YAML":          {"POST", api.PathConfig, validHeader, api.ApplyRequest{Files: api.Files{Base: "{"}}, 422, apierr.CodeInvalidConfig},
		"version as text":   {"GET", api.PathConfig + "/one", nil, nil, 400, apierr.CodeBadRequest},
		"huge version":      {"GET", api.PathHistory + "?cursor=99999999999999999999", nil, nil, 400, apierr.CodeBadRequest},
		"limit of zero":     {"GET", api.PathHistory + "?limit=0", nil, nil, 400, apierr.CodeBadRequest},
		"limit too large":   {"GET", api.PathAudit + "?limit=201", nil, nil, 400, apierr.CodeBadRequest},
		"unknown parameter": {"GET", api.PathAccounts + "?teem=desk", nil, nil, 400, apierr.CodeBadRequest},
		"forged cursor":     {"GET", api.PathAudit + "?cursor=1.2x", nil, nil, 400, apierr.CodeBadRequest},
		"no key":            {"GET", api.PathClaims + "?account=mills", nil, nil, 400, apierr.CodeBadRequest},
		"unknown site":      {"GET", api.PathAccounts + "?site=south", nil, nil, 404, apierr.CodeNotFound},
		"unknown path":      {"GET", api.Prefix + "/nothing", nil, nil, 404, apierr.CodeNotFound},
		"unknown method":    {"PUT", api.PathConfig, nil, nil, 405, apierr.CodeMethodNotAllowed},
	} {
		path, query, _ := strings.Cut(tc.path, "?")
		r := client.Request{Method: tc.method, Path: path, Header: tc.header, Body: tc.body}
		if query != "" {
			key, value, _ := strings.Cut(query, "=")
			r.Query = map[string][]string{key: {value}}
		}
		f := h.call(rootToken, r, nil)
		require.NotNil(t, f, name)
		assert.Equal(t, []any{tc.status, tc.code, apierr.RanNo}, []any{f.Status, f.Code, f.Ran}, "%s: %v", name, f)
		if name == "invalid files" {
			assert.Equal(t, "base.yaml:10: accounts[0].team: no team is called \"dessk\"", f.Problems[0].String())
		}
	}
}

// Pages must neither repeat nor skip a version when versions are accepted between
// two page requests. This would happen if pages were counted from the newest
// version.
func TestHistoryPagesAreStableDuringWrites(t *testing.T) {
	h := newHarness(t)
	for i := range uint64(6) {
		_, f := h.applyFiles(rootToken, i+1, replaceInBase("weight: 2", fmt.Sprint("weight: ", 10+i)))
		require.Nil(t, f)
	}
	var got []uint64
	pages := 0
	path := api.PathHistory + "?limit=3"
	for next := uint64(7); path != ""; next++ {
		var page api.Page[config.Version]
		require.Nil(t, h.get(rootToken, path, &page))
		pages++
		for _, v := range page.Items {
			got = append(got, v.Number)
		}
		path = ""
		if page.Next != "" {
			path = api.PathHistory + "?limit=3&cursor=" + page.Next
		}
		_, f := h.applyFiles(rootToken, next, replaceInBase("weight: 2", fmt.Sprint("weight: ", 50+next)))
		require.Nil(t, f)
	}
	assert.Equal(t, []uint64{7, 6, 5, 4, 3, 2, 1}, got)
	assert.Equal(t, 3, pages, "the page with version 1 is the last")
}

func TestListsArePagedFilteredAndScoped(t *testing.T) {
	h := newHarness(t)
	var accounts api.Page[api.Account]
	require.Nil(t, h.get(rootToken, api.PathAccounts+"?limit=1", &accounts))
	require.Len(t, accounts.Items, 1)
	assert.Equal(t, []any{"mills", "mills", 2.0, 1}, []any{accounts.Next, accounts.Items[0].Name, accounts.Items[0].Weight, accounts.Items[0].Keys})
	h.activeVersion.Number, h.activeVersion.Bundle = 2, replaceInBase("accounts:", "accounts:\n  - {name: aaa, team: desk, key_hashes: []}").Bundle()
	accounts = api.Page[api.Account]{}
	require.Nil(t, h.get(rootToken, api.PathAccounts+"?limit=1&cursor=mills", &accounts))
	assert.Equal(t, []any{"pumps", ""}, []any{accounts.Items[0].Name, accounts.Next})
	require.Nil(t, h.get(rootToken, api.PathAccounts+"?site=north&team=portal", &accounts))
	require.Len(t, accounts.Items, 1)
	assert.Equal(t, 3.0, accounts.Items[0].Weight, "the site's overlay applies")

	kim := h.addOperator("kim", access.RoleViewer, "desk")
	var own api.Page[api.Account]
	require.Nil(t, h.get(kim, api.PathAccounts, &own))
	assert.Equal(t, []string{"aaa", "mills"}, []string{own.Items[0].Name, own.Items[1].Name})
	var services api.Page[config.Service]
	require.Nil(t, h.get(kim, api.PathServices, &services))
	assert.Empty(t, services.Items)
	h.activeVersion.Number = 0
	assert.Equal(t, apierr.CodeNotReady, h.get(kim, api.PathServices, nil).Code)
}

func TestStatusAndFleet(t *testing.T) {
	h := newHarness(t)
	h.board.UpdateWait(func(s *board.State) {
		s.ConfigVersion = 1
		s.Routers = map[string]board.Router{
			"r1": {Name: "r1", ID: 1, Site: "north"},
			"r2": {Name: "r2", ID: 2, Site: "north", ConfigVersion: 2},
			"r3": {Name: "r3", ID: 3, Site: "north", Draining: true},
		}
		s.Engines = map[string]board.Engine{"e1": {Name: "e1", ID: 9, Pool: "language", Site: "north"}}
	})
	var st api.Status
	require.Nil(t, h.get(rootToken, api.PathStatus, &st))
	assert.Equal(t, []any{uint64(1), true, true, "r1"}, []any{st.Version, st.HeadKnown, st.Complete, st.SeenBy})
	require.Nil(t, h.get(rootToken, api.PathStatus+"?version=2", &st))
	assert.Equal(t, []any{false, []string{"r1"}}, []any{st.Complete, st.Lagging}, "a draining router does not count as lagging")
	h.store.SetDown(true)
	require.Nil(t, h.get(rootToken, api.PathStatus, &st))
	assert.Equal(t, []any{uint64(2), false}, []any{st.Version, st.HeadKnown})

	var fleet api.Fleet
	require.Nil(t, h.get(rootToken, api.PathFleet, &fleet))
	assert.Equal(t, api.RouterLeaving, fleet.Routers[2].State)
	require.Len(t, fleet.Engines, 1)
	assert.Contains(t, []string{"r1", "r2"}, fleet.Engines[0].Owner)
	assert.False(t, fleet.Engines[0].Known)
}
