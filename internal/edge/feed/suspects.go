package feed

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
)

// SuspectsMethod is the RPC name of Relay.ExchangeSuspects.
const SuspectsMethod = RelayName + ".ExchangeSuspects"

// Routers exchange suspects with the router that they pull the catalog from and, if that is another
// one, with the router that they exchange loads with: with each of these calls, at once after a
// change by calls to these routers, and by early replies to pulls. The catalog's source is replaced
// soon after it fails; the loads connect all live routers also while several read the store.
const (
	// gatherTime is how long a router waits after a change for further ones before it passes them
	// on. Routers notice the end of an engine within a few milliseconds of each other.
	gatherTime = 10 * time.Millisecond
	// suspectsInterval is the time between two calls, or two early replies to the pulls of one router,
	// for suspects only. While many engines end, there are changes all the time.
	suspectsInterval = 50 * time.Millisecond
	// suspectsRetryPause is the pause after a failed call. Pulls go on meanwhile.
	suspectsRetryPause = pullWait
)

// ExchangeSuspects handles an exchange of suspects. It is called by net/rpc; the error is always
// nil.
func (r *Relay) ExchangeSuspects(args suspects.Args, reply *suspects.Reply) error {
	now := r.Clock()
	r.Suspects.Receive(args.From, &args, now)
	if out := r.Suspects.Reply(args.From, &args, now); out != nil {
		*reply = *out
	}
	return nil
}

// pushSuspects sends changed suspects at once, until the context is canceled.
func (f *Follower) pushSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Suspects.Changed()
		sent, ok := f.pushToParents(ctx)
		if !ok && !pause.For(ctx, suspectsRetryPause) {
			return
		}
		// What came from a parent needs no call, and must not delay what this router finds next.
		if sent {
			pause.For(ctx, suspectsInterval)
		}
		select {
		case <-ctx.Done():
		case <-changed:
			pause.For(ctx, gatherTime)
		}
	}
}

// pushToParents sends the suspects that this router's sources of catalog and loads lack, and reports
// whether there were any and whether all calls succeeded. A router of an earlier release does not know the
// method.
func (f *Follower) pushToParents(ctx context.Context) (sent, ok bool) {
	ok = true
	for _, parent := range f.suspectParents() {
		sentHere, okHere := f.pushSuspectsTo(ctx, parent)
		sent, ok = sent || sentHere, ok && okHere
	}
	return sent, ok
}

// suspectParents returns the routers to which suspects are sent.
func (f *Follower) suspectParents() []Peer {
	var out []Peer
	loadsParent, ok := f.loadsParent()
	if ok && f.Start.Settled(f.Clock()) {
		out = append(out, loadsParent)
	}
	source, _ := f.pulledFrom.Load().(string)
	if source == f.Self.Name || ok && source == loadsParent.Name {
		return out
	}
	for _, p := range f.Live() {
		if p.Name == source {
			out = append(out, p)
		}
	}
	return out
}

func (f *Follower) pushSuspectsTo(ctx context.Context, parent Peer) (sent, ok bool) {
	args := f.suspectExchange.Request(parent.Name, f.Suspects, f.Clock())
	if args.Len() == 0 {
		return false, true
	}
	args.From = f.Self.Name
	var reply suspects.Reply
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := f.Call(callCtx, parent, SuspectsMethod, *args, &reply); err != nil {
		f.Log.Debug("suspects not sent", "router", parent.Name, "cause", err)
		return true, false
	}
	f.suspectExchange.HandleReply(parent.Name, &reply, f.Suspects, f.Clock())
	return true, true
}
