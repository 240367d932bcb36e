package run

import (
	"math/rand/v2"
	"slices"

	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/serve/router"
	"github.com/zeebo/errs"
)

// ErrStrategy is a name that no strategy has.
var ErrStrategy = errs.Class("bench: unknown strategy")

// Names of the picker's variants.
const (
	// Picker is the strategy as it is in production.
	Picker = "picker"
	// Informed is the picker with the engines' real rates in its policy, to
	// see what the assumed ones cost.
	Informed = "informed"
)

// baselines maps the command line's names to those of package placement.
var baselines = map[string]string{
	"random":     "random",
	"roundrobin": "round-robin",
	"leastload":  "least-load",
	"modulo":     "modulo",
	"unbounded":  "unbounded",
}

// Strategies lists the names, the one in production first.
func Strategies() []string {
	return []string{Picker, Informed, "random", "roundrobin", "leastload", "modulo", "unbounded"}
}

// noBound takes the load bound out: the engines' owners check it whatever the
// strategy, and a baseline held to it would no longer be the baseline.
const noBound = 100

// setup is what a strategy changes in the routers and in the configuration.
type setup struct {
	options router.Options
	bound   float64
}

func setupOf(name string, w *workload.Workload) (setup, error) {
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

// msPerSecond converts the workload's rate.
const msPerSecond = 1000

// informed is the default policy with the rate at which the stand-in engines
// take in prompts, which are nearly all of the weight.
func informed(w *workload.Workload) placement.Policy {
	p := placement.DefaultPolicy()
	p.PrefillRate = float64(w.Engines.PrefillPerMS * msPerSecond)
	p.DrainRate = p.PrefillRate
	return p
}

// Known reports whether there is a strategy of that name.
func Known(name string) bool { return slices.Contains(Strategies(), name) }
