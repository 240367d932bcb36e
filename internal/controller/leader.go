package controller

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/board"
	"damaskrouter.example/damaskrouter/internal/config"
	"damaskrouter.example/damaskrouter/internal/lease"
	"damaskrouter.example/damaskrouter/internal/orders"
	"damaskrouter.example/damaskrouter/internal/pause"
	"damaskrouter.example/damaskrouter/internal/peer"
	"damaskrouter.example/damaskrouter/internal/rendezvous"
	"damaskrouter.example/damaskrouter/internal/upstream"
	"damaskrouter.example/damaskrouter/internal/wire"
	"github.com/charmbracelet/log"
)

var dutyLeader = rendezvous.ID("duty/leader")

const (
	// leaderPeriod is how often the leader looks at the engines of a small fleet.
	leaderPeriod = 2 * time.Second
	// observesPerSecond bounds the routers that the leader asks in a second,
	// and with it the control traffic of leading a large fleet.
	observesPerSecond = 20
	observeTimeout    = time.Second
	// orderTimeout bounds how long an order may be under way.
	orderTimeout = 5 * time.Second
)

// Leader holds or seeks the lease, and while it holds it gives the engines the
// orders that make them serve what the configuration says.
type Leader struct {
	Board    *board.Board
	Configs  *Configs
	Caller   *peer.Caller
	Drains   *Drains
	Upstream *upstream.Client
	Lease    *lease.Runner
	Clock    lease.Clock
	Self     string
	Log      *log.Logger
	// HasOrderToken says that Upstream has a token for engines that check
	// their sender.
	HasOrderToken bool
	// Record is told of each order that was sent or refused; nil tells nobody.
	// It must return at once.
	Record func(OrderResult)

	// given counts orders that took effect or may have, refused those that did not.
	given, refused atomic.Int64

	mu      sync.Mutex
	planner *orders.Planner
	fence   uint64
	targets []orders.Target
	version uint64
	running map[string]bool
	// floor is the head of the configuration chain in the term floorOf.
	floor   uint64
	floorOf uint64
	// blocked are the groups that the last plan could not touch.
	blocked []orders.Blocked
}

// OrderResult is what became of one order.
type OrderResult struct {
	Engine string
	// Order has the fence that it was sent with; 0 if it was not sent.
	Order wire.Order
	// ConfigVersion is the configuration that the order carries out.
	ConfigVersion uint64
	// Ended is when the outcome was known, or given up.
	Ended time.Time
	// Err is nil where the engine took the order and orders.ErrRefused where it
	// did not; any other error leaves it open.
	Err error
}

// OrderCounts are the figures of the orders that one router gave.
type OrderCounts struct {
	// Given counts orders that took effect or may have.
	Given int64 `json:"given"`
	// Refused counts orders that did not take effect.
	Refused int64 `json:"refused"`
}

// Counts returns the figures so far.
func (l *Leader) Counts() OrderCounts {
	return OrderCounts{Given: l.given.Load(), Refused: l.refused.Load()}
}

// Run leads whenever this router holds the lease, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.running = make(map[string]bool)
	go l.Lease.Run(ctx)
	for {
		l.step(ctx)
		if !pause.For(ctx, jitter(l.period())) {
			return
		}
	}
}

// period grows with the fleet, so that the leader's own traffic does not.
func (l *Leader) period() time.Duration {
	n := len(l.Board.Snapshot().Routers)
	scaled := time.Duration(float64(n) / observesPerSecond * float64(time.Second))
	return max(leaderPeriod, scaled)
}

func (l *Leader) step(ctx context.Context) {
	snap := l.Board.Snapshot()
	rank := snap.Rank(dutyLeader)
	if rank < 0 {
		rank = math.MaxInt32
	}
	l.Lease.SetRank(rank)
	grant, err := l.Lease.Valid()
	l.publish(grant, err)
	if err != nil {
		return
	}
	if !l.current(ctx, grant.Fence) {
		return
	}
	if err := l.aim(); err != nil {
		l.Log.Warn("no targets for orders", "cause", err)
		return
	}
	observed := l.observe(ctx, snap, grant.Fence)
	for _, s := range l.plan(observed) {
		if s.Kind == orders.StepOrder {
			l.give(ctx, s)
		}
	}
}

