package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMatchTakesLongestPrefixOfHost(t *testing.T) {
	c := NewConfig(Config{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.EXAMPLE:8227", "/x/z", "mid"},
		{"a.example", "/z", "root"},
		{"b.example", "/x/", "other"},
	} {
		require.Equal(t, tc.want, c.Match(tc.host, tc.path).Name, "%s%s", tc.host, tc.path)
	}
	require.Nil(t, c.Match("b.example", "/z"))
	require.Nil(t, c.Match("c.example", "/x/"))
}

func TestOnlyIdempotentAndResumableRoutesAreRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: Idempotent}).Repeatable())
	require.False(t, (&Route{Kind: NonIdempotent}).Repeatable())
	require.False(t, (&Route{Kind: Streaming}).Repeatable())
	require.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}

func engine(id string, revision uint64) Engine {
	return Engine{ID: id, Service: "llm", Address: "10.0.0.1:1", Revision: revision}
}

// Guards against a router that loses engines or keeps removed ones because it queries the changes
// since a version from another router that has already discarded some of the removals after that
// version. The reply must then be a full update.
func TestSinceReturnsFullUpdateForDiscardedRemovals(t *testing.T) {
	s, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("keep", 5), engine("gone", 6)}}, 0)
	s, _ = s.Apply(EngineUpdate{Since: 10, Upto: 11, Removed: []Removal{{"gone", 11}}}, 0)
	require.False(t, s.Since(10).Full)
	for v := uint64(12); v < 12+2*maxRemovals; v += 2 {
		s, _ = s.Apply(EngineUpdate{Since: v - 1, Upto: v, Present: []Engine{engine("brief", v)}}, 0)
		s, _ = s.Apply(EngineUpdate{Since: v, Upto: v + 1, Removed: []Removal{{"brief", v + 1}}}, 0)
	}
	u := s.Since(10)
	require.True(t, u.Full)
	receiver, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("keep", 5), engine("gone", 6)}}, 0)
	receiver, _ = receiver.Apply(u, 0)
	require.Contains(t, receiver.ByID, "keep")
	require.NotContains(t, receiver.ByID, "gone")
}

// Guards against requests to a removed engine after an older update from another router arrives
// late: revisions decide which one is newer.
func TestOutdatedUpdateDoesNotRestoreRemovedEngine(t *testing.T) {
	s, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5)}}, 0)
	s, _ = s.Apply(EngineUpdate{Since: 10, Upto: 12, Removed: []Removal{{"a", 12}}}, 0)
	s, changed := s.Apply(EngineUpdate{Full: true, Upto: 11, Present: []Engine{engine("a", 5)}}, 0)
	require.False(t, changed)
	require.Empty(t, s.ByID)
	s, _ = s.Apply(EngineUpdate{Since: 12, Upto: 13, Present: []Engine{engine("a", 5)}}, 0)
	require.Empty(t, s.ByID)
}

// Guards against changes that are lost for good because a router applies an update that starts
// after the router's version.
func TestUpdateWithGapIsIgnored(t *testing.T) {
	s, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10}, 0)
	next, changed := s.Apply(EngineUpdate{Since: 12, Upto: 13, Present: []Engine{engine("a", 13)}}, 0)
	require.False(t, changed)
	require.Equal(t, uint64(10), next.Upto)
}

// Guards against removing all engines of a service with the first reply after a store outage of
// some seconds. The engines could not renew their entries during the outage, and take up to two
// seconds to register again.
func TestEngineWithoutEntryAfterStoreOutageIsDoubtfulForTwoSeconds(t *testing.T) {
	const minOutage = 2400 * time.Millisecond
	s := NewSnapshot()
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5), engine("b", 6)}}, 10*time.Second, minOutage, 0)
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 20}, 15*time.Second, minOutage, 0)
	require.Len(t, s.Engines.ByID, 2)
	s, _ = s.WithEngines(EngineUpdate{Since: 20, Upto: 21, Present: []Engine{engine("a", 21)}}, 16*time.Second, minOutage, 0)
	set, _ := s.Engines.Expire(17 * time.Second)
	require.Contains(t, set.ByID, "a")
	require.NotContains(t, set.ByID, "b")
}

// Guards against requests to an engine more than two seconds after it left: if the store rejects
// one router for some seconds while another one reads it, this is no outage, because the engines
// were confirmed meanwhile.
func TestEngineIsRemovedIfAnotherRouterReadTheStore(t *testing.T) {
	const minOutage = 2400 * time.Millisecond
	s := NewSnapshot()
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5)}}, 10*time.Second, minOutage, 0)
	for at := 11 * time.Second; at <= 15*time.Second; at += time.Second {
		s, _ = s.WithEngines(EngineUpdate{Since: 10, Upto: 10}, at, minOutage, 0)
	}
	s, _ = s.WithEngines(EngineUpdate{Since: 10, Upto: 20, Removed: []Removal{{"a", 20}}}, 16*time.Second, minOutage, 0)
	require.Empty(t, s.Engines.ByID)
}

