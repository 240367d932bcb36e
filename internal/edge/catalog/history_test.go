package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an older set keeping an engine that was removed before the newer set was created.
func TestSinceAfterFullUpdateCoversEarlierRemovals(t *testing.T) {
	kept, removed := engine("keep", 5), engine("gone", 6)
	older, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 9, Present: []Engine{kept, removed}}, 0)
	newer, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 10, Present: []Engine{kept}}, 0)

	older, _ = older.Apply(newer.Since(older.Upto), 0)
	require.EqualValues(t, 10, older.Upto)
	require.NotContains(t, older.ByID, "gone")
	require.Contains(t, older.ByID, "keep")
}

// Guards against keeping a removed engine that was added and removed between two full updates of a
// reader, so that the reader never saw it. The set that still contains the engine gets its changes
// not from the reader but from an intermediate set that was updated from the reader.
func TestChangesReceivedAcrossAFullUpdateCoverRemovals(t *testing.T) {
	reader, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 1}, 0)
	intermediate, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 1}, 0)
	older, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 2, Present: []Engine{engine("brief", 2)}}, 0)

	reader, _ = reader.Apply(EngineUpdate{Full: true, Upto: 3}, 0)
	intermediate, _ = intermediate.Apply(reader.Since(intermediate.Upto), 0)
	older, _ = older.Apply(intermediate.Since(older.Upto), 0)
	require.EqualValues(t, 3, older.Upto)
	require.Empty(t, older.ByID)
}

// engineStore models the store's engine table, including all earlier revisions.
type engineStore struct {
	revision uint64
	// history lists all writes in revision order. A write without a service deletes the entry
	// or, if its revision is in foreign, replaces it with one that is not an engine's.
	history []Engine
	foreign map[uint64]bool
}

// at returns the engines present at a revision, by ID.
func (s *engineStore) at(revision uint64) map[string]Engine {
	out := make(map[string]Engine)
	for _, entry := range s.history {
		switch {
		case entry.Revision > revision:
		case entry.Service == "":
			delete(out, entry.ID)
		default:
			out[entry.ID] = entry
		}
	}
	return out
}

func (s *engineStore) write(e Engine) {
	s.revision++
	e.Revision = s.revision
	s.history = append(s.history, e)
}

// read returns a full update at the current revision.
func (s *engineStore) read() EngineUpdate {
	u := EngineUpdate{Full: true, Upto: s.revision}
	for _, e := range s.at(s.revision) {
		u.Present = append(u.Present, e)
	}
	return u
}

// watch returns the latest change to each entry after a revision.
func (s *engineStore) watch(since uint64) EngineUpdate {
	u := EngineUpdate{Since: since, Upto: since}
	latest := make(map[string]Engine)
	for _, entry := range s.history {
		if entry.Revision > since {
			latest[entry.ID] = entry
			u.Upto = entry.Revision
		}
	}
	for id, entry := range latest {
		switch {
		case entry.Service != "":
			u.Present = append(u.Present, entry)
		case s.foreign[entry.Revision]:
			u.Foreign = append(u.Foreign, Removal{ID: id, Revision: entry.Revision})
		default:
			u.Removed = append(u.Removed, Removal{ID: id, Revision: entry.Revision})
		}
	}
	return u
}

// Guards against sets that lack a registered engine or retain a removed one: a set must equal the
// store's contents at the set's version, regardless of the route by which updates reached it.
func TestSetMatchesStoreAtItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &engineStore{revision: 1, foreign: make(map[uint64]bool)}
		routers := make([]*EngineSet, 3)
		for i := range routers {
			routers[i] = NewEngineSet()
		}
		engineID := rapid.SampledFrom([]string{"e1", "e2", "e3"})
		routerIndex := rapid.IntRange(0, len(routers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"engine registers": func(t *rapid.T) {
				store.write(Engine{ID: engineID.Draw(t, "engine"), Service: "llm"})
			},
			"entry is deleted": func(t *rapid.T) {
				store.write(Engine{ID: engineID.Draw(t, "engine")})
			},
			"entry is overwritten": func(t *rapid.T) {
				store.write(Engine{ID: engineID.Draw(t, "engine")})
				store.foreign[store.revision] = true
			},
			"another table changes": func(*rapid.T) { store.revision++ },
			"router reads all engines": func(t *rapid.T) {
				i := routerIndex.Draw(t, "router")
				routers[i], _ = routers[i].Apply(store.read(), noDoubt)
			},
			"router watches": func(t *rapid.T) {
				i := routerIndex.Draw(t, "router")
				if routers[i].Upto > 0 {
					routers[i], _ = routers[i].Apply(store.watch(routers[i].Upto), noDoubt)
				}
			},
			"router queries another": func(t *rapid.T) {
				from, to := routerIndex.Draw(t, "source"), routerIndex.Draw(t, "receiver")
				if routers[from].Upto > 0 {
					routers[to], _ = routers[to].Apply(routers[from].Since(routers[to].Upto), noDoubt)
				}
			},
			"router restarts": func(t *rapid.T) {
				routers[routerIndex.Draw(t, "router")] = NewEngineSet()
			},
			"": func(t *rapid.T) {
				for i, set := range routers {
					require.Equal(t, store.at(set.Upto), set.ByID, "router %d at version %d", i, set.Upto)
				}
			},
		})
	})
}

// Guards against a set keeping a removed engine when the set that supplies the changes never
// contained it, because the engine was added and removed between two of its updates.
func TestSinceIncludesRemovalsOfEnginesNeverInTheSet(t *testing.T) {
	brief := engine("brief", 6)
	source, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 5}, noDoubt)
	source, _ = source.Apply(EngineUpdate{Since: 5, Upto: 7, Removed: []Removal{{"brief", 7}}}, noDoubt)
	receiver, _ := NewEngineSet().Apply(EngineUpdate{Full: true, Upto: 6, Present: []Engine{brief}}, noDoubt)
	require.False(t, source.Since(receiver.Upto).Full)
	receiver, _ = receiver.Apply(source.Since(receiver.Upto), noDoubt)
	require.Empty(t, receiver.ByID)
}
