package config

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	examplesDir = "../../../examples"
	keyA        = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
)

// baseText is a small valid base document. Tests replace parts of it.
const baseText = `teams: [{name: desk}]
sites: [{name: north, region: r1}, {name: south, region: r1}]
models:
  - {name: m, versions: ["1", "2"], adapters: [ad]}
pools:
  - {name: lang, sites: [north, south], model: m, version: "1", adapters: [ad]}
  - {name: spare, sites: [north], model: m, version: "2", priority: 5}
  - {name: web, sites: [north], capacity_floor: 0}
services:
  - name: portal
    team: desk
    pool: web
    routes:
      - {method: GET, path: /status/*}
      - {method: GET, path: /status/all, priority: high}
      - {method: POST, path: /receipts}
      - {method: POST, path: /search, idempotent: true}
accounts:
  - {name: acct, team: desk, key_hashes: [` + keyA + `], requests_per_second: 2.5, services: [portal], models: [m]}
  - {name: other, team: desk, key_hashes: []}
`

const northText = `site: north
pools:
  - {name: lang, version: "2", adapters: [], load_bound: 1.2, max_batch: 9, queue_limit: 7, priority: 9}
accounts:
  - {name: acct, requests_per_second: 10, concurrency: 3, max_priority: high}
`

func testBundle() Bundle {
	return Bundle{Base: []byte(baseText), Overlays: map[string][]byte{"north": []byte(northText)}}
}

// withBase returns the test bundle with one replacement in the base document.
func withBase(t *testing.T, old, new string) Bundle {
	t.Helper()
	require.Contains(t, baseText, old)
	b := testBundle()
	b.Base = []byte(strings.Replace(baseText, old, new, 1))
	return b
}

func withNorth(overlay string) Bundle {
	b := testBundle()
	b.Overlays["north"] = []byte(overlay)
	return b
}

func effectiveAt(t *testing.T, b Bundle, site string) *Effective {
	t.Helper()
	parsed, err := b.Parse()
	require.NoError(t, err)
	e, err := NewEffective(parsed.Document, parsed.Overlays, site)
	require.NoError(t, err)
	return e
}

func TestParseRejectsMalformedDocuments(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
	}{
		"unknown key":             {"teams: []\nsitez: []\n", `f.yaml:2: unknown key "sitez"`},
		"nested unknown key":      {"pools:\n  - name: p\n    load_bund: 2\n", `f.yaml:3: pools[0]: unknown key "load_bund"`},
		"duplicate key":           {"teams: []\nsites: []\nteams: []\n", `f.yaml:3: key "teams" is already set on line 1`},
		"text for a number":       {"pools:\n  - max_batch: many\n", "f.yaml:2: pools[0].max_batch: must be a whole number"},
		"fraction for an integer": {"pools:\n  - max_batch: 1.5\n", "f.yaml:2: pools[0].max_batch: must be a whole number"},
		"integer overflow":        {"pools:\n  - max_batch: 99999999999999999999\n", "f.yaml:2: pools[0].max_batch: must be a whole number"},
		"number for a string":     {"models:\n  - versions: [1.10]\n", `f.yaml:2: models[0].versions[0]: must be a string; put "1.10" in quotes`},
		"YAML 1.1 boolean":        {"services:\n  - deduplicates: yes\n", "f.yaml:2: services[0].deduplicates: must be true or false"},
		"mapping for a list":      {"teams: {name: a}\n", "f.yaml:1: teams: must be a list"},
		"list for a mapping":      {"teams: [[a]]\n", "f.yaml:1: teams[0]: must be a mapping"},
		"no value":                {"teams:\nsites: []\n", "f.yaml:1: teams: has no value; write one or leave the key out"},
		"alias":                   {"teams: &t []\nsites: *t\n", "f.yaml:1: teams: anchors and aliases are not allowed; write the value out"},
		"merge key":               {"<<: {teams: []}\n", `f.yaml:1: unknown key "<<"`},
		"broken":                  {"teams:\n  - name: a\n  - name: b\n   - name: c\n", "f.yaml:4: value is not allowed in this context"},
		"two documents":           {"teams: []\n---\nsites: []\n", "f.yaml:2: has more than one document"},
		"empty":                   {"# nothing\n", "f.yaml:1: is empty"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseBase("f.yaml", []byte(c.text))
			var problems Problems
			require.ErrorAs(t, err, &problems)
			assert.Contains(t, strings.Split(err.Error(), "\n"), c.want)
		})
	}
}

