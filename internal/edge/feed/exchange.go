package feed

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
)

// ExchangeMethod is the RPC name of Relay.Exchange.
const ExchangeMethod = RelayName + ".Exchange"

// LoadArgs is the request of a load exchange, sent by a router to its parent.
type LoadArgs struct {
	// From is the name of the requesting router.
	From string
	// Report is the load of the requesting router and of its descendants. It is nil if the last
	// report still applies.
	Report *LoadReport
	// Have is the sequence number of the fleet's loads that the requesting router holds from this
	// parent, or zero for none.
	Have uint64
	// Gone means that the requesting router exchanges loads with another router from now on.
	Gone bool
	// Suspects is the request of an exchange of suspects, or nil in a pull, which has one of its own.
	// Routers of earlier releases send none.
	Suspects *suspects.Args
}

// LoadReply is the reply of a load exchange.
type LoadReply struct {
	// Report is the load of the whole fleet except what the requesting router reported. It is nil
	// if the last report still applies.
	Report *LoadReport
	// Heard is the sequence number of the requesting router's loads that the parent holds, or zero
	// for none.
	Heard uint64
	// Suspects is the reply of the exchange of suspects, or nil if there was none.
	Suspects *suspects.Reply
}

// parentExchange is the state of the load exchange with the parent. It is safe for concurrent use.
type parentExchange struct {
	mu     sync.Mutex
	parent Peer
	// have is the sequence number of the fleet's loads received from the parent. acked is the
	// sequence number of this router's loads that the parent holds. Both are zero for none.
	have, acked uint64
	reporter    reporter
}

// setParent sets the parent, which is empty for none. If it differs from the previous one,
// setParent resets the exchange and returns the previous parent and true.
func (e *parentExchange) setParent(parent Peer) (previous Peer, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.parent.Name == parent.Name {
		return Peer{}, false
	}
	previous, e.parent = e.parent, parent
	e.have, e.acked = 0, 0
	return previous, true
}

// request returns the request to send to a parent at now, or nil if it is not the current parent.
func (e *parentExchange) request(self, parent string, loads *Loads, now time.Duration) *LoadArgs {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.parent.Name == "" || e.parent.Name != parent {
		return nil
	}
	report := e.reporter.report(parent, e.acked, loads.EngineCount(), loads.LeavingChangedAt(), now, func() LoadReport { return loads.Subtree(now) })
	return &LoadArgs{From: self, Report: report, Have: e.have}
}

// handleReply applies the reply of a parent. Replies of earlier parents are ignored.
func (e *parentExchange) handleReply(parent string, args *LoadArgs, reply *LoadReply, loads *Loads, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.parent.Name != parent {
		return
	}
	if args.Report != nil {
		e.acked = reply.Heard
	}
	if reply.Report == nil {
		return
	}
	e.have = 0
	if loads.FromParent(*reply.Report, now) {
		e.have = reply.Report.Seq
	}
}

// resetAcked makes the next report a full one. It is called after a failed call, when it is unknown
// whether the parent received the report.
func (e *parentExchange) resetAcked() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acked = 0
}

// loadsParent returns the router with which this one exchanges loads, and false for the first
// router of the fleet.
//
// The parent depends only on the set of live routers and always precedes this router in an order
// that all routers compute in the same way. The router from which the catalog is pulled is not
// suitable: while the store is unreachable it changes, and routers may pull from each other in a
// cycle. Load sums exchanged along such cycles grew to hundreds of times the real load within
// seconds, so that every engine seemed full.
func (f *Follower) loadsParent() (Peer, bool) {
	return ParentOf(f.Self, f.Live(), nil, f.Clock())
}

// exchangeLoads exchanges loads with the router that loadsParent returns, by separate calls while
// catalog pulls do not carry the loads, until the context is canceled.
func (f *Follower) exchangeLoads(ctx context.Context) {
	for pause.For(ctx, pullWait) {
		f.Loads.Expire(f.Clock())
		parent, ok := f.updateLoadsParent(ctx)
		if !ok || f.pulledFrom.Load() == parent.Name {
			continue
		}
		f.exchange(ctx, parent)
	}
}

