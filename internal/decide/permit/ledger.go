package permit

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultBound          = 1.5
	DefaultMaxBatch       = 50
	DefaultReportDelay    = 3 * time.Second
	DefaultWarmUp         = 5 * time.Second
	DefaultReportTTL      = 5 * time.Second
	DefaultSilenceTimeout = 30 * time.Second
	DefaultOrphanTTL      = 5 * time.Minute
)

const (
	// warmUpShare is the share of each bound that a new owner uses while it warms up.
	warmUpShare = 0.5
	// dropAfterMissedReports is how many consecutive reports of its holder must omit a permit
	// before it is dropped. A holder can be suspended between listing its requests and sending the
	// list, so that a single report proves little.
	dropAfterMissedReports = 2
)

// Config configures a Ledger. Zero and negative fields take the defaults.
type Config struct {
	// Bound is the allowed multiple of the pool's mean load.
	Bound float64
	// MaxBatch is the number of requests that the engine may hold at once.
	MaxBatch int
	// ReportDelay is the age from which reports must include a permit: the timeout of a request for
	// a permit plus the longest time that a report is in transit.
	ReportDelay time.Duration
	// WarmUp is how long a new owner waits at most for the reports of the holders.
	WarmUp time.Duration
	// ReportTTL is how long a report of the engine is used.
	ReportTTL time.Duration
	// SilenceTimeout is the time without a message after which a holder is treated as dead.
	SilenceTimeout time.Duration
	// OrphanTTL is how long the permits of a dead holder count at most if the engine does not list
	// its requests.
	OrphanTTL time.Duration
	// Admit is the bounded-load rule; nil means Admissible.
	Admit func(load, weight, total int64, n int, factor float64) bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.Bound, DefaultBound)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.ReportDelay, DefaultReportDelay)
	setDefault(&c.WarmUp, DefaultWarmUp)
	setDefault(&c.ReportTTL, DefaultReportTTL)
	setDefault(&c.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&c.OrphanTTL, DefaultOrphanTTL)
	if c.Admit == nil {
		c.Admit = Admissible
	}
	return c
}

func setDefault[T int | float64 | time.Duration](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}

// record is a granted permit that counts towards the load.
type record struct {
	permit        Permit
	grantedAt     time.Time
	missedReports int
	// orphanedAt is when the holder was found to be dead; zero while it is alive.
	orphanedAt time.Time
}

// holder is the state of a router that holds permits.
type holder struct {
	seq         uint64
	lastContact time.Time
	dead        bool
}

// engineReport is the latest report of the engine.
type engineReport struct {
	EngineLoad
	// measuredAt is when the figures were taken, and receivedAt when they were received.
	measuredAt time.Time
	receivedAt time.Time
}

// Ledger counts the permits of one engine. Use NewLedger to create one.
type Ledger struct {
	cfg         Config
	incarnation uint64
	permits     map[string]*record
	weight      int64
	released    tombstones
	holders     map[string]*holder
	engine      engineReport
	warmUpEnd   time.Time
	// awaited are the routers whose first report is missing.
	awaited map[string]struct{}
}

// NewLedger returns a Ledger without permits for the engine. A router that becomes the owner of an
// engine passes the other live routers: until all of them have reported, or the warm-up time has
// passed, the ledger grants only up to half of each bound.
func NewLedger(now time.Time, cfg Config, incarnation uint64, live []string) *Ledger {
	b := &Ledger{
		cfg:         cfg.withDefaults(),
		incarnation: incarnation,
		permits:     map[string]*record{},
		holders:     map[string]*holder{},
		awaited:     map[string]struct{}{},
	}
	b.warmUpEnd = now.Add(b.cfg.WarmUp)
	for _, r := range live {
		b.awaited[r] = struct{}{}
	}
	return b
}

// WarmingUp reports whether only half of each bound is granted, because some permits of the
// previous owner may still be unknown.
func (b *Ledger) WarmingUp(now time.Time) bool {
	return len(b.awaited) > 0 && now.Before(b.warmUpEnd)
}

// Incarnation returns the current incarnation of the engine.
func (b *Ledger) Incarnation() uint64 { return b.incarnation }

// Granted returns the number and the total weight of the permits. It leaves out requests that only
// the engine reports.
func (b *Ledger) Granted() Load {
	return Load{Count: len(b.permits), Weight: b.weight}
}

