package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/config"
	"damaskrouter.example/damaskrouter/internal/faultkit"
	"damaskrouter.example/damaskrouter/internal/lease"
	"damaskrouter.example/damaskrouter/internal/platform"
	"damaskrouter.example/damaskrouter/internal/platform/platformtest"
	"damaskrouter.example/damaskrouter/internal/wire"
	"github.com/stretchr/testify/require"
)

// rollout is a scenario: router a leads and brings the engines to version 2.1;
// the fault strikes; an operator accepts a configuration with version 2.0; in
// the end every engine must serve that, and no older order may undo it.
type rollout struct {
	*faultkit.World
	t    *testing.T
	a, b *faultkit.Router
	// ready is closed once a is set; the fault may strike before.
	ready chan struct{}
	hit   chan struct{}
	// vanished is an engine whose VM is gone, had the orders that it had taken
	// by then.
	vanished string
	had      int
	// misled counts the orders that the engine at a used address took before
	// the list named it.
	misled atomic.Int64
}

const (
	rolloutEngines = 3
	// oldVersion is what the engines start with, nextVersion what the second
	// configuration asks for.
	oldVersion  = "1.9"
	nextVersion = "2.0"
	// term is long enough for a lease to lapse, and a roll-out to be done.
	term = 45 * time.Second
)

type rolloutStrike func(s *rollout, c *faultkit.Conn)

// rolloutPoint is where a fault strikes. Store points are armed before router
// a starts, connections when it has.
type rolloutPoint struct {
	step  faultkit.Step
	store func(faultkit.StoreCall) bool
	after bool
	conn  faultkit.Tap
}

// leaseWrite matches the write of the lease with a number of renewals.
func leaseWrite(renewals uint64) func(faultkit.StoreCall) bool {
	return func(c faultkit.StoreCall) bool {
		var r lease.Record
		return c.Use == platform.UseLease && len(c.Writes) > 0 &&
			json.Unmarshal(c.Writes[0].Value, &r) == nil && r.Renewals == renewals
	}
}

var (
	leaseTaken   = rolloutPoint{step: faultkit.LeaseTake, store: leaseWrite(0)}
	leaseTakenOK = rolloutPoint{step: faultkit.LeaseTake, store: leaseWrite(0), after: true}
	renewed      = rolloutPoint{step: faultkit.Renew, store: leaseWrite(2)}
	renewedOK    = rolloutPoint{step: faultkit.Renew, store: leaseWrite(2), after: true}
	orderSent    = rolloutPoint{step: faultkit.Order, conn: faultkit.Tap{From: "a", Dir: faultkit.Out, Contains: []byte("POST /v1/orders")}}
	orderReply   = rolloutPoint{step: faultkit.Order, conn: faultkit.Tap{From: "a", Dir: faultkit.In, Contains: []byte(`"version":"2.1"`)}}
	// stateRead is a report that shows the first order's effect.
	stateRead = rolloutPoint{step: faultkit.ReadBack, conn: faultkit.Tap{From: "a", Dir: faultkit.In, Contains: []byte(`"version":"2.1"`), Skip: 1}}
)

func aKilled(s *rollout, _ *faultkit.Conn)     { s.a.Gate.Kill() }
func aFrozen(s *rollout, _ *faultkit.Conn)     { s.a.Gate.Freeze() }
func orderCut(_ *rollout, c *faultkit.Conn)    { c.Cut() }
func orderOneWay(_ *rollout, c *faultkit.Conn) { c.Drop(faultkit.In) }
func orderSilent(_ *rollout, c *faultkit.Conn) { c.Silence() }
func orderLate(_ *rollout, c *faultkit.Conn)   { c.Delay(func() { time.Sleep(term) }) }
func storeGone(s *rollout, _ *faultkit.Conn)   { s.Platform.SetDown(true) }
func orderedFlaps(s *rollout, c *faultkit.Conn) {
	s.Oracle.Engine(c.To).Restart()
}

func onCommit(f platformtest.Fault) rolloutStrike {
	return func(s *rollout, _ *faultkit.Conn) { s.Platform.Script(platformtest.OpCommit, f) }
}

func storeSlow(d time.Duration) rolloutStrike {
	return func(s *rollout, _ *faultkit.Conn) { holdNextCall(s.World, d) }
}

// orderAgain delivers a copy of the order when a newer leader has given its own.
func orderAgain(s *rollout, c *faultkit.Conn) {
	engine := c.To
	go func() {
		time.Sleep(3 * term)
		orders := s.Oracle.Engine(engine).Books().Orders
		for i := range rolloutEngines {
			if engine == fmt.Sprint("engine-", i) && len(orders) > 0 {
				_, _ = s.Redeliver(faultkit.EngineAddress(i), orders[0])
			}
		}
	}()
}

