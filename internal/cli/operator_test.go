package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin"
	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/secure/keys"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/router"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	exampleDir = "../../examples/sebeke"
	rootToken  = access.PrefixOperator + "root"
	// patience is how long a test waits for an event before it fails. Nothing
	// is judged by how long it took.
	patience = time.Minute
)

// execute runs the command line.
func execute(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, &out, &err)
	return code, out.String(), err.String()
}

func TestCheckOffline(t *testing.T) {
	dir := t.TempDir()
	base, err := os.ReadFile(exampleDir + "/base.yaml")
	require.NoError(t, err)
	file := filepath.Join(dir, "base.yaml")
	require.NoError(t, os.WriteFile(file, bytes.Replace(base, []byte("team: desk"), []byte("team: dessk"), 1), fileMode))
	require.NoError(t, os.MkdirAll(filepath.Join(dir, "sites"), dirMode))
	overlay := filepath.Join(dir, "sites", "mamak.yaml")
	require.NoError(t, os.WriteFile(overlay, []byte("site: mamak\npools: [{name: nothing}]\n"), fileMode))

	code, out, _ := execute("config", "check", "--base", file, "--overlays", filepath.Join(dir, "sites"))
	assert.Equal(t, exitFailed, code)
	assert.Regexp(t, file+`:\d+: accounts\[0\].team: no team is called "dessk"\n`, out)
	assert.Contains(t, out, overlay+":2: pools[0].name: site mamak has no pool called \"nothing\"\n")
	code, _, _ = execute("config", "check", "--base", exampleDir+"/base.yaml", "--overlays", exampleDir+"/sites")
	assert.Equal(t, exitOK, code)
}

func TestUsage(t *testing.T) {
	t.Setenv(envAdmin, "")
	t.Setenv(envToken, "")
	for name, args := range map[string][]string{
		"no subcommand":     {"config"},
		"no files":          {"config", "apply"},
		"no router":         {"config", "history"},
		"no token":          {"fleet", "--admin", "127.0.0.1:1"},
		"no claim":          {"claims", "show", "--admin", "127.0.0.1:1", "--token", "t"},
		"no verdict":        {"claims", "resolve", "--account", "a", "--key", "k"},
		"no name":           {"operators", "revoke"},
		"no target":         {"config", "rollback"},
		"no kind of key":    {"keys", "generate"},
		"certs for nobody":  {"keys", "generate", "--dir", t.TempDir()},
		"version as a text": {"config", "rollback", "--to", "1", "--from", "x"},
	} {
		code, _, stderr := execute(args...)
		assert.Equal(t, exitUsage, code, "%s: %s", name, stderr)
	}
	code, _, stderr := execute("fleet", "--admin", "127.0.0.1:1", "--token", "t")
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "router not reached")
}

func TestKeysGenerate(t *testing.T) {
	code, out, _ := execute("keys", "generate", "--kind", "operator")
	require.Equal(t, exitOK, code)
	lines := strings.Fields(out)
	assert.Equal(t, access.HashSecret(lines[0]).String(), lines[1])
	code, out, _ = execute("keys", "generate", "--kind", "fleet")
	require.Equal(t, exitOK, code)
	assert.Len(t, strings.TrimSpace(out), 44)
	dir := filepath.Join(t.TempDir(), "certs")
	code, out, stderr := execute("keys", "generate", "--dir", dir, "--router", "r1", "--host", "127.0.0.1")
	require.Equal(t, exitOK, code, stderr)
	assert.Contains(t, out, filepath.Join(dir, "r1.pem"))
}

// Symptom: the command says that a change did not take effect, and it is in
// force. Sequence: the connection breaks after the change was accepted; the
// next attempt meets a store that is down, and a router that truly says "did
// not run" about that attempt. Cause: the last answer is taken for the whole
// truth.
func TestUnsettledChange(t *testing.T) {
	const cut = "cut"
	refusal := func(code apierr.Code, status int) string {
		return fmt.Sprintf("%d %s", status, code)
	}
	down := refusal(apierr.CodeStoreDown, http.StatusServiceUnavailable)
	for name, tc := range map[string]struct {
		answers []string
		code    int
		says    string
	}{
		"accepted":                  {[]string{"200"}, exitOK, "version 2\n"},
		"refused at once":           {[]string{down}, exitFailed, "store_unavailable"},
		"cut, then accepted":        {[]string{cut, "200"}, exitOK, "version 2\n"},
		"cut, then in conflict":     {[]string{cut, refusal(apierr.CodeConflict, http.StatusConflict)}, exitFailed, "conflict: "},
		"cut, then down":            {[]string{cut, down, down}, exitFailed, "--change-id one --from 1"},
		"cut, then token revoked":   {[]string{cut, "401 unauthorized", cut}, exitFailed, "outcome unknown"},
		"something between answers": {[]string{"502", "502", "502"}, exitFailed, "outcome unknown"},
	} {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, []string{"one", `"1"`, "Bearer t"}, []string{r.Header.Get(api.HeaderChangeID), r.Header.Get("If-Match"), r.Header.Get("Authorization")})
			calls++
			answer(w, tc.answers[calls-1])
		}))
		code, out, stderr := execute("config", "apply", "--admin", server.URL, "--token", "t", "--change-id", "one", "--from", "1",
			"--base", exampleDir+"/base.yaml", "--overlays", exampleDir+"/sites")
		server.Close()
		assert.Equal(t, tc.code, code, name)
		assert.Contains(t, out+stderr, tc.says, name)
		assert.Equal(t, len(tc.answers), calls, name)
	}
}