// publish puts the fence on the board and forgets the plan of an earlier term.
func (l *Leader) publish(g lease.Grant, err error) {
	fence := g.Fence
	if err != nil {
		fence = 0
	}
	l.mu.Lock()
	changed := fence != l.fence
	if changed {
		l.fence = fence
		l.planner = orders.NewPlanner(orders.DefaultLimits())
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	l.Board.Update(func(s *board.State) { s.LeaderFence = fence })
	if fence != 0 {
		l.Log.Info("leading", "fence", fence)
	}
}

// current reports whether the configuration in force here is at least as new
// as any that a former leader can have acted on.
//
// What goes wrong without it: a router that has not heard of the newest version
// takes the lease and orders the engines back to an earlier one; one sees an
// accepted change undone. The former leader's lease had ended when this one
// was taken, so it acted on no version beyond the head as read from now on.
func (l *Leader) current(ctx context.Context, fence uint64) bool {
	if l.floorOf != fence {
		ctx, cancel := context.WithTimeout(ctx, configTimeout)
		defer cancel()
		head, err := l.Configs.Chain.Head(ctx)
		if err != nil {
			l.Log.Debug("no orders before the configuration's head is known", "cause", err)
			return false
		}
		l.floor, l.floorOf = head.Version, fence
	}
	f := l.Configs.InForceNow()
	return f != nil && f.Version >= l.floor
}

// aim works out what the engines of all sites should be serving.
func (l *Leader) aim() error {
	f := l.Configs.InForceNow()
	if f == nil || f.Version == l.version {
		return nil
	}
	parsed, err := f.Bundle.Parse()
	if err != nil {
		return err
	}
	var targets []orders.Target
	for _, site := range parsed.Document.Sites {
		eff, err := config.NewEffective(parsed.Document, parsed.Overlays, site.Name)
		if err != nil {
			return err
		}
		targets = append(targets, targetsOf(eff)...)
		l.warnOfToken(eff)
	}
	l.targets, l.version = targets, f.Version
	return nil
}

// warnOfToken tells why the engines of a pool are going to refuse every order.
func (l *Leader) warnOfToken(eff *config.Effective) {
	for _, p := range eff.Pools {
		if p.ChecksSender && !l.HasOrderToken {
			l.Log.Warn("the pool's engines check who orders them, and the settings have no order_token",
				"pool", p.Name, "site", eff.Site.Name)
		}
	}
}

func targetsOf(eff *config.Effective) []orders.Target {
	var out []orders.Target
	for _, p := range eff.Pools {
		if p.Model == "" {
			continue
		}
		out = append(out, orders.Target{
			Group:         orders.Group{Pool: p.Name, Site: eff.Site.Name},
			Model:         p.Model,
			Version:       p.Version,
			Adapters:      p.Adapters,
			CapacityFloor: p.CapacityFloor,
			ChecksFence:   p.ChecksFence,
		})
	}
	return out
}

// observe asks the owners for the state of their engines, and tells them which
// are to be kept idle.
func (l *Leader) observe(ctx context.Context, snap *board.Snapshot, fence uint64) []orders.Observation {
	args := ObserveArgs{Fence: fence, Drain: l.draining(snap)}
	var out []orders.Observation
	seen := make(map[string]bool)
	for _, r := range snap.Live {
		reply, ok := l.ask(ctx, r, args)
		if !ok {
			continue
		}
		for _, e := range reply.Engines {
			if seen[e.Name] {
				continue
			}
			seen[e.Name] = true
			out = append(out, observationOf(e))
		}
	}
	return append(out, l.unseen(snap, seen)...)
}

// unseen lists the engines that no owner told of: they count towards the
// capacity floor but not as serving.
func (l *Leader) unseen(snap *board.Snapshot, seen map[string]bool) []orders.Observation {
	var out []orders.Observation
	for name, e := range snap.Engines {
		if !seen[name] && !e.Leaving {
			out = append(out, orders.Observation{
				Group:  orders.Group{Pool: e.Pool, Site: e.Site},
				Status: wire.EngineStatus{Name: name},
			})
		}
	}
	return out
}

func (l *Leader) ask(ctx context.Context, r board.Router, args ObserveArgs) (ObserveReply, bool) {
	if r.Name == l.Self {
		return l.Drains.Observe(args), true
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	var reply ObserveReply
	t := peer.Target{Name: r.Name, Address: r.Control}
	err := l.Caller.Call(ctx, t, FleetService+".Observe", args, &reply)
	return reply, err == nil && !reply.StaleFence
}

func (l *Leader) draining(snap *board.Snapshot) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name := range snap.Engines {
		if l.planner.Draining(name) {
			out = append(out, name)
		}
	}
	return out
}

// staleReport is the age from which an owner's report says nothing any more.
const staleReport = 10 * time.Second

func observationOf(e ObservedEngine) orders.Observation {
	return orders.Observation{
		Group:     orders.Group{Pool: e.Pool, Site: e.Site},
		Reachable: e.Known && e.Report.Age < staleReport,
		Status: wire.EngineStatus{
			Name:        e.Name,
			Incarnation: e.Report.Incarnation,
			Model:       e.Report.Model,
			Version:     e.Report.Version,
			Role:        e.Report.Role,
			Adapters:    e.Report.Adapters,
			Running:     e.Report.Running,
			Queued:      e.Report.Queued,
		},
	}
}

func (l *Leader) plan(observed []orders.Observation) []orders.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.planner.Plan(l.targets, observed, l.Clock())
	if !slices.Equal(p.Blocked, l.blocked) {
		l.blocked = p.Blocked
		for _, b := range p.Blocked {
			l.Log.Warn("no order can be given without passing the capacity floor",
				"pool", b.Pool, "site", b.Site, "serving", b.Serving, "needed", b.Needed)
		}
	}
	return p.Steps
}

