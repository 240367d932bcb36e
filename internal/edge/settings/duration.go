package settings

import (
	"math"
	"time"
)

// The range of all durations. The router can't guarantee less than a millisecond, and more than a
// day is a mistake: a wrong unit, or a number that has overflowed.
const (
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
)

// Milliseconds is a duration written in YAML as a number of milliseconds.
type Milliseconds time.Duration

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (m *Milliseconds) UnmarshalYAML(unmarshal func(any) error) error {
	return unmarshalScaled(unmarshal, time.Millisecond, (*time.Duration)(m))
}

// String implements fmt.Stringer.
func (m Milliseconds) String() string { return time.Duration(m).String() }

// Seconds is a duration written in YAML as a number of seconds.
type Seconds time.Duration

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (s *Seconds) UnmarshalYAML(unmarshal func(any) error) error {
	return unmarshalScaled(unmarshal, time.Second, (*time.Duration)(s))
}

// String implements fmt.Stringer.
func (s Seconds) String() string { return time.Duration(s).String() }

// unmarshalScaled decodes a number of units into out. Errors: ErrRead if the result overflows or is
// not a number.
func unmarshalScaled(unmarshal func(any) error, unit time.Duration, out *time.Duration) error {
	var n float64
	if err := unmarshal(&n); err != nil {
		return err
	}
	scaled := n * float64(unit)
	if math.IsNaN(scaled) || math.Abs(scaled) >= math.MaxInt64 {
		return ErrRead.New("%v times %s is no duration", n, unit)
	}
	*out = time.Duration(scaled)
	return nil
}
