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
	Engines    *EngineSet
	// EnginesAsOf is the same for Engines.
	EnginesAsOf time.Duration
}

// ConfigAge is how old the configuration may be, at most, at now.
func (s *Snapshot) ConfigAge(now time.Duration) time.Duration { return now - s.ConfigAsOf }

// EnginesAge is how old the set of engines may be, at most, at now.
func (s *Snapshot) EnginesAge(now time.Duration) time.Duration { return now - s.EnginesAsOf }

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

// WithEngines returns the snapshot after an update by a call sent at asOf, and
// whether the engines changed.
func (s *Snapshot) WithEngines(u EngineUpdate, asOf, doubtUntil time.Duration) (*Snapshot, bool) {
	if u.Upto < s.Engines.Upto || !s.Engines.Covers(u) {
		return s, false
	}
	set, changed := s.Engines.Apply(u, doubtUntil)
	next := *s
	next.Engines = set
	next.EnginesAsOf = max(asOf, s.EnginesAsOf)
	return &next, changed
}

// Empty returns the snapshot of a router that has heard nothing yet.
func Empty() *Snapshot {
	return &Snapshot{Engines: NewEngineSet()}
}
