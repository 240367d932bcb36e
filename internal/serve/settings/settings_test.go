package settings

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

var testKey = base64.StdEncoding.EncodeToString(make([]byte, MinKeyBytes))

const insecureText = `name: r1
site: north
region: r
listen: 127.0.0.1:8080
control_listen: 127.0.0.1:9090
platform:
  store: 127.0.0.1:1
allow_insecure: true
`

func secureText() string {
	text := strings.Replace(insecureText, "allow_insecure: true\n", "", 1)
	return text + fmt.Sprintf(`fleet_keys: [{id: k1, key: %q}]
hint_keys: [{id: k1, key: %q}]
tls: {cert: c.pem, key: k.pem}
peer_tls: {cert: p.pem, key: pk.pem, ca: ca.pem}
`, testKey, testKey)
}

func TestMissingSettingsGetDefaults(t *testing.T) {
	s, err := LoadBytes("s.yaml", []byte(insecureText+"timeouts: {idle_gap: 5s}\nbudgets: {config: {reads: 1}}\n"))
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8080", s.Advertise)
	assert.Equal(t, "127.0.0.1:9090", s.ControlAdvertise)
	assert.Equal(t, Timeouts{UpstreamConnect: time.Second, FirstByte: 30 * time.Second, IdleGap: 5 * time.Second,
		LocateTTL: 10 * time.Second, Drain: time.Minute}, s.Timeouts)
	assert.Equal(t, Budget{Reads: 1, Writes: 2}, s.Budgets.For(platform.UseConfig))
	for _, use := range []platform.Use{platform.UseClaim, platform.UseAudit, platform.UseAdmin} {
		assert.Equal(t, DefaultBudgets.For(use), s.Budgets.For(use))
	}
	assert.Zero(t, s.Budgets.For("other"))
	assert.Equal(t, DefaultLogLevel, s.LogLevel)
	assert.Equal(t, 72*time.Hour, s.ClaimRetention)
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	edit := func(old, new string) string { return strings.Replace(insecureText, old, new, 1) }
	cases := map[string]struct {
		text string
		want string
	}{
		"unknown key":          {edit("region: r", "regoin: r"), `s.yaml:3: unknown key "regoin"`},
		"missing":              {edit("region: r\n", ""), "s.yaml:1: region: is required"},
		"bare duration":        {insecureText + "timeouts: {drain: 10}\n", `s.yaml:9: timeouts.drain: must be a duration with a unit, for example "10s"`},
		"bad duration":         {insecureText + "timeouts: {drain: soon}\n", `s.yaml:9: timeouts.drain: must be a duration with a unit, for example "10s"`},
		"negative duration":    {insecureText + "timeouts: {idle_gap: -1s}\n", "s.yaml:9: timeouts.idle_gap: must be more than 0"},
		"drain within TTL":     {insecureText + "timeouts:\n  drain: 10s\n", "s.yaml:10: timeouts.drain: must be longer than locate_ttl, 10s"},
		"host name":            {edit("127.0.0.1:8080", "localhost:8080"), "s.yaml:4: listen: must be an IP address and a port"},
		"wildcard, advertised": {edit("127.0.0.1:8080", "0.0.0.0:8080"), "s.yaml:1: advertise: is required"},
		"advertise wildcard":   {insecureText + "advertise: 0.0.0.0:1\n", "s.yaml:9: advertise: must be an IP address that others can connect to, and a port"},
		"seed":                 {insecureText + "seeds: [\"10.0.0.1:5\", x]\n", "s.yaml:9: seeds[1]: must be an IP address that others can connect to, and a port"},
		"store":                {edit("store: 127.0.0.1:1", "store: http://x"), "s.yaml:7: platform.store: must be an IP address that others can connect to, and a port"},
		"log level":            {insecureText + "log_level: loud\n", "s.yaml:9: log_level: must be one of debug info warn error"},
		"budget":               {insecureText + "budgets: {claim: {writes: -1}}\n", "s.yaml:9: budgets.claim.writes: must be more than 0"},
		"token hash":           {insecureText + "admin_token_hash: ab\n", "s.yaml:9: admin_token_hash: must be 64 characters long"},
		"short key":            {insecureText + "fleet_keys: [{id: a, key: YWJj}]\n", "s.yaml:9: fleet_keys[0]: must hold at least 32 bytes in base64"},
		"broken key":           {insecureText + "hint_keys: [{id: a, key: \"%\"}]\n", "s.yaml:9: hint_keys[0]: settings: key: key a: illegal base64 data at input byte 0"},
		"third key":            {insecureText + "hint_keys: [{id: a}, {id: b}, {id: c}]\n", "s.yaml:9: hint_keys: must be at most 2 entries"},
		"same key id":          {insecureText + "hint_keys: [{id: a}, {id: a}]\n", "s.yaml:9: hint_keys: must not name the same thing twice"},
		"no TLS":               {edit("allow_insecure: true", "log_level: info"), "s.yaml:1: tls.cert: is required unless allow_insecure is set"},
		"no peer TLS":          {edit("allow_insecure: true", "log_level: info"), "s.yaml:1: peer_tls.cert: is required unless allow_plain_peers or allow_insecure is set"},
		"half of peer TLS":     {insecureText + "peer_tls: {cert: c.pem}\n", "s.yaml:9: peer_tls.key: is required when peer_tls has other files"},
		"no fleet key":         {edit("allow_insecure: true", "log_level: info"), "s.yaml:1: fleet_keys: is required unless allow_insecure is set"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := LoadBytes("s.yaml", []byte(c.text))
			var problems strictyaml.Problems
			require.ErrorAs(t, err, &problems)
			assert.Contains(t, strings.Split(err.Error(), "\n"), c.want)
		})
	}
}

