package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/node"
	"github.com/stretchr/testify/require"
)

func TestQuarantineCommand(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+node.PathQuarantine, func(w http.ResponseWriter, _ *http.Request) {
		require.NoError(t, json.NewEncoder(w).Encode([]node.SuspectStatus{
			{Fingerprint: "aa11", State: node.StateQuarantined, Account: "office", Route: "drafts", Engines: []string{"e1", "e2", "e3"}, Age: time.Minute},
			{Part: "llm/5c1e07a2", State: node.StateQuarantined, Account: "*", Route: "drafts", Engines: []string{"e4", "e5"}},
			{Fingerprint: "bb22", State: node.StateSuspect, Engines: []string{"e3"}},
		}))
	})
	mux.HandleFunc("DELETE "+node.PathQuarantine+"/aa11", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer the key" {
			http.Error(w, "no", http.StatusUnauthorized)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	cleared := ""
	mux.HandleFunc("DELETE "+node.PathQuarantineParts+"/{service}/{id}", func(w http.ResponseWriter, r *http.Request) {
		cleared = r.PathValue("service") + "/" + r.PathValue("id")
		w.WriteHeader(http.StatusNoContent)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")

	code, out, stderr := execute("quarantine", "--router", address)
	require.Equal(t, exitOK, code, stderr)
	require.Contains(t, out, "1 requests in quarantine, 1 suspects")
	require.Regexp(t, `aa11 +quarantined +office +drafts +1m0s ago +0 +e1 e2 e3`, out)
	require.Contains(t, out, "1 parts of prompts in quarantine, 0 suspects")
	require.Regexp(t, `llm/5c1e07a2 +quarantined +\* +drafts`, out)
	require.NotContains(t, out, "bb22")
	_, out, _ = execute("quarantine", "--router", address, "--all")
	require.Contains(t, out, "bb22")

	t.Setenv(envFleetKey, "")
	code, _, _ = execute("quarantine", "clear", "aa11", "--router", address)
	require.Equal(t, exitUsage, code)
	t.Setenv(envFleetKey, "another")
	code, _, stderr = execute("quarantine", "clear", "aa11", "--router", address)
	require.NotEqual(t, exitOK, code)
	require.Contains(t, stderr, "401")
	t.Setenv(envFleetKey, "the key")
	code, out, stderr = execute("quarantine", "clear", "aa11", "--router", address)
	require.Equal(t, exitOK, code, stderr)
	require.Contains(t, out, "aa11 is sent to engines again")
	code, out, stderr = execute("quarantine", "clear", "llm/05C1E07A2", "--router", address)
	require.Equal(t, exitOK, code, stderr)
	require.Contains(t, out, "sent to engines again")
	require.Equal(t, "llm/5c1e07a2", cleared)
	code, _, _ = execute("quarantine", "clear", "llm/", "--router", address)
	require.Equal(t, exitUsage, code)
}
