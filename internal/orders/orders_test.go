package orders

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damaskrouter.example/damaskrouter/internal/lease"
	"damaskrouter.example/damaskrouter/internal/wire"
)

var (
	pool   = Group{Pool: "llm", Site: "west"}
	target = Target{Group: pool, Model: "m", Version: "2", Adapters: []string{"x"}, CapacityFloor: 0.7}
)

// fleet plays engines that carry out orders after a while.
type fleet struct {
	*Planner
	now     time.Duration
	engines []Observation
	loading map[string]wire.Order
}

func newFleet(n int) *fleet {
	f := &fleet{Planner: NewPlanner(DefaultLimits()), loading: make(map[string]wire.Order)}
	for i := range n {
		status := wire.EngineStatus{Name: fmt.Sprint("e", i), Model: "m", Version: "1", Running: i % 3}
		f.engines = append(f.engines, Observation{Group: pool, Status: status, Reachable: true})
	}
	return f
}

func (f *fleet) plan() Plan { return f.Plan([]Target{target}, f.engines, f.now) }

// finish carries out what the engine was told, and ends its requests.
func (f *fleet) finish(o *Observation) {
	order, ok := f.loading[o.Status.Name]
	delete(f.loading, o.Status.Name)
	switch {
	case ok && order.Kind == wire.OrderVersion:
		o.Status.Version = order.Value
	case ok && order.Kind == wire.OrderLoadModel:
		o.Status.Model = order.Value
	case ok && order.Kind == wire.OrderLoadAdapter:
		o.Status.Adapters = append(o.Status.Adapters, order.Value)
	}
	if f.Draining(o.Status.Name) {
		o.Status.Running = 0
	}
}

func (f *fleet) serving() (n int) {
	for _, o := range f.engines {
		if o.Reachable && !o.Status.Leaving && o.Status.Model != "" && !f.Draining(o.Status.Name) {
			n++
		}
	}
	return n
}

// check asserts what every plan must hold.
func (f *fleet) check(t require.TestingT, plan Plan) {
	present := 0
	for _, o := range f.engines {
		if !o.Status.Leaving {
			present++
		}
	}
	for _, s := range plan.Steps {
		if s.Kind == StepDrain {
			require.GreaterOrEqual(t, float64(f.serving())+rounding, 0.7*float64(present))
		}
		if s.Kind != StepOrder {
			continue
		}
		f.loading[s.Engine] = s.Order
		for _, o := range f.engines {
			if o.Status.Name == s.Engine && s.Order.Kind != wire.OrderLoadAdapter && o.Status.Model != "" {
				require.Zero(t, o.Status.Running, "requests would be cut")
				require.True(t, f.Draining(s.Engine))
			}
		}
	}
	require.LessOrEqual(t, f.loads(), DefaultLimits().Loads)
}

// Symptom: a roll-out takes a pool below its floor, cuts requests, or makes
// every engine load at once. Sequence: engines restart, vanish, lose orders
// and carry them out in any order. Cause: a plan that counts what it has asked
// for, or what is lost, as serving.
func TestFloorAndStaggerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 14).Draw(t, "engines"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 300 {
			o := &f.engines[rng.IntN(len(f.engines))]
			switch rng.IntN(8) {
			case 0:
				o.Reachable = !o.Reachable
			case 1:
				delete(f.loading, o.Status.Name)
				o.Status.Incarnation++
				o.Status.Model, o.Status.Version, o.Status.Adapters = "", "", nil
			case 2:
				delete(f.loading, o.Status.Name)
			case 3:
				o.Status.Leaving = rng.IntN(4) == 0
			default:
				f.finish(o)
			}
			f.now += time.Duration(rng.IntN(int(time.Minute)))
			f.check(t, f.plan())
		}
	})
}

// Symptom: a roll-out never ends. Sequence: no faults at all, or one order in
// three lost. Cause: an order without a reply that is never given again.
func TestRollOutEnds(t *testing.T) {
	for name, lost := range map[string]int{"no faults": 1 << 30, "orders lost": 3} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(12)
			sent := 0
			for range 10000 {
				plan := f.plan()
				f.check(t, plan)
				for _, s := range plan.Steps {
					if s.Kind == StepOrder {
						sent++
					}
					if s.Kind == StepOrder && sent%lost == 0 {
						delete(f.loading, s.Engine)
					}
				}
				for i := range f.engines {
					f.finish(&f.engines[i])
				}
				f.now += time.Second
			}
			for _, o := range f.engines {
				require.Equal(t, "2", o.Status.Version)
				require.Equal(t, []string{"x"}, o.Status.Adapters)
				require.False(t, f.Draining(o.Status.Name))
			}
			t.Logf("orders for 24 changes: %d", sent)
		})
	}
}

