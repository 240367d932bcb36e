package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func partKey(id string) Key { return Key{Part: NewPart("svc", id)} }

// cutWith returns a request that was cut shortly after its answer began.
func cutWith(name string, parts ...string) Cut {
	c := Cut{Request: suspect(name), Answered: 50 * time.Millisecond, Exposure: 200 * time.Millisecond}
	for _, p := range NewParts("svc", parts) {
		c.Parts = append(c.Parts, CutPart{Part: p})
	}
	return c
}

func endOf(engine int, at time.Duration) End {
	return End{Engine: fmt.Sprintf("e%02d", engine), Site: fmt.Sprint("s", engine%3), At: at, Peers: 12}
}

// exchange lets all tables merge what the others know.
func exchange(tables []*Table, now time.Duration) {
	for range 2 {
		for _, from := range tables {
			for _, to := range tables {
				to.Merge(from.ChangedSince(0, ""), "", now)
			}
		}
	}
}

// quarantinedParts returns the IDs of the parts in quarantine.
func (t *Table) quarantinedParts() []string {
	var out []string
	for k, r := range t.entries {
		if k.IsPart() && r.Quarantined {
			out = append(out, k.Part.ID)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a part that is never stopped, and against condemning the parts beside it: whatever the
// routers observe, and in whatever order and how often they exchange it, the part under which all engines
// ended is in quarantine, and no part that was answered since is.
func TestBadPartIsToldApartFromThoseBesideIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(1, 4).Draw(t, "routers"))
		for i := range tables {
			tables[i] = NewTable(DefaultLimits())
		}
		router := rapid.IntRange(0, len(tables)-1)
		beside := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string])
		now := time.Hour
		var answered []string
		for i := range 8 {
			now += time.Duration(rapid.IntRange(200, 1500).Draw(t, "pause")) * time.Millisecond
			with := beside.Draw(t, "beside")
			at := rapid.IntRange(0, len(with)).Draw(t, "position")
			bad := cutWith(fmt.Sprint("bad request ", i), slices.Insert(slices.Clone(with), at, "ee")...)
			end := endOf(i, now)
			tables[router.Draw(t, "router")].RecordEnd(end, []Cut{bad, cutWith(fmt.Sprint("sound ", i), with...)}, now)
			if rapid.Bool().Draw(t, "second router") {
				tables[router.Draw(t, "router")].RecordEnd(end, []Cut{cutWith(fmt.Sprint("second ", i), with...)}, now)
			}
			// A sound request that is sent after the end is completed.
			began := now + 10*time.Millisecond
			now += 150 * time.Millisecond
			sound := beside.Draw(t, "sound")
			answered = append(answered, sound...)
			var keys []Key
			for _, id := range sound {
				keys = append(keys, partKey(id))
			}
			for _, table := range tables {
				table.Prove(keys, began, true, now)
			}
			if rapid.Bool().Draw(t, "exchange") {
				tables[router.Draw(t, "to")].Merge(tables[router.Draw(t, "from")].ChangedSince(0, ""), "", now)
			}
		}
		exchange(tables, now)
		now += 2 * time.Second
		for _, table := range tables {
			table.Advance(now)
		}
		exchange(tables, now)
		for _, table := range tables {
			found := table.quarantinedParts()
			require.Contains(t, found, "ee")
			for _, id := range found {
				if slices.Contains(answered, id) {
					// Ends may have come after its last answer.
					require.Greater(t, table.entries[partKey(id)].countOpen(), 0, id)
				}
			}
		}
	})
}

