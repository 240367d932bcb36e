package suspects

import (
	"fmt"
	"io"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

const testService = "llm"

// partFleet returns a Set and a function that ends an engine under requests of an account with parts.
func partFleet(now *time.Duration) (*Set, func(account string, parts ...string)) {
	s := NewSet(quarantine.DefaultLimits(), func() time.Duration { return *now }, log.New(io.Discard))
	n := 0
	return s, func(account string, parts ...string) {
		n++
		c := quarantine.Cut{Request: testSuspect(fmt.Sprint(n)), Exposure: 100 * time.Millisecond}
		c.Request.Account = account
		for _, p := range quarantine.NewParts(testService, parts) {
			c.Parts = append(c.Parts, quarantine.CutPart{Part: p})
		}
		s.RecordEnd(quarantine.End{Engine: fmt.Sprint("e", n), Site: fmt.Sprint("s", n%3), At: *now, Peers: 12}, []quarantine.Cut{c})
		*now += 300 * time.Millisecond
	}
}

func trackerOf(s *Set, account string, parts ...string) *Tracker {
	t := NewTracker(s, quarantine.Content{Account: account, Target: "/other"}, "r", func() []string { return parts })
	return &t
}

// Guards against requests with a condemned part that pass, by its position, by another account or at
// another router, and against refusing those without it.
func TestRequestsWithCondemnedPartAreRefused(t *testing.T) {
	now := time.Hour
	s, end := partFleet(&now)
	for i := range quarantine.DefaultLimits().PartEnds {
		if i >= quarantine.DefaultLimits().PartSuspectEnds {
			require.Equal(t, "ee", trackerOf(s, "a", "base", "ee").Restriction(testService).Suspect.ID)
		}
		end(fmt.Sprint("account", i%2), fmt.Sprint("other", i), "ee")
	}
	for _, parts := range [][]string{{"ee"}, {"ee", "base"}, {"base", "ee"}, {"base", "0EE", "tail"}} {
		require.Equal(t, "ee", trackerOf(s, "third", parts...).Restriction(testService).Refused.ID, parts)
	}
	for _, parts := range [][]string{nil, {"base"}, {"base", "other1"}} {
		require.Zero(t, trackerOf(s, "third", parts...).Restriction(testService), parts)
	}
	require.Zero(t, trackerOf(s, "third", "ee").Restriction("another service"))
	require.True(t, trackerOf(s, "third", "base", "ee").IsolationKey(testService) == 0)
}

// Guards against an account that has a part of others' prompts refused by requests of its own that end
// engines: for others such a part is tried.
func TestPartOfOneAccountIsTriedForOthers(t *testing.T) {
	now := time.Hour
	s, end := partFleet(&now)
	for i := range quarantine.DefaultLimits().PartEnds {
		end("attacker", fmt.Sprint("other", i), "ee")
	}
	require.Equal(t, "ee", trackerOf(s, "attacker", "ee").Restriction(testService).Refused.ID)
	other := trackerOf(s, "victim", "ee").Restriction(testService)
	require.Zero(t, other.Refused)
	require.Equal(t, "ee", other.Suspect.ID)
	require.NotZero(t, trackerOf(s, "victim", "ee").IsolationKey(testService))
	end("victim", "ee")
	require.Equal(t, "ee", trackerOf(s, "victim", "ee").Restriction(testService).Refused.ID)
}

// Guards against a router that repeats a request by itself although a part of its prompt is likely to end
// the next engine too.
func TestRequestWithSuspectedPartIsNotRepeated(t *testing.T) {
	now := time.Hour
	s, end := partFleet(&now)
	x := trackerOf(s, "a", "ee")
	x.Parts(testService)
	x.RecordCut(quarantine.EngineStart{ID: "e1"})
	end("a", "ee")
	require.False(t, x.LikelyCause(), "the first end")
	end("a", "ee")
	require.True(t, x.LikelyCause())
}

// Guards against isolating a popular part at the moment at which several engines end by themselves.
func TestPartAnsweredLatelyIsNotIsolated(t *testing.T) {
	now := time.Hour
	s, end := partFleet(&now)
	trackerOf(s, "a", "popular").RecordAnswer(testService, now-time.Second, true)
	for range quarantine.DefaultLimits().PartEnds + 1 {
		now -= 290 * time.Millisecond
		end("a", "popular", "ee")
	}
	require.Equal(t, "ee", trackerOf(s, "a", "popular", "ee").Restriction(testService).Refused.ID)
	require.Zero(t, trackerOf(s, "a", "popular").Restriction(testService))
}

// Guards against a full lossy table that reports answers to parts that were never answered.
func TestAnsweredPartsAreNotMistaken(t *testing.T) {
	var a answers
	hash := func(name string, i int) uint64 { return hashPart(quarantine.NewPart(testService, fmt.Sprint(name, i))) }
	for i := range 3 * answeredSlots {
		a.record(hash("p", i), time.Hour)
	}
	require.Equal(t, time.Hour, a.at(hash("p", 3*answeredSlots-1)))
	for i := range answeredSlots {
		require.Zero(t, a.at(hash("never", i)))
	}
	a.record(hash("p", 0), 2*time.Hour)
	a.record(hash("p", 0), time.Hour)
	require.Equal(t, 2*time.Hour, a.at(hash("p", 0)))
}

// BenchmarkAnswer reports the cost of recording a complete answer to a prompt of eight parts, without
// suspects and with a full table.
func BenchmarkAnswer(b *testing.B) {
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprintf("5c1e%04x", i))
	}
	now := time.Hour
	empty, _ := partFleet(&now)
	full, end := partFleet(&now)
	for i := range quarantine.DefaultLimits().PartEntries {
		end("a", fmt.Sprintf("91bd%04x", i))
	}
	for _, c := range []struct {
		name string
		set  *Set
	}{{"empty", empty}, {"full", full}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t := NewTracker(c.set, quarantine.Content{}, "r", func() []string { return ids })
				t.RecordAnswer(testService, now, true)
			}
		})
	}
}

// Guards against a request that a router repeats by itself although it has ended two starts of one engine.
func TestCutByNextStartOfAnEngineCounts(t *testing.T) {
	now := time.Hour
	s := NewSet(quarantine.DefaultLimits(), func() time.Duration { return now }, log.New(io.Discard))
	x := NewTracker(s, quarantine.Content{Account: "a", Target: "/q"}, "r", nil)
	request, _ := x.Suspect()
	s.RecordEnd(quarantine.End{Engine: "e", Born: 1, At: now}, []quarantine.Cut{{Request: request}})
	x.RecordCut(quarantine.EngineStart{ID: "e", Born: 1})
	require.False(t, x.LikelyCause())
	x = NewTracker(s, quarantine.Content{Account: "a", Target: "/q"}, "r", nil)
	x.RecordCut(quarantine.EngineStart{ID: "e", Born: 2})
	require.True(t, x.LikelyCause())
}
