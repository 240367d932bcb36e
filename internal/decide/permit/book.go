package permit

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultBound     = 1.5
	DefaultMaxBatch  = 50
	DefaultSettle    = 3 * time.Second
	DefaultWarmUp    = 5 * time.Second
	DefaultReportTTL = 5 * time.Second
	DefaultSilence   = 30 * time.Second
	DefaultOrphanTTL = 5 * time.Minute
)

const (
	// warmUpShare is the part of each bound that a new owner uses.
	warmUpShare = 0.5
	// dropAfterMisses is how many reports of its holder in a row must leave a
	// permit out before it is dropped. A holder can be frozen between taking
	// its list and sending it, so that one report proves little.
	dropAfterMisses = 2
)

// Config sets up a Book. Zero fields take the defaults.
type Config struct {
	// Bound is c, the multiple of the pool's mean load that is allowed.
	Bound float64
	// MaxBatch is the number of requests the engine may hold at once.
	MaxBatch int
	// Settle is the age at which a permit must show in reports: the time-out
	// of a request for a permit plus the time a report can be under way.
	Settle time.Duration
	// WarmUp is how long a new owner waits for the holders at most.
	WarmUp time.Duration
	// ReportTTL is how long an engine's report counts.
	ReportTTL time.Duration
	// Silence is after how long without a message a holder is taken for dead.
	Silence time.Duration
	// OrphanTTL is how long a dead holder's permits count at most if the
	// engine does not name its requests.
	OrphanTTL time.Duration
	// Admit is the bounded-load rule; nil means Admissible.
	Admit func(load, w, total int64, n int, c float64) bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.Bound, DefaultBound)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.Settle, DefaultSettle)
	setDefault(&c.WarmUp, DefaultWarmUp)
	setDefault(&c.ReportTTL, DefaultReportTTL)
	setDefault(&c.Silence, DefaultSilence)
	setDefault(&c.OrphanTTL, DefaultOrphanTTL)
	if c.Admit == nil {
		c.Admit = Admissible
	}
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// record is a counted permit.
type record struct {
	permit  Permit
	granted time.Time
	misses  int
	// orphaned is when the holder was found dead; zero while it lives.
	orphaned time.Time
}

// holder is what the book knows about a router.
type holder struct {
	seq   uint64
	heard time.Time
	dead  bool
}

// engineView is the latest report of the engine.
type engineView struct {
	EngineLoad
	// taken is when the figures were true and arrived when they came in.
	taken   time.Time
	arrived time.Time
}

// Book is the count of one engine. Use NewBook.
type Book struct {
	cfg         Config
	incarnation uint64
	permits     map[string]*record
	weight      int64
	done        tombstones
	holders     map[string]*holder
	engine      engineView
	warmUntil   time.Time
	awaited     map[string]struct{}
}

// NewBook returns an empty book for the engine. A router that becomes the
// owner of an engine passes the other live routers: until all of them have
// reported, or the warm-up time is over, the book grants half of the bound.
func NewBook(now time.Time, cfg Config, incarnation uint64, live []string) *Book {
	b := &Book{
		cfg:         cfg.withDefaults(),
		incarnation: incarnation,
		permits:     map[string]*record{},
		holders:     map[string]*holder{},
		awaited:     map[string]struct{}{},
	}
	b.warmUntil = now.Add(b.cfg.WarmUp)
	for _, r := range live {
		b.awaited[r] = struct{}{}
	}
	return b
}

// WarmingUp reports whether the book grants half of the bound because it may
// not know of all that the previous owner granted.
func (b *Book) WarmingUp(now time.Time) bool {
	return len(b.awaited) > 0 && now.Before(b.warmUntil)
}

// Incarnation returns the engine incarnation that the book is about.
func (b *Book) Incarnation() uint64 { return b.incarnation }

// Own returns the count and weight of the permits in the book.
func (b *Book) Own() Load {
	return Load{Count: len(b.permits), Weight: b.weight}
}

