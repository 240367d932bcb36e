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
	// eventTimeout bounds the wait for an event. No test checks how long an event
	// takes.
	eventTimeout = time.Minute
)

// execute runs the command line and returns the exit code and both outputs.
func execute(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, &out, &err)
	return code, out.String(), err.String()
}

func TestConfigCheckWithoutRouterReportsProblems(t *testing.T) {
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

func TestInvalidCommandLineHasUsageExitCode(t *testing.T) {
	t.Setenv(envAdmin, "")
	t.Setenv(envToken, "")
	for name, args := range map[string][]string{
		"no subcommand":                 {"config"},
		"no files":                      {"config", "apply"},
		"no router":                     {"config", "history"},
		"no token":                      {"fleet", "--admin", "127.0.0.1:1"},
		"no claim":                      {"claims", "show", "--admin", "127.0.0.1:1", "--token", "t"},
		"no verdict":                    {"claims", "resolve", "--account", "a", "--key", "k"},
		"no name":                       {"operators", "revoke"},
		"no rollback version":           {"config", "rollback"},
		"no limit":                      {"account", "limit", "a", "--admin", "127.0.0.1:1"},
		"limit is not a number":         {"account", "limit", "a", "--per-second", "NaN"},
		"limit is negative":             {"account", "limit", "a", "--concurrency", "-1"},
		"no kind of key":                {"keys", "generate"},
		"certificates without a router": {"keys", "generate", "--dir", t.TempDir()},
		"version is not a number":       {"config", "rollback", "--to", "1", "--from", "x"},
	} {
		code, _, stderr := execute(args...)
		assert.Equal(t, exitUsage, code, "%s: %s", name, stderr)
	}
	code, _, stderr := execute("fleet", "--admin", "127.0.0.1:1", "--token", "t")
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "router not reached")
}

func TestKeysGenerateWritesSecretsAndCertificates(t *testing.T) {
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

// Guards against a command that reports an active change as not accepted. The
// connection is closed after the change was accepted, and the retry is refused
// as not executed because the store is unavailable. That refusal applies to the
// retry only.
func TestChangeWithUnknownOutcomeIsNotReportedAsRefused(t *testing.T) {
	const closed = "cut"
	refusal := func(code apierr.Code, status int) string {
		return fmt.Sprintf("%d %s", status, code)
	}
	down := refusal(apierr.CodeStoreUnavailable, http.StatusServiceUnavailable)
	for name, tc := range map[string]struct {
		responses []string
		code      int
		want      string
	}{
		"accepted":                     {[]string{"200"}, exitOK, "version 2\n"},
		"refused on the first attempt": {[]string{down}, exitFailed, "store_unavailable"},
		"closed, then accepted":        {[]string{closed, "200"}, exitOK, "version 2\n"},
		"closed, then conflict":        {[]string{closed, refusal(apierr.CodeConflict, http.StatusConflict)}, exitFailed, "conflict: "},
		"closed, then store down":      {[]string{closed, down, down}, exitFailed, "--change-id one --from 1"},
		"closed, then token revoked":   {[]string{closed, "401 unauthorized", closed}, exitFailed, "outcome unknown"},
		"proxy responds":               {[]string{"502", "502", "502"}, exitFailed, "outcome unknown"},
	} {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, []string{"one", `"1"`, "Bearer t"}, []string{r.Header.Get(api.HeaderChangeID), r.Header.Get("If-Match"), r.Header.Get("Authorization")})
			calls++
			respond(w, tc.responses[calls-1])
		}))
		code, out, stderr := execute("config", "apply", "--admin", server.URL, "--token", "t", "--change-id", "one", "--from", "1",
			"--base", exampleDir+"/base.yaml", "--overlays", exampleDir+"/sites")
		server.Close()
		assert.Equal(t, tc.code, code, name)
		assert.Contains(t, out+stderr, tc.want, name)
		assert.Equal(t, len(tc.responses), calls, name)
	}
}