// Guards against requests to an engine three seconds after it left: if a router's own link is
// saturated for some seconds while no reader fails to reach the store, this is no outage.
func TestEngineIsRemovedIfOnlyThisRouterLostContact(t *testing.T) {
	const minOutage = 2400 * time.Millisecond
	s := NewSnapshot()
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5)}}, 10*time.Second, minOutage, time.Hour)
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 20}, 15*time.Second, minOutage, 20*time.Second)
	require.Empty(t, s.Engines.ByID)
}

// Guards against keeping a draining engine in service after it lost its entry, even after a store
// outage.
func TestDrainingEngineIsNeverDoubtful(t *testing.T) {
	s := NewSnapshot()
	draining := engine("a", 5)
	draining.Draining = true
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{draining}}, 10*time.Second, time.Second, 0)
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 20}, 15*time.Second, time.Second, 0)
	require.Empty(t, s.Engines.ByID)
}

// Guards against handling requests by an older configuration after a newer one was received: a
// confirmation of an older version must change neither the version nor its age.
func TestOlderConfigIsIgnored(t *testing.T) {
	s, _ := NewSnapshot().WithConfig(NewConfig(Config{Version: 9}), 5*time.Second)
	unchanged, changed := s.WithConfig(NewConfig(Config{Version: 7}), 9*time.Second)
	require.False(t, changed)
	require.Equal(t, uint64(9), unchanged.Config.Version)
	require.Equal(t, 5*time.Second, unchanged.ConfigAsOf)
	same, _ := s.WithConfig(NewConfig(Config{Version: 9}), 8*time.Second)
	require.Equal(t, 8*time.Second, same.ConfigAsOf)
	older, _ := same.WithConfig(same.Config, 6*time.Second)
	require.Equal(t, 8*time.Second, older.ConfigAsOf)
}

func TestConfigUpdateConvertsAnyVersionToAnyOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawConfig(t, 1), drawConfig(t, 2)
		got, ok := next.UpdateFrom(old).Apply(old)
		require.True(t, ok)
		require.Equal(t, next.Version, got.Version)
		require.ElementsMatch(t, next.Routes, got.Routes)
		require.ElementsMatch(t, next.Accounts, got.Accounts)
		full, ok := next.UpdateFrom(nil).Apply(nil)
		require.True(t, ok)
		require.ElementsMatch(t, next.Routes, full.Routes)
	})
}

func drawConfig(t *rapid.T, version uint64) *Config {
	c := Config{Version: version}
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		if rapid.Bool().Draw(t, name) {
			c.Routes = append(c.Routes, Route{
				Name: name, Timeout: time.Duration(rapid.IntRange(0, 2).Draw(t, "timeout")),
				Backends: []Backend{{Service: "s", Weight: rapid.IntRange(0, 2).Draw(t, "weight")}},
			})
		}
		if rapid.Bool().Draw(t, "account "+name) {
			c.Accounts = append(c.Accounts, Account{Name: name, Keys: rapid.SliceOfN(rapid.SampledFrom([]string{"k1", "k2"}), 0, 2).Draw(t, "keys")})
		}
	}
	return NewConfig(c)
}

// Guards against accepting revoked keys after an update is applied to another version than its
// base.
func TestConfigUpdateForAnotherBaseIsRejected(t *testing.T) {
	v2, v3, v4 := NewConfig(Config{Version: 2}), NewConfig(Config{Version: 3}), NewConfig(Config{Version: 4})
	_, ok := v4.UpdateFrom(v3).Apply(v2)
	require.False(t, ok)
	_, ok = v4.UpdateFrom(v3).Apply(nil)
	require.False(t, ok)
}

// Guards against logging the time since the VM's boot as the age of state that was never confirmed:
// the log of a router that had just started showed a configuration 22 hours old.
func TestUnconfirmedStateHasNoAge(t *testing.T) {
	require.Equal(t, []any{"config_age", neverConfirmed, "engines_age", neverConfirmed}, NewSnapshot().AgeFields(time.Hour))
	s, _ := NewSnapshot().WithConfig(NewConfig(Config{Version: 1}), time.Minute)
	require.Equal(t, []any{"config_age", "1m0s", "engines_age", neverConfirmed}, s.AgeFields(2*time.Minute))
}
