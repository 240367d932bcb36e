package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any sequence of announcements, entries, removals, entries that return, outages of the store and
// restarts under the same ID, a start that has announced its leaving takes no requests again, and a
// start that has not does.
func TestAnnouncedStartTakesNoRequestsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSnapshot()
		now, version := time.Minute, uint64(1)
		announced := make(map[LeavingStart]bool)
		born := map[string]int64{"a": 1, "b": 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")
			entry := Engine{ID: id, Service: "svc", Born: born[id], Revision: version + 1}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s, _ = s.WithLeaving([]LeavingStart{{ID: id, Born: born[id]}}, now)
				announced[LeavingStart{ID: id, Born: born[id]}] = true
			case 1:
				version++
				s, _ = s.WithEngines(EngineUpdate{Since: version - 1, Upto: version, Present: []Engine{entry}}, now, time.Second, 0)
			case 2:
				version++
				s, _ = s.WithEngines(EngineUpdate{Since: version - 1, Upto: version, Removed: []Removal{{ID: id, Revision: version}}}, now, time.Second, 0)
			case 3:
				born[id]++
			case 4:
				version++
				s, _ = s.WithEngines(EngineUpdate{Full: true, Upto: version, Present: []Engine{entry}}, now, time.Second, 0)
			case 5:
				s = s.ReviewLeaving(now)
			}
			for _, e := range s.Engines.ByID {
				require.Equal(t, !announced[LeavingStart{ID: e.ID, Born: e.Born}], s.TakesRequests(e), "%+v", e)
			}
		}
	})
}

// Guards against an announcement that is lost because the entry did not tell starts apart at first.
func TestAnnouncementOfUnknownStartHoldsForRegisteredOne(t *testing.T) {
	s := NewSnapshot()
	s, _ = s.WithLeaving([]LeavingStart{{ID: "a"}}, time.Minute)
	put := func(version uint64, born int64) Engine {
		e := Engine{ID: "a", Service: "svc", Born: born, Revision: version}
		s, _ = s.WithEngines(EngineUpdate{Since: version - 1, Upto: version, Present: []Engine{e}}, time.Minute, time.Second, 0)
		s = s.ReviewLeaving(time.Minute)
		return e
	}
	require.False(t, s.TakesRequests(put(1, 7)))
	require.False(t, s.TakesRequests(put(2, 0)), "an entry without the time of the start")
	require.True(t, s.TakesRequests(put(3, 8)), "the next start")
}

// Announcements outlive the entry for a while, since it may return, but not for good.
func TestAnnouncementIsKeptWhileItsEntryMayReturn(t *testing.T) {
	s := NewSnapshot()
	s, added := s.WithLeaving([]LeavingStart{{ID: "a", Born: 1}, {ID: "a", Born: 1}}, time.Minute)
	require.Len(t, added, 1)
	engine := Engine{ID: "a", Born: 1}
	s = s.ReviewLeaving(time.Minute)
	s = s.ReviewLeaving(time.Minute + leavingRetention - 1)
	require.True(t, s.Leaving.Has(engine))
	s = s.ReviewLeaving(time.Minute + leavingRetention)
	require.False(t, s.Leaving.Has(engine))
}

// Guards against an engine that is avoided for good because its starts are told apart only by the
// number of its orders.
func TestAnnouncementEndsWithRestartThatOnlyOrdersShow(t *testing.T) {
	s := NewSnapshot()
	put := func(version uint64, orders int64) bool {
		e := Engine{ID: "a", Service: "svc", Orders: orders, Revision: version}
		s, _ = s.WithEngines(EngineUpdate{Since: version - 1, Upto: version, Present: []Engine{e}}, time.Minute, time.Second, 0)
		return s.TakesRequests(s.Engines.ByID["a"])
	}
	require.True(t, put(1, 5))
	s, _ = s.WithLeaving([]LeavingStart{{ID: "a"}}, time.Minute)
	require.False(t, put(2, 6))
	require.True(t, put(3, 0))
}

// Recorded ends of engines without an entry are shared for a while after the return of the store, and an
// entry of an earlier start is not used until it is known to be written after the copy.
func TestRecordedEndsAreSharedAndRefuted(t *testing.T) {
	end := LeavingStart{ID: "a", Born: 2, Refutable: true}
	now := time.Hour
	s := NewSnapshot()
	put := func(upto, revision uint64) {
		e := Engine{ID: "a", Service: "svc", Born: 1, Revision: revision}
		s, _ = s.WithEngines(EngineUpdate{Full: true, First: 5, Upto: upto, Present: []Engine{e}}, now, time.Hour, time.Hour)
	}
	s, _ = s.WithEngines(EngineUpdate{Full: true, First: 5, Upto: 5}, now, time.Hour, time.Hour)
	s, _ = s.WithLeaving([]LeavingStart{end}, now)
	require.Equal(t, []LeavingStart{end}, s.SharedLeaving(now))
	require.Empty(t, s.SharedLeaving(now+leavingRetention))
	put(6, 4)
	require.False(t, s.TakesRequests(s.Engines.ByID["a"]), "the entry of the copy")
	now += rewriteTime
	put(7, 7)
	s = s.ReviewLeaving(now)
	require.True(t, s.TakesRequests(s.Engines.ByID["a"]), "written since")
}