// Permits returns all permits ordered by ID, to show operators what occupies an engine.
func (b *Ledger) Permits() []Permit {
	list := make([]Permit, 0, len(b.permits))
	for _, rec := range b.permits {
		list = append(list, rec.permit)
	}
	slices.SortFunc(list, func(x, y Permit) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// Orphans returns the number of permits whose holder is dead or silent.
func (b *Ledger) Orphans() int {
	n := 0
	for _, rec := range b.permits {
		if !rec.orphanedAt.IsZero() {
			n++
		}
	}
	return n
}

// Acquire grants a permit. A repeated request gets the permit of the first one. It returns a
// *FullError, *IncarnationError, *ReleasedError or *HolderError if it grants none.
func (b *Ledger) Acquire(now time.Time, r Request) (Permit, error) {
	if err := b.checkIncarnation(r.Incarnation); err != nil {
		return Permit{}, err
	}
	b.noteContact(now, r.Holder)
	if rec, ok := b.permits[r.ID]; ok {
		return b.repeatAcquire(rec, r.Holder)
	}
	if _, ok := b.released.get(r.ID); ok {
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

// Release ends a permit. Only the first release of an ID changes the count.
func (b *Ledger) Release(now time.Time, id string) Outcome {
	if rec, ok := b.permits[id]; ok {
		b.remove(rec)
		b.released.add(now, id, rec.permit.Weight)
		return Released
	}
	if _, ok := b.released.get(id); ok {
		return AlreadyReleased
	}
	// The release of an aborted request can overtake the request itself. Granting the request
	// afterwards would leave a permit that nobody ever releases.
	b.released.add(now, id, 0)
	return NotHeld
}

// ReleaseBy ends a permit on behalf of a holder, and does nothing if the permit has moved to
// another holder. A router may notice late that its caller has disconnected, after the caller has
// resumed the stream at another router; ending the permit then would leave a running request
// uncounted.
func (b *Ledger) ReleaseBy(now time.Time, id, holder string) Outcome {
	if rec, ok := b.permits[id]; ok && rec.permit.Holder != holder {
		return Moved
	}
	return b.Release(now, id)
}

// Transfer moves a permit to the router that resumes the stream. If the ledger does not know the
// permit, Transfer adds it, since a previous owner may have granted it. It returns an
// *IncarnationError or a *ReleasedError if it neither moves nor adds a permit.
func (b *Ledger) Transfer(now time.Time, r Request) (Permit, error) {
	if err := b.checkIncarnation(r.Incarnation); err != nil {
		return Permit{}, err
	}
	if _, ok := b.released.get(r.ID); ok {
		return Permit{}, &ReleasedError{ID: r.ID}
	}
	b.noteContact(now, r.Holder)
	rec, ok := b.permits[r.ID]
	if !ok {
		b.add(now, Permit{ID: r.ID, Holder: r.Holder, Weight: max(r.Weight, 1), Incarnation: b.incarnation})
		return b.permits[r.ID].permit, nil
	}
	b.assign(rec, r.Holder)
	return rec.permit, nil
}

// Load returns the load of the engine: the permits and whatever the engine reports beyond them.
func (b *Ledger) Load(now time.Time) Load {
	own := b.Granted()
	if b.engine.receivedAt.IsZero() || now.Sub(b.engine.receivedAt) > b.cfg.ReportTTL {
		return own
	}
	if !b.engine.listsRequests() {
		return Load{
			Count:  max(own.Count, b.engine.Count),
			Weight: max(own.Weight, b.engine.Weight),
		}
	}
	unaccounted := b.unaccounted()
	return Load{Count: own.Count + unaccounted.Count, Weight: own.Weight + unaccounted.Weight}
}

// unaccounted returns the part of the engine's report that has no permit here: requests granted by
// another owner, and requests that were released here and still run.
func (b *Ledger) unaccounted() Load {
	known := int64(0)
	unknown := 0
	for _, id := range b.engine.IDs {
		if rec, ok := b.permits[id]; ok {
			known += rec.permit.Weight
			continue
		}
		if t, ok := b.released.get(id); ok && t.releasedAt.After(b.engine.measuredAt.Add(-b.cfg.ReportDelay)) {
			// The report may be older than the release.
			known += t.weight
			continue
		}
		unknown++
	}
	return Load{Count: unknown, Weight: max(int64(unknown), b.engine.Weight-known)}
}

// admit checks the bounds for r, which must not be counted yet.
func (b *Ledger) admit(now time.Time, r Request) error {
	load := b.Load(now)
	warming := b.WarmingUp(now)
	bound := b.cfg.Bound
	batch := b.cfg.MaxBatch
	if warming {
		// The previous owner may have granted up to the full bound, and goes on granting until it
		// learns of the change. Half of the bound here keeps the sum of both owners' grants at one
		// and a half times the bound.
		bound *= warmUpShare
		batch = max(1, int(float64(batch)*warmUpShare))
	}
	if load.Count >= batch {
		return &FullError{Reason: ReasonBatch, Load: load, WarmingUp: warming}
	}
	total := max(r.PoolTotal, load.Weight)
	if r.LeastLoaded || b.cfg.Admit(load.Weight, r.Weight, total, r.PoolEngines, bound) {
		return nil
	}
	return &FullError{Reason: ReasonBound, Load: load, WarmingUp: warming}
}

// repeatAcquire handles a repeated request for a granted permit.
func (b *Ledger) repeatAcquire(rec *record, holder string) (Permit, error) {
	if rec.permit.Holder != holder {
		return Permit{}, &HolderError{ID: rec.permit.ID, Holder: rec.permit.Holder}
	}
	return rec.permit, nil
}

// checkIncarnation rejects messages about another incarnation. An engine that replaced another one
// at the same address would otherwise be charged with the requests of its predecessor.
func (b *Ledger) checkIncarnation(want uint64) error {
	if want != 0 && want != b.incarnation {
		return &IncarnationError{Want: want, Have: b.incarnation}
	}
	return nil
}

func (b *Ledger) add(now time.Time, p Permit) {
	rec := &record{permit: p, grantedAt: now}
	if h := b.holders[p.Holder]; h != nil && h.dead {
		// The message that led to this permit was in transit when the router was found to be dead.
		rec.orphanedAt = now
	}
	b.permits[p.ID] = rec
	b.weight += p.Weight
}

func (b *Ledger) remove(rec *record) {
	delete(b.permits, rec.permit.ID)
	b.weight -= rec.permit.Weight
}

// noteContact records that the router has sent a message or is reported alive or dead.
func (b *Ledger) noteContact(now time.Time, name string) *holder {
	h, ok := b.holders[name]
	if !ok {
		h = &holder{}
		b.holders[name] = h
	}
	h.lastContact = now
	return h
}