func TestValidateRejectsInvalidBundles(t *testing.T) {
	base := func(old, new string) Bundle { return withBase(t, old, new) }
	cases := map[string]struct {
		bundle Bundle
		want   string
	}{
		"dangling site":              {base("[north, south], model", "[north, west], model"), `base.yaml:6: pools[0].sites[1]: no site is called "west"`},
		"dangling model":             {base(`model: m, version: "1"`, `model: x, version: "1"`), `base.yaml:6: pools[0].model: no model is called "x"`},
		"dangling version":           {base(`version: "1", adapters`, `version: "7", adapters`), `base.yaml:6: pools[0].version: model m has no version "7"`},
		"dangling adapter":           {base(`version: "1", adapters: [ad]`, `version: "1", adapters: [zz]`), `base.yaml:6: pools[0].adapters[0]: model m has no adapter "zz"`},
		"dangling pool":              {base("pool: web", "pool: wob"), `base.yaml:12: services[0].pool: no pool is called "wob"`},
		"service on model":           {base("pool: web", "pool: lang"), `base.yaml:12: services[0].pool: pool "lang" serves a model, not plain services`},
		"dangling team":              {base("name: acct, team: desk", "name: acct, team: none"), `base.yaml:19: accounts[0].team: no team is called "none"`},
		"dangling service":           {base("services: [portal]", "services: [door]"), `base.yaml:19: accounts[0].services[0]: no service is called "door"`},
		"dangling account model":     {base("models: [m]}", "models: [q]}"), `base.yaml:19: accounts[0].models[0]: no model is called "q"`},
		"version without a model":    {base("capacity_floor: 0}", `version: "1"}`), "base.yaml:8: pools[2]: a pool without a model has no version and no adapters"},
		"duplicate pool":             {base("name: spare", "name: lang"), `base.yaml:7: pools[1].name: "lang" is already defined`},
		"duplicate route":            {base("/status/all", "/status/*"), "base.yaml:15: services[0].routes[1]: route GET /status/* is already defined"},
		"duplicate key hash":         {base("key_hashes: []", "key_hashes: ["+keyA+"]"), `base.yaml:20: accounts[1].key_hashes[0]: is a key of account "acct"`},
		"low load bound":             {base("priority: 5", "load_bound: 1.04"), "base.yaml:7: pools[1].load_bound: must be at least 1.05"},
		"zero load bound":            {base("priority: 5", "load_bound: 0"), "base.yaml:7: pools[1].load_bound: must be at least 1.05"},
		"load bound is NaN":          {base("priority: 5", "load_bound: .nan"), "base.yaml:7: pools[1].load_bound: must be at least 1.05"},
		"floor":                      {base("capacity_floor: 0", "capacity_floor: 1.1"), "base.yaml:8: pools[2].capacity_floor: must be at most 1"},
		"weight":                     {base("requests_per_second: 2.5", "weight: 0"), "base.yaml:19: accounts[0].weight: must be more than 0"},
		"short hash":                 {base(keyA, keyA[1:]), "base.yaml:19: accounts[0].key_hashes[0]: must be 64 characters long"},
		"upper-case hash":            {base(keyA, strings.ToUpper(keyA)), "base.yaml:19: accounts[0].key_hashes[0]: must be lower-case hexadecimal"},
		"name with a slash":          {base("name: acct", "name: a/b"), "base.yaml:19: accounts[0].name: must be a name: a letter or digit, then letters, digits, '.', '_' or '-', 63 at most"},
		"method":                     {base("method: POST, path: /search", "method: post, path: /search"), "base.yaml:17: services[0].routes[3].method: must be one of GET HEAD POST PUT PATCH DELETE"},
		"priority class":             {base("priority: high", "priority: top"), "base.yaml:15: services[0].routes[1].priority: must be one of urgent high normal batch"},
		"relative route":             {base("/status/all", "/status/.."), "base.yaml:15: services[0].routes[1].path: config: bad path: relative segment"},
		"partial wildcard":           {base("/status/all", "/status/a*"), "base.yaml:15: services[0].routes[1].path: a wildcard must be a whole segment"},
		"no sites":                   {Bundle{Base: []byte("teams: []\n")}, "base.yaml:1: sites: must be at least 1 entries"},
		"overlay of another site":    {withNorth("site: south\n"), `sites/north.yaml:1: site: the file is that of site "north"`},
		"unknown version in overlay": {withNorth("site: north\npools:\n  - name: lang\n    version: \"9\"\n"), `sites/north.yaml:4: pools[0].version: model m has no version "9"`},
		"unknown pool in overlay":    {withNorth("site: north\npools:\n  - name: nix\n"), `sites/north.yaml:3: pools[0].name: site north has no pool called "nix"`},
		"unknown account in overlay": {withNorth("site: north\naccounts:\n  - name: nix\n"), `sites/north.yaml:3: accounts[0].name: no account is called "nix"`},
		"low load bound in overlay":  {withNorth("site: north\npools:\n  - name: lang\n    load_bound: 1\n"), "sites/north.yaml:4: pools[0].load_bound: must be at least 1.05"},
		"duplicate pool in overlay":  {withNorth("site: north\npools:\n  - name: lang\n  - name: lang\n"), `sites/north.yaml:4: pools[1].name: "lang" is already changed`},
		"unknown key in overlay":     {withNorth("site: north\nmodels: []\n"), `sites/north.yaml:2: unknown key "models"`},
	}
	assert.Empty(t, Validate(testBundle()))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, p := range Validate(c.bundle) {
				got = append(got, p.String())
			}
			assert.Contains(t, got, c.want)
		})
	}
}

