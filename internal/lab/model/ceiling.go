package model

import (
	"cmp"
	"slices"
	"time"
)

// Ceiling is the share of the value that engines could earn if all requests were known
// in advance, with full batches and every shared segment of a prompt cached.
type Ceiling struct {
	// ByValue is the share if requests with the highest value per engine time run
	// first, ByUrgency if more urgent classes run first, as operators require.
	ByValue, ByUrgency float64
	// Load is the engine time that all requests need, relative to the time available.
	Load float64
}

// CeilingOf returns the ceiling of engines, which must be alike, if the rates of
// classes are multiplied by factor.
func CeilingOf(engines []EngineConfig, classes []Class, factor float64) Ceiling {
	var out Ceiling
	for i := range classes {
		out.Load += factor * classes[i].PerSecond * engineSeconds(engines[0], &classes[i])
	}
	out.Load /= float64(len(engines))
	byValue := slices.Clone(classes)
	slices.SortStableFunc(byValue, func(a, b Class) int {
		return cmp.Compare(b.Value/engineSeconds(engines[0], &b), a.Value/engineSeconds(engines[0], &a))
	})
	byUrgency := slices.Clone(classes)
	slices.SortStableFunc(byUrgency, func(a, b Class) int { return cmp.Compare(a.Urgency, b.Urgency) })
	out.ByValue = earnedShare(engines, byValue, factor)
	out.ByUrgency = earnedShare(engines, byUrgency, factor)
	return out
}

// earnedShare returns the share of the value that fits into the engines' time when
// classes are served in their order.
func earnedShare(engines []EngineConfig, classes []Class, factor float64) float64 {
	capacity := float64(len(engines))
	offered, earned := 0.0, 0.0
	for i := range classes {
		c := &classes[i]
		demand := factor * c.PerSecond * engineSeconds(engines[0], c)
		share := min(1, capacity/demand)
		capacity -= share * demand
		offered += factor * c.PerSecond * c.Value
		earned += share * factor * c.PerSecond * c.Value
	}
	return earned / offered
}

// engineSeconds returns the engine time, in seconds, that a request uses in a full
// batch.
func engineSeconds(e EngineConfig, c *Class) float64 {
	if e.Plain {
		return c.Work.Seconds() / float64(e.Slots)
	}
	context := e.Slots * (c.UniqueTokens + c.OutputTokens/2 + c.SystemPromptTokens + c.SubjectTokens)
	step := e.StepTime + time.Duration(e.Slots)*e.StepPerRequest + time.Duration(context)*e.StepPerToken
	duration := time.Duration(c.UniqueTokens)*e.PrefillPerToken + time.Duration(c.OutputTokens)*step/time.Duration(e.Slots)
	return duration.Seconds()
}