func TestKeysAreReadFromFileOrSettings(t *testing.T) {
	dir := t.TempDir()
	keyFile, path := filepath.Join(dir, "key"), filepath.Join(dir, "s.yaml")
	require.NoError(t, os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600))
	text := strings.Replace(secureText(), fmt.Sprintf("key: %q", testKey), fmt.Sprintf("file: %q", keyFile), 1)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	s, err := Load(path)
	require.NoError(t, err)
	assert.Equal(t, make([]byte, MinKeyBytes), s.FleetKeys[0].Bytes())
	assert.Equal(t, s.FleetKeys[0].Bytes(), s.HintKeys[0].Bytes())

	_, err = Load(path + "x")
	assert.True(t, ErrRead.Has(err))
}

// Guards against keys in logs: a process that fails to start prints its settings, and a plain
// string would be printed as it is.
func TestSecretsAreRedacted(t *testing.T) {
	s, err := LoadBytes("s.yaml", []byte(secureText()))
	require.NoError(t, err)
	encoded, err := json.Marshal(s)
	require.NoError(t, err)
	printed := fmt.Sprintf("%v %+v %#v %s %s", s, s, s, encoded, s.FleetKeys)
	assert.NotContains(t, printed, testKey)
}

// Guards against routers that reject each other after a key rotation, because one of them read keys
// from a settings file that was incomplete or that belongs to another VM.
func TestReadKeysRejectsInvalidFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(secureText())
	s, err := Load(path)
	require.NoError(t, err)
	write(strings.ReplaceAll(secureText(), "id: k1", "id: k2"))
	set, err := s.ReadKeys()
	require.NoError(t, err)
	assert.Equal(t, "k2", set.Fleet[0].ID)
	assert.Equal(t, "k2", set.Hint[0].ID)
	for _, bad := range []string{"", secureText()[:300], strings.Replace(secureText(), "name: r1", "name: r2", 1)} {
		write(bad)
		_, err = s.ReadKeys()
		assert.Error(t, err)
	}
}

func TestAllowPlainPeersNeedsNoPeerTLS(t *testing.T) {
	text := strings.Replace(secureText(), "peer_tls: {cert: p.pem, key: pk.pem, ca: ca.pem}", "allow_plain_peers: true", 1)
	_, err := LoadBytes("s.yaml", []byte(text))
	assert.NoError(t, err)
}
