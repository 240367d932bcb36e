package prefix

import (
	"testing"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

type incarnations map[uint64]uint64

func (m incarnations) Incarnation(engine uint64) (uint64, bool) {
	i, ok := m[engine]
	return i, ok
}

const (
	engineA, engineB = 10, 20
	chatC, modelM    = 7, 3
)

// request has boundaries 101, 102 and 103 of 100, 1000 and 2000 tokens.
var request = []chat.Boundary{{Hash: 101, Tokens: 100}, {Hash: 102, Tokens: 1000}, {Hash: 103, Tokens: 2000}}

func hintAt(engine, prefix uint64) *token.Hint {
	return &token.Hint{Chat: chatC, Model: modelM, Engine: engine, Incarnation: 1, Prefix: prefix}
}

func stored(seq, prefix uint64) wire.CacheEvent {
	return wire.CacheEvent{Seq: seq, Kind: wire.CacheStored, Prefix: prefix, Tokens: 50}
}

func evicted(seq, prefix uint64) wire.CacheEvent {
	return wire.CacheEvent{Seq: seq, Kind: wire.CacheEvicted, Prefix: prefix}
}

func page(incarnation uint64, events ...wire.CacheEvent) wire.CacheEvents {
	return wire.CacheEvents{Incarnation: incarnation, Events: events}
}

func newRecent(t require.TestingT, capacity int) *RecentChats {
	r, err := NewRecentChats(capacity, 1, epoch)
	require.NoError(t, err)
	return r
}

func newView(t require.TestingT, engine uint64, pages ...wire.CacheEvents) *CacheView {
	v, err := NewCacheView(engine, 1000, 1, epoch)
	require.NoError(t, err)
	for _, p := range pages {
		v.Apply(p, epoch)
	}
	return v
}

func TestEvidence(t *testing.T) {
	full := page(1, stored(0, 101), stored(1, 102), stored(2, 103))
	gapped := []wire.CacheEvents{full, page(1, stored(9, 55))}
	gone := page(1, evicted(0, 102))
	type item = Evidence
	cases := map[string]struct {
		hint   *token.Hint
		recent *Location
		pages  []wire.CacheEvents // of engineA
		chat   uint64
		after  time.Duration
		want   []Evidence
	}{
		"nothing known": {chat: chatC},
		"hint alone":    {hint: hintAt(engineB, 102), want: []item{{engineB, 1000, HintConfidence, SourceHint}}},
		"recent alone": {recent: &Location{engineB, 1, 102, 1000}, chat: chatC,
			want: []item{{engineB, 1000, RecentConfidence, SourceRecent}}},
		"recent, a half-life old": {recent: &Location{engineB, 1, 102, 1000}, chat: chatC, after: RecentHalfLife,
			want: []item{{engineB, 1000, RecentConfidence / 2, SourceRecent}}},
		"recent beats hint on one engine": {hint: hintAt(engineB, 102), recent: &Location{engineB, 1, 102, 1000}, chat: chatC,
			want: []item{{engineB, 1000, RecentConfidence, SourceRecent}}},
		"hint beats old record": {hint: hintAt(engineB, 102), recent: &Location{engineB, 1, 102, 1000}, chat: chatC, after: RecentHalfLife,
			want: []item{{engineB, 1000, HintConfidence, SourceHint}}},
		"longest prefix of a view":  {pages: []wire.CacheEvents{full}, want: []item{{engineA, 2000, ViewConfidence, SourceView}}},
		"view of a shared prefix":   {pages: []wire.CacheEvents{page(1, stored(0, 101))}, want: []item{{engineA, 100, ViewConfidence, SourceView}}},
		"gap halves older entries":  {pages: gapped, want: []item{{engineA, 2000, ViewConfidence / 2, SourceView}}},
		"stored again after a gap":  {pages: append(gapped, page(1, stored(10, 103))), want: []item{{engineA, 2000, ViewConfidence, SourceView}}},
		"eviction shortens":         {pages: []wire.CacheEvents{full, page(1, evicted(3, 103))}, want: []item{{engineA, 1000, ViewConfidence, SourceView}}},
		"stale view":                {pages: []wire.CacheEvents{full}, after: time.Minute, want: []item{{engineA, 2000, ViewConfidence * StaleFactor, SourceView}}},
		"view of a new incarnation": {pages: []wire.CacheEvents{full, page(2)}},
		"ordered by value": {hint: hintAt(engineB, 103), pages: []wire.CacheEvents{page(1, stored(0, 102))},
			want: []item{{engineB, 2000, HintConfidence, SourceHint}, {engineA, 1000, ViewConfidence, SourceView}}},
		"hint contradicted by an eviction": {hint: hintAt(engineA, 102), pages: []wire.CacheEvents{gone},
			want: []item{{engineA, 1000, HintConfidence * EvictedFactor, SourceHint}}},
		"record older than eviction": {recent: &Location{engineA, 1, 102, 1000}, pages: []wire.CacheEvents{gone}, chat: chatC,
			want: []item{{engineA, 1000, RecentConfidence * EvictedFactor, SourceRecent}}},
		"hint of an older incarnation":   {hint: &token.Hint{Chat: chatC, Model: modelM, Engine: engineA, Incarnation: 0, Prefix: 102}, chat: chatC},
		"record of an older incarnation": {recent: &Location{engineA, 9, 102, 1000}, chat: chatC},
		"unknown engine":                 {hint: hintAt(999, 102), chat: chatC},
		"hint of another model":          {hint: &token.Hint{Chat: chatC, Model: 4, Engine: engineA, Incarnation: 1, Prefix: 102}, chat: chatC},
		"edited chat":                    {hint: hintAt(engineA, 66), chat: chatC, want: []item{{engineA, 100, HintConfidence * DivergedFactor, SourceHint}}},
		"other chat, other prefix":       {hint: hintAt(engineA, 66), chat: 8},
		"forked chat, same prefix":       {hint: hintAt(engineA, 103), chat: 8, want: []item{{engineA, 2000, HintConfidence, SourceHint}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRecent(t, 100)
			if tc.recent != nil {
				require.NoError(t, r.Record(chatC, *tc.recent, epoch))
			}
			l := Locator{Recent: r, Views: []*CacheView{newView(t, engineA, tc.pages...)}, Current: incarnations{engineA: 1, engineB: 1}}
			q := Query{Boundaries: request, Hint: tc.hint, Chat: tc.chat, Model: modelM, Now: epoch.Add(tc.after)}
			got := l.Evidence(nil, q)
			require.Len(t, got, len(tc.want))
			for i, e := range got {
				assert.InDelta(t, tc.want[i].Confidence, e.Confidence, 1e-9)
				e.Confidence = tc.want[i].Confidence
				assert.Equal(t, tc.want[i], e)
			}
			assert.Zero(t, testing.AllocsPerRun(10, func() { got = l.Evidence(got[:0], q) }))
		})
	}
}

// A chat whose last turn missed the cache must not be sent on to a second engine, where
// it would miss again. The view reports that an engine evicted the prefix, the chat is
// served at that engine nevertheless, and returns before the event arrives that reports
// the prefix as stored: an eviction older than the record must not count.
func TestRecordNewerThanEvictionIsTrusted(t *testing.T) {
	r, later := newRecent(t, 100), epoch.Add(time.Minute)
	require.NoError(t, r.Record(chatC, Location{engineA, 1, 102, 1000}, later))
	l := Locator{Recent: r, Views: []*CacheView{newView(t, engineA, page(1, evicted(0, 102)))}, Current: incarnations{engineA: 1}}
	got := l.Evidence(nil, Query{Boundaries: request, Chat: chatC, Model: modelM, Now: later})
	assert.Equal(t, []Evidence{{engineA, 1000, RecentConfidence, SourceRecent}}, got)
}

// Chats must not be sent to an engine that has evicted their prefix. A page of events
// may arrive twice, after the page that follows it, or after a restart of the engine;
// an old event must not overwrite a newer one.
func TestLatePageDoesNotOverwriteNewerState(t *testing.T) {
	first, second := page(1, stored(0, 101)), page(1, evicted(1, 101))
	for name, tc := range map[string]struct {
		pages []wire.CacheEvents
		want  ViewStats
	}{
		"page twice":                     {[]wire.CacheEvents{first, second, first}, ViewStats{Repeats: 1}},
		"pages swapped":                  {[]wire.CacheEvents{second, first}, ViewStats{Gaps: 1, Repeats: 1}},
		"page of an earlier incarnation": {[]wire.CacheEvents{first, page(2), first}, ViewStats{StalePages: 1}},
		"truncated log, no events":       {[]wire.CacheEvents{second, {Incarnation: 1, Next: 9}}, ViewStats{Gaps: 2}},
		"stored without any tokens":      {[]wire.CacheEvents{page(1, wire.CacheEvent{Kind: wire.CacheStored, Prefix: 101})}, ViewStats{Unknown: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			v := newView(t, engineA, tc.pages...)
			assert.Zero(t, v.lookup(101, epoch).tokens)
			assert.Equal(t, tc.want, v.Stats())
		})
	}
}

// The view of an engine must not stay empty when a page of an incarnation before the
// previous one arrives late. The view then takes that incarnation for the current one
// and the actual current one for the previous one, whose pages it must reject only a
// limited number of times.
func TestViewRecoversFromStalePage(t *testing.T) {
	v := newView(t, engineA, page(1), page(2), page(3), page(1))
	for range maxStaleRun {
		v.Apply(page(3, stored(0, 101)), epoch)
	}
	assert.Equal(t, uint64(3), v.Incarnation())
	assert.Equal(t, 50, v.lookup(101, epoch).tokens)
}

// A view that receives nothing new must become stale, even if one old page is delivered
// again and again.
func TestRepeatedPageDoesNotRefreshView(t *testing.T) {
	v, later := newView(t, engineA, page(1, stored(0, 101))), epoch.Add(2*ViewStaleAfter)
	v.Apply(page(1, stored(0, 101)), later)
	assert.Equal(t, ViewConfidence*StaleFactor, v.lookup(101, later).confidence)
	v.Apply(wire.CacheEvents{Incarnation: 1, Next: 1}, later)
	assert.Equal(t, ViewConfidence, v.lookup(101, later).confidence)
}

func TestEvidenceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Uint64Range(0, 4)
		now, r := epoch, newRecent(t, 20)
		current := incarnations{0: 1, 1: 1, 2: 2}
		l := Locator{Recent: r, Current: current}
		for e := range uint64(3) {
			l.Views = append(l.Views, newView(t, e))
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second)
			ev := wire.CacheEvent{Seq: rapid.Uint64Range(0, 99).Draw(t, "seq"), Prefix: small.Draw(t, "prefix"), Tokens: 1,
				Kind: rapid.SampledFrom([]wire.CacheEventKind{wire.CacheStored, wire.CacheEvicted}).Draw(t, "kind")}
			l.Views[rapid.IntRange(0, 2).Draw(t, "view")].Apply(page(small.Draw(t, "inc"), ev), now)
			require.NoError(t, r.Record(small.Draw(t, "chat"), Location{small.Draw(t, "engine"), small.Draw(t, "i"), small.Draw(t, "p"), 5}, now))
		}
		hint := token.Hint{Chat: 1, Engine: small.Draw(t, "he"), Incarnation: small.Draw(t, "hi"), Prefix: small.Draw(t, "hp")}
		q := Query{Boundaries: []chat.Boundary{{Hash: 1, Tokens: 10}, {Hash: 2, Tokens: 20}, {Hash: 3, Tokens: 40}},
			Hint: &hint, Chat: 1, Now: now}
		sentinel := Evidence{Engine: 77}
		got := l.Evidence([]Evidence{sentinel}, q)
		require.Equal(t, sentinel, got[0])
		seen := map[uint64]bool{}
		for i, e := range got[1:] {
			require.False(t, seen[e.Engine], "one item per engine")
			seen[e.Engine] = true
			require.Contains(t, current, e.Engine)
			require.True(t, e.Confidence > 0 && e.Confidence <= ViewConfidence)
			require.True(t, e.CachedTokens > 0 && e.CachedTokens <= 40)
			require.True(t, i == 0 || got[i].Value() >= e.Value(), "descending value")
		}
	})
}
