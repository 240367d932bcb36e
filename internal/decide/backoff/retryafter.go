package backoff

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Reading is how the value of a Retry-After header was read.
type Reading string

// How a value was read.
const (
	// ReadSeconds is a number of seconds that is used as it is.
	ReadSeconds Reading = "seconds"
	// ReadCapped is a number of seconds beyond maxPause.
	ReadCapped Reading = "capped"
	// ReadInvalid is anything else, such as a date or a negative number.
	ReadInvalid Reading = "invalid"
)

const (
	// maxPause bounds a pause, so that no value takes an engine away for good: the engine gets one
	// request then, with which it may ask for another pause.
	maxPause = 10 * time.Minute
	// invalidPause is used for an invalid value: the engine has asked for a pause, but it is not
	// known for which. Dates are not converted: routers and engines share no clock.
	invalidPause = time.Second
)

// ParseRetryAfter returns the pause that the value of a Retry-After header asks for.
func ParseRetryAfter(value string) (time.Duration, Reading) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	switch {
	case err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0:
		return invalidPause, ReadInvalid
	case seconds > maxPause.Seconds():
		return maxPause, ReadCapped
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), ReadSeconds
}
