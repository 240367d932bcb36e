package prefix

import (
	"math"
	"time"

	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
)

// Confidences estimate the likelihood that an engine still holds a prefix in its cache.
// In a benchmark run 94 of 100 turns placed by evidence found their prefix; the values
// aren't fitted to each source. Tests rely only on their order: a cache event outranks
// the owner's record, which outranks a hint; a chat that diverged ranks below these,
// and a prefix that a view reports as evicted ranks last.
const (
	// ViewConfidence applies to a prefix reported by cache events, without a gap since.
	ViewConfidence = 0.99
	// RecentConfidence applies to a chat that the owner has just recorded.
	RecentConfidence = 0.98
	// HintConfidence applies to a hint, whose age is unknown.
	HintConfidence = 0.9
	// DivergedFactor lowers a record or hint of the same chat whose prefix is none of
	// the request's boundaries, because the caller edited the chat. Only the first
	// boundary, usually the system prompt, then counts as cached.
	DivergedFactor = 0.4
	// EvictedFactor lowers a record or hint that contradicts an eviction reported by a
	// fully trusted view. It isn't 0, since the eviction may be older than the hint.
	EvictedFactor = 0.1
	// GapFactor lowers the confidence in an event for each gap after it.
	GapFactor = 0.5
	// MinGapConfidence is the minimum confidence in an event, however many gaps follow it.
	MinGapConfidence = 0.05
	// StaleFactor lowers the confidence in a view without a page for ViewStaleAfter.
	StaleFactor = 0.5
)

const (
	// ViewStaleAfter is the age of the last page beyond which a view is stale.
	ViewStaleAfter = 30 * time.Second
	// RecentHalfLife is the time in which the confidence in a record halves.
	RecentHalfLife = 2 * time.Hour
)

// Source identifies where evidence came from.
type Source uint8

// The sources of evidence.
const (
	SourceHint Source = iota + 1
	SourceRecent
	SourceView
)

// Evidence states that an engine probably has a prefix of a request in its cache.
type Evidence struct {
	// Engine is the hash of the engine's name.
	Engine uint64
	// CachedTokens is the length of the cached prefix, if the evidence holds.
	CachedTokens int
	// Confidence is the likelihood that the evidence holds, 0 to 1.
	Confidence float64
	// Source is where the evidence came from.
	Source Source
}

// Value returns the expected number of tokens that need no prefill.
func (e Evidence) Value() float64 { return float64(e.CachedTokens) * e.Confidence }

// Incarnations reports which incarnations of engines are current.
type Incarnations interface {
	// Incarnation returns the current incarnation of an engine; ok is false for an
	// unknown engine.
	Incarnation(engine uint64) (incarnation uint64, ok bool)
}

// Query is a request whose cached prefix is to be located.
type Query struct {
	// Boundaries are those of the request, shortest first.
	Boundaries []chat.Boundary
	// Hint is the verified hint from the caller, or nil.
	Hint *token.Hint
	// Chat is the ChatID, or 0 for a request that names no chat.
	Chat uint64
	// Model is the ModelID.
	Model uint64
	// Now is the current time.
	Now time.Time
}

// Locator combines the sources of evidence.
type Locator struct {
	// Recent is the owner's table of recent chats, or nil.
	Recent *RecentChats
	// Views are those of the engines whose cache events this router follows.
	Views []*CacheView
	// Current reports the current incarnations. Evidence for any other incarnation is
	// dropped, since the cache of that one no longer exists.
	Current Incarnations
}

// Evidence appends the evidence for q to dst, at most one item per engine: the one with
// the highest value. The appended items are ordered by descending value, ties by
// engine. It doesn't allocate if dst has enough capacity.
func (l *Locator) Evidence(dst []Evidence, q Query) []Evidence {
	if len(q.Boundaries) == 0 {
		return dst
	}
	s := search{Locator: l, q: q, found: dst, start: len(dst)}
	s.addHint()
	s.addRecent()
	for _, v := range l.Views {
		s.addView(v)
	}
	s.sort()
	return s.found
}

// search is the state of one call of Evidence.
type search struct {
	*Locator
	q     Query
	found []Evidence
	// start is the index in found of the first item of this call.
	start int
}

func (s *search) addHint() {
	h := s.q.Hint
	if h == nil || h.Model != s.q.Model {
		return
	}
	p := Location{Engine: h.Engine, Incarnation: h.Incarnation, Prefix: h.Prefix, Tokens: h.Tokens}
	sameChat := s.q.Chat != 0 && h.Chat == s.q.Chat
	s.addLocation(p, provenance{HintConfidence, unknownAge, SourceHint, sameChat})
}