// answer plays a router: it accepts, refuses, or breaks the connection.
func answer(w http.ResponseWriter, how string) {
	var status int
	var code apierr.Code
	switch n, _ := fmt.Sscan(how, &status, &code); {
	case n == 0:
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	case status == http.StatusOK:
		_ = json.NewEncoder(w).Encode(config.Version{Number: 2})
	case n == 1:
		w.WriteHeader(status)
	default:
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(api.FailureReply{Error: &api.Failure{Code: code, Ran: apierr.RanNo}})
	}
}

// startRouters runs two routers over a stand-in platform, and returns where
// operators reach the first, and the authority of its certificate.
func startRouters(t *testing.T) (address, ca string) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	storeAddress := server.Listener.Addr().String()
	b, err := config.ReadBundle(exampleDir+"/base.yaml", exampleDir+"/sites")
	require.NoError(t, err)
	require.NoError(t, standin.Seed(context.Background(), storeAddress, b))
	certs := t.TempDir()
	require.NoError(t, keys.Generate(certs, keys.GenerateOptions{Routers: []string{"r1"}, Hosts: []string{"127.0.0.1"}, Now: time.Now()}))
	files := keys.PathsIn(certs, "r1")
	seeds := ""
	var first *router.Router
	for _, site := range []string{"cankaya", "mamak"} {
		set, err := settings.LoadBytes("settings", []byte(fmt.Sprintf(`name: router-%s
site: %s
region: ankara
listen: %s
control_listen: %s
admin_listen: 127.0.0.1:0
admin_token_hash: %s
tls: {cert: %s, key: %s}
platform: {store: %q}
seeds: [%s]
allow_insecure: true
`, site, site, freeAddress(t), freeAddress(t), access.HashSecret(rootToken), files.Cert, files.Key, storeAddress, seeds)))
		require.NoError(t, err)
		r, err := router.New(set, log.New(io.Discard), router.Options{})
		require.NoError(t, err)
		require.NoError(t, r.Start())
		t.Cleanup(r.Close)
		if first == nil {
			first, seeds = r, fmt.Sprintf("%q", r.Control())
		}
	}
	require.Eventually(t, func() bool {
		return len(first.Snapshot().Live) == 2 && first.Snapshot().ConfigVersion == 1
	}, patience, 50*time.Millisecond)
	return "https://" + first.Admin(), files.CA
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func TestThroughRunningRouters(t *testing.T) {
	address, ca := startRouters(t)
	t.Setenv(envAdmin, address)
	t.Setenv(envCA, ca)
	t.Setenv(envToken, rootToken)
	must := func(args ...string) string {
		t.Helper()
		code, out, stderr := execute(args...)
		require.Equal(t, exitOK, code, "%v: %s", args, stderr)
		return out
	}
	dir := t.TempDir()
	files := []string{"--base", dir + "/base.yaml", "--overlays", dir + "/sites"}
	assert.Contains(t, must("config", "show", "--out", dir), "version 1 is in")
	assert.Contains(t, must(append([]string{"config", "diff"}, files...)...), "no difference")
	base, err := os.ReadFile(dir + "/base.yaml")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(dir+"/base.yaml", bytes.Replace(base, []byte("weight: 8"), []byte("weight: 9"), 1), fileMode))
	assert.Contains(t, must(append([]string{"config", "diff"}, files...)...), "~ base.yaml: accounts[review-office].weight 8 -> 9\n")
	must(append([]string{"config", "check"}, files...)...)

	apply := append([]string{"config", "apply", "--wait", "--timeout", "60", "--comment", "more weight"}, files...)
	out := must(apply...)
	for _, says := range []string{"version 2\n", "in force at router-cankaya", "in force at router-mamak"} {
		assert.Contains(t, out, says)
	}
	assert.Contains(t, must("config", "status"), "version 2: all routers in service have it")
	assert.Contains(t, must("accounts", "--team", "desk", "--limit", "1"), "farm-pumps")
	assert.Contains(t, must("fleet"), "router-mamak")
	assert.Contains(t, must("services")+must("sites")+must("pools"), "POST /receipts")

	must("config", "rollback", "--to", "1", "--comment", "back")
	assert.Contains(t, must("config", "history"), "(content of version 1) back")
	code, _, stderr := execute(apply...)
	assert.Equal(t, exitFailed, code, "the files are of version 2")
	assert.Contains(t, stderr, "made from version 2, but version 3 by bootstrap")

	token := strings.TrimSpace(must("operators", "add", "--name", "kim", "--role", "editor", "--team", "desk"))
	assert.True(t, strings.HasPrefix(token, access.PrefixOperator))
	assert.Contains(t, must("operators", "list"), "kim")
	must("operators", "revoke", "--name", "kim")
	code, _, stderr = execute("config", "history", "--token", token)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "unauthorized")
	trail := must("audit")
	for _, says := range []string{"config.accept", "config.rollback", "operator.add", "operator.revoke", "more weight"} {
		assert.Contains(t, trail, says)
	}
	var page api.Page[config.Version]
	require.NoError(t, json.Unmarshal([]byte(must("config", "history", "--json")), &page))
	assert.Len(t, page.Items, 3)
}