// killedOrderAgain kills the leader, so that the copy is of an older term.
func killedOrderAgain(s *rollout, c *faultkit.Conn) {
	orderAgain(s, c)
	go func() {
		time.Sleep(30 * time.Second)
		s.a.Gate.Kill()
	}()
}

// staleSuccessor kills the leader while the next one can't read the
// configuration, which changes meanwhile: the store has room for the lease and
// none for it.
func staleSuccessor(s *rollout, _ *faultkit.Conn) {
	go func() {
		s.b.OnStore(faultkit.StoreTap{Deny: true, Matches: func(c faultkit.StoreCall) bool { return c.Use == platform.UseConfig }})
		s.change()
		time.Sleep(3 * term)
		s.a.Gate.Kill()
		time.Sleep(term)
		s.b.Reconnect()
	}()
}

// reused puts another engine at the address that the order goes to. The
// leader's list names the old one until after the second configuration, which
// would be ordered there.
func reused(s *rollout, c *faultkit.Conn) {
	for i := range rolloutEngines {
		if c.To == fmt.Sprint("engine-", i) {
			s.a.HoldVMs(true)
			next := s.ReplaceEngine(i, "engine-9")
			time.AfterFunc(2*term, func() {
				s.misled.Store(int64(len(next.Books().Orders)))
				s.a.HoldVMs(false)
			})
		}
	}
}

// vanish lets an engine's VM vanish while the leader's list goes on naming it.
// Once the list has caught up, the process answers at its address again, as
// one does that the platform has given up: it must get no order.
func vanish(s *rollout, c *faultkit.Conn) {
	s.vanished = c.To
	e := s.Oracle.Engine(c.To)
	s.a.HoldVMs(true)
	s.Platform.DeleteVM(c.To)
	e.Crash()
	s.had = len(e.Books().Orders)
	time.AfterFunc(term/2, func() { s.a.HoldVMs(false) })
	time.AfterFunc(term/2+leaveSettle, e.Restart)
}

type rolloutCell struct {
	fault       faultkit.Fault
	at          rolloutPoint
	strike      rolloutStrike
	ignoreFence bool
	does        string
}

// copied reports whether the scenario itself brings an old order to an engine
// that takes it. The state must then be mended, not prevented.
func (c rolloutCell) copied() bool { return c.ignoreFence || c.fault == faultkit.Duplicate }

// engines is how many there are. Of two that are left, the capacity floor lets
// none be taken out for an order.
func (c rolloutCell) engines() int {
	if c.fault == faultkit.VMsStale {
		return rolloutEngines + 1
	}
	return rolloutEngines
}