// give sends one order, at most one at a time to an engine.
func (l *Leader) give(ctx context.Context, s orders.Step) {
	l.mu.Lock()
	if l.running[s.Engine] {
		l.mu.Unlock()
		return
	}
	l.running[s.Engine] = true
	l.mu.Unlock()
	version := l.version
	go func() {
		sent := &sender{leader: l, order: s.Order}
		err := orders.NewExecutor(sent, l.Lease, l.Clock, lease.DefaultTTL, orderTimeout).Execute(ctx, s)
		l.done(s, err)
		l.record(OrderResult{Engine: s.Engine, Order: sent.order, ConfigVersion: version, Ended: time.Now(), Err: err})
	}()
}

// sender sends one order and keeps it as it was sent, with its fence.
type sender struct {
	leader *Leader
	order  wire.Order
}

// Send implements orders.Sender.
func (s *sender) Send(ctx context.Context, engine string, o wire.Order) error {
	s.order = o
	return s.leader.send(ctx, engine, o)
}

// notTried reports an order that stayed here, because this router does not
// lead, or not long enough.
func notTried(err error) bool { return lease.ErrNotHeld.Has(err) || orders.ErrTooEarly.Has(err) }

func (l *Leader) done(s orders.Step, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, s.Engine)
	if orders.ErrRefused.Has(err) {
		l.planner.Failed(s.Engine, l.Clock())
	}
}

func (l *Leader) record(r OrderResult) {
	if notTried(r.Err) {
		return
	}
	if orders.ErrRefused.Has(r.Err) {
		l.refused.Add(1)
	} else {
		l.given.Add(1)
	}
	l.Log.Info("order", "engine", r.Engine, "kind", r.Order.Kind, "value", r.Order.Value, "fence", r.Order.Fence, "cause", r.Err)
	if l.Record != nil {
		l.Record(r)
	}
}

func (l *Leader) send(ctx context.Context, engine string, o wire.Order) error {
	e, ok := l.Board.Snapshot().Engines[engine]
	if !ok {
		return orders.ErrRefused.New("engine %s is gone", engine)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := l.Upstream.Order(ctx, upstream.Call{Address: e.Address, Name: e.Name}, o)
	var f *upstream.Failure
	if errors.As(err, &f) && f.Sent.DidNotRun() {
		return orders.ErrRefused.Wrap(err)
	}
	return err
}
