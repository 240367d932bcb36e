// Package orders decides which engine gets which order next, and sends orders
// while this router leads.
//
// Orders are declarative: each names what an engine should be serving, and
// giving one twice changes nothing. The plan is made anew from what engines
// report, so a lost order or a wrong state is repaired by the next plan.
package orders

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/wire"
)

// Group names the engines of one pool at one site. Capacity is counted per
// group.
type Group struct {
	Pool string
	Site string
}

// Target is what the engines of a group should be serving.
type Target struct {
	Group
	Model    string
	Version  string
	Adapters []string
	// Roles gives engines a role by name; others keep theirs.
	Roles map[string]string
	// CapacityFloor is the share of the group's engines, from 0 to 1, that
	// orders must leave serving.
	CapacityFloor float64
	// ChecksFence says that the engines refuse an old fencing number.
	ChecksFence bool
}

// Observation is what is known of one engine.
type Observation struct {
	Group
	Status wire.EngineStatus
	// Reachable is false for an engine that doesn't answer or is suspected.
	Reachable bool
}

// Limits are the settings of a Planner.
type Limits struct {
	// Loads is how many engines may fetch from the weight store at once.
	Loads int
	// DrainSettle is how long routers may take to learn of a drain.
	DrainSettle time.Duration
	// OrderTimeout is how long an engine may take to carry out an order.
	OrderTimeout time.Duration
	// BackOff is the pause after an engine's first failure. It doubles with
	// each further one, up to MaxBackOff.
	BackOff    time.Duration
	MaxBackOff time.Duration
}

// DefaultLimits returns the limits that are used where nothing is set.
func DefaultLimits() Limits {
	return Limits{
		Loads:        2,
		DrainSettle:  5 * time.Second,
		OrderTimeout: 2 * time.Minute,
		BackOff:      10 * time.Second,
		MaxBackOff:   10 * time.Minute,
	}
}

// StepKind says what a step asks for.
type StepKind int

// The kinds of step.
const (
	// StepDrain: routers must give the engine no new work.
	StepDrain StepKind = iota + 1
	// StepOrder: Order is to be sent to the engine.
	StepOrder
	// StepUndrain: the engine serves what it should; routers may use it.
	StepUndrain
)

// Step is one thing to do.
type Step struct {
	Kind   StepKind
	Engine string
	Target Target
	// Order is set for StepOrder, without its fence.
	Order wire.Order
}

// Blocked names a group that no step may touch, since the capacity floor
// leaves no engine to spare.
type Blocked struct {
	Group
	// Serving engines are left of Needed ones.
	Serving int
	Needed  int
}

// Plan is the result of Planner.Plan.
type Plan struct {
	Steps   []Step
	Blocked []Blocked
}

// candidate is an engine that differs from its target.
type candidate struct {
	seen   Observation
	target Target
	order  wire.Order
}

// Plan compares the desired with the observed state, notes what has been
// achieved or has failed since, and returns what to do next. now is monotonic.
// The steps are taken as done: a step that is not carried out is repeated
// after the order timeout, as is an order that got lost.
func (p *Planner) Plan(desired []Target, observed []Observation, now time.Duration) Plan {
	targets := make(map[Group]Target, len(desired))
	for _, t := range desired {
		targets[t.Group] = t
	}
	p.forget(observed, now)
	var plan Plan
	var candidates []candidate
	for _, o := range observed {
		// An engine without a target differs from nothing.
		t := targets[o.Group]
		order, differs := difference(t, o.Status)
		p.note(o, order, differs, now)
		if differs {
			candidates = append(candidates, candidate{seen: o, target: t, order: order})
		} else if p.undrain(o) {
			plan.Steps = append(plan.Steps, Step{Kind: StepUndrain, Engine: o.Status.Name, Target: t})
		}
	}
	slices.SortFunc(candidates, idleFirst)
	floors := p.floors(targets, observed)
	for _, c := range candidates {
		if !p.ready(c, now) {
			continue
		}
		step, ok := p.next(c, floors[c.target.Group], now)
		if ok {
			plan.Steps = append(plan.Steps, step)
		}
	}
	plan.Blocked = blocked(floors)
	return plan
}

