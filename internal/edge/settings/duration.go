package settings

import (
	"math"
	"time"
)

// The range of all durations. Shorter ones than a millisecond can't be kept, and longer ones than
// a day are mistakes: a unit too much, or a number that has run over.
const (
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
)

// Milliseconds is a duration that is written as a number of milliseconds.
type Milliseconds time.Duration

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (m *Milliseconds) UnmarshalYAML(unmarshal func(any) error) error {
	return scaled(unmarshal, time.Millisecond, (*time.Duration)(m))
}

// String implements fmt.Stringer.
func (m Milliseconds) String() string { return time.Duration(m).String() }

// Seconds is a duration that is written as a number of seconds.
type Seconds time.Duration

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (s *Seconds) UnmarshalYAML(unmarshal func(any) error) error {
	return scaled(unmarshal, time.Second, (*time.Duration)(s))
}

// String implements fmt.Stringer.
func (s Seconds) String() string { return time.Duration(s).String() }

func scaled(unmarshal func(any) error, unit time.Duration, out *time.Duration) error {
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