func (s *search) addRecent() {
	if s.Recent == nil || s.q.Chat == 0 {
		return
	}
	p, age, ok := s.Recent.Lookup(s.q.Chat, s.q.Now)
	if !ok {
		return
	}
	s.addLocation(p, provenance{RecentConfidence * recencyFactor(age), age, SourceRecent, true})
}

// provenance describes the source of a location and the confidence in it.
type provenance struct {
	confidence float64
	age        time.Duration
	source     Source
	sameChat   bool
}

// unknownAge is older than any event.
const unknownAge = time.Duration(math.MaxInt64)

// addLocation adds the evidence of a recorded location. If its prefix is none of the
// request's boundaries but the chat is the same, the first boundary is added instead,
// with a lower confidence.
func (s *search) addLocation(p Location, from provenance) {
	if !s.isCurrent(p.Engine, p.Incarnation) {
		return
	}
	b, ok := s.findBoundary(p.Prefix)
	if !ok {
		if !from.sameChat {
			return
		}
		b = s.q.Boundaries[0]
		from.confidence *= DivergedFactor
	}
	from.confidence *= s.evictionFactor(p.Engine, b.Hash, from.age)
	s.add(Evidence{Engine: p.Engine, CachedTokens: b.Tokens, Confidence: from.confidence, Source: from.source})
}

// addView adds the cached boundary of the highest value in v. It tries the longest
// boundary first, and stops at a boundary so short that even ViewConfidence couldn't
// yield a higher value than the best one found.
func (s *search) addView(v *CacheView) {
	if !s.isCurrent(v.engine, v.incarnation) {
		return
	}
	best := Evidence{Engine: v.engine, Source: SourceView}
	for i := len(s.q.Boundaries) - 1; i >= 0; i-- {
		b := s.q.Boundaries[i]
		if float64(b.Tokens)*ViewConfidence <= best.Value() {
			break
		}
		state := v.lookup(b.Hash, s.q.Now)
		if state.tokens > 0 && float64(b.Tokens)*state.confidence > best.Value() {
			best.CachedTokens, best.Confidence = b.Tokens, state.confidence
		}
	}
	if best.CachedTokens > 0 {
		s.add(best)
	}
}

// findBoundary returns the request's boundary with the given hash. It starts with the
// longest ones, which are the likeliest to match.
func (s *search) findBoundary(hash uint64) (chat.Boundary, bool) {
	for i := len(s.q.Boundaries) - 1; i >= 0; i-- {
		if s.q.Boundaries[i].Hash == hash {
			return s.q.Boundaries[i], true
		}
	}
	return chat.Boundary{}, false
}

func (s *search) isCurrent(engine, incarnation uint64) bool {
	current, ok := s.Current.Incarnation(engine)
	return ok && current == incarnation
}

// evictionFactor returns the factor that lowers the confidence in evidence of the given
// age if a view reports that engine evicted prefix: the more the view is trusted, the
// lower the factor. Without such an eviction the factor is 1.
//
// It is also 1 for evidence newer than the eviction: then the engine served the chat
// after the eviction, and the event that reports the prefix as stored again is late. A
// lower factor would send a chat whose last turn missed the cache away from the one
// engine that now holds its prefix.
func (s *search) evictionFactor(engine, prefix uint64, age time.Duration) float64 {
	for _, v := range s.Views {
		if v.engine != engine {
			continue
		}
		state := v.lookup(prefix, s.q.Now)
		if state.tokens > 0 || state.age > age {
			return 1
		}
		trust := state.confidence / ViewConfidence
		return 1 - trust*(1-EvictedFactor)
	}
	return 1
}

// add adds e unless there is evidence of the same or a higher value for its engine.
func (s *search) add(e Evidence) {
	for i := s.start; i < len(s.found); i++ {
		if s.found[i].Engine != e.Engine {
			continue
		}
		if e.Value() > s.found[i].Value() {
			s.found[i] = e
		}
		return
	}
	s.found = append(s.found, e)
}

// sort is an insertion sort, since there are few items and it doesn't allocate.
func (s *search) sort() {
	items := s.found[s.start:]
	for i := 1; i < len(items); i++ {
		for j := i; j > 0 && ranksBefore(items[j], items[j-1]); j-- {
			items[j], items[j-1] = items[j-1], items[j]
		}
	}
}

func ranksBefore(a, b Evidence) bool {
	if a.Value() != b.Value() {
		return a.Value() > b.Value()
	}
	return a.Engine < b.Engine
}

// recencyFactor returns 1 for age 0 and halves with each RecentHalfLife.
func recencyFactor(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(RecentHalfLife))
}

// gapConfidence returns ViewConfidence lowered by the number of gaps since an event.
func gapConfidence(gaps int) float64 {
	return max(ViewConfidence*math.Pow(GapFactor, float64(gaps)), MinGapConfidence)
}