// Guards against freeing a bad part by an answer that began before engines ended under it, and against
// condemning one that was answered later.
func TestOnlyLaterAnswersRefuteEnds(t *testing.T) {
	for _, test := range []struct {
		name     string
		began    time.Duration
		complete bool
		answered time.Duration
		refuted  bool
	}{
		{"complete, begun before", 59 * time.Minute, true, 0, false},
		{"complete, begun later", 61 * time.Minute, true, 0, true},
		{"in progress, begun later", 61 * time.Minute, false, 0, true},
		{"in progress, engines end late in answers", 61 * time.Minute, false, 2 * Outlives, false},
		{"complete, engines end late in answers", 61 * time.Minute, true, 2 * Outlives, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(DefaultLimits())
			now := time.Hour
			for i := range DefaultLimits().PartEnds - 1 {
				c := cutWith(fmt.Sprint(i), "ee")
				c.Answered = test.answered
				table.RecordEnd(endOf(i, now), []Cut{c}, now)
			}
			table.Prove([]Key{partKey("ee")}, test.began, test.complete, 62*time.Minute)
			require.Equal(t, test.refuted, table.entries[partKey("ee")].countOpen() == 0)
		})
	}
}

// Guards against condemning a part that was answered shortly before engines ended under it, before
// requests sent after these ends had the time to be answered; and against one that has turned bad and is
// never stopped.
func TestPartAnsweredLatelyIsCondemnedLater(t *testing.T) {
	table := NewTable(DefaultLimits())
	now := time.Hour
	c := func(i int) Cut {
		c := cutWith(fmt.Sprint(i), "ee")
		c.Parts[0].CompletedAt = time.Hour - time.Second
		return c
	}
	for i := range DefaultLimits().PartEnds + 2 {
		table.RecordEnd(endOf(i, now), []Cut{c(i)}, now)
		now += 50 * time.Millisecond
	}
	require.Empty(t, table.quarantinedParts())
	require.False(t, table.Status(partKey("ee")).Suspected)
	table.Advance(now + answerTime)
	require.Equal(t, []string{"ee"}, table.quarantinedParts())
}

// Guards against condemning the parts of the prompt of one or two requests that crash engines and are
// repeated, and against letting a part end engines because it is in many requests, each repeated once.
func TestRequestsThatExplainTheEndsAreToBlame(t *testing.T) {
	for _, test := range []struct {
		requests, each int
		part           bool
	}{{1, 12, false}, {2, 6, false}, {4, 1, true}, {4, 2, true}, {12, 1, true}} {
		t.Run(fmt.Sprint(test.requests, " requests, ", test.each, " ends each"), func(t *testing.T) {
			table := NewTable(DefaultLimits())
			now := time.Hour
			for i := range test.requests * test.each {
				table.RecordEnd(endOf(i, now), []Cut{cutWith(fmt.Sprint(i%test.requests), "ee")}, now)
				now += 300 * time.Millisecond
				table.Advance(now)
			}
			require.Equal(t, test.part, slices.Contains(table.quarantinedParts(), "ee"))
		})
	}
}

// Guards against refusing a sound part for good because it always came with the bad one: only requests
// with both are refused, and the first answer clears it.
func TestPartsThatCannotBeToldApartAreTried(t *testing.T) {
	table := NewTable(DefaultLimits())
	now := time.Hour
	for i := range DefaultLimits().PartEnds {
		table.RecordEnd(endOf(i, now), []Cut{cutWith(fmt.Sprint(i), "ee", "companion")}, now)
		now += 300 * time.Millisecond
	}
	require.Equal(t, []string{"companion", "ee"}, table.quarantinedParts())
	require.Equal(t, []Part{partKey("ee").Part}, table.View().Part(partKey("companion").Part).With)
	changes := table.Prove([]Key{partKey("companion")}, now, true, now+time.Second)
	require.Equal(t, Cleared, changes[0].Kind)
	require.Equal(t, []string{"ee"}, table.quarantinedParts())
	require.Empty(t, table.View().Part(partKey("ee").Part).With)
}

// Guards against condemning a rare part whose requests each met an engine that ended by itself, while
// others ended without it.
func TestEndsThatChanceExplainsCondemnNoPart(t *testing.T) {
	table := NewTable(DefaultLimits())
	now := time.Hour
	for i := range 60 {
		now += 100 * time.Millisecond
		cuts := []Cut{cutWith(fmt.Sprint("other ", i), fmt.Sprint("x", i))}
		if i%12 == 0 {
			c := cutWith(fmt.Sprint("rare ", i), "rare")
			c.Answered, c.Exposure = Outlives, time.Second
			cuts = append(cuts, c)
		}
		table.RecordEnd(endOf(i, now), cuts, now)
		table.Advance(now)
		require.Empty(t, table.quarantinedParts(), i)
	}
}