// updateLoadsParent updates and returns the router with which loads are exchanged, or false for
// none.
//
// A router that changes its parent notifies the previous parent and drops the loads reported by it.
// Otherwise loads received along two paths would be counted twice until they expire. A starting
// router waits until it knows the other routers. When 295 routers started together, each changed
// its parent three times, and for two seconds each saw seven times the real load of the fleet:
// engines seemed full, and 2,600 requests were rejected while three fifths of the slots were free.
func (f *Follower) updateLoadsParent(ctx context.Context) (Peer, bool) {
	if !f.Start.Settled(f.Clock()) {
		return Peer{}, false
	}
	parent, ok := f.loadsParent()
	if !ok {
		parent = Peer{}
	}
	previous, changed := f.parentExchange.setParent(parent)
	if changed {
		f.Loads.ClearParent()
	}
	if changed && previous.Name != "" {
		go f.notifyGone(ctx, previous)
	}
	return parent, ok
}

// notifyGone notifies the previous parent that this router has another one. If the call fails, the
// reports held by that parent expire.
func (f *Follower) notifyGone(ctx context.Context, previous Peer) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := f.Call(ctx, previous, ExchangeMethod, LoadArgs{From: f.Self.Name, Gone: true}, &LoadReply{}); err != nil {
		f.Log.Debug("previous load parent not notified", "router", previous.Name, "cause", err)
	}
}

func (f *Follower) exchange(ctx context.Context, parent Peer) {
	now := f.Clock()
	args := f.parentExchange.request(f.Self.Name, parent.Name, f.Loads, now)
	if args == nil {
		return
	}
	args.Suspects = f.suspectExchange.Request(parent.Name, f.Suspects, now)
	var reply LoadReply
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := f.Call(ctx, parent, ExchangeMethod, *args, &reply); err != nil {
		// Not logged here: pulls and gossip already log unresponsive routers.
		f.parentExchange.resetAcked()
		return
	}
	now = f.Clock()
	f.parentExchange.handleReply(parent.Name, args, &reply, f.Loads, now)
	f.suspectExchange.HandleReply(parent.Name, reply.Suspects, f.Suspects, now)
}

// Exchange handles a load exchange. It is called by net/rpc; the error is always nil.
func (r *Relay) Exchange(args LoadArgs, reply *LoadReply) error {
	*reply = *r.exchange(&args, r.Clock())
	return nil
}

func (r *Relay) exchange(args *LoadArgs, now time.Duration) *LoadReply {
	if args.Gone {
		r.Loads.RemoveChild(args.From, now)
		return &LoadReply{}
	}
	acked := r.receiveReport(args, now)
	r.Suspects.Receive(args.From, args.Suspects, now)
	reply := r.loadReply(args, acked, now)
	reply.Suspects = r.Suspects.Reply(args.From, args.Suspects, now)
	return reply
}

// receiveReport applies the load report of the requesting router and returns the sequence number
// held afterwards, or zero if there was no report or it did not apply.
func (r *Relay) receiveReport(args *LoadArgs, now time.Duration) uint64 {
	if args.Report == nil || !r.Loads.FromChild(args.From, *args.Report, now) {
		return 0
	}
	return args.Report.Seq
}

// loadReply returns the reply to the requesting router, with a report if one is due.
func (r *Relay) loadReply(args *LoadArgs, acked uint64, now time.Duration) *LoadReply {
	report := r.reporter.report(args.From, args.Have, r.Loads.EngineCount(), r.Loads.LeavingChangedAt(), now, func() LoadReport {
		return r.Loads.WithoutChild(args.From, now)
	})
	return &LoadReply{Report: report, Heard: acked}
}