func TestEffectiveAppliesOverlayAndDefaults(t *testing.T) {
	north, south := effectiveAt(t, testBundle(), "north"), effectiveAt(t, testBundle(), "south")

	lang, _ := north.Pool("lang")
	assert.Equal(t, Pool{Name: "lang", Sites: []string{"north", "south"}, Model: "m", Version: "2", Adapters: []string{},
		LoadBound: 1.2, MaxBatch: 9, QueueLimit: 7, Priority: 9, CapacityFloor: DefaultCapacityFloor}, *lang)
	lang, _ = south.Pool("lang")
	assert.Equal(t, "1", lang.Version, "an overlay must not affect another site")
	assert.Equal(t, []any{DefaultLoadBound, DefaultMaxBatch, DefaultQueueLimit}, []any{lang.LoadBound, lang.MaxBatch, lang.QueueLimit})
	web, _ := north.Pool("web")
	assert.Zero(t, web.CapacityFloor, "the default must not replace an explicit capacity floor of 0")

	poolNames := func(pools []*Pool) (names []string) {
		for _, p := range pools {
			names = append(names, p.Name)
		}
		return names
	}
	assert.Equal(t, []string{"lang", "spare"}, poolNames(north.PoolsFor("m", "")))
	assert.Empty(t, north.PoolsFor("m", "ad"), "the overlay removes the adapter")
	assert.Equal(t, []string{"lang"}, poolNames(south.PoolsFor("m", "ad")))

	atNorth, ok := north.AccountByKeyHash(keyA)
	require.True(t, ok)
	assert.Equal(t, []any{10.0, 10, 3, PriorityHigh}, []any{atNorth.RequestsPerSecond, atNorth.Burst, atNorth.Concurrency, atNorth.MaxPriority})
	atSouth, _ := south.Account("acct")
	assert.Equal(t, []any{2.5, 3, DefaultWeight, PriorityUrgent}, []any{atSouth.RequestsPerSecond, atSouth.Burst, atSouth.Weight, atSouth.MaxPriority})
	_, serves := south.Service("portal")
	assert.False(t, serves, "the service's pool has no VM in the south")

	parsed, err := testBundle().Parse()
	require.NoError(t, err)
	_, err = NewEffective(parsed.Document, parsed.Overlays, "west")
	assert.True(t, ErrUnknownSite.Has(err))
}