// Guards against many more ends each time the quarantine of a part has lapsed.
func TestLapsedPartCostsOneEngine(t *testing.T) {
	limits := DefaultLimits()
	table := NewTable(limits)
	now := time.Hour
	for i := range limits.PartEnds {
		table.RecordEnd(endOf(i, now), []Cut{cutWith(fmt.Sprint(i), "ee")}, now)
		now += 200 * time.Millisecond
	}
	require.Equal(t, []string{"ee"}, table.quarantinedParts())
	now += limits.Quarantine
	require.Equal(t, Lapsed, table.Advance(now)[0].Kind)
	require.Empty(t, table.quarantinedParts())
	require.True(t, table.Status(partKey("ee")).Suspected)
	table.RecordEnd(endOf(90, now), []Cut{cutWith("later", "ee")}, now)
	require.Equal(t, []string{"ee"}, table.quarantinedParts())
	require.Empty(t, table.Advance(now+limits.Quarantine))
	require.Equal(t, Lapsed, table.Advance(now + 2*limits.Quarantine)[0].Kind)
	table.Prove([]Key{partKey("ee")}, now+2*limits.Quarantine, true, now+3*limits.Quarantine)
	require.Zero(t, table.Status(partKey("ee")).Ends)
}

// Guards against routers that disagree for good on parts: whatever they observe, and in whatever order,
// how often and with which losses they exchange it, complete exchanges make them agree.
func TestPartTablesConverge(t *testing.T) {
	type state struct {
		Generation, Lapsed uint32
		Engines            string
		Quarantined        bool
		Account            string
		Open               int
	}
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*Table, rapid.IntRange(2, 4).Draw(t, "routers"))
		for i := range tables {
			tables[i] = NewTable(DefaultLimits())
		}
		router := rapid.IntRange(0, len(tables)-1)
		ids := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string])
		now := time.Hour
		for step := range rapid.IntRange(0, 50).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond
			own := tables[router.Draw(t, "router")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				c := cutWith(fmt.Sprint(step%7), ids.Draw(t, "parts")...)
				c.Request.Account = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account")
				own.RecordEnd(endOf(rapid.IntRange(0, 12).Draw(t, "engine"), now), []Cut{c}, now)
			case 3:
				began := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "ago"))*time.Millisecond
				own.Prove([]Key{partKey(ids.Draw(t, "proven")[0])}, began, rapid.Bool().Draw(t, "complete"), now)
			case 4:
				own.Clear(partKey("a"), now)
			default:
				tables[router.Draw(t, "to")].Merge(own.ChangedSince(uint64(rapid.IntRange(0, 5).Draw(t, "since")), ""), "", now)
			}
		}
		for range 3 {
			now += 12 * time.Second
			exchange(tables, now)
			for _, table := range tables {
				table.Advance(now)
			}
		}
		exchange(tables, now)
		states := func(table *Table) map[Key]state {
			out := make(map[Key]state)
			for k, r := range table.entries {
				if k.IsPart() {
					out[k] = state{r.Generation, r.Lapsed, fmt.Sprint(r.Engines()), r.Quarantined, r.Account, r.countOpen()}
				}
			}
			return out
		}
		for _, other := range tables[1:] {
			require.Equal(t, states(tables[0]), states(other))
		}
	})
}

