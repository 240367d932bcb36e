package catalog

import "time"

// Snapshot is the state known to a router at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration was received.
	Config *Config
	// ConfigAsOf is the reading of the boot clock when the latest call that confirmed Config as the
	// newest version was sent. The age counted from the sending is an upper bound, regardless of
	// how long the reply took.
	ConfigAsOf time.Duration
	// ConfigReadAsOf is the reading of the boot clock when the latest call that showed no newer
	// configuration was sent. Unlike ConfigAsOf, it advances just after a return of the store from an
	// older copy, when what the store shows proves nothing.
	ConfigReadAsOf time.Duration
	// Evacuations is confirmed by the same calls as Config.
	Evacuations Evacuations
	// ConfigEraSince is the reading of the boot clock as of which Evacuations entered their era by a
	// return of the store from an older copy; zero if there was none.
	ConfigEraSince time.Duration
	// KeptEvacuationsSince is the reading of the boot clock since which Evacuations has held orders that
	// only an earlier era of the store recorded; zero if it holds none. A router that has followed no
	// return receives them from another one.
	KeptEvacuationsSince time.Duration
	Engines              *EngineSet
	// EnginesAsOf is the reading of the boot clock when the latest call that confirmed Engines was
	// sent.
	EnginesAsOf time.Duration
	// EnginesEraSince is the reading of the boot clock as of which Engines entered their era.
	EnginesEraSince time.Duration
	// FollowedReturn is set once this router has followed a return of the store from an older copy.
	FollowedReturn bool
	// DoubtUntil is the reading of the boot clock until which engines whose entry is missing stay
	// in service as doubtful.
	DoubtUntil time.Duration
	// Leaving holds the engines that have announced in responses that they will stop.
	Leaving Leaving
}

// ConfigAge returns the maximum age of the configuration at now.
func (s *Snapshot) ConfigAge(now time.Duration) time.Duration { return now - s.ConfigAsOf }

// ConfigReadAge returns the time at now since the source of the configuration was last read.
func (s *Snapshot) ConfigReadAge(now time.Duration) time.Duration { return now - s.ConfigReadAsOf }

// EnginesAge returns the maximum age of the set of engines at now.
func (s *Snapshot) EnginesAge(now time.Duration) time.Duration { return now - s.EnginesAsOf }

// AgeFields returns the ages at now as log fields. State that was never confirmed has no age.
func (s *Snapshot) AgeFields(now time.Duration) []any {
	return []any{"config_age", formatAge(s.ConfigAsOf, now), "engines_age", formatAge(s.EnginesAsOf, now)}
}

// neverConfirmed is logged instead of the age of state that was never confirmed.
const neverConfirmed = "never confirmed"

func formatAge(asOf, now time.Duration) string {
	if asOf == 0 {
		return neverConfirmed
	}
	return (now - asOf).String()
}

// configSettleTime is the time after a return of the store from an older copy within which operators
// write again what it has lost. A configuration that the store shows until then may have been
// replaced before the return, by one that this router never received.
const configSettleTime = 2 * time.Second

// WithConfig returns the snapshot after a call sent at asOf confirmed c as the newest
// configuration, and whether the version changed. Versions never decrease: a confirmation of a
// version older than the known one is ignored. While the store is in a new era for less than
// configSettleTime, it confirms nothing.
func (s *Snapshot) WithConfig(c *Config, asOf time.Duration) (*Snapshot, bool) {
	if c == nil || s.Config != nil && c.Version < s.Config.Version {
		return s, false
	}
	next := *s
	next.ConfigReadAsOf = max(asOf, s.ConfigReadAsOf)
	if s.Config == nil || c.Version > s.Config.Version {
		next.Config = c
		next.ConfigAsOf = asOf
		return &next, true
	}
	if s.ConfigEraSince > 0 && asOf < s.ConfigEraSince+configSettleTime {
		return &next, false
	}
	next.ConfigAsOf = max(asOf, s.ConfigAsOf)
	return &next, false
}

// ConfigSettling reports whether the store has returned from an older copy so recently that nothing
// can have confirmed the configuration since.
func (s *Snapshot) ConfigSettling(now time.Duration) bool {
	settled := s.ConfigEraSince + configSettleTime
	return s.ConfigEraSince > 0 && s.ConfigAsOf < settled && now < settled+configSettleTime
}

// WithConfigRead returns the snapshot after a call sent at asOf read the source of the configuration.
func (s *Snapshot) WithConfigRead(asOf time.Duration) *Snapshot {
	if s.Config == nil || asOf <= s.ConfigReadAsOf {
		return s
	}
	next := *s
	next.ConfigReadAsOf = asOf
	return &next
}