func TestMatchRouteRejectsAmbiguousAndUnlistedPaths(t *testing.T) {
	e := effectiveAt(t, testBundle(), "north")
	allowed := map[string]struct {
		method, path string
		sent         string
		idempotent   bool
		priority     string
	}{
		"wildcard":                {"GET", "/status/a%20b", "/status/a%20b", true, PriorityNormal},
		"literal before wildcard": {"GET", "/status/all", "/status/all", true, PriorityHigh},
		"POST by default":         {"POST", "/receipts", "/receipts", false, PriorityNormal},
		"declared":                {"POST", "/search", "/search", true, PriorityNormal},
		"unneeded encoding":       {"GET", "/st%61tus/x", "/status/x", true, PriorityNormal},
	}
	for name, c := range allowed {
		t.Run(name, func(t *testing.T) {
			m, err := e.MatchRoute("portal", c.method, c.path)
			require.NoError(t, err)
			assert.Equal(t, []any{c.sent, c.idempotent, c.priority}, []any{m.Path, m.Idempotent, m.Priority})
		})
	}
	// Guards against a caller that reaches an endpoint outside the allow-list
	// because the upstream resolves an ambiguous path differently.
	for _, path := range []string{"", "status", "/status/..", "/status/.", "//status/a", "/status//", "/status/", "/status/%2e%2E",
		"/status/a%2fb", "/status/a%5Cb", "/status/%00", "/status/a%0d%0ab", "/status/..;x", "/status/;x", "/status/%252e%252e",
		"/status/%zz", "/status/%ff", "/status/a%3fb", "/status/a%23b"} {
		_, err := e.MatchRoute("portal", "GET", path)
		assert.True(t, ErrBadPath.Has(err), "%q: %v", path, err)
	}
	_, err := e.MatchRoute("portal", "DELETE", "/receipts")
	assert.True(t, ErrMethodNotAllowed.Has(err))
	for _, call := range [][2]string{{"portal", "/orders"}, {"portal", "/status/a/b"}, {"portal", "/"}, {"nix", "/status/a"}} {
		_, err = e.MatchRoute(call[0], "GET", call[1])
		assert.True(t, ErrNoRoute.Has(err), "%v", call)
	}
}

// Guards against a valid edit of the base document that removes a site's last
// pool for a model, so that callers at the site get "unknown model" seconds
// later. The offerings of each site must be compared before and after the
// change; a check of the new bundle alone is not enough.
func TestValidateChangeRejectsUnconfirmedWithdrawals(t *testing.T) {
	original := testBundle()
	original.Overlays = nil
	edit := func(pairs ...string) Bundle {
		return Bundle{Base: []byte(strings.NewReplacer(pairs...).Replace(baseText))}
	}
	south := func(text string) Bundle {
		return Bundle{Base: original.Base, Overlays: map[string][]byte{"south": []byte("site: south\n" + text)}}
	}
	north := func(text string) Bundle {
		return Bundle{Base: original.Base, Overlays: map[string][]byte{"north": []byte("site: north\n" + text)}}
	}
	cases := map[string]struct {
		bundle Bundle
		want   string
	}{
		"new version":                    {edit(`version: "1", adapters`, `version: "2", adapters`), ""},
		"another pool remains":           {north("pools: [{name: spare, enabled: false}]\n"), ""},
		"last pool":                      {south("pools: [{name: lang, retire: true}]\n"), "would have no pool left"},
		"adapter withdrawn":              {south("pools: [{name: lang, adapters: []}]\n"), "would stop serving adapter ad of model m"},
		"adapter removed from the model": {edit("adapters: [ad]", "adapters: []"), ""},
		"service withdrawn":              {north("pools: [{name: web, enabled: false}]\n"), "would stop serving service portal"},
		"service retired":                {north("pools: [{name: web, retire: true}]\n"), ""},
		"pool removed from site":         {edit("[north, south], model", "[north], model"), "would have no pool left"},
		"site removed":                   {edit("[north, south], model", "[north], model", ", {name: south, region: r1}", ""), ""},
		"model without pool":             {edit(`model: m, version: "1", adapters: [ad]`, "priority: 1"), "site south would stop serving model m"},
		"model retired":                  {edit(`model: m, version: "1", adapters: [ad]`, "priority: 1", `adapters: [ad]}`, `adapters: [ad], retire: true}`), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, Validate(c.bundle), "the new bundle must be valid by itself")
			problems := Problems(ValidateChange(original, c.bundle))
			if c.want == "" {
				assert.Empty(t, problems)
				return
			}
			assert.ErrorContains(t, problems, c.want)
		})
	}
}