// Guards against memory and messages that grow with the length of prompts, against a condemned part that
// passes under another spelling, and against prompts with the same parts that are tracked by different ones.
func TestPartsAreBoundedAndCanonical(t *testing.T) {
	require.Equal(t, NewPart("svc", "bad1"), NewPart("svc", "00BAD1"))
	require.Equal(t, "0", NewPart("svc", "000").ID)
	require.NotEqual(t, NewPart("svc", "Base"), NewPart("svc", "base"))
	require.NotEqual(t, NewPart("svc", "a"), NewPart("other", "a"))
	long := make([]byte, 1000)
	require.LessOrEqual(t, len(NewPart("svc", string(long)).ID), maxPartID)
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint(i))
	}
	parts := NewParts("svc", ids)
	require.Len(t, parts, MaxParts)
	slices.Reverse(ids)
	require.Equal(t, parts, NewParts("svc", ids))
	parsed, err := ParsePart(parts[0].String())
	require.NoError(t, err)
	require.Equal(t, parts[0], parsed)
	for _, text := range []string{"", "svc", "/a", "svc/"} {
		_, err := ParsePart(text)
		require.True(t, ErrPart.Has(err), text)
	}
	limits := DefaultLimits()
	limits.PartEntries = 50
	table := NewTable(limits)
	for i := range 400 {
		table.RecordEnd(endOf(i, time.Hour), []Cut{cutWith(fmt.Sprint(i), fmt.Sprint("p", i), "shared")}, time.Hour)
	}
	require.Contains(t, table.quarantinedParts(), "shared")
	require.LessOrEqual(t, len(table.entries), limits.Entries+limits.PartEntries)
}

// BenchmarkParts reports the cost of looking up what is held against a prompt of eight parts: with no
// suspect, and with a full table.
func BenchmarkParts(b *testing.B) {
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprintf("5c1e%04x", i))
	}
	full := NewTable(DefaultLimits())
	for i := range full.limits.PartEntries {
		full.RecordEnd(endOf(i%50, time.Hour), []Cut{cutWith(fmt.Sprint(i), fmt.Sprintf("91bd%04x", i))}, time.Hour)
	}
	for _, c := range []struct {
		name string
		view *View
	}{{"empty", NewTable(DefaultLimits()).View()}, {"full", full.View()}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				if !c.view.HasParts() {
					continue
				}
				for _, p := range NewParts("svc", ids) {
					c.view.Part(p)
				}
			}
		})
	}
	b.Run("change", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			full.Prove([]Key{partKey("91bd0001")}, time.Hour+time.Duration(i)*proofInterval, true, time.Hour+time.Duration(i)*proofInterval)
			full.View()
		}
	})
}

// Guards against refusing a request that all callers send, at every engine at once, because crashing ones
// run beside it; and against letting one that never completes count later.
func TestRequestAnsweredLatelyIsNotHeld(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprint("answered ", answered), func(t *testing.T) {
			table := NewTable(DefaultLimits())
			now := time.Hour
			popular := suspect("popular")
			for i := range DefaultLimits().Ends {
				crashing := suspect(fmt.Sprint("crashing ", i))
				table.RecordEnd(endOf(i, now), []Cut{{Request: crashing}, {Request: popular, Answered: 2 * Outlives}}, now)
				if answered && i == 0 {
					table.Prove([]Key{popular.Key()}, now-time.Second, true, now)
				}
				now += 50 * time.Millisecond
			}
			status := table.Status(popular.Key())
			require.Equal(t, !answered, status.HeldUntil > now)
			table.Advance(now + decided)
			require.Equal(t, !answered, table.Status(popular.Key()).Quarantined)
			table.Advance(now + decided + answerTime + 4*Outlives)
			table.Advance(now + 2*(decided+answerTime+4*Outlives))
			require.True(t, table.Status(popular.Key()).Quarantined, "no answer since")
		})
	}
}

// Guards against quarantining a request that all callers send in place of the crashing ones that run
// beside it, while so few engines are up that nothing is answered.
func TestLikelierRequestIsToBlame(t *testing.T) {
	table := NewTable(DefaultLimits())
	now := time.Hour
	popular, a, b := suspect("popular"), suspect("a"), suspect("b")
	for i, crashing := range []Suspect{a, b, a, b, a} {
		cut := Cut{Request: popular, CompletedAt: time.Hour - time.Second}
		table.RecordEnd(endOf(i, now), []Cut{{Request: crashing}, cut}, now)
		now += time.Second
		table.Advance(now)
	}
	table.Advance(now + time.Minute)
	require.True(t, table.Status(a.Key()).Quarantined)
	require.False(t, table.Status(popular.Key()).Quarantined)
}

