package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/forward"
	"damaskrouter.example/damaskrouter/internal/edge/node"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"github.com/stretchr/testify/require"
)

// fakeRouter serves the fleet status and the settings, and returns its address.
func fakeRouter(t *testing.T, fleet feed.Fleet, replies map[string]node.SettingsReply) string {
	mux := http.NewServeMux()
	mux.HandleFunc(node.PathFleet, func(w http.ResponseWriter, _ *http.Request) {
		require.NoError(t, json.NewEncoder(w).Encode(fleet))
	})
	mux.HandleFunc(node.PathSettings, func(w http.ResponseWriter, r *http.Request) {
		reply, ok := replies[r.URL.Query().Get(node.QueryRouter)]
		if !ok {
			http.Error(w, "no such router", http.StatusNotFound)
			return
		}
		require.NoError(t, json.NewEncoder(w).Encode(reply))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// manyRouters returns 295 routers. Five routers of one site run older settings, one has an error
// in its settings file, and the status of one has not been received.
func manyRouters() feed.Fleet {
	out := feed.Fleet{SeenBy: "front-ank-a-1", ToldBy: "front-ank-b-2"}
	for i := range 295 {
		s := feed.Status{
			Router: fmt.Sprintf("front-ank-%c-%d", 'a'+i%5, i/5+1), Site: fmt.Sprintf("ank-%c", 'a'+i%5), State: feed.StateServing,
			Settings: "9f2c41aa73de0b65", SettingsAge: 20 * time.Second, Config: 48, ConfigAge: 400 * time.Millisecond,
			Version: "development", UpFor: time.Hour, Age: time.Second,
		}
		if i%5 == 2 && i < 25 {
			s.Settings, s.SettingsAge = "41aa0b659f2c73de", time.Hour
		}
		switch i {
		case 100:
			s.Problem = "settings: field: line 9: bounds.revoke_ms fails the check min=1000000"
		case 101:
			s = feed.Status{Router: s.Router, Site: s.Site, State: feed.StateNotHeard}
		}
		out.Statuses = append(out.Statuses, s)
	}
	return out
}

// Guards against output that does not show which router runs which settings in a large fleet: the
// routers with equal settings are counted, and those that differ are listed.
func TestFleetListsOutlierRouters(t *testing.T) {
	address := fakeRouter(t, manyRouters(), nil)
	code, out, stderr := execute("fleet", "--router", address)
	require.Equal(t, exitOK, code, stderr)
	require.Contains(t, out, "seen by front-ank-a-1, told by front-ank-b-2, 295 routers")
	require.Regexp(t, `9f2c41aa73de0b65 +289 +ank-a ank-b ank-c ank-d ank-e +20s ago +48`, out)
	require.Regexp(t, `41aa0b659f2c73de +5 +ank-c +1h0m0s ago +48`, out)
	require.Contains(t, out, "need a look: 7")
	require.Regexp(t, `front-ank-c-1 +ank-c +serving +41aa0b659f2c73de`, out)
	require.Contains(t, out, "line 9: bounds.revoke_ms")
	require.Regexp(t, `front-ank-b-21 +ank-b +not heard`, out)
	require.Less(t, strings.Count(out, "\n"), 20)

	_, out, _ = execute("fleet", "--router", address, "--site", "ank-c", "--all")
	require.Contains(t, out, "every router: 59")
	_, out, _ = execute("fleet", "--router", address, "--json")
	var fleet feed.Fleet
	require.NoError(t, json.Unmarshal([]byte(out), &fleet))
	require.Len(t, fleet.Statuses, 295)
	require.Less(t, len(out), 1<<20)
}

func TestFleetDiffListsDifferingSettings(t *testing.T) {
	reply := func(name, revoke string) node.SettingsReply {
		return node.SettingsReply{Router: name, Digest: revoke, Fields: []settings.Field{
			{Path: "name", Value: name, Own: true},
			{Path: "fleet_key", Value: "(secret)"},
			{Path: "bounds.revoke_ms", Value: revoke},
		}}
	}
	address := fakeRouter(t, feed.Fleet{}, map[string]node.SettingsReply{"a": reply("a", "5s"), "b": reply("b", "6s"), "c": reply("c", "5s")})
	code, out, stderr := execute("fleet", "diff", "a", "b", "--router", address)
	require.Equal(t, exitOK, code, stderr)
	require.Regexp(t, `bounds.revoke_ms +5s +6s`, out)
	require.NotContains(t, out, "name ")
	_, out, _ = execute("fleet", "diff", "a", "c", "--router", address)
	require.Contains(t, out, "a and c run the same settings")
	_, out, _ = execute("fleet", "diff", "a", "c", "--own", "--router", address)
	require.Regexp(t, `name +a +c`, out)
	code, _, stderr = execute("fleet", "diff", "a", "nobody", "--router", address)
	require.Equal(t, exitFailed, code)
	require.Contains(t, stderr, "no such router")
}

func TestFleetReportsRequestErrors(t *testing.T) {
	code, _, stderr := execute("fleet", "--router", "127.0.0.1:1")
	require.Equal(t, exitFailed, code)
	require.Contains(t, stderr, "router:")
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	code, _, stderr = execute("fleet", "--router", strings.TrimPrefix(server.URL, "http://"))
	require.Equal(t, exitFailed, code)
	require.Contains(t, stderr, "404")
	code, _, _ = execute("fleet", "diff", "a", "b")
	require.Equal(t, exitUsage, code)
}

// Guards against an operator who can't see why an engine gets no requests, and until when.
func TestFleetListsEnginesWithoutRequests(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc(node.PathFleet, func(w http.ResponseWriter, _ *http.Request) {
		require.NoError(t, json.NewEncoder(w).Encode(feed.Fleet{}))
	})
	mux.HandleFunc(node.PathEngines, func(w http.ResponseWriter, _ *http.Request) {
		require.NoError(t, json.NewEncoder(w).Encode(node.EngineList{Router: "front-a-1", Known: 12, Engines: []node.EngineStatus{
			{Engine: "i-1", Service: "llm", Site: "a", State: node.EngineLeaving},
			{Engine: "i-2", Service: "llm", Site: "b", State: node.EnginePaused, ForMS: 2400},
		}, Versions: []node.VersionStatus{{Service: "llm", Version: "v1.1", Engines: 5, Taking: 4, VersionCounts: forward.VersionCounts{Requests: 90, Failed: 7, Resumed: 3, NotResumed: 2}}}}))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	code, out, stderr := execute("fleet", "--router", strings.TrimPrefix(server.URL, "http://"))
	require.Equal(t, exitOK, code, stderr)
	require.Contains(t, out, "engines that front-a-1 sends nothing or little: 2 of 12")
	require.Regexp(t, `llm +v1.1 +5 +4 +90 +7 +3 +2`, out)
	require.Regexp(t, `i-1 +llm +a +leaving +-`, out)
	require.Regexp(t, `i-2 +llm +b +paused +2s`, out)

	code, out, _ = execute("fleet", "--router", fakeRouter(t, feed.Fleet{}, nil))
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "engines are not listed")
}

func TestStatusNoteOfRouterThatIsCutOff(t *testing.T) {
	s := feed.Status{State: feed.StateCutOff, CutOff: []string{"svc", "web"}, Through: []string{"r2", "r3"}}
	require.Equal(t, "no path to the engines of svc, web; through r2, r3", statusNote(s))
	s.Through = nil
	require.Equal(t, "no path to the engines of svc, web; through nobody", statusNote(s))
}