// Guards against an upgrade after which no change can be accepted: the new program
// rejects the text of the active version, and every change is compared with it.
// Such problems must count as withdrawals, which the author can waive.
func TestUnreadableActiveVersionCanBeWaived(t *testing.T) {
	withdrawals, emptiedSites := compareBundles(Bundle{Base: []byte("gone: 1\n")}, testBundle())
	assert.Empty(t, emptiedSites)
	assert.ErrorContains(t, withdrawals, "in force: base.yaml:1: unknown key")
}

func TestBundleEncodingKeepsContentAndHash(t *testing.T) {
	b := testBundle()
	decoded, err := DecodeBundle(b.Encode())
	require.NoError(t, err)
	assert.Equal(t, b, decoded)
	assert.Equal(t, Bundle{}.Hash(), Bundle{Base: []byte{}, Overlays: map[string][]byte{}}.Hash())
	assert.NotEqual(t, b.Hash(), withNorth("site: north\n").Hash())
	_, err = DecodeBundle([]byte("{"))
	assert.True(t, ErrCorrupt.Has(err))
}

func TestExampleConfigurationsAreValid(t *testing.T) {
	cases := map[string]struct {
		services        []string
		loadBound       float64
		nonIdempotent   [2]string
		urgentByDefault string
	}{
		"sebeke": {[]string{"portal"}, 1.45, [2]string{"portal", "/receipts"}, ""},
		"glansa": {[]string{"booking", "keys"}, 1.25, [2]string{"keys", "/handovers"}, "/checks/7"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := readExample(t, name)
			assert.Empty(t, Validate(b))
			assert.Len(t, b.Overlays, 3)
			for _, site := range slices.Sorted(maps.Keys(b.Overlays)) {
				e := effectiveAt(t, b, site)
				assert.Len(t, e.Accounts, 10)
				assert.Len(t, e.Services, len(c.services))
				language, _ := e.Pool("language")
				assert.Equal(t, c.loadBound, language.LoadBound)
				m, err := e.MatchRoute(c.nonIdempotent[0], "POST", c.nonIdempotent[1])
				require.NoError(t, err)
				assert.False(t, m.Idempotent)
				if c.urgentByDefault != "" {
					m, err = e.MatchRoute("keys", "GET", c.urgentByDefault)
					require.NoError(t, err)
					assert.Equal(t, PriorityUrgent, m.Priority)
				}
			}
		})
	}
}

func readExample(t *testing.T, name string) Bundle {
	t.Helper()
	dir := filepath.Join(examplesDir, name)
	base, err := os.ReadFile(filepath.Join(dir, BaseFile))
	require.NoError(t, err)
	b := Bundle{Base: base, Overlays: make(map[string][]byte)}
	files, err := filepath.Glob(filepath.Join(dir, SitesDir, "*"+FileSuffix))
	require.NoError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		b.Overlays[strings.TrimSuffix(filepath.Base(file), FileSuffix)] = data
	}
	return b
}

// Guards against a panic of the YAML library on text that an operator uploads,
// which would end the process of every router at once. For any text, parsing must
// return a value or Problems.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{baseText, northText, "", "&a [*a]", "? [x]\n: y", "a: !!binary x", "\x00", "- - -\n -"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := Bundle{Base: data, Overlays: map[string][]byte{"north": data}}
		for _, p := range Validate(b) {
			if p.File == "" || p.Line < 0 || p.Reason == "" {
				t.Errorf("problem without file, line or reason: %+v", p)
			}
		}
	})
}

// Guards against an upstream that acts on another path than the one that was
// allowed: an accepted path that is encoded again must have the same segments.
func FuzzSplitPath(f *testing.F) {
	for _, seed := range []string{"/", "/a/b%20c", "/%2e%2e", "/a;b", "/%25", "/a%2fb"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, path string) {
		segments, err := splitPath(path)
		if err != nil {
			return
		}
		encodedAgain, err := splitPath(joinPath(segments))
		require.NoError(t, err)
		require.Equal(t, segments, encodedAgain)
	})
}