// BenchmarkJudge reports the cost of recording an end while engines end all the time, under requests with
// a common part, one of a hundred others and one of their own.
func BenchmarkJudge(b *testing.B) {
	table, now := NewTable(DefaultLimits()), time.Hour
	record := func(i int) {
		now += 400 * time.Millisecond
		var cuts []Cut
		for j := range 10 {
			cuts = append(cuts, cutWith(fmt.Sprint(i, " ", j), "base", fmt.Sprint("document", (7*i+j)%100), fmt.Sprint("rare", i, j)))
		}
		table.RecordEnd(endOf(i, now), cuts, now)
	}
	for i := range 500 {
		record(i)
	}
	for i := 500; b.Loop(); i++ {
		record(i)
	}
	b.ReportMetric(float64(len(table.entries)), "entries")
}

// Guards against condemning a sound part that two bad ones always come with: it explains more ends than
// either, but was answered.
func TestCompanionOfTwoBadPartsIsNotCondemned(t *testing.T) {
	table, now := NewTable(DefaultLimits()), time.Hour
	for i := range 10 {
		bad := fmt.Sprint("bad", i%2)
		c := cutWith(fmt.Sprint(i), "companion", bad)
		c.Parts[0].CompletedAt = time.Hour - time.Second
		end := endOf(i, now)
		end.Peers = 4
		table.RecordEnd(end, []Cut{c}, now)
		for range 18 {
			now += 100 * time.Millisecond
			table.Advance(now)
			require.NotContains(t, table.quarantinedParts(), "companion")
		}
	}
	require.Equal(t, []string{"bad0", "bad1"}, table.quarantinedParts())
}

// Guards against a part that turned bad and is excused for ever by the requests with it, each of which its
// caller repeats.
func TestRequestsWithAPartDoNotExcuseIt(t *testing.T) {
	table, now := NewTable(DefaultLimits()), time.Hour
	for i := range 12 {
		c := cutWith(fmt.Sprint(i/2), "ee")
		c.Parts[0].CompletedAt = time.Hour - time.Second
		table.RecordEnd(endOf(i, now), []Cut{c}, now)
		now += 300 * time.Millisecond
		table.Advance(now)
	}
	table.Advance(now + answerTime)
	require.Equal(t, []string{"ee"}, table.quarantinedParts())
}

// Guards against refusing a sound part that was never answered and that two bad ones always come with,
// before either has ended enough engines by itself.
func TestPartThatTwoOthersExplainIsTried(t *testing.T) {
	table, now := NewTable(DefaultLimits()), time.Hour
	for i := range 4 {
		table.RecordEnd(endOf(i, now), []Cut{cutWith(fmt.Sprint(i), "companion", fmt.Sprint("bad", i%2))}, now)
		now += 300 * time.Millisecond
	}
	require.Equal(t, []string{"companion"}, table.quarantinedParts())
	require.ElementsMatch(t, []Part{partKey("bad0").Part, partKey("bad1").Part}, table.Status(partKey("companion")).With)
	table.Prove([]Key{partKey("companion")}, now, true, now)
	require.Empty(t, table.quarantinedParts())
	require.True(t, table.Status(partKey("bad0")).Suspected)
	require.True(t, table.Status(partKey("bad1")).Suspected)
}

// Guards against a part that crashes engines for ever because they start again under their IDs.
func TestPartThatEndsStartsUnderOneIDIsStopped(t *testing.T) {
	table := NewTable(DefaultLimits())
	now := time.Hour
	for i := range DefaultLimits().PartEnds {
		now += 5 * time.Second
		end := endOf(1, now)
		end.Born = int64(i + 1)
		table.RecordEnd(end, []Cut{cutWith(fmt.Sprint("q", i), "bad")}, now)
	}
	require.Equal(t, []string{"bad"}, table.quarantinedParts())
}
