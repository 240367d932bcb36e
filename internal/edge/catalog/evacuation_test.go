package catalog

import (
	"testing"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func evacuated(site string, revision uint64) Evacuation {
	return Evacuation{Site: site, Active: true, Revision: revision}
}

func ended(site string, revision uint64) Evacuation {
	return Evacuation{Site: site, Revision: revision}
}

// Guards against losing an active evacuation, or keeping an ended one, when the full table is read
// after changes were missed.
func TestFullUpdateEndsOnlyOlderEvacuations(t *testing.T) {
	e, changed := Evacuations{}.Apply(EvacuationUpdate{Changes: []Evacuation{evacuated("a", 5), evacuated("b", 9)}})
	require.True(t, changed)
	stale, changed := e.Apply(EvacuationUpdate{Full: true, Upto: 4})
	require.False(t, changed)
	require.Equal(t, []string{"a", "b"}, stale.Sites())
	e, changed = e.Apply(EvacuationUpdate{Full: true, Upto: 12, Changes: []Evacuation{evacuated("b", 9)}})
	require.True(t, changed)
	require.Equal(t, []string{"b"}, e.Sites())
	e, _ = e.Apply(EvacuationUpdate{Changes: []Evacuation{evacuated("a", 5)}})
	require.False(t, e.Active("a"), "an outdated change does not restart the evacuation")
	require.EqualValues(t, 12, e.Revision())
}

// Guards against storing an order without a site, and against unbounded memory for ended
// evacuations.
func TestEvacuationsIgnoreEmptySiteAndBoundEndedOnes(t *testing.T) {
	e, changed := Evacuations{}.Apply(EvacuationUpdate{Changes: []Evacuation{evacuated("", 3)}})
	require.False(t, changed)
	require.Empty(t, e.Sites())
	for i := range uint64(3 * maxEndedEvacuations) {
		e, _ = e.Apply(EvacuationUpdate{Changes: []Evacuation{ended(string(rune('a'+i)), i+1)}})
	}
	require.Len(t, e.bySite, maxEndedEvacuations)
}

// Guards against routers that permanently disagree about the evacuated sites: routers that received
// the same changes, in any order and from the store or another router, must hold the same set.
func TestEvacuationsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Evacuation
		last := map[string]Evacuation{}
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			site := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "site")
			change := Evacuation{Site: site, Active: !last[site].Active, Revision: uint64(2*i + 1)}
			last[site] = change
			history = append(history, change)
		}
		full := EvacuationUpdate{Full: true, Upto: uint64(2 * len(history))}
		var want []string
		for _, site := range []string{"a", "b", "c"} {
			if last[site].Active {
				full.Changes = append(full.Changes, last[site])
				want = append(want, site)
			}
		}
		var routers [3]Evacuations
		for i := range routers {
			for _, change := range rapid.Permutation(history).Draw(t, "order") {
				routers[i], _ = routers[i].Apply(EvacuationUpdate{Changes: []Evacuation{change}})
				if rapid.Bool().Draw(t, "ask") {
					from := routers[rapid.IntRange(0, 2).Draw(t, "from")]
					routers[i], _ = routers[i].Apply(from.Since(routers[i].Revision()))
				}
			}
			if rapid.Bool().Draw(t, "read all") {
				routers[i], _ = routers[i].Apply(full)
			}
			require.Equal(t, want, routers[i].Sites())
		}
	})
}

// Guards against an older set keeping an evacuation that ended before the newer set was created.
func TestSinceAfterFullUpdateCoversEarlierEnds(t *testing.T) {
	older, _ := Evacuations{}.Apply(EvacuationUpdate{Full: true, Upto: 12, Changes: []Evacuation{evacuated("a", 10)}})
	newer, _ := Evacuations{}.Apply(EvacuationUpdate{Full: true, Upto: 20})
	older, changed := older.Apply(newer.Since(older.Upto()))
	require.True(t, changed)
	require.Empty(t, older.Sites())
	require.Zero(t, newer.Since(older.Upto()))
}

// evacuationsAt returns the active evacuations at a version, sorted by site.
func evacuationsAt(history []Evacuation, version uint64) (active []Evacuation) {
	latest := make(map[string]Evacuation)
	for _, change := range history {
		if change.Revision <= version {
			latest[change.Site] = change
		}
	}
	for _, site := range []string{"a", "b", "c"} {
		if latest[site].Active {
			active = append(active, latest[site])
		}
	}
	return active
}

// Guards against sets that lack an active evacuation or retain an ended one: a set must equal the
// store's contents at the set's version, regardless of the route by which updates reached it.
func TestEvacuationsMatchStoreAtTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Evacuation
		version := uint64(1)
		type router struct {
			set Evacuations
			// cursor is the version up to which the router has read the store directly.
			cursor uint64
		}
		routers := make([]router, 3)
		routerIndex := rapid.IntRange(0, len(routers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"operator starts or ends an evacuation": func(t *rapid.T) {
				version++
				history = append(history, Evacuation{
					Site: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "site"), Active: rapid.Bool().Draw(t, "active"), Revision: version,
				})
			},
			"another row changes": func(*rapid.T) { version++ },
			"router reads all evacuations": func(t *rapid.T) {
				r := &routers[routerIndex.Draw(t, "router")]
				r.set, _ = r.set.Apply(EvacuationUpdate{Full: true, Upto: version, Changes: evacuationsAt(history, version)})
				r.cursor = version
			},
			"router watches": func(t *rapid.T) {
				r := &routers[routerIndex.Draw(t, "router")]
				for _, change := range history {
					if r.cursor > 0 && change.Revision > r.cursor {
						r.set, _ = r.set.Apply(EvacuationUpdate{Changes: []Evacuation{change}})
						r.cursor = change.Revision
					}
				}
			},
			"router queries another": func(t *rapid.T) {
				from, to := &routers[routerIndex.Draw(t, "source")], &routers[routerIndex.Draw(t, "receiver")]
				to.set, _ = to.set.Apply(from.set.Since(to.set.Upto()))
			},
			"router restarts": func(t *rapid.T) { routers[routerIndex.Draw(t, "router")] = router{} },
			"": func(t *rapid.T) {
				for i, r := range routers {
					var want []string
					for _, e := range evacuationsAt(history, r.set.Upto()) {
						want = append(want, e.Site)
					}
					require.Equal(t, want, r.set.Sites(), "router %d at version %d", i, r.set.Upto())
				}
			},
		})
	})
}
