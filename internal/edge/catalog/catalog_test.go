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

func TestRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: Idempotent}).Repeatable())
	require.False(t, (&Route{Kind: NonIdempotent}).Repeatable())
	require.False(t, (&Route{Kind: Streaming}).Repeatable())
	require.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}

func engine(id string, revision uint64) Engine {
	return Engine{ID: id, Service: "llm", Address: "10.0.0.1:1", Revision: revision}
}

// Symptom: a router forgets half of its engines, or keeps one that has left.
// Sequence: it asks another router what changed since a version whose removals
// that router has forgotten. Cause: the answer must then be the whole set.
func TestSinceIsWholeWhereRemovalsAreForgotten(t *testing.T) {
	s, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("keep", 5), engine("gone", 6)}}, 0)
	s, _ = s.Apply(EngineUpdate{Since: 10, Upto: 11, Removed: []Removal{{"gone", 11}}}, 0)
	require.False(t, s.Since(10).Full)
	for v := uint64(12); v < 12+2*maxRemovals; v += 2 {
		s, _ = s.Apply(EngineUpdate{Since: v - 1, Upto: v, Present: []Engine{engine("brief", v)}}, 0)
		s, _ = s.Apply(EngineUpdate{Since: v, Upto: v + 1, Removed: []Removal{{"brief", v + 1}}}, 0)
	}
	u := s.Since(10)
	require.True(t, u.Full)
	behind, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("keep", 5), engine("gone", 6)}}, 0)
	behind, _ = behind.Apply(u, 0)
	require.Contains(t, behind.ByID, "keep")
	require.NotContains(t, behind.ByID, "gone")
}

// Symptom: a request goes to an engine that has left. Sequence: the removal
// arrives, then an older view of the engine from another router. Cause: views
// arrive out of order; revisions order them.
func TestOlderViewDoesNotBringAnEngineBack(t *testing.T) {
	s, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5)}}, 0)
	s, _ = s.Apply(EngineUpdate{Since: 10, Upto: 12, Removed: []Removal{{"a", 12}}}, 0)
	s, changed := s.Apply(EngineUpdate{Full: true, Upto: 11, Present: []Engine{engine("a", 5)}}, 0)
	require.False(t, changed)
	require.Empty(t, s.ByID)
	s, _ = s.Apply(EngineUpdate{Since: 12, Upto: 13, Present: []Engine{engine("a", 5)}}, 0)
	require.Empty(t, s.ByID)
}

// Symptom: changes are lost for good. Sequence: a router gets a difference that
// starts after the version it has. Cause: taking it would skip what lies between.
func TestUpdateWithGapIsRefused(t *testing.T) {
	s, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10}, 0)
	next, changed := s.Apply(EngineUpdate{Since: 12, Upto: 13, Present: []Engine{engine("a", 13)}}, 0)
	require.False(t, changed)
	require.Equal(t, uint64(10), next.Upto)
}

// Symptom: the whole service ends with the first answer after an outage of the
// store. Sequence: the store is away for seconds, engines can't renew their
// entries, the store returns without them, they register again within two
// seconds. Cause: a missing entry says nothing that soon after an outage.
func TestMissingEntryAfterOutageIsDoubtedForTwoSeconds(t *testing.T) {
	const lapse = 2400 * time.Millisecond
	s := Empty()
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5), engine("b", 6)}}, 10*time.Second, lapse, 0)
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 20}, 15*time.Second, lapse, 0)
	require.Len(t, s.Engines.ByID, 2)
	s, _ = s.WithEngines(EngineUpdate{Since: 20, Upto: 21, Present: []Engine{engine("a", 21)}}, 16*time.Second, lapse, 0)
	set, _ := s.Engines.Expire(17 * time.Second)
	require.Contains(t, set.ByID, "a")
	require.NotContains(t, set.ByID, "b")
}

