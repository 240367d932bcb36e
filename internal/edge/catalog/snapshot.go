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
	// Evacuations is confirmed by the same calls as Config.
	Evacuations Evacuations
	Engines     *EngineSet
	// EnginesAsOf is the reading of the boot clock when the latest call that confirmed Engines was
	// sent.
	EnginesAsOf time.Duration
	// DoubtUntil is the reading of the boot clock until which engines whose entry is missing stay
	// in service as doubtful.
	DoubtUntil time.Duration
	// Leaving holds the engines that have announced in responses that they will stop.
	Leaving Leaving
}

// ConfigAge returns the maximum age of the configuration at now.
func (s *Snapshot) ConfigAge(now time.Duration) time.Duration { return now - s.ConfigAsOf }

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

// WithConfig returns the snapshot after a call sent at asOf confirmed c as the newest
// configuration, and whether the version changed. Versions never decrease: a confirmation of a
// version older than the known one is ignored.
func (s *Snapshot) WithConfig(c *Config, asOf time.Duration) (*Snapshot, bool) {
	if c == nil || s.Config != nil && c.Version < s.Config.Version {
		return s, false
	}
	next := *s
	if s.Config == nil || c.Version > s.Config.Version {
		next.Config = c
		next.ConfigAsOf = asOf
		return &next, true
	}
	next.ConfigAsOf = max(asOf, s.ConfigAsOf)
	return &next, false
}

// WithEvacuations returns the snapshot after an update of the evacuations, and whether a different
// set of sites is evacuated.
func (s *Snapshot) WithEvacuations(u EvacuationUpdate) (*Snapshot, bool) {
	if !u.Full && len(u.Changes) == 0 {
		return s, false
	}
	next := *s
	var changed bool
	next.Evacuations, changed = s.Evacuations.Apply(u)
	return &next, changed
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
func (s *Snapshot) WithEngines(u EngineUpdate, asOf, minOutage, sinceReadFailure time.Duration) (*Snapshot, bool) {
	if u.Upto < s.Engines.Upto || !s.Engines.Covers(u) {
		return s, false
	}
	next := *s
	unconfirmedFor := asOf - s.EnginesAsOf
	if s.Engines.Upto > 0 && unconfirmedFor >= minOutage && sinceReadFailure <= unconfirmedFor {
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
	return &next, changed
}

// NewSnapshot returns the snapshot of a router that has received no state yet.
func NewSnapshot() *Snapshot {
	return &Snapshot{Engines: NewEngineSet()}
}