// WithEvacuations returns the snapshot after an update of the evacuations by a call sent at asOf, and
// whether a different set of sites is evacuated.
func (s *Snapshot) WithEvacuations(u EvacuationUpdate, asOf time.Duration) (*Snapshot, bool) {
	if !u.Full && len(u.Changes) == 0 {
		return s, false
	}
	next := *s
	var changed bool
	next.Evacuations, changed = s.Evacuations.Apply(u)
	if s.Config != nil && next.Evacuations.era.returnsFrom(s.Evacuations.era) {
		next.ConfigEraSince = asOf
		next.FollowedReturn = true
	}
	switch {
	case !next.Evacuations.hasKept():
		next.KeptEvacuationsSince = 0
	case s.KeptEvacuationsSince == 0 || next.Evacuations.era != s.Evacuations.era:
		next.KeptEvacuationsSince = asOf
	}
	return &next, changed
}

// keptEvacuationTime is how long a site stays evacuated if only an earlier era of the store recorded
// the order. An operator that still wants it has written it again by then. One that has withdrawn it
// since the copy may leave no trace: the first list of the new era lacks the order in either case.
const keptEvacuationTime = 5 * time.Second

// ExpireKeptEvacuations returns the snapshot without evacuations that only an earlier era recorded
// longer than keptEvacuationTime ago, and whether there were any.
func (s *Snapshot) ExpireKeptEvacuations(now time.Duration) (*Snapshot, bool) {
	if s.KeptEvacuationsSince == 0 || now < s.KeptEvacuationsSince+keptEvacuationTime {
		return s, false
	}
	next := *s
	next.Evacuations = s.Evacuations.withoutKept()
	next.KeptEvacuationsSince = 0
	return &next, true
}

// TakesRequests reports whether new requests may be sent to the engine: it is neither draining nor
// in an evacuated site, and has not announced that it will stop.
func (s *Snapshot) TakesRequests(e Engine) bool {
	return !e.Draining && !s.Leaving.Has(e) && !s.Evacuations.Active(e.Site)
}

// doubtPeriod is the time after an outage of the store in which engines whose entry is missing stay
// in service. Running engines register again within this time.
const doubtPeriod = 2 * time.Second

// WithEngines returns the snapshot after an update by a call sent at asOf, and whether the engines
// changed.
//
// If no router could read the store for at least minOutage, the entries of running engines may have
// expired because the engines could not renew them. Removing these engines would stop the service
// with the first reply after an outage, so they stay in service as doubtful for doubtPeriod, in
// which they can register again. An outage that affects only some routers does not count, because
// the others have confirmed the engines in the meantime. Nor does a period in which this router
// received no updates while no reader failed: then its own links failed, not the store.
// sinceReadFailure is the time since a reader last failed.
//
// If the update is of a later era, the entries of running engines may be lost until the engines
// write them again, so that the same applies. What the earlier era recorded of engines that leave is
// kept in Leaving.
func (s *Snapshot) WithEngines(u EngineUpdate, asOf, minOutage, sinceReadFailure time.Duration) (*Snapshot, bool) {
	if !s.Engines.Accepts(u) {
		return s, false
	}
	next := *s
	unconfirmedFor := asOf - s.EnginesAsOf
	returned := s.Engines.Upto > 0 && u.Era.returnsFrom(s.Engines.Era)
	outage := s.Engines.Upto > 0 && unconfirmedFor >= minOutage && sinceReadFailure <= unconfirmedFor
	if returned || outage {
		next.DoubtUntil = asOf + doubtPeriod
	}
	doubtUntil := next.DoubtUntil
	if asOf >= doubtUntil {
		doubtUntil = 0
	}
	set, changed := s.Engines.Apply(u, doubtUntil)
	next.Engines = set
	next.Leaving = s.Leaving.withoutRestarted(s.Engines, set)
	next.EnginesAsOf = max(asOf, s.EnginesAsOf)
	if set.Era != s.Engines.Era || s.Engines.Upto == 0 {
		next.EnginesEraSince = asOf
	}
	if returned {
		next.FollowedReturn = true
		for _, start := range append(s.Engines.recordedLeaving(), s.outdatedStarts(u.Present)...) {
			next.Leaving, _ = next.Leaving.Add(start)
		}
	}
	next.Leaving = next.withOutdated(asOf)
	return &next, changed
}

// NewSnapshot returns the snapshot of a router that has received no state yet.
func NewSnapshot() *Snapshot {
	return &Snapshot{Engines: NewEngineSet()}
}
