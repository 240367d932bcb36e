package model

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scenario is a fleet and its traffic.
type scenario struct {
	name    string
	routers int
	engines []EngineConfig
	classes []Class
	// reportDelay is the minimum age of load reports.
	reportDelay time.Duration
}

func modelScenario() scenario {
	engines, classes := ModelWorkload(18)
	return scenario{"model engines, 8 routers", 8, engines, classes, 150 * time.Millisecond}
}

// largeModelScenario has eleven times the routers for three times the engines, and
// three times the traffic.
func largeModelScenario() scenario {
	engines, classes := ModelWorkload(60)
	return largeScenario("model engines, 89 routers", engines, classes, 3.3)
}

// largeScenario returns a scenario with 89 routers and with the traffic of the classes
// multiplied by times.
func largeScenario(name string, engines []EngineConfig, classes []Class, times float64) scenario {
	for i := range classes {
		classes[i].PerSecond *= times
	}
	return scenario{name, 89, engines, classes, 450 * time.Millisecond}
}

func plainScenario() scenario {
	engines, classes := PlainWorkload(3)
	return scenario{"plain engines, 8 routers", 8, engines, classes, 150 * time.Millisecond}
}

func largePlainScenario() scenario {
	engines, classes := PlainWorkload(5)
	return largeScenario("plain engines, 89 routers", engines, classes, 3.85)
}

const (
	surgeFrom = 8 * time.Second
	surgeTo   = 16 * time.Second
	// settleTime is how long after the start and after the end of a surge results are
	// ignored.
	settleTime = 2 * time.Second
	// runTime lets all requests end that arrived before the end of the last window
	// measured.
	runTime = surgeTo + 2*settleTime + 12*time.Second
)

// policyFactory returns the policy of a router.
type policyFactory func(*Router, *rand.Rand) Policy

// capacityFactor returns the load that engines can serve, as a multiple of the load at a factor of
// 1.
func (s scenario) capacityFactor() float64 { return 1 / CeilingOf(s.engines, s.classes, 1).Load }

// surgeResult is the outcome of a surge.
type surgeResult struct {
	during, after Counts
	// valuePerSecond is the value earned per second of the surge.
	valuePerSecond float64
}

// simulation returns a simulation with a surge of load times the engines' capacity.
func (s scenario) simulation(seed uint64, load float64, policy policyFactory) *Simulation {
	return NewSimulation(SimulationConfig{
		Seed: seed, Engines: s.engines, Routers: s.routers, ReportDelay: s.reportDelay, ReportInterval: 150 * time.Millisecond,
		Callers: CallerConfig{
			Classes: s.classes, Accounts: 10, Retries: 1, BurstSize: 3, TimeoutSpread: 0.15,
			LoadFactor: Surge(load*s.capacityFactor(), surgeFrom, surgeTo),
		},
	}, policy)
}

// run simulates a surge with the seeds from 1 on.
func (s scenario) run(load float64, seeds uint64, policy func() policyFactory) surgeResult {
	var out surgeResult
	for seed := range seeds {
		sim := s.simulation(seed+1, load, policy())
		sim.Run(runTime)
		out.during.add(sim.Results.Between("", surgeFrom+settleTime, surgeTo))
		out.after.add(sim.Results.Between("", surgeTo+settleTime, surgeTo+2*settleTime))
	}
	out.valuePerSecond = out.during.EarnedValue / (surgeTo - surgeFrom - settleTime).Seconds() / float64(seeds)
	return out
}

func gated() policyFactory  { return NewGated(NoShares) }
func direct() policyFactory { return NewDirect }

// Guards against goodput that falls as load rises beyond capacity: engines queue
// requests and finish them late, and retries compete equally with new requests, which
// makes those late too. Gates must grant as many permits as engines have slots, and put
// requests that are already too late behind all others.
//
// Requires 9/10 of the ceiling, and 95 % of the value per second earned at full load.
func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	const ofCeiling, ofFull = 0.9, 0.95
	for _, s := range []scenario{modelScenario(), plainScenario()} {
		full := s.run(1, 2, gated)
		for _, load := range []float64{1.5, 2, 3, 4} {
			name := fmt.Sprintf("%s, load %.1f", s.name, load)
			got := s.run(load, 2, gated)
			ceiling := CeilingOf(s.engines, s.classes, load*s.capacityFactor())
			require.Greater(t, got.during.EarnedShare(), ofCeiling*ceiling.ByUrgency, name)
			require.Greater(t, got.valuePerSecond, ofFull*full.valuePerSecond, name)
		}
	}
}

// Guards against a loss of goodput that exceeds the share of lost engines: 5 of 18 engines crash
// during a surge and stay down, and their requests move to engines without their prompts cached.
// Requires 9/10 of the ceiling of the other engines.
func TestGoodputDoesNotCollapseWhenEnginesCrash(t *testing.T) {
	s := modelScenario()
	const load, lost = 2, 5
	sim := s.simulation(1, load, gated())
	for i := range lost {
		sim.At(surgeFrom+settleTime, sim.Engines[i].Crash)
	}
	sim.Run(runTime)
	got := sim.Results.Between("", surgeFrom+2*settleTime, surgeTo).EarnedShare()
	ceiling := CeilingOf(s.engines[lost:], s.classes, load*s.capacityFactor())
	require.Greater(t, got, 0.9*ceiling.ByUrgency)
}

// Guards against late responses for seconds after a surge because engines still work off their
// queues: requests must wait at routers, where they end with their callers. Requires, from two
// seconds after the surge on, 98 % of the value earned without a surge.
func TestServiceRecoversAfterSurge(t *testing.T) {
	const asNormal = 0.98
	for _, s := range []scenario{modelScenario(), plainScenario()} {
		normal := s.run(1/s.capacityFactor(), 2, gated).after.EarnedShare()
		require.Greater(t, s.run(2, 2, gated).after.EarnedShare(), asNormal*normal, s.name)
	}
}

// BenchmarkSurge reports the value earned during a surge relative to the ceiling,
// without and with flow control.
func BenchmarkSurge(b *testing.B) {
	for _, s := range []scenario{modelScenario(), largeModelScenario(), plainScenario(), largePlainScenario()} {
		for _, load := range []float64{1, 1.5, 2, 4} {
			ceiling := CeilingOf(s.engines, s.classes, load*s.capacityFactor())
			b.Run(fmt.Sprintf("%s/load %.1f", s.name, load), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(s.run(load, 1, direct).during.EarnedShare()/ceiling.ByUrgency, "direct/ceiling")
					b.ReportMetric(s.run(load, 1, gated).during.EarnedShare()/ceiling.ByUrgency, "gated/ceiling")
				}
			})
		}
	}
}