// Permits returns the permits in the book, ordered by id, for an operator who
// wants to know what occupies an engine.
func (b *Book) Permits() []Permit {
	list := make([]Permit, 0, len(b.permits))
	for _, rec := range b.permits {
		list = append(list, rec.permit)
	}
	slices.SortFunc(list, func(x, y Permit) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// Orphans counts the permits whose holder is dead or silent.
func (b *Book) Orphans() int {
	n := 0
	for _, rec := range b.permits {
		if !rec.orphaned.IsZero() {
			n++
		}
	}
	return n
}

// Acquire grants a permit. A repeated request gets the permit of the first one.
// It fails with *FullError, *IncarnationError, *ReleasedError or *HolderError.
func (b *Book) Acquire(now time.Time, r Request) (Permit, error) {
	if err := b.checkIncarnation(r.Incarnation); err != nil {
		return Permit{}, err
	}
	b.hear(now, r.Holder)
	if rec, ok := b.permits[r.ID]; ok {
		return b.repeat(rec, r.Holder)
	}
	if _, ok := b.done.get(r.ID); ok {
		return Permit{}, &ReleasedError{ID: r.ID}
	}
	r.Weight = max(r.Weight, 1)
	if err := b.admit(now, r); err != nil {
		return Permit{}, err
	}
	p := Permit{ID: r.ID, Holder: r.Holder, Weight: r.Weight, Incarnation: b.incarnation}
	b.add(now, p)
	return p, nil
}

// Release ends a permit. Only the first release of an id changes the count.
func (b *Book) Release(now time.Time, id string) Outcome {
	if rec, ok := b.permits[id]; ok {
		b.remove(rec)
		b.done.add(now, id, rec.permit.Weight)
		return Released
	}
	if _, ok := b.done.get(id); ok {
		return AlreadyReleased
	}
	// The release of an abandoned request can overtake the request itself.
	// Granting it then would leave a permit that nobody ever releases.
	b.done.add(now, id, 0)
	return NotHeld
}

// ReleaseBy is Release by a holder, and does nothing if the permit has moved
// to another one. The router that lost its caller gives up late, while the
// stream may long go on at the router to which the caller came back; ending
// the permit then would hide a running request from the count.
func (b *Book) ReleaseBy(now time.Time, id, holder string) Outcome {
	if rec, ok := b.permits[id]; ok && rec.permit.Holder != holder {
		return Moved
	}
	return b.Release(now, id)
}

// Transfer moves a permit to the router that takes the stream up. A permit
// that this book does not know, because its owner is new, is adopted. Errors:
// *IncarnationError, *ReleasedError.
func (b *Book) Transfer(now time.Time, r Request) (Permit, error) {
	if err := b.checkIncarnation(r.Incarnation); err != nil {
		return Permit{}, err
	}
	if _, ok := b.done.get(r.ID); ok {
		return Permit{}, &ReleasedError{ID: r.ID}
	}
	b.hear(now, r.Holder)
	rec, ok := b.permits[r.ID]
	if !ok {
		b.add(now, Permit{ID: r.ID, Holder: r.Holder, Weight: max(r.Weight, 1), Incarnation: b.incarnation})
		return b.permits[r.ID].permit, nil
	}
	b.claim(rec, r.Holder)
	return rec.permit, nil
}

// Load returns what the book knows about the engine's load: its own permits
// and whatever the engine reports beyond them.
func (b *Book) Load(now time.Time) Load {
	own := b.Own()
	if b.engine.arrived.IsZero() || now.Sub(b.engine.arrived) > b.cfg.ReportTTL {
		return own
	}
	if !b.engine.listed() {
		return Load{
			Count:  max(own.Count, b.engine.Count),
			Weight: max(own.Weight, b.engine.Weight),
		}
	}
	foreign := b.foreign()
	return Load{Count: own.Count + foreign.Count, Weight: own.Weight + foreign.Weight}
}

// foreign returns the part of the engine's report that is not in the book:
// permits of another owner, or requests that were released here and still run.
func (b *Book) foreign() Load {
	known := int64(0)
	unknown := 0
	for _, id := range b.engine.IDs {
		if rec, ok := b.permits[id]; ok {
			known += rec.permit.Weight
			continue
		}
		if x, ok := b.done.get(id); ok && x.at.After(b.engine.taken.Add(-b.cfg.Settle)) {
			// The report may be older than the release.
			known += x.weight
			continue
		}
		unknown++
	}
	return Load{Count: unknown, Weight: max(int64(unknown), b.engine.Weight-known)}
}

// admit checks the bounds; r has not been counted yet.
func (b *Book) admit(now time.Time, r Request) error {
	load := b.Load(now)
	warming := b.WarmingUp(now)
	bound := b.cfg.Bound
	batch := b.cfg.MaxBatch
	if warming {
		// The previous owner, or one that does not know of the change yet, may
		// have granted up to the whole bound. Half keeps the sum of two owners
		// at one and a half times the bound.
		bound *= warmUpShare
		batch = max(1, int(float64(batch)*warmUpShare))
	}
	if load.Count >= batch {
		return &FullError{Reason: ReasonBatch, Load: load, WarmingUp: warming}
	}
	total := max(r.PoolTotal, load.Weight)
	if r.LeastLoaded || b.cfg.Admit(load.Weight, r.Weight, total, r.PoolN, bound) {
		return nil
	}
	return &FullError{Reason: ReasonBound, Load: load, WarmingUp: warming}
}

// repeat answers a repeated request.
func (b *Book) repeat(rec *record, by string) (Permit, error) {
	if rec.permit.Holder != by {
		return Permit{}, &HolderError{ID: rec.permit.ID, Holder: rec.permit.Holder}
	}
	return rec.permit, nil
}

// checkIncarnation refuses messages about another incarnation. An engine that
// was replaced under the same address would otherwise be charged with work
// that went to its predecessor.
func (b *Book) checkIncarnation(want uint64) error {
	if want != 0 && want != b.incarnation {
		return &IncarnationError{Want: want, Have: b.incarnation}
	}
	return nil
}

func (b *Book) add(now time.Time, p Permit) {
	rec := &record{permit: p, granted: now}
	if h := b.holders[p.Holder]; h != nil && h.dead {
		// A message of the dead router that was still under way.
		rec.orphaned = now
	}
	b.permits[p.ID] = rec
	b.weight += p.Weight
}

func (b *Book) remove(rec *record) {
	delete(b.permits, rec.permit.ID)
	b.weight -= rec.permit.Weight
}

// hear notes a sign of life.
func (b *Book) hear(now time.Time, name string) *holder {
	h, ok := b.holders[name]
	if !ok {
		h = &holder{}
		b.holders[name] = h
	}
	h.heard = now
	return h
}
