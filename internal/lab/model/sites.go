package model

import "time"

// Surveyors is a pool of large models with three kinds of streams: reports with long
// prompts, questions that go before all others, and short labels.
func Surveyors(engines int) ([]EngineConfig, []Class) {
	e := EngineConfig{
		Slots: 48, Queue: 144, Step: 2970 * time.Microsecond, StepPerSlot: 22 * time.Microsecond,
		StepPerContext: 4 * time.Nanosecond, PrefillPerToken: 9900 * time.Nanosecond, Chunk: 4096, Stride: 7,
		Memory: 691_000, FetchPerToken: 3500 * time.Nanosecond, First: 7 * time.Millisecond,
	}
	all := make([]EngineConfig, engines)
	for i := range all {
		all[i] = e
	}
	const pause = 400 * time.Millisecond
	const patience = 3200 * time.Millisecond
	return all, []Class{
		{Name: "question", PerSecond: 73, Urgency: 0, Objective: 300 * time.Millisecond, MaxPause: pause, Patience: patience,
			Limit: 10 * time.Second, Worth: 1.9, LateShare: 0.1, Firsts: 40, FirstTokens: 119, Subjects: 166, SubjectTokens: 580, Own: 130, Output: 291},
		{Name: "report", PerSecond: 38.6, Urgency: 1, Objective: 600 * time.Millisecond, MaxPause: pause, Patience: patience,
			Limit: 12 * time.Second, Worth: 5, LateShare: 0.1, Firsts: 3, FirstTokens: 512, Subjects: 131, SubjectTokens: 10_000, Own: 1300, Output: 382},
		{Name: "label", PerSecond: 66.8, Urgency: 2, Objective: 400 * time.Millisecond, MaxPause: pause, Patience: patience,
			Limit: 2500 * time.Millisecond, Worth: 0.47, LateShare: 0.1, Firsts: 8, FirstTokens: 341, Subjects: 227, SubjectTokens: 1700, Own: 360, Output: 22},
	}
}

// Surge returns a Load that is factor times the usual between two moments.
func Surge(factor float64, from, to time.Duration) func(time.Duration, int, int) float64 {
	return func(now time.Duration, _, _ int) float64 {
		if now >= from && now < to {
			return factor
		}
		return 1
	}
}

// Office is a pool of plain engines with bookings and look-ups.
func Office(engines int) ([]EngineConfig, []Class) {
	all := make([]EngineConfig, engines)
	for i := range all {
		all[i] = EngineConfig{Slots: 6, Queue: 24, Plain: true}
	}
	kind := Class{
		Urgency: 2, Objective: 300 * time.Millisecond, MaxPause: time.Hour, Patience: 800 * time.Millisecond,
		Limit: 1500 * time.Millisecond, Worth: 1, LateShare: 0.1, Work: 60 * time.Millisecond,
	}
	booking, lookup := kind, kind
	booking.Name, booking.PerSecond = "booking", 44.6
	lookup.Name, lookup.PerSecond = "look-up", 17.9
	return all, []Class{booking, lookup}
}