// respond acts as a router: it accepts the change, refuses it, or closes the
// connection.
func respond(w http.ResponseWriter, how string) {
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

// startRouters runs two routers on a stand-in store. It returns the admin URL of
// the first one and the file with the authority of its certificate.
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
	}, eventTimeout, 50*time.Millisecond)
	return "https://" + first.Admin(), files.CA
}

// freeAddress returns a local address whose port was free a moment ago.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func TestOperatorCommandsWithRunningRouters(t *testing.T) {
	address, ca := startRouters(t)
	t.Setenv(envAdmin, address)
	t.Setenv(envCA, ca)
	t.Setenv(envToken, rootToken)
	mustExecute := func(args ...string) string {
		t.Helper()
		code, out, stderr := execute(args...)
		require.Equal(t, exitOK, code, "%v: %s", args, stderr)
		return out
	}
	dir := t.TempDir()
	files := []string{"--base", dir + "/base.yaml", "--overlays", dir + "/sites"}
	assert.Contains(t, mustExecute("config", "show", "--out", dir), "version 1 is in")
	assert.Contains(t, mustExecute(append([]string{"config", "diff"}, files...)...), "no difference")
	base, err := os.ReadFile(dir + "/base.yaml")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(dir+"/base.yaml", bytes.Replace(base, []byte("weight: 8"), []byte("weight: 9"), 1), fileMode))
	assert.Contains(t, mustExecute(append([]string{"config", "diff"}, files...)...), "~ base.yaml: accounts[review-office].weight 8 -> 9\n")
	mustExecute(append([]string{"config", "check"}, files...)...)

	apply := append([]string{"config", "apply", "--wait", "--timeout", "60", "--comment", "more weight"}, files...)
	out := mustExecute(apply...)
	for _, want := range []string{"version 2\n", "in force at router-cankaya", "in force at router-mamak"} {
		assert.Contains(t, out, want)
	}
	assert.Contains(t, mustExecute("config", "status"), "version 2: all routers in service have it")
	assert.Contains(t, mustExecute("accounts", "--team", "desk", "--limit", "1"), "farm-pumps")
	assert.Contains(t, mustExecute("fleet"), "router-mamak")
	assert.Contains(t, mustExecute("services")+mustExecute("sites")+mustExecute("pools"), "POST /receipts")

	mustExecute("config", "rollback", "--to", "1", "--comment", "back")
	assert.Contains(t, mustExecute("config", "history"), "(content of version 1) back")
	code, _, stderr := execute(apply...)
	assert.Equal(t, exitFailed, code, "the files were made from version 2")
	assert.Contains(t, stderr, "made from version 2, but version 3 by bootstrap")

	_, _, stderr = execute("account", "limit", "farm-pumps", "--per-second", "3.5", "--concurrency", "2", "--comment", "repeats at once")
	assert.Contains(t, stderr, "config rollback --to 3")
	assert.Regexp(t, `farm-pumps .* 3.5 +2 `, mustExecute("accounts", "--team", "desk", "--limit", "0"))
	assert.Contains(t, mustExecute("config", "diff", "--from", "3", "--to", "4"), "accounts[farm-pumps].requests_per_second")
	mustExecute("config", "rollback", "--to", "3", "--comment", "in order again")
	code, _, stderr = execute("account", "limit", "nobody", "--per-second", "1")
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, `no such account: "nobody"`)

	token := strings.TrimSpace(mustExecute("operators", "add", "--name", "kim", "--role", "editor", "--team", "desk"))
	assert.True(t, strings.HasPrefix(token, access.PrefixOperator))
	assert.Contains(t, mustExecute("operators", "list"), "kim")
	mustExecute("operators", "revoke", "--name", "kim")
	code, _, stderr = execute("config", "history", "--token", token)
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "unauthorized")
	trail := mustExecute("audit")
	for _, want := range []string{"config.accept", "config.rollback", "operator.add", "operator.revoke", "more weight", "repeats at once"} {
		assert.Contains(t, trail, want)
	}
	var page api.Page[config.Version]
	require.NoError(t, json.Unmarshal([]byte(mustExecute("config", "history", "--json")), &page))
	assert.Len(t, page.Items, 5)
}
