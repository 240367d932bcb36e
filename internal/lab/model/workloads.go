package model

import "time"

// ModelWorkload returns a pool of large-model engines and three classes of streams:
// questions, which are the most urgent, reports with long prompts, and short labels.
func ModelWorkload(engines int) ([]EngineConfig, []Class) {
	engine := EngineConfig{
		Slots: 48, QueueLimit: 144, StepTime: 2970 * time.Microsecond, StepPerRequest: 22 * time.Microsecond,
		StepPerToken: 4 * time.Nanosecond, PrefillPerToken: 9900 * time.Nanosecond, PrefillChunk: 4096, TokensPerEvent: 7,
		MemoryTokens: 691_000, FetchPerToken: 3500 * time.Nanosecond, StartDelay: 7 * time.Millisecond,
	}
	all := make([]EngineConfig, engines)
	for i := range all {
		all[i] = engine
	}
	const pause = 400 * time.Millisecond
	const firstEventTimeout = 3200 * time.Millisecond
	return all, []Class{
		{Name: "question", PerSecond: 73, Urgency: 0, Objective: 300 * time.Millisecond, MaxPause: pause, FirstEventTimeout: firstEventTimeout,
			Timeout: 10 * time.Second, Value: 1.9, LateShare: 0.1, SystemPrompts: 40, SystemPromptTokens: 119, Subjects: 166, SubjectTokens: 580, UniqueTokens: 130, OutputTokens: 291},
		{Name: "report", PerSecond: 38.6, Urgency: 1, Objective: 600 * time.Millisecond, MaxPause: pause, FirstEventTimeout: firstEventTimeout,
			Timeout: 12 * time.Second, Value: 5, LateShare: 0.1, SystemPrompts: 3, SystemPromptTokens: 512, Subjects: 131, SubjectTokens: 10_000, UniqueTokens: 1300, OutputTokens: 382},
		{Name: "label", PerSecond: 66.8, Urgency: 2, Objective: 400 * time.Millisecond, MaxPause: pause, FirstEventTimeout: firstEventTimeout,
			Timeout: 2500 * time.Millisecond, Value: 0.47, LateShare: 0.1, SystemPrompts: 8, SystemPromptTokens: 341, Subjects: 227, SubjectTokens: 1700, UniqueTokens: 360, OutputTokens: 22},
	}
}

// MemoryWorkload returns a pool of model engines whose memory is full long before their slots are, and three
// classes of streams with prompts of 9,200, 2,400 and 700 tokens. Hints are off by the factor 2.2 or more
// for a third of the requests.
func MemoryWorkload(engines int) ([]EngineConfig, []Class) {
	all, _ := ModelWorkload(engines)
	for i := range all {
		all[i].Slots, all[i].QueueLimit, all[i].MemoryTokens = 64, 128, 140_000
	}
	class := Class{
		Objective: 800 * time.Millisecond, MaxPause: 600 * time.Millisecond, FirstEventTimeout: 3200 * time.Millisecond,
		Timeout: 12 * time.Second, LateShare: 0.1, HintError: 0.8,
	}
	long, medium, short := class, class, class
	long.Name, long.Urgency, long.PerSecond, long.Value = "long", 0, 12, 5
	long.Subjects, long.SubjectTokens, long.UniqueTokens, long.OutputTokens = 600, 7000, 2200, 380
	medium.Name, medium.Urgency, medium.PerSecond, medium.Value = "medium", 1, 30, 2
	medium.Subjects, medium.SubjectTokens, medium.UniqueTokens, medium.OutputTokens = 300, 1500, 900, 300
	short.Name, short.Urgency, short.PerSecond, short.Value = "short", 2, 40, 1
	short.Subjects, short.SubjectTokens, short.UniqueTokens, short.OutputTokens = 100, 400, 300, 150
	return all, []Class{long, medium, short}
}

// Surge returns a LoadFactor that is factor between two times and 1 otherwise.
func Surge(factor float64, from, to time.Duration) func(time.Duration, int, int) float64 {
	return func(now time.Duration, _, _ int) float64 {
		if now >= from && now < to {
			return factor
		}
		return 1
	}
}

// PlainWorkload returns a pool of plain engines and the classes of bookings and
// look-ups.
func PlainWorkload(engines int) ([]EngineConfig, []Class) {
	all := make([]EngineConfig, engines)
	for i := range all {
		all[i] = EngineConfig{Slots: 6, QueueLimit: 24, Plain: true}
	}
	class := Class{
		Urgency: 2, Objective: 300 * time.Millisecond, MaxPause: time.Hour, FirstEventTimeout: 800 * time.Millisecond,
		Timeout: 1500 * time.Millisecond, Value: 1, LateShare: 0.1, Work: 60 * time.Millisecond,
	}
	booking, lookup := class, class
	booking.Name, booking.PerSecond = "booking", 44.6
	lookup.Name, lookup.PerSecond = "look-up", 17.9
	return all, []Class{booking, lookup}
}