var rolloutCells = []rolloutCell{
	{faultkit.Kill, leaseTakenOK, aKilled, false, "leader killed with its lease just taken; another takes over"},
	{faultkit.Freeze, leaseTakenOK, aFrozen, false, "leader frozen with its lease just taken, thawed after it lapsed"},
	{faultkit.CutBoth, leaseTaken, onCommit(platformtest.LoseBeforeEffect), false, "store connection cut before the take takes effect"},
	{faultkit.CutOneWay, leaseTaken, onCommit(platformtest.LoseReplyAfterEffect), false, "store's replies lost from the take on"},
	{faultkit.Silent, leaseTaken, storeSlow(term), false, "store connection silent during the take"},
	{faultkit.ReplyLost, leaseTaken, onCommit(platformtest.LoseReplyAfterEffect), false, "reply of the take lost after its effect; the row is read back"},
	{faultkit.ReplyLate, leaseTaken, onCommit(platformtest.LateEffect), false, "first copy of the take takes effect last"},
	{faultkit.Duplicate, leaseTaken, onCommit(platformtest.Duplicate), false, "take delivered to the store twice"},
	{faultkit.StoreDown, leaseTaken, storeGone, false, "store down at the take: nobody leads until it is back"},
	{faultkit.StoreSlow, leaseTaken, storeSlow(3 * time.Second), false, "store slower than a call's time-out at the take"},

	{faultkit.Kill, renewedOK, aKilled, false, "leader killed at a renewal"},
	{faultkit.Freeze, renewed, aFrozen, false, "leader frozen at a renewal, thawed after another took over"},
	{faultkit.CutBoth, renewed, onCommit(platformtest.LoseBeforeEffect), false, "store connection cut before a renewal takes effect"},
	{faultkit.CutOneWay, renewed, onCommit(platformtest.LoseReplyAfterEffect), false, "store's replies lost from a renewal on"},
	{faultkit.Silent, renewed, storeSlow(term), false, "store connection silent during a renewal"},
	{faultkit.ReplyLost, renewed, onCommit(platformtest.LoseReplyAfterEffect), false, "reply of a renewal lost after its effect"},
	{faultkit.ReplyLate, renewed, onCommit(platformtest.LateEffect), false, "first copy of a renewal takes effect last"},
	{faultkit.Duplicate, renewed, onCommit(platformtest.Duplicate), false, "renewal delivered to the store twice"},
	{faultkit.StoreDown, renewed, storeGone, false, "store down: the lease lapses, nobody gives orders, nobody takes over before it is back"},
	{faultkit.StoreSlow, renewed, storeSlow(3 * time.Second), false, "store slower than a call's time-out at a renewal"},

	{faultkit.Kill, orderSent, aKilled, false, "leader killed as it sends an order"},
	{faultkit.Freeze, orderSent, aFrozen, false, "leader frozen as it sends an order, thawed under the next leader"},
	{faultkit.CutBoth, orderSent, orderCut, false, "connection cut as the order is sent; given again"},
	{faultkit.CutOneWay, orderSent, orderOneWay, false, "order carried out, reply lost; seen in the report"},
	{faultkit.Silent, orderSent, orderSilent, false, "order vanishes in a silent connection; given again after its time-out"},
	{faultkit.ReplyLost, orderReply, orderCut, false, "reply lost after the order took effect"},
	{faultkit.ReplyLate, orderReply, orderLate, false, "reply comes after the order's time-out"},
	{faultkit.Duplicate, orderReply, orderAgain, false, "order delivered twice, its copy after a newer one of the same leader"},
	{faultkit.Reorder, orderReply, killedOrderAgain, false, "order of a former leader arrives after that of the present one; the engine refuses its fence"},
	{faultkit.Reorder, orderReply, killedOrderAgain, true, "the same at an engine that ignores fences; the present leader sees the state and repairs it"},
	{faultkit.StoreDown, orderSent, storeGone, false, "store down as an order is sent"},
	{faultkit.Flap, orderSent, orderedFlaps, false, "engine restarts as an order arrives and has forgotten everything"},
	{faultkit.IPReused, orderSent, reused, false, "another engine at the address refuses the order"},
	{faultkit.VMsStale, orderSent, vanish, false, "list names an engine that is gone as it is ordered: the others are rolled out, and it gets no order when it answers again"},
	{faultkit.ViewsDiff, orderReply, staleSuccessor, false, "next leader has an older configuration: it does not bring engines back to it"},
	{faultkit.FreezeTake, orderSent, aFrozen, true, "leader frozen as it sends, another takes over, at engines that ignore fences"},

	{faultkit.Kill, stateRead, aKilled, false, "leader killed before it sees the order's effect"},
	{faultkit.Freeze, stateRead, aFrozen, false, "leader frozen before it sees the order's effect"},
	{faultkit.CutBoth, stateRead, orderCut, false, "report cut"},
	{faultkit.CutOneWay, stateRead, orderOneWay, false, "reports lost from here on"},
	{faultkit.Silent, stateRead, orderSilent, false, "connection of the reports silent"},
	{faultkit.ReplyLost, stateRead, orderCut, false, "report lost"},
	{faultkit.ReplyLate, stateRead, orderLate, false, "report later than its time-out"},
	{faultkit.StoreDown, stateRead, storeGone, false, "store down as the report is read"},
	{faultkit.Flap, stateRead, orderedFlaps, false, "engine restarts after the order: the plan is made anew from its report"},
	{faultkit.VMsStale, stateRead, vanish, false, "engine gone as its report is read, still listed: the others are rolled out, and it gets no order when it answers again"},
	{faultkit.IPReused, stateRead, reused, false, "another engine at the address as the report is read: it is not taken for the old one, and gets no order in that one's name"},
}

func leaderProofs() proofs {
	p := proofs{}
	for _, c := range rolloutCells {
		p.add(c.fault, c.at.step, proof{
			promises: []faultkit.Promise{faultkit.ConfigHolds},
			does:     "roll-out: " + c.does,
			run:      func(t *testing.T) { runRollout(t, c) },
		})
	}
	return p
}

