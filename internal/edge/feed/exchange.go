package feed

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
)

// ExchangeMethod is the name under which Relay.Exchange is called.
const ExchangeMethod = RelayName + ".Exchange"

// LoadArgs is a router's half of an exchange of loads with the one above it.
type LoadArgs struct {
	// From is the asker's name.
	From string
	// Report is the asker's loads, with those of the routers below it; nil if the last
	// ones still count.
	Report *LoadReport
	// Have is the state of the fleet's loads that the asker has from the one asked;
	// zero for none.
	Have uint64
	// Gone means that the asker exchanges loads with another router from now on.
	Gone bool
}

// LoadReply is the other half.
type LoadReply struct {
	// Report is the loads of the whole fleet without what the asker reported; nil if
	// the last ones still count.
	Report *LoadReport
	// Heard is the state of the asker's loads that the one asked has; zero for none.
	Heard uint64
}

// loadLink is the state of the exchange of loads with the router above this one. It is
// safe for concurrent use.
type loadLink struct {
	mu     sync.Mutex
	parent Peer
	// have is the state of the fleet's loads that the parent has told, told the state
	// of this router's that the parent has; zero for none.
	have, told uint64
	reporter   reporter
}

// follow takes a router for the one above, or none, and returns the one before if that was
// another.
func (l *loadLink) follow(parent Peer) (before Peer, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parent.Name == parent.Name {
		return Peer{}, false
	}
	before, l.parent = l.parent, parent
	l.have, l.told = 0, 0
	return before, true
}

// ask returns what to send to a parent at now, nil if it is not the present one.
func (l *loadLink) ask(self, parent string, loads *Loads, now time.Duration) *LoadArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parent.Name == "" || l.parent.Name != parent {
		return nil
	}
	report := l.reporter.report(parent, l.told, loads.Size(), now, func() LoadReport { return loads.Below(now) })
	return &LoadArgs{From: self, Report: report, Have: l.have}
}

// answered takes a parent's half.
func (l *loadLink) answered(parent string, args *LoadArgs, reply *LoadReply, loads *Loads, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parent.Name != parent {
		return
	}
	if args.Report != nil {
		l.told = reply.Heard
	}
	if reply.Report == nil {
		return
	}
	l.have = 0
	if loads.FromParent(*reply.Report, now) {
		l.have = reply.Report.Seq
	}
}

// failed notes that it is not known whether the parent got a report; the next one is
// whole.
func (l *loadLink) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = 0
}

// loadsParent returns the router with which this one exchanges loads, and false for the
// first of the fleet.
//
// It depends on who is there and on nothing else, and always comes before this router in
// an order that all compute alike. Who is asked for the catalog changes while the store is
// lost, and routers then ask one another in circles; sums that went round with the answers
// grew to hundreds of times the truth within seconds, so that every engine seemed full.
func (f *Follower) loadsParent() (Peer, bool) {
	return ParentOf(f.Self, f.Live(), nil, f.Clock())
}

// exchangeLoads exchanges loads while they do not go with the pulls of the catalog, until
// the context ends.
func (f *Follower) exchangeLoads(ctx context.Context) {
	for pause.For(ctx, pullWait) {
		parent, ok := f.followLoads(ctx)
		if !ok || f.asked.Load() == parent.Name {
			continue
		}
		f.exchange(ctx, parent)
	}
}

// followLoads finds the router with which loads are exchanged; false for none.
//
// Whoever exchanges them with another one from now on says so to the one before, and forgets
// what that told: sums that are counted on two ways are wrong until they lapse. A router that
// starts waits until it knows the others. 295 routers that started together changed the one
// above three times each, and for two seconds each took the loads of all for seven times what
// they were: engines seemed full, and 2,600 requests were refused with three fifths of the
// places free.
func (f *Follower) followLoads(ctx context.Context) (Peer, bool) {
	if !f.Start.Settled(f.Clock()) {
		return Peer{}, false
	}
	parent, ok := f.loadsParent()
	if !ok {
		parent = Peer{}
	}
	before, changed := f.link.follow(parent)
	if changed {
		f.Loads.ForgetAbove()
	}
	if changed && before.Name != "" {
		go f.sayGone(ctx, before)
	}
	return parent, ok
}

// sayGone tells the router above that was before. If it does not hear it, what it has lapses.
func (f *Follower) sayGone(ctx context.Context, before Peer) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := f.Call(ctx, before, ExchangeMethod, LoadArgs{From: f.Self.Name, Gone: true}, &LoadReply{}); err != nil {
		f.Log.Debug("source of loads not told of the change", "router", before.Name, "cause", err)
	}
}

func (f *Follower) exchange(ctx context.Context, parent Peer) {
	args := f.link.ask(f.Self.Name, parent.Name, f.Loads, f.Clock())
	if args == nil {
		return
	}
	var reply LoadReply
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := f.Call(ctx, parent, ExchangeMethod, *args, &reply); err != nil {
		// Pulls and gossip log a router that gives no answer.
		f.link.failed()
		return
	}
	f.link.answered(parent.Name, args, &reply, f.Loads, f.Clock())
}

// Exchange answers an exchange of loads. It is called by net/rpc; the error is always nil.
func (r *Relay) Exchange(args LoadArgs, reply *LoadReply) error {
	*reply = *r.exchange(&args, r.Clock())
	return nil
}

func (r *Relay) exchange(args *LoadArgs, now time.Duration) *LoadReply {
	if args.Gone {
		r.Loads.Forget(args.From, now)
		return &LoadReply{}
	}
	heard := r.hear(args, now)
	return r.tell(args, heard, now)
}

// hear takes the asker's loads, and returns the state of them that this router has then.
func (r *Relay) hear(args *LoadArgs, now time.Duration) uint64 {
	if args.Report == nil || !r.Loads.Heard(args.From, *args.Report, now) {
		return 0
	}
	return args.Report.Seq
}

// tell returns what is due to the asker.
func (r *Relay) tell(args *LoadArgs, heard uint64, now time.Duration) *LoadReply {
	report := r.reporter.report(args.From, args.Have, r.Loads.Size(), now, func() LoadReport {
		return r.Loads.Without(args.From, now)
	})
	return &LoadReply{Report: report, Heard: heard}
}
