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

// Guards against an evacuation that a reader forgets, or one that never ends, when the whole table
// is read after changes were missed.
func TestFullReadEndsOnlyWhatItIsNewerThan(t *testing.T) {
	e, changed := Evacuations{}.Apply(EvacuationUpdate{Changes: []Evacuation{evacuated("a", 5), evacuated("b", 9)}})
	require.True(t, changed)
	stale, changed := e.Apply(EvacuationUpdate{Full: true, Upto: 4})
	require.False(t, changed)
	require.Equal(t, []string{"a", "b"}, stale.Sites())
	e, changed = e.Apply(EvacuationUpdate{Full: true, Upto: 12, Changes: []Evacuation{evacuated("b", 9)}})
	require.True(t, changed)
	require.Equal(t, []string{"b"}, e.Sites())
	e, _ = e.Apply(EvacuationUpdate{Changes: []Evacuation{evacuated("a", 5)}})
	require.False(t, e.Active("a"), "an old word does not bring the evacuation back")
	require.EqualValues(t, 12, e.Revision())
}

// Guards against an order without a site, and against unbounded memory for ended ones.
func TestOddEvacuations(t *testing.T) {
	e, changed := Evacuations{}.Apply(EvacuationUpdate{Changes: []Evacuation{evacuated("", 3)}})
	require.False(t, changed)
	require.Empty(t, e.Sites())
	for i := range uint64(3 * maxEnded) {
		e, _ = e.Apply(EvacuationUpdate{Changes: []Evacuation{ended(string(rune('a'+i)), i+1)}})
	}
	require.Len(t, e.bySite, maxEnded)
}

// Guards against routers that disagree for good on which sites are evacuated: whatever the order in
// which they hear of changes, from the store or from one another, those that have heard of the same
// changes know the same.
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