// Symptom: two routers give orders, and engines load two versions in turn; or
// an engine is left with the version of an earlier configuration.
// Sequence: the fault strikes the leader at the step; the lease lapses and
// another may take it; the configuration changes; the fault ends and what was
// frozen or under way goes on.
// Cause: a leader acts on a lease that it can't know to hold, or takes a reply
// that is missing for an order that had no effect.
func runRollout(t *testing.T, c rolloutCell) {
	o := faultkit.Options{Engines: c.engines(), EngineVersion: oldVersion, Leaders: true, IgnoreFence: c.ignoreFence}
	inWorld(t, 0, o, func(t *testing.T, w *faultkit.World) {
		s := &rollout{World: w, t: t, ready: make(chan struct{}), hit: make(chan struct{})}
		s.start(c)
		select {
		case <-s.hit:
		case <-time.After(term):
			require.Fail(t, "the fault never strikes")
		}
		stop := s.watchLeaders()
		defer stop()
		time.Sleep(term)
		s.a.Gate.Thaw()
		s.Platform.SetDown(false)
		synctest.Wait()
		s.Platform.DeliverLate()
		if c.fault != faultkit.ViewsDiff {
			s.change()
		}
		time.Sleep(5 * term)
		stop()
		s.requireRolledOut(c)
	})
}

// start starts router a with the trap set, and router b a little later.
func (s *rollout) start(c rolloutCell) {
	strike := func(conn *faultkit.Conn) {
		<-s.ready
		defer close(s.hit)
		c.strike(s, conn)
	}
	var taps []faultkit.StoreTap
	if c.at.store != nil {
		taps = append(taps, faultkit.StoreTap{Matches: c.at.store, After: c.at.after, Strike: func() { strike(nil) }})
	} else {
		tap := c.at.conn
		tap.Strike = strike
		s.Net.Tap(tap)
	}
	s.a = s.router("a", 0, taps...)
	close(s.ready)
	time.Sleep(time.Second)
	s.b = s.router("b", 1)
}

func (s *rollout) router(name string, i int, taps ...faultkit.StoreTap) *faultkit.Router {
	r, err := s.StartRouter(name, faultkit.RouterAddress(i), taps...)
	require.NoError(s.t, err)
	return r
}

// change accepts the second configuration.
func (s *rollout) change() {
	chain := config.NewChain(s.Platform, s.Platform.Objects(), time.Now)
	_, err := chain.Accept(context.Background(), config.Change{
		Bundle: nextBundle(s.t), Expected: 1, ChangeID: "second", Author: "operator", Comment: "earlier version", Withdraw: true,
	})
	require.NoError(s.t, err)
}

func nextBundle(t testing.TB) config.Bundle {
	b := exampleBundle(t)
	b.Base = bytes.Replace(b.Base, []byte(`    version: "2.1"`), []byte(`    version: "`+nextVersion+`"`), 1)
	return b
}

// watchLeaders fails the test when two routers hold the lease at one moment.
func (s *rollout) watchLeaders() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			s.requireOneLeader()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (s *rollout) requireOneLeader() {
	_, errA := s.a.Lease.Valid()
	_, errB := s.b.Lease.Valid()
	if errA == nil && errB == nil {
		s.t.Error("two routers hold the lease")
	}
}

func (s *rollout) requireRolledOut(c rolloutCell) {
	require.Zero(s.t, s.misled.Load(), "orders meant for the engine that had the address before")
	if s.vanished != "" {
		require.Len(s.t, s.Oracle.Engine(s.vanished).Books().Orders, s.had, "no order to an engine that is gone")
	}
	for _, e := range s.Oracle.Engines() {
		st := e.Status()
		if s.gone(st.Name) {
			continue
		}
		require.Equal(s.t, nextVersion, st.Version, st.Name)
		books := e.Books()
		if c.copied() {
			continue
		}
		require.Zero(s.t, books.OldFences)
		requireNoReturn(s.t, books.Orders)
	}
}

// gone reports whether the VM of an engine has vanished.
func (s *rollout) gone(name string) bool {
	vms, err := s.Platform.VMList().List(context.Background())
	require.NoError(s.t, err)
	for _, vm := range vms {
		if vm.Name == name {
			return false
		}
	}
	return true
}

// requireNoReturn demands that no order of a former leader follows one of the
// next, and that no version that was left behind is ordered again.
func requireNoReturn(t testing.TB, orders []wire.Order) {
	fence := uint64(0)
	left := make(map[string]bool)
	current := ""
	for _, o := range orders {
		require.GreaterOrEqual(t, o.Fence, fence)
		fence = o.Fence
		if o.Kind != wire.OrderVersion || o.Value == current {
			continue
		}
		require.False(t, left[o.Value], "version %s is ordered again after %s", o.Value, current)
		left[current] = true
		current = o.Value
	}
}
