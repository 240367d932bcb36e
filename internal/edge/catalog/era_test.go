package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestErasAreOrdered(t *testing.T) {
	ordered := []Era{{}, {Returns: 1}, {Returns: 2}, StatedEra(0), StatedEra(1)}
	for i, e := range ordered {
		for j, o := range ordered {
			require.Equal(t, i > j, e.After(o), "%v after %v", e, o)
		}
	}
	require.False(t, StatedEra(3).returnsFrom(Era{Returns: 1}), "the store begins to state eras")
	require.True(t, Era{Returns: 1}.returnsFrom(Era{}))
	require.True(t, StatedEra(1).returnsFrom(StatedEra(0)))
}

// moment is the content of a store with two engines at one moment.
type moment struct {
	era     Era
	version uint64
	present []Engine
}

func entry(id string, revision uint64, draining bool) Engine {
	return Engine{ID: id, Service: "llm", Born: 1, Revision: revision, Draining: draining}
}

// moments are two eras. In the first one, engine a begins to drain and the entry of b is removed. The
// second one begins from a copy of the first moment; a is first written as in the copy.
var moments = []moment{
	{StatedEra(0), 2, []Engine{entry("a", 1, false), entry("b", 2, false)}},
	{StatedEra(0), 3, []Engine{entry("a", 3, true), entry("b", 2, false)}},
	{StatedEra(0), 4, []Engine{entry("a", 3, true)}},
	{StatedEra(1), 2, []Engine{entry("a", 1, false), entry("b", 2, false)}},
	{StatedEra(1), 3, []Engine{entry("a", 3, false), entry("b", 2, false)}},
	{StatedEra(1), 4, []Engine{entry("a", 4, true), entry("b", 2, false)}},
	{StatedEra(1), 5, []Engine{entry("a", 4, true)}},
}

func (m moment) update() EngineUpdate {
	return EngineUpdate{Era: m.era, First: m.version, Full: true, Upto: m.version, Present: m.present}
}

// readers are three routers. last is the latest moment that each has read.
type readers struct {
	snapshots [3]*Snapshot
	last      [3]int
}

const readTime = time.Hour

// apply returns the readers after one of them has applied an update.
func (r readers) apply(i int, u EngineUpdate, leaving []LeavingStart) readers {
	s, _ := r.snapshots[i].WithEngines(u, readTime, time.Hour, time.Hour)
	s, _ = s.WithLeaving(leaving, readTime)
	r.snapshots[i] = s.ReviewLeaving(readTime)
	return r
}

// next returns the readers after each possible step: a read of a moment that is not before the last
// one that the reader has read, or a pull from another reader.
func (r readers) next() (out []readers) {
	for i := range r.snapshots {
		for m := r.last[i]; m < len(moments); m++ {
			next := r.apply(i, moments[m].update(), nil)
			next.last[i] = m
			out = append(out, next)
		}
		for j, from := range r.snapshots {
			if j != i && from.Engines.Upto > 0 {
				to := r.snapshots[i].Engines
				out = append(out, r.apply(i, from.Engines.SinceEra(to.Era, to.Upto), from.SharedLeaving(readTime)))
			}
		}
	}
	return out
}

func (s *Snapshot) takes(id string) bool {
	e, known := s.Engines.ByID[id]
	return known && s.TakesRequests(e)
}

// knowsLeaving reports whether the router has learned that the engine leaves or is gone.
func (s *Snapshot) knowsLeaving(id string) bool {
	_, known := s.Engines.ByID[id]
	ended := slices.ContainsFunc(s.Engines.ended, func(start LeavingStart) bool { return start.ID == id })
	return !s.takes(id) && (known || ended)
}

func (r readers) key() string {
	key := ""
	for i, s := range r.snapshots {
		key += fmt.Sprint(r.last[i], s.Engines.Era, s.Engines.Upto, s.takes("a"), s.takes("b"), len(s.Engines.ByID), len(s.Engines.Doubtful), len(s.Leaving.starts), len(s.Engines.ended), ";")
	}
	return key
}

// Guards against a router that goes back to an earlier era or version, or that uses an engine again
// whose leaving it has learned, in any order of reads and pulls of three routers.
func TestNoOrderOfReadsAndPullsBringsLeavingEnginesBack(t *testing.T) {
	start := readers{}
	for i := range start.snapshots {
		start.snapshots[i] = NewSnapshot()
	}
	seen := map[string]bool{start.key(): true}
	for states, depth := []readers{start}, 0; depth < 5; depth++ {
		var following []readers
		for _, from := range states {
			for _, to := range from.next() {
				requireForward(t, from, to)
				if key := to.key(); !seen[key] {
					seen[key] = true
					following = append(following, to)
				}
			}
		}
		states = following
	}
	require.Greater(t, len(seen), 2000)
}

func requireForward(t *testing.T, from, to readers) {
	for i, before := range from.snapshots {
		after := to.snapshots[i]
		order := after.Engines.Era.Compare(before.Engines.Era)
		require.GreaterOrEqual(t, order, 0)
		if order == 0 {
			require.GreaterOrEqual(t, after.Engines.Upto, before.Engines.Upto)
		}
		for _, id := range []string{"a", "b"} {
			require.False(t, before.knowsLeaving(id) && after.takes(id), "router %d uses %s again\nbefore %+v\nafter %+v", i, id, before.Engines, after.Engines)
		}
	}
	all := to
	for i := range all.snapshots {
		all = all.apply(i, moments[len(moments)-1].update(), nil)
		last := *all.snapshots[i]
		last.Engines, _ = last.Engines.Expire(readTime + doubtPeriod)
		require.False(t, slices.ContainsFunc([]string{"a", "b"}, last.takes))
	}
}
