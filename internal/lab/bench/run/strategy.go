package run

import (
	"math/rand/v2"
	"slices"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/serve/router"
	"github.com/zeebo/errs"
)

// ErrStrategy is the class of errors for unknown strategy names.
var ErrStrategy = errs.Class("bench: unknown strategy")

// Names of the picker's variants.
const (
	// Picker is the production strategy.
	Picker = "picker"
	// Informed is the production strategy with the engines' real rates in its
	// policy, which shows the cost of the assumed rates.
	Informed = "informed"
)

// baselines maps names on the command line to those of package placement.
var baselines = map[string]string{
	"random":     "random",
	"roundrobin": "round-robin",
	"leastload":  "least-load",
	"modulo":     "modulo",
	"unbounded":  "unbounded",
}

// Strategies returns the names of all strategies, the production one first.
func Strategies() []string {
	return []string{Picker, Informed, "random", "roundrobin", "leastload", "modulo", "unbounded"}
}

// noBound is a load bound too high to have an effect. The owners of engines enforce
// the bound with every strategy, so that a baseline with a lower bound would show
// the effect of the bound instead of its own.
const noBound = 100

// setup is the router options and the load bound of a strategy.
type setup struct {
	options router.Options
	bound   float64
}

func setupFor(name string, w *workload.Workload) (setup, error) {
	switch name {
	case Picker:
		return setup{bound: w.LoadBound}, nil
	case Informed:
		return setup{bound: w.LoadBound, options: router.Options{Policy: informed(w)}}, nil
	}
	inner, ok := baselines[name]
	if !ok {
		return setup{}, ErrStrategy.New("%q; there are %v", name, Strategies())
	}
	return setup{bound: noBound, options: router.Options{
		NewStrategy: func(rng *rand.Rand) placement.Strategy {
			return placement.NewBaselines(placement.DefaultPolicy(), rng)[inner]
		},
	}}, nil
}

// msPerSecond converts the workload's prefill rate to tokens per second.
const msPerSecond = 1000

// informed returns the default policy with the prefill rate of the stand-in
// engines; prefill is nearly all of the weight.
func informed(w *workload.Workload) placement.Policy {
	p := placement.DefaultPolicy()
	p.PrefillRate = float64(w.Engines.PrefillPerMS * msPerSecond)
	p.DrainRate = p.PrefillRate
	return p
}

// Known reports whether a strategy has the given name.
func Known(name string) bool { return slices.Contains(Strategies(), name) }
