package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"damaskrouter.example/damaskrouter/internal/decide/fairshare"
	"damaskrouter.example/damaskrouter/internal/edge/forward"
	"damaskrouter.example/damaskrouter/internal/edge/node"
	"github.com/stretchr/testify/require"
)

func TestSharesCommand(t *testing.T) {
	list := node.ShareList{Router: "r1"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, node.PathShares, r.URL.Path)
		require.NoError(t, json.NewEncoder(w).Encode(list))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")

	_, out, _ := execute("shares", "--router", address)
	require.Contains(t, out, "no service is congested")
	list.Accounts = []forward.AccountShare{
		{Service: "llm", Account: "office", Asked: 8000, Granted: 900, Usual: 1000, Share: 1100, Within: fairshare.Share{1, 0.25, 0}},
		{Service: "llm", Asked: 10, Granted: 10, Within: fairshare.Share{1, 1, 1}},
	}
	code, out, stderr := execute("shares", "--router", address)
	require.Equal(t, exitOK, code, stderr)
	require.Regexp(t, `llm +office +8000 +900 +1000 +1100 +100%/25%/0%`, out)
	require.Regexp(t, `llm +- +10 +10 `, out)
	code, _, _ = execute("shares", "--router", "127.0.0.1:1")
	require.NotEqual(t, exitOK, code)
}