// Symptom: a request reaches an engine more than two seconds after it left.
// Sequence: the store turns one router away for seconds while another reads it;
// the first takes over again and meets a removal. Cause: that is no outage, since
// the engines were confirmed meanwhile.
func TestNoDoubtWhereSomebodyCouldRead(t *testing.T) {
	const lapse = 2400 * time.Millisecond
	s := Empty()
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5)}}, 10*time.Second, lapse, 0)
	for at := 11 * time.Second; at <= 15*time.Second; at += time.Second {
		s, _ = s.WithEngines(EngineUpdate{Since: 10, Upto: 10}, at, lapse, 0)
	}
	s, _ = s.WithEngines(EngineUpdate{Since: 10, Upto: 20, Removed: []Removal{{"a", 20}}}, 16*time.Second, lapse, 0)
	require.Empty(t, s.Engines.ByID)
}

// Symptom: a request reaches an engine three seconds after it left. Sequence: a
// router's link is full for some seconds, it hears nothing, then reads a removal.
// Cause: that is its own trouble; no reader has failed to reach the store.
func TestNoDoubtWhereOnlyThisRouterHeardNothing(t *testing.T) {
	const lapse = 2400 * time.Millisecond
	s := Empty()
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{engine("a", 5)}}, 10*time.Second, lapse, time.Hour)
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 20}, 15*time.Second, lapse, 20*time.Second)
	require.Empty(t, s.Engines.ByID)
}

// A draining engine that loses its entry has left, whatever the store did.
func TestDrainingEngineIsNeverDoubted(t *testing.T) {
	s := Empty()
	leaving := engine("a", 5)
	leaving.Draining = true
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 10, Present: []Engine{leaving}}, 10*time.Second, time.Second, 0)
	s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: 20}, 15*time.Second, time.Second, 0)
	require.Empty(t, s.Engines.ByID)
}

// Symptom: a request is handled by an older version after a newer one was seen.
// Sequence: a router has version 9, then hears of 7 from one that is behind.
// Cause: versions only go forward, and a confirmation of 7 says nothing of 9.
func TestConfigNeverGoesBack(t *testing.T) {
	s, _ := Empty().WithConfig(NewConfig(Config{Version: 9}), 5*time.Second)
	back, changed := s.WithConfig(NewConfig(Config{Version: 7}), 9*time.Second)
	require.False(t, changed)
	require.Equal(t, uint64(9), back.Config.Version)
	require.Equal(t, 5*time.Second, back.ConfigAsOf)
	same, _ := s.WithConfig(NewConfig(Config{Version: 9}), 8*time.Second)
	require.Equal(t, 8*time.Second, same.ConfigAsOf)
	older, _ := same.WithConfig(same.Config, 6*time.Second)
	require.Equal(t, 8*time.Second, older.ConfigAsOf)
}

func TestConfigUpdateLeadsFromAnyToAny(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawConfig(t, 1), drawConfig(t, 2)
		got, ok := next.UpdateFrom(old).Apply(old)
		require.True(t, ok)
		require.Equal(t, next.Version, got.Version)
		require.ElementsMatch(t, next.Routes, got.Routes)
		require.ElementsMatch(t, next.Accounts, got.Accounts)
		whole, ok := next.UpdateFrom(nil).Apply(nil)
		require.True(t, ok)
		require.ElementsMatch(t, next.Routes, whole.Routes)
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

// Symptom: revoked keys are accepted. Sequence: a difference from version 3 is
// applied to version 2. Cause: only its own base makes sense of a difference.
func TestConfigUpdateForAnotherBaseIsRefused(t *testing.T) {
	v2, v3, v4 := NewConfig(Config{Version: 2}), NewConfig(Config{Version: 3}), NewConfig(Config{Version: 4})
	_, ok := v4.UpdateFrom(v3).Apply(v2)
	require.False(t, ok)
	_, ok = v4.UpdateFrom(v3).Apply(nil)
	require.False(t, ok)
}

// Symptom: the log of a router that has just started says that its configuration is 22
// hours old. Cause: its age was counted from the boot of the VM.
func TestWhatWasNeverHeardHasNoAge(t *testing.T) {
	require.Equal(t, []any{"config_age", unheard, "engines_age", unheard}, Empty().AgeFields(time.Hour))
	s, _ := Empty().WithConfig(NewConfig(Config{Version: 1}), time.Minute)
	require.Equal(t, []any{"config_age", "1m0s", "engines_age", unheard}, s.AgeFields(2*time.Minute))
}
