package admin

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/admin/client"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

const (
	rootToken = access.PrefixOperator + "root"
	baseText  = `teams: [{name: desk}, {name: portal}]
sites: [{name: north, region: r}]
models: [{name: dossier, versions: ["1", "2"]}]
pools:
  - {name: language, sites: [north], model: dossier, version: "1"}
  - {name: web, sites: [north]}
services:
  - {name: portal, team: portal, pool: web, routes: [{method: GET, path: /a/*}, {method: GET, path: /*/b}]}
accounts:
  - {name: mills, team: desk, key_hashes: ["%064d"], weight: 2}
  - {name: pumps, team: portal, key_hashes: ["%064d"]}
`
	overlayText = "site: north\naccounts: [{name: mills, weight: 3}, {name: pumps, weight: 3}]\n"
)

var startTime = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

func testFiles() api.Files {
	return api.Files{Base: fmt.Sprintf(baseText, 1, 2), Overlays: map[string]string{"north": overlayText}}
}

// replaceInBase returns the test files with old replaced by new in the base file.
func replaceInBase(old, new string) api.Files {
	f := testFiles()
	f.Base = strings.Replace(f.Base, old, new, 1)
	return f
}

// harness runs an administration server with a fake store.
type harness struct {
	t      *testing.T
	store  *platformtest.Fake
	chain  *config.Chain
	claims *claim.Store
	board  *board.Board
	server *httptest.Server
	admin  *Server

	mu            sync.Mutex
	now           time.Time
	acceptedHeads []config.Head
	activeVersion config.Version
	changeCount   int
}

// newHarness returns a harness in which version 1 is accepted and active.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, store: platformtest.New(), now: startTime}
	h.chain = config.NewChain(h.store, h.store.Objects(), h.clock)
	tokens := 0
	h.claims = claim.New(h.store, h.store.Objects(), "r1", func() string { tokens++; return fmt.Sprint("token-", tokens) })
	h.board = board.New("r1")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.board.Run(ctx)
	var err error
	h.admin, err = New(Options{
		Board: h.board, Chain: h.chain, Claims: h.claims, Table: h.store,
		InForce:       func() (uint64, config.Bundle, error) { return h.activeVersion.Number, h.activeVersion.Bundle, nil },
		Accepted:      h.recordAccepted,
		BootstrapHash: access.HashSecret(rootToken).String(),
		Log:           log.New(io.Discard),
		Now:           h.clock,
		Rand:          rand.Reader,
	})
	require.NoError(t, err)
	h.server = httptest.NewServer(h.admin.Handler())
	t.Cleanup(h.server.Close)
	h.activeVersion, err = h.chain.Accept(ctx, config.Change{Bundle: testFiles().Bundle(), ChangeID: "seed", Author: "seed"})
	require.NoError(t, err)
	return h
}

func (h *harness) clock() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *harness) advance(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = h.now.Add(d)
}

func (h *harness) recordAccepted(head config.Head) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptedHeads = append(h.acceptedHeads, head)
}

// call sends a request and returns its failure, or nil.
func (h *harness) call(token string, r client.Request, out any) *api.Failure {
	h.t.Helper()
	c, err := client.New(client.Options{Address: h.server.URL, Token: token})
	require.NoError(h.t, err)
	_, err = c.Do(context.Background(), r, out)
	if err == nil {
		return nil
	}
	var f *api.Failure
	require.ErrorAs(h.t, err, &f)
	return f
}

func (h *harness) get(token, path string, out any) *api.Failure {
	h.t.Helper()
	u, err := url.Parse(path)
	require.NoError(h.t, err)
	return h.call(token, client.Request{Method: http.MethodGet, Path: u.Path, Query: u.Query()}, out)
}

func (h *harness) post(token, path string, body, out any) *api.Failure {
	h.t.Helper()
	return h.call(token, client.Request{Method: http.MethodPost, Path: path, Body: body}, out)
}

// sendChange sends a configuration change with the given id and base version.
func (h *harness) sendChange(token, path, id string, from uint64, body any) (config.Version, *api.Failure) {
	h.t.Helper()
	var v config.Version
	f := h.call(token, client.Request{Method: http.MethodPost, Path: path, Body: body, Header: http.Header{
		"If-Match": {etag(from)}, api.HeaderChangeID: {id},
	}}, &v)
	return v, f
}

// applyFiles sends a change to files with a new id.
func (h *harness) applyFiles(token string, from uint64, files api.Files) (config.Version, *api.Failure) {
	h.t.Helper()
	h.changeCount++
	return h.sendChange(token, api.PathConfig, fmt.Sprint("change-", h.changeCount), from, api.ApplyRequest{Files: files, Comment: "why"})
}

// addOperator adds an operator and returns its token.
func (h *harness) addOperator(name string, role access.Role, teams ...string) string {
	h.t.Helper()
	req := api.AddOperatorRequest{Name: name, Role: role, Teams: teams}
	if role == access.RoleBreakGlass {
		req.ExpiresIn = 3600
	}
	var reply api.AddOperatorReply
	require.Nil(h.t, h.post(rootToken, api.PathOperators, req, &reply))
	return reply.Token
}

// addClaim adds a claim without an outcome and returns the version of its row.
func (h *harness) addClaim(account, key string) int64 {
	h.t.Helper()
	k := claim.Key{Account: account, IdempotencyKey: key, Service: "portal"}
	out, err := h.claims.Begin(context.Background(), k, claim.HashBody(nil))
	require.NoError(h.t, err)
	require.Equal(h.t, claim.Run, out.Kind)
	view, err := h.claims.Show(context.Background(), k)
	require.NoError(h.t, err)
	return view.Version
}

// storedRows returns all rows of the store and bypasses injected faults.
func (h *harness) storedRows() []platform.Row {
	h.t.Helper()
	var all []platform.Row
	for _, table := range []string{
		config.TableHead, config.TableVersions, config.TableChanges, config.TableAudit,
		audit.TableHead, audit.Table, TableOperators, claim.Table,
	} {
		rows, err := h.store.Store().Scan(table, "", "", platform.MaxScanRows)
		require.NoError(h.t, err)
		all = append(all, rows...)
	}
	return all
}
