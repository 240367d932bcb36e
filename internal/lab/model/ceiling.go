package model

import (
	"cmp"
	"slices"
	"time"
)

// Ceiling is what engines could give if all requests were known beforehand: the part of the
// benefit that fits into the engines' time, with every batch full and every shared part of a
// prompt in its cache.
type Ceiling struct {
	// ByWorth is with the work that brings most for its time done first, ByUrgency with the
	// more urgent classes first, as the operators want it.
	ByWorth, ByUrgency float64
	// Load is the engines' time that all requests take, for what the engines have.
	Load float64
}

// CeilingOf returns the ceiling of engines under classes whose rates are a multiple of the
// usual.
func CeilingOf(engines []EngineConfig, classes []Class, factor float64) Ceiling {
	var out Ceiling
	for i := range classes {
		out.Load += factor * classes[i].PerSecond * costOf(engines[0], &classes[i])
	}
	out.Load /= float64(len(engines))
	byWorth := slices.Clone(classes)
	slices.SortStableFunc(byWorth, func(a, b Class) int {
		return cmp.Compare(b.Worth/costOf(engines[0], &b), a.Worth/costOf(engines[0], &a))
	})
	byUrgency := slices.Clone(classes)
	slices.SortStableFunc(byUrgency, func(a, b Class) int { return cmp.Compare(a.Urgency, b.Urgency) })
	out.ByWorth = fill(engines, byWorth, factor)
	out.ByUrgency = fill(engines, byUrgency, factor)
	return out
}

// fill returns the part of the benefit that fits, in the order of the classes.
func fill(engines []EngineConfig, classes []Class, factor float64) float64 {
	left := float64(len(engines))
	owed, earned := 0.0, 0.0
	for i := range classes {
		c := &classes[i]
		wanted := factor * c.PerSecond * costOf(engines[0], c)
		part := min(1, left/wanted)
		left -= part * wanted
		owed += factor * c.PerSecond * c.Worth
		earned += part * factor * c.PerSecond * c.Worth
	}
	return earned / owed
}

// costOf is the time of an engine, in seconds, that a request takes out of a full batch.
func costOf(e EngineConfig, c *Class) float64 {
	if e.Plain {
		return c.Work.Seconds() / float64(e.Slots)
	}
	context := e.Slots * (c.Own + c.Output/2 + c.FirstTokens + c.SubjectTokens)
	step := e.Step + time.Duration(e.Slots)*e.StepPerSlot + time.Duration(context)*e.StepPerContext
	took := time.Duration(c.Own)*e.PrefillPerToken + time.Duration(c.Output)*step/time.Duration(e.Slots)
	return took.Seconds()
}