// Symptom: nothing is rolled out, and nobody knows why. Sequence: a pool of
// three with a floor of 0.7, which three engines can only meet together.
// Cause: a floor that leaves no engine to spare.
func TestBlockedIsReported(t *testing.T) {
	plan := newFleet(3).plan()
	require.Equal(t, []Blocked{{Group: pool, Serving: 3, Needed: 3}}, plan.Blocked)
	for _, s := range plan.Steps {
		require.NotEqual(t, StepDrain, s.Kind)
	}
}

// Symptom: a request is cut by a version change. Sequence: an idle engine is
// drained, a router that has not heard of it sends a request, and the order
// follows on an old report. Cause: the report was made before all routers knew.
func TestDrainWaitsForRoutersAndReports(t *testing.T) {
	f := newFleet(4)
	require.Equal(t, StepDrain, f.plan().Steps[0].Kind)
	require.Empty(t, f.plan().Steps)
	f.now += DefaultLimits().DrainSettle
	f.engines[0].Status.ReportAgeMS = 1
	require.Empty(t, f.plan().Steps)
	f.engines[0].Status.ReportAgeMS = 0
	require.Equal(t, wire.OrderVersion, f.plan().Steps[0].Order.Kind)
}

// Symptom: no engine loads any more. Sequence: engines vanish while they load.
// Cause: their places at the weight store were never given back.
func TestVanishedEngineGivesBackItsPlace(t *testing.T) {
	f := newFleet(0)
	empty := func(name string) Observation {
		return Observation{Group: pool, Status: wire.EngineStatus{Name: name}, Reachable: true}
	}
	f.engines = []Observation{empty("a"), empty("b"), empty("c")}
	require.Len(t, f.plan().Steps, 2)
	f.engines = []Observation{empty("c")}
	f.now += time.Minute
	require.Empty(t, f.plan().Steps, "a gap in the view does not end a load")
	f.now += 2 * time.Minute
	require.Len(t, f.plan().Steps, 1)
	f.Failed("c", f.now)
	require.Empty(t, f.plan().Steps, "it backs off")
	f.now += DefaultLimits().BackOff
	require.Len(t, f.plan().Steps, 1)
}

type recorder struct{ orders []wire.Order }

func (r *recorder) Send(_ context.Context, _ string, o wire.Order) error {
	r.orders = append(r.orders, o)
	return nil
}

// Symptom: two leaders load models in turn. Sequence: a leader plans, is
// frozen, thaws after its lease ended, and goes on; or a new leader's first
// order overtakes the old leader's last one. Cause: the lease was checked when
// planning and not when sending, or the old order's time was not waited out.
func TestExecutorSendsOnlyWhileLeading(t *testing.T) {
	const timeout = time.Minute
	ttl := lease.DefaultTTL
	cases := map[string]struct {
		now    time.Duration
		fences bool
		want   error
	}{
		"at once, fence checked":       {time.Second, true, nil},
		"at once, fence ignored":       {time.Second, false, ErrTooEarly.Instance()},
		"just before the time is over": {ttl + timeout - 1, false, ErrTooEarly.Instance()},
		"old orders waited out":        {ttl + timeout, false, nil},
		"thawed after the lease ended": {time.Hour, true, lease.ErrNotHeld.Instance()},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			clock := func() time.Duration { return now }
			sent := &recorder{}
			e := NewExecutor(sent, &leaseAt{clock: clock, until: 10 * time.Minute}, clock, ttl, timeout)
			step := Step{Kind: StepOrder, Engine: "e", Target: Target{ChecksFence: c.fences}}
			now = c.now // Frozen between planning and sending.
			err := e.Execute(context.Background(), step)
			if c.want != nil {
				require.True(t, errors.Is(err, c.want), "%v", err)
				require.Empty(t, sent.orders)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []wire.Order{{Fence: 7}}, sent.orders)
		})
	}
}

type leaseAt struct {
	clock lease.Clock
	until time.Duration
}

func (l *leaseAt) Valid() (lease.Grant, error) {
	if l.clock() >= l.until {
		return lease.Grant{}, lease.ErrNotHeld.New("lapsed")
	}
	return lease.Grant{Fence: 7}, nil
}
