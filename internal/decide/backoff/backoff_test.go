package backoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestParseRetryAfter(t *testing.T) {
	for _, test := range []struct {
		value   string
		pause   time.Duration
		reading Reading
	}{
		{"3", 3 * time.Second, ReadSeconds},
		{" 3.0 ", 3 * time.Second, ReadSeconds},
		{"0.25", 250 * time.Millisecond, ReadSeconds},
		{"0", 0, ReadSeconds},
		{"600", 10 * time.Minute, ReadSeconds},
		{"601", 10 * time.Minute, ReadCapped},
		{"1e300", 10 * time.Minute, ReadCapped},
		{"-3", time.Second, ReadInvalid},
		{"", time.Second, ReadInvalid},
		{"NaN", time.Second, ReadInvalid},
		{"+Inf", time.Second, ReadInvalid},
		{"1e999", time.Second, ReadInvalid},
		{"soon", time.Second, ReadInvalid},
		{"3s", time.Second, ReadInvalid},
		{"Thu, 03 Dec 2026 16:00:00 GMT", time.Second, ReadInvalid},
	} {
		pause, reading := ParseRetryAfter(test.value)
		require.Equal(t, test.pause, pause, test.value)
		require.Equal(t, test.reading, reading, test.value)
	}
}

// For any sequence of rejections and responses, no request is admitted before the end of the longest
// pause, and one is at the latest maxSpread after it.
func TestEngineGetsNothingInPauseAndIsNotAvoidedForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backoff
		var now, longest time.Duration
		counted := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if b.Admits(now) {
				require.GreaterOrEqual(t, now, longest)
				if b.Start() {
					counted++
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				pause := time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
				b.Reject(now, pause, rapid.IntRange(1, 1000).Draw(t, "routers"), rapid.Float64Range(0, 1).Draw(t, "random"))
				if pause > 0 {
					longest = max(longest, now+pause)
				}
			case 1:
				if counted > 0 {
					counted--
					b.End(rapid.Bool().Draw(t, "accepted"), now)
				}
			}
		}
		for ; counted > 0; counted-- {
			b.End(false, now)
		}
		require.True(t, b.Admits(max(now, longest+maxSpread)))
	})
}

// Guards against an engine that is overloaded again as its pause ends, because all routers return
// to it with all of their requests at once.
func TestRequestsReturnGradually(t *testing.T) {
	const routers = 295
	firstSecond, bySecond := 0, make(map[int]int)
	for i := range routers {
		var b Backoff
		b.Reject(0, 3*time.Second, routers, float64(i)/routers)
		require.False(t, b.Admits(3*time.Second-1))
		bySecond[int(b.ResumeAt()/(100*time.Millisecond))]++
		at := b.ResumeAt()
		require.True(t, b.Admits(at))
		require.True(t, b.Start())
		require.False(t, b.Admits(at), "one request until the engine has accepted it")
		b.End(true, at)
		require.True(t, b.Start() && b.Admits(at) && b.Start())
		require.False(t, b.Admits(at))
		firstSecond++
	}
	require.Equal(t, routers, firstSecond)
	for _, n := range bySecond {
		require.LessOrEqual(t, n, 25, "returns in a tenth of a second")
	}
}

// Guards against a return that counts responses to requests that were sent before the pause.
func TestResponsesToEarlierRequestsDoNotEndPause(t *testing.T) {
	var b Backoff
	b.Reject(0, time.Second, 1, 0)
	for range 10 {
		b.End(true, 500*time.Millisecond)
	}
	require.True(t, b.Paused(999*time.Millisecond))
	require.False(t, b.Paused(time.Second))
	require.Equal(t, time.Second, b.ResumeAt())
}

// Refused callers return when the first engine is used again, urgent ones before the others.
func TestCallersReturnAfterPauseUrgentFirst(t *testing.T) {
	require.Equal(t, 2*time.Second, RetryAfter(2*time.Second, 0, 0))
	require.Less(t, RetryAfter(2*time.Second, 0, 0.5), RetryAfter(2*time.Second, 2, 0.5))
	require.GreaterOrEqual(t, RetryAfter(-time.Second, 0, 0), time.Duration(0))
}
