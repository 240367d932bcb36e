package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestKeyDependsOnAccountAndID(t *testing.T) {
	require.Equal(t, KeyOf("a", "1"), KeyOf("a", "1"))
	require.NotEqual(t, KeyOf("a", "1"), KeyOf("b", "1"))
	require.NotEqual(t, KeyOf("a", "1"), KeyOf("a", "2"))
	require.NotEqual(t, KeyOf("a1", "2"), KeyOf("a", "12"))
}

// Guards against a stream that continues at a version although two requests with its ID began streams at
// different versions, in whatever order their records arrive.
func TestMerge(t *testing.T) {
	record := func(writer uint64, seq uint32, version string) Record {
		return Record{Service: "s", Writer: writer, Seq: seq, Version: version, Left: time.Second}
	}
	for name, c := range map[string]struct {
		a, b    Record
		version string
	}{
		"same":                        {record(1, 1, "v1"), record(1, 1, "v1"), "v1"},
		"sent to another version":     {record(1, 1, "v1"), record(1, 2, "v2"), "v2"},
		"engine was not restarted":    {record(1, 1, ""), record(1, 2, "v1"), "v1"},
		"engine may be restarted":     {record(1, 1, "v1"), record(1, 2, ""), ""},
		"resumed elsewhere":           {record(1, 1, "v1"), record(2, 0, "v1"), "v1"},
		"two requests with one ID":    {record(1, 1, "v1"), record(2, 1, "v2"), ""},
		"one ID, one version unknown": {record(1, 1, "v1"), record(2, 1, ""), ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, merged := range []Record{Merge(c.a, c.b), Merge(c.b, c.a)} {
				require.Equal(t, c.version != "", merged.Known())
				if merged.Known() {
					require.Equal(t, c.version, merged.Version)
				}
			}
		})
	}
}

// Guards against an ambiguous stream that a later record makes unambiguous.
func TestAmbiguousStaysAmbiguous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) Record {
			return Record{
				Writer: rapid.Uint64Range(1, 3).Draw(t, "writer"), Seq: rapid.Uint32Range(0, 2).Draw(t, "seq"),
				Version: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"), Left: time.Second,
			}
		})
		merged := draw.Draw(t, "first")
		ambiguous := false
		for i := range 6 {
			merged = Merge(merged, draw.Draw(t, fmt.Sprint(i)))
			require.False(t, ambiguous && merged.Known())
			ambiguous = ambiguous || merged.Ambiguous
		}
	})
}

func TestTableExpires(t *testing.T) {
	table := NewTable()
	r := Record{Key: KeyOf("a", "1"), Version: "v1", Writer: 1, Left: time.Second}
	table.Put(r, time.Minute)
	got, ok := table.Get(r.Key, time.Minute+500*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, 500*time.Millisecond, got.Left)
	require.Equal(t, 500*time.Millisecond, got.Age)
	_, ok = table.Get(r.Key, time.Minute+time.Second)
	require.False(t, ok)
	table.Expire(time.Minute + time.Second)
	require.Zero(t, table.Len())
}

// Guards against records without end: a table that is full drops new records and counts them.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxRecords + 10 {
		table.Put(Record{Key: KeyOf("a", fmt.Sprint(i)), Left: time.Hour}, time.Minute)
	}
	require.Equal(t, maxRecords, table.Len())
	require.Equal(t, 10, table.Dropped)
}

func members(n, sites int) (out []Member) {
	for i := range n {
		out = append(out, Member{Name: fmt.Sprintf("r%03d", i), Site: fmt.Sprint("site", i%sites), Link: uint64(10 + i%7)})
	}
	return out
}

// Guards against records that are lost with one site, that move when another router comes or goes, or
// that routers look for at others than those that keep them.
func TestReplicasAreInDifferentSitesAndStable(t *testing.T) {
	for _, c := range []struct{ n, sites int }{{1, 1}, {2, 1}, {6, 3}, {89, 3}, {295, 5}} {
		all := members(c.n, c.sites)
		eligible := Eligible(all)
		require.LessOrEqual(t, len(eligible), maxReplicaRouters+c.sites)
		moved := 0
		const keys = 300
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		for i := range keys {
			key := KeyOf("a", fmt.Sprint(i))
			replicas := Replicas(key, eligible)
			require.Len(t, replicas, min(Copies, c.n))
			require.Equal(t, replicas, Replicas(key, Eligible(reversed)))
			sites := map[string]bool{}
			for _, m := range replicas {
				sites[m.Site] = true
			}
			assert.Len(t, sites, min(Copies, c.n, c.sites))
			if len(eligible) < 2 {
				continue
			}
			without := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Name == eligible[0].Name })
			for _, m := range Replicas(key, Eligible(without)) {
				if !Contains(replicas, m.Name) {
					moved++
				}
			}
		}
		if len(eligible) > Copies {
			require.Less(t, moved, 2*keys*Copies/len(eligible)+keys/5)
		}
	}
}

// Guards against a router that takes the version it sees for the only one although another one has
// served while it did not look.
func TestHistoryIsCompleteAfterTheWindow(t *testing.T) {
	at := time.Hour
	one := map[string][]string{"s": {"v1"}}
	h := NewHistory(at, false)
	for range 59 {
		at += Window / 60
		h.Observe(one, at)
		require.False(t, h.Complete(at))
	}
	at += Window / 60
	h.Observe(one, at)
	require.True(t, h.Complete(at))
	at += maxObservationGap + 1
	h.Observe(one, at)
	require.False(t, h.Complete(at), "the router was suspended")
	h.Adopt(map[string][]string{"s": {"v0"}}, at)
	require.True(t, h.Complete(at))
	require.Equal(t, []string{"v0", "v1"}, h.Versions("s"))
	for range 61 {
		at += Window / 60
		h.Observe(one, at)
	}
	require.Equal(t, []string{"v1"}, h.Versions("s"))
	require.True(t, NewHistory(at, true).Complete(at))
	h = NewHistory(at, false)
	for range 20 {
		at += Window / 10
		h.Observe(one, at)
	}
	require.True(t, h.Complete(at))
	h.SetWindow(3 * Window)
	require.False(t, h.Complete(at), "a stream may be as old")
}
