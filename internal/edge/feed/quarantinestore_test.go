package feed

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/stretchr/testify/require"
)

// newKeeper returns the keeper of a router that reads the store and knows no suspects.
func newKeeper(s *fakeStore) *QuarantineKeeper {
	start := time.Now()
	clock := func() time.Duration { return time.Hour + time.Since(start) }
	return &QuarantineKeeper{
		Table: s, Suspects: suspects.NewSet(quarantine.DefaultLimits(), clock, discardLogger()),
		Reads: func() bool { return true }, Clock: clock, Log: discardLogger(),
	}
}

func (k *QuarantineKeeper) quarantine(s quarantine.Suspect) {
	for i := range quarantine.DefaultLimits().ChanceEnds {
		e := quarantine.Entry{Suspect: s, Ends: []quarantine.End{{Engine: fmt.Sprint(s.Hint, "-", i), At: k.Clock()}}, ChangedAt: k.Clock()}
		k.Suspects.Merge([]quarantine.Entry{e}, "")
	}
}

func (k *QuarantineKeeper) quarantined(s quarantine.Suspect) bool {
	return k.Suspects.View().Status(s.Hint, s.Fingerprint).Quarantined
}

// Guards against requests that end engines again after all routers have lost power at once.
func TestQuarantineOutlivesAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		q, lifted := testSuspect("q"), testSuspect("lifted")
		before := newKeeper(s)
		go before.Run(t.Context())
		time.Sleep(2 * time.Second)
		before.quarantine(q)
		before.quarantine(lifted)
		time.Sleep(time.Second)
		require.True(t, before.Suspects.Clear(lifted.Key()))
		time.Sleep(time.Second)
		calls := s.calls.Load()
		time.Sleep(time.Minute)
		require.Equal(t, calls, s.calls.Load(), "calls without a change")

		after := newKeeper(s)
		go after.Run(t.Context())
		time.Sleep(2 * time.Second)
		require.True(t, after.quarantined(q))
		require.False(t, after.quarantined(lifted))
	})
}

// Guards against a router that loses its quarantine, or calls a store that is down all the time.
func TestQuarantineIsStoredOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		k := newKeeper(s)
		s.update(func(s *fakeStore) { s.down = true })
		go k.Run(t.Context())
		k.quarantine(testSuspect("q"))
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, s.calls.Load(), int64(5))
		require.True(t, k.quarantined(testSuspect("q")))
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(5 * time.Second)
		other := newKeeper(s)
		go other.Run(t.Context())
		time.Sleep(2 * time.Second)
		require.True(t, other.quarantined(testSuspect("q")))
	})
}

func TestMalformedStoredQuarantineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for _, value := range []string{"{", `[{"fingerprint":"zz"}]`} {
			_, err := s.Commit(t.Context(), platform.UseFleet, platform.Write{Key: quarantineKey, Value: []byte(value)})
			require.NoError(t, err)
			k := newKeeper(s)
			k.quarantine(testSuspect("q"))
			go k.Run(t.Context())
			time.Sleep(3 * time.Second)
			require.Contains(t, string(s.rows[quarantineKey]), testSuspect("q").Fingerprint.String())
		}
	})
}

// Guards against a part that ends engines again after all routers have lost power at once, and against a
// stored part that routers of an earlier release take for a request of its account.
func TestPartsInQuarantineAreStored(t *testing.T) {
	part := quarantine.Suspect{Part: quarantine.NewPart("svc", "1a"), Account: "first", Route: "r"}
	entries := []quarantine.Entry{
		{Suspect: part, Generation: 3, Lapsed: 2, Quarantined: true, Ends: []quarantine.End{{Engine: "e1", Born: 5}, {Engine: "e1", Born: 6}}},
		{Suspect: testSuspect("q"), Quarantined: true, Ends: []quarantine.End{{Engine: "e2"}}},
		{Suspect: quarantine.Suspect{Part: quarantine.NewPart("svc", "2b")}, Ends: []quarantine.End{{Engine: "e1"}}},
	}
	value := encodeQuarantines(entries)
	decoded, err := decodeQuarantines(value, time.Hour)
	require.NoError(t, err)
	require.Len(t, decoded, 2)
	require.Equal(t, part, decoded[0].Suspect)
	require.Equal(t, testSuspect("q"), decoded[1].Suspect)
	require.True(t, decoded[0].Quarantined)
	require.EqualValues(t, 3, decoded[0].Generation)
	require.EqualValues(t, 2, decoded[0].Lapsed)
	require.Equal(t, []quarantine.End{{Engine: "e1", Born: 5, At: time.Hour}, {Engine: "e1", Born: 6, At: time.Hour}}, decoded[0].Ends)
	require.Equal(t, []quarantine.End{{Engine: "e2", At: time.Hour}}, decoded[1].Ends)

	var earlier []struct{ Fingerprint, Account string }
	require.NoError(t, json.Unmarshal(value, &earlier))
	_, err = quarantine.ParseFingerprint(earlier[0].Fingerprint)
	require.NoError(t, err)
	require.Empty(t, earlier[0].Account)
	_, err = decodeQuarantines([]byte(`[{"part":"svc"}]`), time.Hour)
	require.True(t, ErrMalformed.Has(err))
}

// Guards against a quarantine that is not stored at all because the store refuses a row of its size.
func TestStoredQuarantineFitsARow(t *testing.T) {
	const rowBytes = 64 << 10
	var entries []quarantine.Entry
	for i := range maxStoredQuarantines {
		e := quarantine.Entry{Suspect: testSuspect(fmt.Sprint(i)), Quarantined: true, QuarantinedAt: time.Duration(i)}
		for born := range int64(8) {
			e.Ends = append(e.Ends, quarantine.End{Engine: "i-7f3a91c2d4", Born: 1_796_659_200_000 + born})
		}
		entries = append(entries, e)
	}
	value := encodeQuarantines(entries)
	require.Less(t, len(value), rowBytes)
	decoded, err := decodeQuarantines(value, time.Hour)
	require.NoError(t, err)
	require.Greater(t, len(decoded), maxStoredQuarantines/2)
	newest := entries[len(entries)-1].Suspect
	require.True(t, slices.ContainsFunc(decoded, func(e quarantine.Entry) bool { return e.Suspect == newest }))
}