// next returns the step for an engine that is ready, if one may be taken now.
func (p *Planner) next(c candidate, f *floor, now time.Duration) (Step, bool) {
	step := Step{Engine: c.seen.Status.Name, Target: c.target}
	if disrupts(c) && !p.Draining(step.Engine) {
		step.Kind = StepDrain
		return step, p.drain(step.Engine, f, now)
	}
	if disrupts(c) && !p.drained(c.seen.Status, now) {
		return Step{}, false
	}
	if fetches(c.order.Kind) && p.loads() >= p.limits.Loads {
		return Step{}, false
	}
	step.Kind = StepOrder
	step.Order = c.order
	step.Order.ID = p.send(c.seen.Status, c.order, now)
	return step, true
}

// blocked lists the groups that wait for their capacity floor.
func blocked(floors map[Group]*floor) []Blocked {
	var out []Blocked
	for g, f := range floors {
		if f.refused {
			out = append(out, Blocked{Group: g, Serving: f.serving, Needed: f.needed})
		}
	}
	slices.SortFunc(out, func(a, b Blocked) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Site, b.Site))
	})
	return out
}

// difference returns the next order that brings an engine nearer to its
// target. The model comes first, since a version and adapters belong to it.
func difference(t Target, s wire.EngineStatus) (wire.Order, bool) {
	role := t.Roles[s.Name]
	switch {
	case t.Model != "" && s.Model != t.Model:
		return wire.Order{Kind: wire.OrderLoadModel, Value: t.Model}, true
	case t.Version != "" && s.Version != t.Version:
		return wire.Order{Kind: wire.OrderVersion, Value: t.Version}, true
	case role != "" && s.Role != role:
		return wire.Order{Kind: wire.OrderRole, Value: role}, true
	}
	for _, a := range t.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return wire.Order{Kind: wire.OrderLoadAdapter, Value: a}, true
		}
	}
	return wire.Order{}, false
}

// disrupts says that the engine can't serve while it carries out the order.
func disrupts(c candidate) bool {
	return c.order.Kind != wire.OrderLoadAdapter && c.seen.Status.Model != ""
}

// fetches says that an order makes the engine read from the weight store.
func fetches(k wire.OrderKind) bool { return k != wire.OrderRole }

// idleFirst orders engines by the work that a drain has to wait for.
func idleFirst(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.seen.Status.Running+a.seen.Status.Queued, b.seen.Status.Running+b.seen.Status.Queued),
		cmp.Compare(a.seen.Status.Weight, b.seen.Status.Weight),
		cmp.Compare(a.seen.Status.Name, b.seen.Status.Name),
	)
}

// floor counts the engines of a group.
type floor struct {
	serving  int
	needed   int
	draining int
	// refused says that a drain was due and would have gone below needed.
	refused bool
}

// floors counts for each group the engines that serve, and how many must. An
// engine that can't be reached doesn't serve, but still counts for the share:
// when half of a pool is lost, nothing more is taken from it.
func (p *Planner) floors(targets map[Group]Target, observed []Observation) map[Group]*floor {
	all := make(map[Group]int)
	out := make(map[Group]*floor)
	for _, o := range observed {
		f := out[o.Group]
		if f == nil {
			f = &floor{}
			out[o.Group] = f
		}
		if o.Status.Leaving {
			continue
		}
		all[o.Group]++
		if p.Draining(o.Status.Name) {
			f.draining++
		} else if o.Reachable && o.Status.Model != "" {
			f.serving++
		}
	}
	for g, f := range out {
		f.needed = int(math.Ceil(targets[g].CapacityFloor*float64(all[g]) - rounding))
	}
	return out
}

// rounding keeps 0.7 × 10 from counting as more than 7.
const rounding = 1e-9
