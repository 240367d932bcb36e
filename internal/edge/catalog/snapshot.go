package catalog

import "time"

// Snapshot is all that a router believes at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until a first configuration has arrived.
	Config *Config
	// ConfigAsOf is the boot time at which the call was sent that last
	// confirmed Config as the newest one. Counting from the sending makes the
	// age an upper bound, however long the answer took.
	ConfigAsOf time.Duration
	// Evacuations are confirmed along with Config, by the same calls.
	Evacuations Evacuations
	Engines     *EngineSet
	// EnginesAsOf is the same for Engines.
	EnginesAsOf time.Duration
	// DoubtUntil is the boot time until which a missing entry says nothing.
	DoubtUntil time.Duration
}

// ConfigAge is how old the configuration may be, at most, at now.
func (s *Snapshot) ConfigAge(now time.Duration) time.Duration { return now - s.ConfigAsOf }

// EnginesAge is how old the set of engines may be, at most, at now.
func (s *Snapshot) EnginesAge(now time.Duration) time.Duration { return now - s.EnginesAsOf }

// AgeFields are the ages at now for a log line. What was never heard has none.
func (s *Snapshot) AgeFields(now time.Duration) []any {
	return []any{"config_age", ageText(s.ConfigAsOf, now), "engines_age", ageText(s.EnginesAsOf, now)}
}

// unheard stands in log lines for the age of what was never heard.
const unheard = "never confirmed"

func ageText(asOf, now time.Duration) string {
	if asOf == 0 {
		return unheard
	}
	return (now - asOf).String()
}

// WithConfig returns the snapshot after a reader found c to be the newest
// configuration by a call sent at asOf. Versions only go forward: a confirmation
// of an older version than the one known says nothing. The flag is true where
// the version changed.
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

// WithEvacuations returns the snapshot after an update of the evacuations, and whether another
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

// TakesRequests says whether new requests may be sent to the engine: it neither leaves nor is in
// an evacuated site.
func (s *Snapshot) TakesRequests(e Engine) bool {
	return !e.Draining && !s.Evacuations.Active(e.Site)
}

// doubtFor is how long after the store's return a missing entry says nothing:
// engines that live register again within this time.
const doubtFor = 2 * time.Second

// WithEngines returns the snapshot after an update by a call sent at asOf, and
// whether the engines changed.
//
// If nobody could read the store for as long as lapse, entries may be missing
// whose engines are alive: they could not renew them. Taking them for gone would
// end the service with the first answer after an outage. They stay in service
// until they had time to register again. An outage that only some routers see
// is none: the others have confirmed the engines meanwhile. Neither is a time in
// which this router heard nothing while no reader failed, lostAgo being how long
// ago one last did: then its own links were bad, and the store was well.
func (s *Snapshot) WithEngines(u EngineUpdate, asOf, lapse, lostAgo time.Duration) (*Snapshot, bool) {
	if u.Upto < s.Engines.Upto || !s.Engines.Covers(u) {
		return s, false
	}
	next := *s
	gap := asOf - s.EnginesAsOf
	if s.Engines.Upto > 0 && gap >= lapse && lostAgo <= gap {
		next.DoubtUntil = asOf + doubtFor
	}
	doubtUntil := next.DoubtUntil
	if asOf >= doubtUntil {
		doubtUntil = 0
	}
	set, changed := s.Engines.Apply(u, doubtUntil)
	next.Engines = set
	next.EnginesAsOf = max(asOf, s.EnginesAsOf)
	return &next, changed
}

// Empty returns the snapshot of a router that has heard nothing yet.
func Empty() *Snapshot {
	return &Snapshot{Engines: NewEngineSet()}
}
