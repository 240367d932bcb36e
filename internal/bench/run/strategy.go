package run

import (
	"math/rand/v2"
	"slices"

	"damaskrouter.example/damaskrouter/internal/placement"
	"github.com/zeebo/errs"
)

// ErrStrategy is a name that no strategy has.
var ErrStrategy = errs.Class("bench: unknown strategy")

// Picker is the name of the strategy that is in production.
const Picker = "picker"

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
	return []string{Picker, "random", "roundrobin", "leastload", "modulo", "unbounded"}
}

// noBound takes the load bound out: the engines' owners check it whatever the
// strategy, and a baseline held to it would no longer be the baseline.
const noBound = 100

// factory returns what the routers make their strategies with; nil is the
// picker. bounded says that the pool's load bound stays in force.
func factory(name string) (make func(*rand.Rand) placement.Strategy, bounded bool, err error) {
	if name == Picker {
		return nil, true, nil
	}
	inner, ok := baselines[name]
	if !ok {
		return nil, false, ErrStrategy.New("%q; there are %v", name, Strategies())
	}
	return func(rng *rand.Rand) placement.Strategy {
		return placement.NewBaselines(placement.DefaultPolicy(), rng)[inner]
	}, false, nil
}

// Known reports whether there is a strategy of that name.
func Known(name string) bool { return slices.Contains(Strategies(), name) }
