package origins

import (
	"context"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
)

const (
	// historyInterval is how often a router whose history is not complete asks for one, and
	// historyTimeout bounds a call.
	historyInterval = 300 * time.Millisecond
	historyTimeout  = time.Second
)

// History returns the versions that have served lately, by service, and whether there were no others.
func (r *Registry) History() (versions map[string][]string, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.All(), r.complete(r.Clock())
}

// AdoptHistory adds versions that have served before this router knew of them. With them, its history
// is complete.
func (r *Registry) AdoptHistory(versions map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Adopt(versions, r.Clock())
}

// FollowHistory asks for a complete history whenever that of this router is not, until the context
// ends.
func (r *Registry) FollowHistory(ctx context.Context) {
	for pause.For(ctx, historyInterval) {
		if !r.historyComplete() {
			r.askHistory(ctx)
		}
	}
}

func (r *Registry) historyComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Complete(r.Clock())
}

// askHistory asks the router that precedes this one in the fleet for a complete history. The first one
// of the fleet reads it from the store.
func (r *Registry) askHistory(ctx context.Context) {
	live := r.Live()
	self := slices.IndexFunc(live, func(p feed.Peer) bool { return p.Name == r.Self })
	if self < 0 {
		return
	}
	parent, ok := feed.ParentOf(live[self], live, nil, r.Clock())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var reply HistoryReply
	if err := r.Call(ctx, parent, HistoryMethod, HistoryArgs{}, &reply); err != nil {
		r.Log.Debug("history of versions not received", "router", parent.Name, "cause", err)
		return
	}
	if reply.Complete {
		r.AdoptHistory(reply.Versions)
	}
}
